"""Jobs of the callers of one entry, and the owners that they were submitted to."""

from __future__ import annotations

import abc
import asyncio
import itertools
import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._caller_timeouts import entry_answer_by_s, owner_answer_by_s
from zincwell.dispatch._cancelled_jobs import ANY_CELL, CancelledJob, CancelledJobs
from zincwell.dispatch._former_owners import FormerOwners
from zincwell.dispatch._loop_ticks import LoopTicks
from zincwell.dispatch._messages import Cancel, JobEnded, Submit
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import EntryInfo, JobRequest, Outcome, Verdict
from zincwell.dispatch.decisions import ANSWER_EXPIRY_OBJECTIVES

log = logging.getLogger("zincwell.callers")

# Interval at which waiting jobs without a live owner are reviewed.
REVIEW_INTERVAL_S = 0.05
# A job without an answer is submitted to its owner again after this time.
RESUBMIT_AFTER_S = 1.5
# A cell whose owner is silent for this long is expected to stay without an owner, and its waiting
# jobs are given up. A failover takes 0.55 s to 0.8 s.
OWNER_LOST_S = 1.2
# Jobs that were taken back from a silent owner are submitted to it again once it was heard within
# this time, three heartbeats.
HEARD_WITHIN_S = 0.3
# A job that was not sent to an owner that is silent for this long may go to another cell. Owners
# send reports every 0.2 s, so the reports of other cells are up to 0.3 s old in normal operation.
REROUTE_UNSENT_AFTER_S = 0.45
# Advertised to callers of jobs that are given up.
RETRY_AFTER_S = 1.0
# Maximum number of other cells that a refused job is submitted to, one after the other.
MAX_FORWARDS = 2


class OwnerChannel(abc.ABC):
    """Transport of jobs to the owners of the cells."""

    @abc.abstractmethod
    def home_cell(self) -> str:
        """Return the name of the home cell."""

    @abc.abstractmethod
    def choose_cell(self, request: JobRequest, *, refused_by: Collection[str]) -> str | None:
        """Return the cell for a job, None if every cell that would accept it has refused it."""

    @abc.abstractmethod
    def fence(self, cell: str) -> int:
        """Return the fencing token of a cell's owner, 0 if no owner is known."""

    @abc.abstractmethod
    def silence_s(self, cell: str) -> float:
        """Return the time since a cell's owner was last heard, in seconds."""

    @abc.abstractmethod
    def submit(self, cell: str, message: Submit) -> None:
        """Submit a job to the owner of a cell."""

    @abc.abstractmethod
    def cancel(self, cell: str, message: Cancel) -> None:
        """Cancel a job at the owner of a cell."""

    @abc.abstractmethod
    def cells(self) -> list[str]:
        """Return the names of all cells."""

    @abc.abstractmethod
    def owner(self, cell: str) -> EntryInfo | None:
        """Return the owner of a cell, None if none is known."""

    @abc.abstractmethod
    def end_term(self, owner: EntryInfo) -> bool:
        """Tell the owner of a dissolved cell the layout; return whether its term has ended.

        Otherwise `PendingJobTracker.note_term_ended` is called once it has.
        """

    @abc.abstractmethod
    def withdraw_job(self, cell: str, job_id: str) -> bool:
        """Remove a job from the queue to the owner of a cell; return False if it was sent."""

    @abc.abstractmethod
    def withdraw_blocked_jobs(self, cell: str) -> set[str]:
        """Remove the jobs queued behind a failed delivery to the owner of a cell.

        Return their ids. They were never sent.
        """


