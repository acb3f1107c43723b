"""Calls to one worker, with fencing token, lease deadlines and answer timeouts."""

from __future__ import annotations

import asyncio
import logging

from zincwell.dispatch._clocks import MAX_CLOCK_DRIFT_RATE, WorkerClock
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import Limits, TaskId, WorkerInfo
from zincwell.dispatch.decisions import (
    MAX_ANSWER_TIMEOUT_S,
    AnswerTimeoutEstimator,
    Sighting,
    compare_incarnation,
)
from zincwell.dispatch.ports import (
    HoldReply,
    StartOrder,
    StartReply,
    WorkerCallError,
    WorkerClient,
)
from zincwell.exceptions import ZincwellError

log = logging.getLogger("zincwell.worker")

# How long a worker with runs keeps a hold call open while none of them ends. A take-over completes
# about 0.55 s after the owner's last heartbeat, so a lease of 1 s must be at most 0.45 s old then.
HOLD_WAIT_S = 0.25
# Validity of a start order on the worker's clock. The worker refuses it afterwards, which bounds
# how long the outcome of an unanswered start is unknown.
START_VALIDITY_MS = 400


class WorkerRestartedError(ZincwellError):
    """A newer incarnation of the worker answered.

    :ivar born_ms: the incarnation that answered.
    """

    def __init__(self, born_ms: int) -> None:
        super().__init__(f"a newer incarnation of the worker answered: born_ms={born_ms}")
        self.born_ms = born_ms


class _ConvertingErrors:
    """Context manager that turns an unforeseen error of a call into a failed call.

    It may come from what the worker has answered. A run whose start ended in it would occupy its
    capacity, and its job would wait, for the rest of the term. A class, since it is entered for
    each call, and a generator takes several times as long.

    :param call: name of the call in the log.
    """

    def __init__(self, *, call: str) -> None:
        self._call = call

    def __enter__(self) -> None:
        pass  # Only the exit matters.

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: object
    ) -> None:
        if not isinstance(error, Exception) or isinstance(error, ZincwellError):
            return
        log.error("worker_call_failed call=%s", self._call, exc_info=error)
        raise WorkerCallError(f"{self._call}: {error!r}") from error


_START_ERRORS = _ConvertingErrors(call="start")
_STOP_ERRORS = _ConvertingErrors(call="stop")
_HOLD_ERRORS = _ConvertingErrors(call="hold")


def max_lease_s(limits: Limits) -> float:
    """Return for how long a lease that is requested now may last on this entry's clock."""
    return max_duration_s(limits.max_lease_s, limits)


def max_duration_s(lease_s: float, limits: Limits) -> float:
    """Return how long a lease of a given length on a worker's clock may last on this entry's."""
    return lease_s * (1 + MAX_CLOCK_DRIFT_RATE) + limits.thaw_slack_s


