"""The entry's side of jobs: callers that wait, and the owners that their jobs were handed to."""

from __future__ import annotations

import abc
import asyncio
import logging
from collections.abc import Collection
from dataclasses import dataclass, field

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._messages import Cancel, JobEnded, Submit
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import JobRequest, Outcome, Verdict
from zincwell.dispatch.decisions import ANSWER_EXPIRY_OBJECTIVES

log = logging.getLogger("zincwell.callers")

# How often waiting jobs are looked at while no owner is known, in seconds.
REVIEW_S = 0.05
# A job without an answer is handed to its owner again this often, in seconds.
HAND_AGAIN_S = 1.5
# Without an owner for this long, jobs get their final answer. A take-over takes 0.55 s to 0.8 s.
OWNERLESS_S = 1.2
# Coming back is worth a try after this many seconds.
RETRY_AFTER_S = 1.0
# A job that an owner refused is handed to this many other cells, one after the other.
MAX_PASSES = 2


class OwnerChannel(abc.ABC):
    """The way to the owners of the cells."""

    @abc.abstractmethod
    def home(self) -> str:
        """Return the name of the own cell."""

    @abc.abstractmethod
    def choose_cell(self, request: JobRequest, *, refused_by: Collection[str]) -> str | None:
        """Return the cell that a job should go to, None if all that would take it refused it."""

    @abc.abstractmethod
    def fence(self, cell: str) -> int:
        """Return the fencing token of a cell's owner, 0 if none is known."""

    @abc.abstractmethod
    def silence_s(self, cell: str) -> float:
        """Return for how long no owner of a cell was heard."""

    @abc.abstractmethod
    def submit(self, cell: str, message: Submit) -> None:
        """Hand a job to the owner of a cell."""

    @abc.abstractmethod
    def cancel(self, cell: str, message: Cancel) -> None:
        """Tell the owner of a cell that nobody waits for a job."""


@dataclass(slots=True, kw_only=True, eq=False)
class PendingJob:
    """A job whose callers wait here.

    Its tasks run in one cell only: it goes to another one if the owner that has it has refused it,
    or if it was never sent.

    :param cell: cell to whose owner it was handed, or will be.
    :param refused_by: cells whose owners have refused it.
    :param handed_fence: fencing token of the owner that has it, 0 if none.
    :param handed_again: it was handed to that owner more than once.
    :param possibly_started: an owner has had it and may have started tasks of it.
    """

    request: JobRequest
    arrived_at: float
    cell: str
    refused_by: set[str] = field(default_factory=set)
    waiters: set[asyncio.Future[Outcome]] = field(default_factory=set)
    done: set[tuple[int, int]] = field(default_factory=set)
    handed_fence: int = 0
    handed_at: float = 0.0
    handed_again: bool = False
    possibly_started: bool = False