@dataclass(slots=True, kw_only=True, eq=False)
class PendingJob:
    """A job whose callers wait at this entry.

    Its tasks run in one cell only: it moves to another cell only if its owner has refused it or
    was never sent the job, if the layout has dissolved the cell, or if another cell has the job
    from an earlier submission of its caller.

    :param arrived_at: event loop time of the first caller's request.
    :param sent_since: earliest time at which it can have been sent, by the entry's clock.
    :param attempt: number of the callers' attempt, unique among those of this process.
    :param cell: cell whose owner has the job, or will get it.
    :param refused_by: cells whose owners have refused it.
    :param waiters: one future for each waiting caller, in order of their calls.
    :param done: finished tasks, as pairs of step and index.
    :param owner: owner that it was last submitted to.
    :param submitted_fence: fencing token of the owner that it was submitted to, 0 if none.
    :param submitted_at: event loop time of the last submission.
    :param resubmitted: whether it was submitted to that owner more than once.
    :param possibly_started: whether an earlier submission may have started tasks of it.
    :param moved: whether tasks of it may run on workers of any cell; see `Submit.moved`.
    """

    request: JobRequest
    arrived_at: float
    sent_since: float
    attempt: int
    cell: str
    refused_by: set[str] = field(default_factory=set)
    waiters: dict[asyncio.Future[Outcome], None] = field(default_factory=dict)
    done: set[tuple[int, int]] = field(default_factory=set)
    owner: EntryInfo | None = None
    submitted_fence: int = 0
    submitted_at: float = 0.0
    resubmitted: bool = False
    possibly_started: bool = False
    moved: bool = False