class WorkerCalls:
    """Sends orders to one incarnation of a worker under a fencing token.

    Tracks what belongs to this incarnation: its clock, the requested leases and the acknowledged
    ends.

    :param born_ms: incarnation of the worker; None if it is not known yet.
    :ivar info: the worker's record, for its address.
    :ivar fence: fencing token of all further calls.
    :ivar acknowledged: sequence number of the last ended run that the worker need not report again.
    """

    def __init__(
        self,
        *,
        info: WorkerInfo,
        client: WorkerClient,
        fence: int,
        limits: Limits,
        born_ms: int | None = None,
    ) -> None:
        self.info = info
        self.born_ms = born_ms
        self.fence = fence
        self.acknowledged = 0
        self.clock = WorkerClock()
        self._client = client
        self._limits = limits
        self._timeout_estimator = AnswerTimeoutEstimator()
        self._leases_expire_at = 0.0
        self._answered = False
        self._loop = asyncio.get_running_loop()

    def answer_timeout_s(self) -> float:
        """Return the time in seconds after which an unanswered call counts as lost."""
        return self._timeout_estimator.answer_timeout_s()

    def have_leases_expired(self) -> bool:
        """Return whether every lease that was requested has certainly expired."""
        return self._loop.time() > self._leases_expire_at

    def assume_leases(self, previous: WorkerCalls) -> None:
        """Assume that the last call to the previous incarnation was answered by this one.

        That call may have renewed the leases of runs that this incarnation executes.
        """
        self._leases_expire_at = max(self._leases_expire_at, previous._leases_expire_at)
        self.assume_renewed()

    def assume_renewed(self) -> None:
        """Assume that a lease of the greatest length was requested just now.

        The owner before may have renewed a run until the worker took the present fencing token.
        """
        self._note_lease(self._limits.max_lease_s)

    def _note_lease(self, lease_s: float) -> None:
        """Remember until when a lease that is requested now may last on this entry's clock."""
        expire_at = self._loop.time() + max_duration_s(lease_s, self._limits)
        self._leases_expire_at = max(self._leases_expire_at, expire_at)

    async def start(self, run: Run) -> StartReply:
        """Order a run, which the worker refuses if the order arrives past its deadline."""
        run.start_deadline_ms = int(self.clock.lower_bound_ms() + START_VALIDITY_MS)
        order = StartOrder(
            task=run.task,
            run=run.number,
            spec=run.spec,
            deadline_ms=run.start_deadline_ms,
            fence=self.fence,
        )
        sent_at = self._loop.time()
        # The order extends the leases of all runs on the worker, also if it is refused.
        self._note_lease(START_VALIDITY_MS / 1000)
        with _START_ERRORS:
            reply = await self._client.start(self.info, order, timeout_s=START_VALIDITY_MS / 1000)
        self._timeout_estimator.note_answer(self._loop.time() - sent_at)
        if reply.clock_ms is not None:
            self.clock.update(reply.clock_ms)
        return reply

    async def stop(self, task: TaskId, number: int) -> None:
        """Stop a run. If it has not started, the worker refuses it from then on."""
        with _STOP_ERRORS:
            await self._client.stop(
                self.info, task=task, run=number, fence=self.fence, timeout_s=MAX_ANSWER_TIMEOUT_S
            )

    async def hold(
        self,
        *,
        renew_leases: bool,
        wait_s: float = 0.0,
        answer_timeout_s: float = MAX_ANSWER_TIMEOUT_S,
    ) -> HoldReply:
        """Poll the active and the ended runs.

        :param renew_leases: renew the leases of all runs on the worker.
        :param wait_s: how long the worker may wait for a run to end before it answers.
        :param answer_timeout_s: how long the answer may take beyond that.
        :raises WorkerRestartedError: if a newer incarnation answered.
        """
        sent_at = self._loop.time()
        try:
            with _HOLD_ERRORS:
                reply = await self._client.hold(
                    self.info,
                    fence=self.fence,
                    acknowledged=self._acknowledged_safely(),
                    deadline_ms=self._lease_deadline_ms() if renew_leases else None,
                    wait_s=wait_s,
                    timeout_s=wait_s + answer_timeout_s,
                )
        except WorkerCallError:
            self._timeout_estimator.note_timeout()
            self._answered = False
            raise
        self._check_incarnation(reply)
        self._answered = True
        took_s = self._loop.time() - sent_at
        if took_s >= wait_s:
            # An earlier answer was sent when a run ended, so the network delay is unknown.
            self._timeout_estimator.note_answer(took_s - wait_s)
        return reply

    def _acknowledged_safely(self) -> int:
        """Return the number to acknowledge in the next poll.

        A worker that did not answer the last poll may have restarted. Its numbers of ends start
        again, so the known number could acknowledge ends that nobody has seen. The worker repeats
        only what is not acknowledged yet.
        """
        return self.acknowledged if self._answered or not self.born_ms else 0

    def _check_incarnation(self, reply: HoldReply) -> None:
        sighting = compare_incarnation(reply.born_ms, known_ms=self.born_ms)
        if sighting is Sighting.NEWER:
            raise WorkerRestartedError(reply.born_ms)
        if sighting is Sighting.OLDER:
            raise WorkerCallError(f"hold: response of the earlier incarnation {reply.born_ms}")
        if self.born_ms is None:
            self.born_ms = reply.born_ms

    def _lease_deadline_ms(self) -> int | None:
        """Return the next lease deadline on the worker's clock; None if that clock is unknown."""
        if not self.clock.is_known():
            return None
        self._note_lease(self._limits.max_lease_s)
        return int(self.clock.lower_bound_ms() + self._limits.max_lease_s * 1000)