class PendingJobTracker:
    """Keeps each caller's job until its answer is known, across changes of the owner.

    Only an answer of the owner that has the job can say that nothing was started; when an owner
    that had the job is lost, the most that can be said is that the outcome is unknown.
    """

    def __init__(self, *, channel: OwnerChannel, metrics: Metrics) -> None:
        self._channel = channel
        self._metrics = metrics
        self._pending_by_id: dict[str, PendingJob] = {}
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._review_forever())

    def close(self) -> None:
        """Stop looking after waiting jobs."""
        self._tasks.close()

    def count(self) -> int:
        """Return how many jobs wait for an answer."""
        return len(self._pending_by_id)

    async def run(self, request: JobRequest) -> Outcome:
        """Hand a job in and wait for its answer.

        Cancelled when the caller leaves; the owner is then told that nobody waits.
        """
        pending = self._pending_by_id.get(request.id)
        if pending is None:
            cell = self._channel.choose_cell(request, refused_by=()) or self._channel.home()
            pending = PendingJob(request=request, arrived_at=self._loop.time(), cell=cell)
            self._pending_by_id[request.id] = pending
            self._hand(pending)
        waiter: asyncio.Future[Outcome] = self._loop.create_future()
        pending.waiters.add(waiter)
        try:
            return await waiter
        finally:
            pending.waiters.discard(waiter)
            if not waiter.done() or waiter.cancelled():
                self._leave(pending)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job for its caller; False if no caller of it waits here."""
        pending = self._pending_by_id.get(job_id)
        if pending is None:
            return False
        self._channel.cancel(pending.cell, Cancel(job=job_id))
        self.settle(job_id, Outcome(verdict=Verdict.CANCELLED))
        return True

    def is_pending(self, job_id: str) -> bool:
        """Return whether a caller of the job waits here."""
        return job_id in self._pending_by_id

    def handle_answer(self, message: JobEnded) -> None:
        """Take an owner's answer.

        That a job has ended holds whoever says it. That it was refused, stopped or given up holds
        only if the owner that has it says so; the job may run under a later owner.
        """
        pending = self._pending_by_id.get(message.job)
        if pending is None:
            return
        verdict = message.outcome.verdict
        if message.fence != pending.handed_fence:
            if verdict in (Verdict.SUCCEEDED, Verdict.FAILED):
                self.settle(message.job, message.outcome)
            return
        if verdict is Verdict.REFUSED:
            self._doubt_refusal(pending)
            if not message.shared and self._pass_on(pending):
                return
        self.settle(message.job, message.outcome)

    def _doubt_refusal(self, pending: PendingJob) -> None:
        """Don't take a refusal for the last word if the job was handed in again.

        The refusal may answer the first handing, and the owner, which has forgotten the job by
        then, takes the second one for a new job and runs it.
        """
        if pending.handed_again:
            pending.possibly_started = True
            self._channel.cancel(pending.cell, Cancel(job=pending.request.id))

    def _pass_on(self, pending: PendingJob) -> bool:
        """Hand a job that was refused to another cell; return whether there is one.

        The owner that refused it has started nothing of it and never will. A job that a resend has
        brought to two entries stays: each would choose a cell, and both might run it.
        """
        pending.refused_by.add(pending.cell)
        if pending.possibly_started or len(pending.refused_by) > MAX_PASSES:
            return False
        cell = self._channel.choose_cell(pending.request, refused_by=pending.refused_by)
        if cell is None:
            return False
        self._metrics.count("jobs_passed_on")
        pending.cell, pending.handed_fence = cell, 0
        self._hand(pending)
        return True

    def settle(self, job_id: str, outcome: Outcome) -> None:
        """Answer all callers of a job."""
        pending = self._pending_by_id.pop(job_id, None)
        if pending is None:
            return
        if outcome.verdict is Verdict.REFUSED and pending.possibly_started:
            outcome = Outcome(
                verdict=Verdict.UNKNOWN,
                reason=outcome.reason,
                retry_after_s=outcome.retry_after_s,
            )
        labels = f'route="{pending.request.route}",verdict="{outcome.verdict}"'
        self._metrics.record("response", self._loop.time() - pending.arrived_at, labels)
        log.info(
            'answered job=%s verdict=%s reason="%s" after_ms=%d',
            job_id,
            outcome.verdict,
            outcome.reason,
            (self._loop.time() - pending.arrived_at) * 1000,
        )
        for waiter in pending.waiters:
            if not waiter.done():
                waiter.set_result(outcome)

    def note_done(self, job_id: str, tasks: list[tuple[int, int]]) -> None:
        """Remember tasks that need not run again should the owner be lost."""
        pending = self._pending_by_id.get(job_id)
        if pending is not None:
            pending.done.update(tuple(task) for task in tasks)

    def submit_pending(self, cell: str) -> None:
        """Hand all waiting jobs of a cell to its owner that has just become known."""
        fence = self._channel.fence(cell)
        for pending in self._pending_by_id.values():
            if pending.cell == cell and pending.handed_fence != fence:
                self._hand(pending)

    def reassign_to_home_cell(self) -> None:
        """Keep all jobs for the own cell, as the cells are others now.

        Those that were handed to an owner may run anywhere until their leases have lapsed.
        """
        for pending in self._pending_by_id.values():
            pending.cell = self._channel.home()

    def note_unsent(self, job_ids: set[str]) -> None:
        """Take note of jobs that never left for the owner that they were handed to.

        Nobody can have started them. Counted as possibly started, they would wait for 1.4 s under
        the next owner. While an owner is silent, whatever comes after the first delivery that it
        does not acknowledge is such a job.
        """
        for job_id in job_ids:
            pending = self._pending_by_id.get(job_id)
            if pending is not None and not pending.handed_again:
                pending.handed_fence = 0
                self._choose_again(pending)

    def _choose_again(self, pending: PendingJob) -> None:
        """Hand a job that was never sent to the cell that takes it now."""
        if pending.possibly_started or pending.handed_fence:
            return
        cell = self._channel.choose_cell(pending.request, refused_by=pending.refused_by)
        if cell is not None and cell != pending.cell:
            pending.cell = cell
            self._hand(pending)

    def give_up_all(self) -> None:
        """Answer everything that still waits, before the process ends."""
        for pending in list(self._pending_by_id.values()):
            self._give_up(pending, "shutting down")

    def _hand(self, pending: PendingJob) -> None:
        fence = self._channel.fence(pending.cell)
        if not fence:
            return
        pending.handed_again = pending.handed_fence == fence
        if pending.handed_fence:
            pending.possibly_started = True
        pending.handed_fence = fence
        pending.handed_at = self._loop.time()
        self._channel.submit(
            pending.cell,
            Submit(
                job=pending.request,
                age_s=self._loop.time() - pending.arrived_at,
                exposed=pending.possibly_started,
                done=sorted(pending.done),
            ),
        )

    def _leave(self, pending: PendingJob) -> None:
        if pending.waiters or self._pending_by_id.get(pending.request.id) is not pending:
            return
        self._metrics.count("callers_left")
        log.info("caller_left job=%s", pending.request.id)
        del self._pending_by_id[pending.request.id]
        if pending.handed_fence:
            self._channel.cancel(pending.cell, Cancel(job=pending.request.id))

    def _give_up(self, pending: PendingJob, reason: str) -> None:
        # Once handed over, an owner that can't be asked may have started it.
        verdict = Verdict.UNKNOWN if pending.handed_fence else Verdict.REFUSED
        outcome = Outcome(verdict=verdict, reason=reason, retry_after_s=RETRY_AFTER_S)
        self.settle(pending.request.id, outcome)
        if pending.handed_fence:
            # It may still wait in the link to an owner that can't be reached. Started there once
            # it can, it would run beside what the caller has sent again elsewhere.
            self._channel.cancel(pending.cell, Cancel(job=pending.request.id))

    async def _review_forever(self) -> None:
        while True:
            await asyncio.sleep(REVIEW_S)
            self.resubmit(after_s=HAND_AGAIN_S)
            for pending in list(self._pending_by_id.values()):
                if self._is_heard(pending.cell):
                    continue
                if self._loop.time() - pending.arrived_at > self._patience_s(pending):
                    self._give_up(pending, "no owner of the pool is known")
                else:
                    self._choose_again(pending)

    def _is_heard(self, cell: str) -> bool:
        heard = self._channel.silence_s(cell) < OWNERLESS_S
        return heard and bool(self._channel.fence(cell))

    def resubmit(self, *, after_s: float) -> None:
        """Hand jobs in once more that their owner may not know (any more).

        :param after_s: only those that were handed in longer ago.

        A message that was queued for an owner is lost with a change of owners and back, and the
        caller would wait in vain. To an owner that has the job, the repetition changes nothing.
        """
        now = self._loop.time()
        for pending in self._pending_by_id.values():
            if now - pending.handed_at > after_s and self._is_heard(pending.cell):
                self._hand(pending)

    def _patience_s(self, pending: PendingJob) -> float:
        """Return how long a job may wait without an owner.

        While a take-over may be under way, as long as an answer that is a little late can still
        come, as for a job that waits for room; without an owner for longer, a quarter of its
        objective.
        """
        slo_s = pending.request.slo_s()
        if self._channel.silence_s(pending.cell) < OWNERLESS_S:
            return slo_s * ANSWER_EXPIRY_OBJECTIVES - pending.request.critical_path_ms() / 1000
        return max(REVIEW_S, slo_s / 4)