class PendingJobTracker:
    """Tracks each caller's job until its outcome is known, across changes of the owner.

    Only the owner that has the job can confirm that nothing was started. Once an owner that had
    the job is lost, a job that is not answered by a later owner has an unknown outcome.

    :param clock: clock of this entry, including time during which the VM was suspended; by default
        that of the event loop.
    :ivar ticks: tells how long a request may have waited before it was read.
    """

    def __init__(
        self, *, channel: OwnerChannel, metrics: Metrics, clock: Callable[[], float] | None = None
    ) -> None:
        self._channel = channel
        self._metrics = metrics
        self._pending_by_id: dict[str, PendingJob] = {}
        self._attempts = itertools.count(1)
        self._cancelled = CancelledJobs()
        self._former_owners = FormerOwners()
        self._loop = asyncio.get_running_loop()
        self._clock = clock or self._loop.time
        self.ticks = LoopTicks(clock=self._clock)
        self._tasks = BackgroundTasks()
        self._tasks.keep_running(self._review_forever, name="callers")

    def close(self) -> None:
        """Stop reviewing waiting jobs."""
        self._tasks.close()

    def count(self) -> int:
        """Return the number of jobs that wait for an answer."""
        return len(self._pending_by_id)

    async def run(
        self,
        request: JobRequest,
        *,
        arrived_at: float | None = None,
        sent_since: float | None = None,
    ) -> Outcome:
        """Submit a job and wait for its outcome, at most as long as its caller waits.

        The task is cancelled when the caller disconnects. Without other callers, the job is then
        cancelled at its owner.

        :param arrived_at: event loop time at which the caller's request was read, by default now.
        :param sent_since: earliest time at which it can have been sent, by the entry's clock; by
            default when it was read.
        """
        if arrived_at is None:
            arrived_at = self._loop.time()
        if sent_since is None:
            sent_since = self._clock() - (self._loop.time() - arrived_at)
        pending = self._pending_by_id.get(request.id)
        if pending is None:
            self._cancelled.forget(request.id)
            cell = self._channel.choose_cell(request, refused_by=()) or self._channel.home_cell()
            pending = PendingJob(
                request=request,
                arrived_at=arrived_at,
                sent_since=sent_since,
                attempt=next(self._attempts),
                cell=cell,
            )
            pending.moved = pending.possibly_started = self._former_owners.may_run(request.id)
            self._pending_by_id[request.id] = pending
            self._submit(pending)
        waiter: asyncio.Future[Outcome] = self._loop.create_future()
        pending.waiters[waiter] = None
        timer: asyncio.TimerHandle | None = None
        if request.timeout_ms:
            answer_by = arrived_at + entry_answer_by_s(request)
            timer = self._loop.call_at(answer_by, self._end_wait, pending, waiter)
        try:
            return await waiter
        finally:
            if timer is not None:
                timer.cancel()
            pending.waiters.pop(waiter, None)
            if not waiter.done() or waiter.cancelled():
                self._handle_disconnect(pending)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job on request of its caller; return False if it is not tracked here.

        A job that is not tracked here may have been submitted through another entry, so the owners
        of all cells are told.
        """
        pending = self._pending_by_id.get(job_id)
        if pending is None:
            self._cancel_at_owner(job_id, ANY_CELL, by_request=True)
            return False
        self._cancel_at_owner(job_id, pending.cell, by_request=True)
        self.resolve(job_id, Outcome(verdict=Verdict.CANCELLED))
        return True

    def _cancel_at_owner(self, job_id: str, cell: str, *, by_request: bool = False) -> None:
        """Cancel a job at the owner of its cell, and remember it for later owners.

        The owner may fail or be replaced before it has stopped the runs, and a later owner may get
        the job from another entry or may have it from an earlier term.
        """
        now = self._loop.time()
        job = CancelledJob(id=job_id, cell=cell, cancelled_at=now, by_request=by_request)
        self._cancelled.add(job, now=now)
        for name in self._channel.cells() if cell == ANY_CELL else [cell]:
            self._channel.cancel(name, Cancel(job=job_id, by_request=by_request))

    def _report_cancelled(self, cell: str) -> None:
        """Report the recently cancelled jobs to the new owner of a cell."""
        now = self._loop.time()
        for job in self._cancelled.jobs_of_cell(cell, now=now):
            age_s = now - job.cancelled_at
            self._channel.cancel(cell, Cancel(job=job.id, age_s=age_s, by_request=job.by_request))

    def is_pending(self, job_id: str) -> bool:
        """Return whether a caller of the job waits at this entry."""
        return job_id in self._pending_by_id

    def handle_answer(self, message: JobEnded) -> None:
        """Process an owner's answer.

        Success and failure are final, whichever owner reports them. Any other verdict counts only
        if it comes from the owner that has the job, and answers the present attempt: otherwise the
        job may run under a later owner, or since a caller has sent it again.
        """
        pending = self._pending_by_id.get(message.job)
        if pending is None:
            return
        verdict = message.outcome.verdict
        is_earlier = message.attempt not in (0, pending.attempt)
        if is_earlier or message.fence != pending.submitted_fence:
            if verdict in (Verdict.SUCCEEDED, Verdict.FAILED):
                self.resolve(message.job, message.outcome)
            return
        ends_uncertain = verdict in (Verdict.REFUSED, Verdict.UNKNOWN)
        if ends_uncertain and self._former_owners.holds(message.job):
            self._handle_former_end(pending, verdict)
            return
        if message.running_in and message.running_in in self._channel.cells():
            self._follow_job(pending, message.running_in)
            return
        if verdict is Verdict.REFUSED:
            self._mark_refusal_uncertain(pending)
            if not message.shared and self._has_time_left(pending) and self._forward(pending):
                return
        if verdict is Verdict.CANCELLED:
            # On request of a caller of another entry. If that entry fails, this one still tells
            # the next owner.
            now = self._loop.time()
            self._cancelled.add(
                CancelledJob(id=message.job, cell=pending.cell, cancelled_at=now, by_request=True),
                now=now,
            )
        self.resolve(message.job, message.outcome)

    def _handle_former_end(self, pending: PendingJob, verdict: Verdict) -> None:
        """Submit a job to its new cell, since its former owner has ended it."""
        if verdict is Verdict.REFUSED and not pending.resubmitted:
            # No task of it was started.
            self._former_owners.forget(pending.request.id)
            pending.submitted_fence, pending.moved = 0, pending.possibly_started
        else:
            self._former_owners.note_job_ended(pending.request.id, now=self._loop.time())
        self._submit(pending)

    def _follow_job(self, pending: PendingJob, cell: str) -> None:
        """Submit a job to the cell that has it already, by an earlier submission of its caller.

        If that cell has only runs of it left, other cells may have some as well.
        """
        self._metrics.count("jobs_redirected")
        pending.cell, pending.submitted_fence = cell, 0
        pending.possibly_started = pending.moved = True
        self._submit(pending)

    def _has_time_left(self, pending: PendingJob) -> bool:
        """Return whether an owner that gets the job now may still start it."""
        if not pending.request.timeout_ms:
            return True
        age_s = self._loop.time() - pending.arrived_at
        return age_s < owner_answer_by_s(pending.request)

    def _mark_refusal_uncertain(self, pending: PendingJob) -> None:
        """Don't treat a refusal as proof that nothing runs if the job was submitted again.

        The refusal may answer the first submission. The owner does not remember refused jobs, so
        it treats the second submission as a new job and may run it.
        """
        if pending.resubmitted:
            pending.possibly_started = True
            self._channel.cancel(pending.cell, Cancel(job=pending.request.id))

    def _forward(self, pending: PendingJob) -> bool:
        """Submit a refused job to another cell; return whether there is one.

        The owner that refused the job has started no task of it and never will. Must not be called
        for a job that a client's retry has brought to two entries: each entry would choose a cell
        of its own, and both cells might run the job.
        """
        pending.refused_by.add(pending.cell)
        if pending.possibly_started or len(pending.refused_by) > MAX_FORWARDS:
            return False
        cell = self._channel.choose_cell(pending.request, refused_by=pending.refused_by)
        if cell is None:
            return False
        self._metrics.count("jobs_passed_on")
        self._former_owners.forget(pending.request.id)
        pending.cell, pending.submitted_fence, pending.moved = cell, 0, False
        self._submit(pending)
        return True

    def resolve(self, job_id: str, outcome: Outcome) -> None:
        """Answer all callers of a job and stop tracking it."""
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

    def note_done(self, job_id: str, tasks: list[tuple[int, int]], *, fence: int = 0) -> None:
        """Record finished tasks, which must not run again after the loss of the owner.

        The present owner is told of what an earlier one reports. It would run these tasks again,
        since the worker forgets their ends.

        :param fence: fencing token of the owner that reports them, 0 if unknown.
        """
        pending = self._pending_by_id.get(job_id)
        if pending is None:
            return
        known = len(pending.done)
        pending.done.update(tuple(task) for task in tasks)
        is_news = len(pending.done) > known
        if is_news and fence and pending.submitted_fence not in (0, fence):
            self._submit(pending)

    def submit_pending(self, cell: str) -> None:
        """Submit all waiting jobs of a cell to its new owner."""
        fence = self._channel.fence(cell)
        for pending in self._pending_by_id.values():
            if pending.cell == cell and pending.submitted_fence != fence:
                self._submit(pending)
        self._report_cancelled(cell)

    def follow_layout(self) -> None:
        """Move the jobs of cells that a new layout has dissolved to the home cell.

        They may run on any worker until their leases expire. A cell that the layout keeps also
        keeps its owner, which goes on with its jobs.
        """
        cells = set(self._channel.cells())
        for pending in self._pending_by_id.values():
            if pending.cell not in cells:
                self._move_home(pending)
        for owner in self._former_owners.owners():
            if self._channel.end_term(owner):
                self.note_term_ended(owner.incarnation)
        self._cancelled.note_layout_change()

    def _move_home(self, pending: PendingJob) -> None:
        if pending.submitted_fence:
            self._former_owners.hold(pending.request.id, pending.owner, now=self._loop.time())
        pending.moved = bool(pending.submitted_fence) or pending.possibly_started
        home = self._channel.home_cell()
        self._metrics.count("jobs_moved")
        log.info(
            "job_moved job=%s from=%s to=%s submitted=%s exposed=%s",
            pending.request.id,
            pending.cell,
            home,
            bool(pending.submitted_fence),
            pending.possibly_started,
        )
        pending.cell = home

    def note_term_ended(self, incarnation: str) -> None:
        """Submit the jobs of the owner of a dissolved cell, whose term has ended, to their cells.

        :param incarnation: of the owner. Others may be named as well, and change nothing.
        """
        self._submit_released(
            self._former_owners.note_term_ended(incarnation, now=self._loop.time())
        )

    def _submit_released(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            pending = self._pending_by_id.get(job_id)
            if pending is not None:
                self._submit(pending)

    def note_unsent(self, job_ids: set[str]) -> None:
        """Mark jobs that were queued for an owner but never sent as not submitted.

        No owner can have started them, but as possibly started jobs they would wait for 1.4 s
        under the next owner. While an owner is silent, these are all jobs queued behind the first
        delivery that it does not acknowledge.
        """
        for job_id in job_ids:
            pending = self._pending_by_id.get(job_id)
            if pending is not None and not pending.resubmitted:
                pending.submitted_fence = 0
                self._former_owners.forget(job_id)
                pending.moved = pending.possibly_started and pending.moved
                self._choose_other_cell(pending)

    def _choose_other_cell(self, pending: PendingJob) -> None:
        """Submit a job that was never sent to another cell if that one is preferred now."""
        if pending.possibly_started or pending.submitted_fence:
            return
        cell = self._channel.choose_cell(pending.request, refused_by=pending.refused_by)
        if cell is not None and cell != pending.cell:
            pending.cell = cell
            self._submit(pending)

    def give_up_all(self) -> None:
        """Answer all remaining jobs before the process exits."""
        for pending in list(self._pending_by_id.values()):
            self._give_up(pending, "shutting down")

    def _submit(self, pending: PendingJob) -> None:
        fence = self._channel.fence(pending.cell)
        if not fence or self._former_owners.holds(pending.request.id):
            return
        pending.resubmitted = pending.submitted_fence == fence
        if pending.submitted_fence:
            pending.possibly_started = True
        pending.submitted_fence, pending.owner = fence, self._channel.owner(pending.cell)
        pending.submitted_at = self._loop.time()
        if pending.cell != self._channel.home_cell() or pending.resubmitted:
            log.info(
                "job_submitted job=%s cell=%s fence=%d owner=%s again=%s age_ms=%d",
                pending.request.id,
                pending.cell,
                fence,
                pending.owner.name if pending.owner is not None else "",
                pending.resubmitted,
                (pending.submitted_at - pending.arrived_at) * 1000,
            )
        age_s = self._loop.time() - pending.arrived_at
        self._channel.submit(
            pending.cell,
            Submit(
                job=pending.request,
                age_s=age_s,
                unsure_s=max(self._clock() - pending.sent_since - age_s, 0.0),
                exposed=pending.possibly_started,
                attempt=pending.attempt,
                done=sorted(pending.done),
                cell=pending.cell,
                moved=pending.moved,
                refused_by=sorted(pending.refused_by),
            ),
        )

    def _handle_disconnect(self, pending: PendingJob) -> None:
        if pending.waiters or self._pending_by_id.get(pending.request.id) is not pending:
            return
        self._metrics.count("callers_left")
        log.info("caller_left job=%s", pending.request.id)
        del self._pending_by_id[pending.request.id]
        if pending.submitted_fence or pending.possibly_started:
            self._cancel_at_owner(pending.request.id, pending.cell)

    def _give_up(self, pending: PendingJob, reason: str) -> None:
        """Answer the callers of a job without its owner, and cancel the job if it was sent."""
        self._withdraw_if_unsent(pending)
        # An unreachable owner that the job was sent to may have started it.
        verdict = Verdict.UNKNOWN if pending.submitted_fence else Verdict.REFUSED
        outcome = Outcome(verdict=verdict, reason=reason, retry_after_s=RETRY_AFTER_S)
        self.resolve(pending.request.id, outcome)
        if pending.submitted_fence or pending.possibly_started:
            # The submission may still be queued on the link to an unreachable owner. Delivered
            # later, the job would run in parallel with the caller's retry at another entry.
            self._cancel_at_owner(pending.request.id, pending.cell)

    def _withdraw_if_unsent(self, pending: PendingJob) -> None:
        """Mark a job as not submitted if it is still queued for its owner and was never sent."""
        if not pending.submitted_fence or pending.resubmitted:
            return
        if self._channel.withdraw_job(pending.cell, pending.request.id):
            pending.submitted_fence = 0

    def _end_wait(self, pending: PendingJob, waiter: asyncio.Future[Outcome]) -> None:
        """Answer a caller whose timeout ends with what is provable by now."""
        if waiter.done() or waiter not in pending.waiters:
            return
        self._metrics.count("callers_timed_out")
        reason = "no answer within the caller's timeout"
        if len(pending.waiters) == 1:
            self._give_up(pending, reason)
            return
        # The job goes on for the other callers, so it may run.
        pending.waiters.pop(waiter, None)
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=RETRY_AFTER_S)
        waiter.set_result(outcome)

    async def _review_forever(self) -> None:
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            self.ticks.note()
            self._submit_released(self._former_owners.release_overdue(now=self._loop.time()))
            self.resubmit(after_s=RESUBMIT_AFTER_S)
            self._reroute_from_silent_owners()
            for pending in list(self._pending_by_id.values()):
                if self._has_live_owner(pending.cell):
                    continue
                if self._loop.time() - pending.arrived_at > self._max_ownerless_wait_s(pending):
                    self._give_up(pending, "no owner of the pool is known")
                else:
                    self._choose_other_cell(pending)

    def _reroute_from_silent_owners(self) -> None:
        """Choose another cell for the jobs that were not yet sent to a silent owner.

        If there is no better cell, the jobs are submitted again once an owner is heard.
        """
        cells = {pending.cell for pending in self._pending_by_id.values()}
        silent = {cell for cell in cells if self._channel.silence_s(cell) > REROUTE_UNSENT_AFTER_S}
        if silent and len(self._channel.cells()) > 1:
            for cell in silent:
                self.note_unsent(self._channel.withdraw_blocked_jobs(cell))
        for pending in self._pending_by_id.values():
            if pending.submitted_fence or pending.cell in silent:
                continue
            if self._channel.silence_s(pending.cell) < HEARD_WITHIN_S:
                self._submit(pending)

    def _has_live_owner(self, cell: str) -> bool:
        heard = self._channel.silence_s(cell) < OWNER_LOST_S
        return heard and bool(self._channel.fence(cell))

    def resubmit(self, *, after_s: float) -> None:
        """Submit jobs again that their owner may not have received or may have forgotten.

        Messages queued for an owner are lost when ownership moves away and back, and the callers
        would wait in vain. For an owner that has the job, a repeated submission changes nothing.

        :param after_s: minimum time since the last submission in seconds.
        """
        now = self._loop.time()
        for pending in self._pending_by_id.values():
            if now - pending.submitted_at > after_s and self._has_live_owner(pending.cell):
                self._submit(pending)

    def resubmit_dropped(self, job_ids: Collection[str], *, owner: EntryInfo) -> None:
        """Submit jobs again that an owner has dropped, since they may have been late.

        It has accepted none of them, also at no earlier attempt of the same delivery.
        """
        for job_id in job_ids:
            pending = self._pending_by_id.get(job_id)
            if pending is None or pending.owner is None:
                continue
            if pending.owner.incarnation != owner.incarnation:
                continue
            if not pending.resubmitted:
                pending.submitted_fence = 0
            self._submit(pending)

    def _max_ownerless_wait_s(self, pending: PendingJob) -> float:
        """Return how long a job may wait without an owner, in seconds.

        While a failover may be in progress, the job waits as long as an answer slightly past its
        objective is still possible, like a job that waits for free capacity. After that, the limit
        is a quarter of its objective.
        """
        slo_s = pending.request.slo_s()
        if self._channel.silence_s(pending.cell) < OWNER_LOST_S:
            return slo_s * ANSWER_EXPIRY_OBJECTIVES - pending.request.critical_path_ms() / 1000
        return max(REVIEW_INTERVAL_S, slo_s / 4)
