"""The calls to one worker: under which token, for how long, and when they count as lost."""

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

# Seconds a worker waits for an end before it answers a hold. A take-over takes about 0.55 s from
# the owner's last heartbeat, so a lease of 1 s must not be older than 0.45 s at that moment.
HOLD_WAIT_S = 0.25
# A start that has not been carried out by then, on the worker's clock, never will be: the worker
# refuses it as late. This bounds how long an unanswered start leaves a task in doubt.
START_VALID_MS = 400


class WorkerCalls:
    """Gives orders to one worker under a fencing token, and remembers the leases it asked for.

    :ivar fence: token of all orders from now on.
    :ivar acknowledged: number of the last end that the worker need not tell again.
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
        self._answers = AnswerTimeoutEstimator()
        self._lapses_at = 0.0
        self._loop = asyncio.get_running_loop()

    def answer_timeout_s(self) -> float:
        """Return after how many seconds without an answer a call is taken for lost."""
        return self._answers.answer_timeout_s()

    def has_lapsed(self) -> bool:
        """Return whether no lease that was ever asked for can still be valid."""
        return self._loop.time() > self._lapses_at

    async def start(self, run: Run, spec: str) -> StartReply:
        """Order a run that begins soon or never."""
        run.start_deadline_ms = int(self.clock.lower_bound_ms() + START_VALID_MS)
        order = StartOrder(
            task=run.task,
            run=run.number,
            spec=spec,
            deadline_ms=run.start_deadline_ms,
            fence=self.fence,
        )
        sent_at = self._loop.time()
        reply = await self._client.start(self._info, order, timeout_s=START_VALID_MS / 1000)
        self._answers.note(self._loop.time() - sent_at)
        if reply.clock_ms is not None:
            self.clock.update(reply.clock_ms)
        return reply

    async def stop(self, task: TaskId, number: int) -> None:
        """Order the end of a run; one that has not begun is refused from then on."""
        await self._client.stop(
            self._info, task=task, run=number, fence=self.fence, timeout_s=MAX_ANSWER_TIMEOUT_S
        )

    async def hold(
        self, *, extend: bool, wait_s: float = 0.0, answer_timeout_s: float = MAX_ANSWER_TIMEOUT_S
    ) -> HoldReply:
        """Ask what runs and what ended.

        :param extend: extend the lease of everything that runs there.
        :param wait_s: how long the worker may wait for an end before it answers.
        :param answer_timeout_s: how long its answer may take beyond that.
        """
        sent_at = self._loop.time()
        try:
            reply = await self._client.hold(
                self._info,
                fence=self.fence,
                acknowledged=self.acknowledged,
                deadline_ms=self._lease_deadline() if extend else None,
                wait_s=wait_s,
                timeout_s=wait_s + answer_timeout_s,
            )
        except WorkerCallError:
            self._answers.note_timeout()
            raise
        took_s = self._loop.time() - sent_at
        if took_s >= wait_s:
            # One that came earlier was sent when a run ended, and says nothing of the way.
            self._answers.note(took_s - wait_s)
        return reply

    def _lease_deadline(self) -> int | None:
        """Return until when everything there may run, on the worker's clock, if that is known."""
        if not self.clock.is_known():
            return None
        lease_s = self._limits.max_lease_s
        slack_s = lease_s * MAX_CLOCK_DRIFT_RATE + self._limits.thaw_slack_s
        self._lapses_at = max(self._lapses_at, self._loop.time() + lease_s + slack_s)
        return int(self.clock.lower_bound_ms() + lease_s * 1000)
