"""Calls to one worker, with fencing token, lease deadlines and answer timeouts."""

from __future__ import annotations

import asyncio

from zincwell.dispatch._clocks import MAX_CLOCK_DRIFT_RATE, WorkerClock
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import Limits, TaskId, WorkerInfo
from zincwell.dispatch.decisions import MAX_ANSWER_TIMEOUT_S, AnswerTimeoutEstimator
from zincwell.dispatch.ports import (
    HoldReply,
    StartOrder,
    StartReply,
    WorkerCallError,
    WorkerClient,
)

# How long a worker with runs keeps a hold call open while none of them ends. A take-over completes
# about 0.55 s after the owner's last heartbeat, so a lease of 1 s must be at most 0.45 s old then.
HOLD_WAIT_S = 0.25
# Validity of a start order on the worker's clock. The worker refuses it afterwards, which bounds
# how long the outcome of an unanswered start is unknown.
START_VALIDITY_MS = 400


class WorkerCalls:
    """Sends orders to one worker under a fencing token and tracks the requested leases.

    :ivar fence: fencing token of all further calls.
    :ivar acknowledged: sequence number of the last ended run that the worker need not report again.
    """

    def __init__(
        self, *, info: WorkerInfo, client: WorkerClient, fence: int, limits: Limits
    ) -> None:
        self.fence = fence
        self.acknowledged = 0
        self.clock = WorkerClock()
        self._info = info
        self._client = client
        self._limits = limits
        self._timeout_estimator = AnswerTimeoutEstimator()
        self._leases_expire_at = 0.0
        self._loop = asyncio.get_running_loop()

    def answer_timeout_s(self) -> float:
        """Return the time in seconds after which an unanswered call counts as lost."""
        return self._timeout_estimator.answer_timeout_s()

    def have_leases_expired(self) -> bool:
        """Return whether every lease that was requested has certainly expired."""
        return self._loop.time() > self._leases_expire_at

    async def start(self, run: Run, spec: str) -> StartReply:
        """Order a run, which the worker refuses if the order arrives past its deadline."""
        run.start_deadline_ms = int(self.clock.lower_bound_ms() + START_VALIDITY_MS)
        order = StartOrder(
            task=run.task,
            run=run.number,
            spec=spec,
            deadline_ms=run.start_deadline_ms,
            fence=self.fence,
        )
        sent_at = self._loop.time()
        reply = await self._client.start(self._info, order, timeout_s=START_VALIDITY_MS / 1000)
        self._timeout_estimator.note_answer(self._loop.time() - sent_at)
        if reply.clock_ms is not None:
            self.clock.update(reply.clock_ms)
        return reply

    async def stop(self, task: TaskId, number: int) -> None:
        """Stop a run. If it has not started, the worker refuses it from then on."""
        await self._client.stop(
            self._info, task=task, run=number, fence=self.fence, timeout_s=MAX_ANSWER_TIMEOUT_S
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
        """
        sent_at = self._loop.time()
        try:
            reply = await self._client.hold(
                self._info,
                fence=self.fence,
                acknowledged=self.acknowledged,
                deadline_ms=self._lease_deadline_ms() if renew_leases else None,
                wait_s=wait_s,
                timeout_s=wait_s + answer_timeout_s,
            )
        except WorkerCallError:
            self._timeout_estimator.note_timeout()
            raise
        took_s = self._loop.time() - sent_at
        if took_s >= wait_s:
            # An earlier answer was sent when a run ended, so the network delay is unknown.
            self._timeout_estimator.note_answer(took_s - wait_s)
        return reply

    def _lease_deadline_ms(self) -> int | None:
        """Return the next lease deadline on the worker's clock; None if that clock is unknown."""
        if not self.clock.is_known():
            return None
        lease_s = self._limits.max_lease_s
        slack_s = lease_s * MAX_CLOCK_DRIFT_RATE + self._limits.thaw_slack_s
        self._leases_expire_at = max(self._leases_expire_at, self._loop.time() + lease_s + slack_s)
        return int(self.clock.lower_bound_ms() + lease_s * 1000)
