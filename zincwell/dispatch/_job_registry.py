"""The open jobs of an owner and the answers to recently ended ones."""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections.abc import Callable, Collection, Mapping

from zincwell.dispatch._caller_timeouts import owner_answer_by_s
from zincwell.dispatch._cancelled_jobs import CancelledJob, CancelledJobs
from zincwell.dispatch._jobs import AnswerCache, Job
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import JobRequest, Outcome, Verdict
from zincwell.dispatch.decisions import JobTimes

log = logging.getLogger("zincwell.owner")

# A request that may have waited for longer before its entry read it counts as read late: its caller
# may have sent it elsewhere, or cancelled it.
READ_LATE_S = 0.3
# Retry delay that refused callers are given by default.
RETRY_AFTER_S = 1.0


class JobRegistry:
    """Opens and ends jobs and reports the outcomes to the waiting entries.

    :param on_ended: called with each ended job, to stop its remaining runs.
    :param answer: called with a job's id, the attempts of the entries that wait for it by entry,
        and its outcome.
    :param clock: clock of this entry, including time during which the VM was suspended.
    """

    def __init__(
        self,
        *,
        on_ended: Callable[[Job], None],
        answer: Callable[[str, Mapping[str, int], Outcome], None],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.jobs_by_id: dict[str, Job] = {}
        self._on_ended = on_ended
        self._answer = answer
        self._answers = AnswerCache()
        self._cancelled = CancelledJobs()
        # Heap of `Job.answer_by` and job id, for each submission of a job whose caller has stated
        # its timeout.
        self._timeouts: list[tuple[float, str]] = []
        self._metrics = metrics
        self._clock = clock
        self._loop = asyncio.get_running_loop()

    def open(
        self,
        request: JobRequest,
        *,
        entry: str,
        age_s: float,
        possibly_started: bool,
        moved: bool = False,
        may_be_resent: bool = False,
        delay_s: float = 0.0,
        unsure_s: float = 0.0,
        refused_by: Collection[str] = (),
        attempt: int = 0,
    ) -> Job | None:
        """Open a job and return it.

        Return None if the job is open already, so that the entry waits as well, or if it was
        answered or cancelled, so that the entry gets that answer.

        :param may_be_resent: see `Job.may_be_resent`.
        :param delay_s: how long the submission was on its way, in seconds.
        :param unsure_s: how long the request may have waited before its entry read it, in seconds.
        :param refused_by: names of the cells that have refused it.
        :param attempt: see `Submit.attempt`.
        """
        now = self._loop.time()
        requested_at = now - age_s - delay_s
        read_late = unsure_s > READ_LATE_S
        answer = self._answers.get(request.id)
        if answer is not None:
            log.info("answered_again job=%s entry=%s verdict=%s", request.id, entry, answer.verdict)
            self._answer(request.id, {entry: attempt}, answer)
            return None
        cancelled = self._cancelled.get(request.id, now=now)
        sent_since = requested_at - unsure_s if read_late else requested_at
        if cancelled is not None and cancelled.by_request and sent_since < cancelled.cancelled_at:
            # The submission is older than the cancellation, for instance a retry through another
            # entry that was delayed on its way.
            log.info("cancelled_before job=%s entry=%s", request.id, entry)
            self._answer(request.id, {entry: attempt}, Outcome(verdict=Verdict.CANCELLED))
            return None
        self._cancelled.forget(request.id)
        job = self.jobs_by_id.get(request.id)
        if job is not None:
            log.info("job_attached job=%s entry=%s", request.id, entry)
            self._note_submission(
                job, request, entry=entry, attempt=attempt, requested_at=requested_at
            )
            return None
        job = Job(
            request=request,
            arrived_at=now - age_s,
            possibly_started=possibly_started,
            moved=moved,
            may_be_resent=may_be_resent,
            accepted_at=now,
            times=self._times(age_s + delay_s + unsure_s),
            refused_by=frozenset(refused_by),
            read_late=read_late,
        )
        self.jobs_by_id[request.id] = job
        job.answer_by = -math.inf
        self._note_submission(job, request, entry=entry, attempt=attempt, requested_at=requested_at)
        return job

    def _times(self, age_s: float) -> JobTimes:
        """Return the times of a job that is accepted now, by its greatest possible age."""
        accepted_at = self._clock()
        return JobTimes(sent_since=accepted_at - age_s, accepted_at=accepted_at)

    def _note_submission(
        self, job: Job, request: JobRequest, *, entry: str, attempt: int, requested_at: float
    ) -> None:
        """Record that an entry has submitted the job, and how long its caller waits."""
        job.waiting_entries[entry] = self._loop.time()
        job.attempts_by_entry[entry] = attempt
        job.requested_at = max(job.requested_at, requested_at)
        if not request.timeout_ms:
            job.answer_by = math.inf
            return
        answer_by = requested_at + owner_answer_by_s(request)
        if answer_by > job.answer_by:
            job.answer_by = answer_by
            heapq.heappush(self._timeouts, (answer_by, request.id))

    def pop_unstarted_at_timeout(self, now: float) -> list[Job]:
        """Return the jobs without a started task whose callers stop waiting now, each once.

        Each submission of a job has a timeout of its own, and several may pass between two reviews.
        """
        due_by_id: dict[str, Job] = {}
        while self._timeouts and self._timeouts[0][0] <= now:
            _, job_id = heapq.heappop(self._timeouts)
            job = self.jobs_by_id.get(job_id)
            if job is not None and not job.started and job.answer_by <= now:
                due_by_id[job_id] = job
        return list(due_by_id.values())

    def end(self, job: Job, outcome: Outcome, *, remember: bool = True) -> None:
        """End a job and report its outcome.

        :param remember: cache the outcome for resubmissions.
        """
        del self.jobs_by_id[job.request.id]
        self._on_ended(job)
        if remember:
            self._answers.put(job.request.id, outcome, now=self._loop.time())
        labels = f'route="{job.request.route}",verdict="{outcome.verdict}"'
        self._metrics.count("jobs_ended", labels)
        log.info(
            'job_ended job=%s verdict=%s reason="%s" age_ms=%d slo_ms=%d',
            job.request.id,
            outcome.verdict,
            outcome.reason,
            (self._loop.time() - job.arrived_at) * 1000,
            job.slo_s * 1000,
        )
        if job.waiting_entries:
            self._answer(job.request.id, job.waiting_attempts(), outcome)

    def hand_over(self, job: Job) -> dict[str, int]:
        """Forget a job without runs that another cell has; return the attempts that wait for it."""
        del self.jobs_by_id[job.request.id]
        self._on_ended(job)
        return job.waiting_attempts()

    def refuse(self, job: Job, reason: str, *, retry_after_s: float = RETRY_AFTER_S) -> None:
        """End a job that this owner has not started, with a retry delay."""
        uncertain = job.possibly_started or job.may_be_resent
        verdict = Verdict.UNKNOWN if uncertain else Verdict.REFUSED
        outcome = Outcome(verdict=verdict, reason=reason, retry_after_s=retry_after_s)
        self.end(job, outcome, remember=False)

    def cancel(
        self, job_id: str, *, entry: str, age_s: float = 0.0, by_request: bool = False
    ) -> None:
        """Remove an entry from those that wait for a job, and end the job if none is left.

        :param age_s: time since the cancellation, in seconds.
        :param by_request: end the job for all entries, unless it was submitted after that.
        """
        now = self._loop.time()
        cancelled = CancelledJob(id=job_id, cancelled_at=now - age_s, by_request=by_request)
        job = self.jobs_by_id.get(job_id)
        if job is None:
            # If the callers of one entry are gone, a retry may still arrive from another entry.
            if by_request:
                self._cancelled.add(cancelled, now=now)
            return
        job.waiting_entries.pop(entry, None)
        for_all = by_request and job.requested_at < cancelled.cancelled_at
        if for_all or not job.waiting_entries:
            log.info("job_cancelled job=%s started=%s", job_id, job.started)
            self._cancelled.add(cancelled, now=now)
            self.end(job, Outcome(verdict=Verdict.CANCELLED), remember=False)

    def is_answered(self, job_id: str) -> bool:
        """Return whether a job was answered recently, and the answer is cached."""
        return self._answers.get(job_id) is not None

    def may_return(self, job_id: str) -> bool:
        """Return whether an entry may still submit a job that is not open here.

        Not if it was answered for good or cancelled: its tasks never start again.
        """
        return not self.is_answered(job_id) and not self.is_cancelled(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job was cancelled recently and not submitted again."""
        if job_id in self.jobs_by_id:
            return False
        return self._cancelled.get(job_id, now=self._loop.time()) is not None

    def end_jobs_of(self, entries: set[str], *, reason: str) -> None:
        """End the jobs that only these unreachable or lost entries wait for.

        The same jobs may reach an owner on the other side of a partition, through their entry,
        which submits them to a stand-in, or by resubmission, and must not run on both sides. An
        entry that still waits for a job learns that it has ended once the partition has healed.
        """
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=RETRY_AFTER_S)
        for job in list(self.jobs_by_id.values()):
            if job.waiting_entries.keys() <= entries:
                self.end(job, outcome, remember=False)

    def end_shared_jobs_of(self, entries: set[str], *, reason: str) -> None:
        """End the jobs that any of these cut-off entries waits for.

        A retry may have brought a job to entries on both sides of a partition. The entry on the
        other side submits it to a stand-in, which adopts its runs there or starts it again.
        """
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=RETRY_AFTER_S)
        for job in list(self.jobs_by_id.values()):
            if not job.waiting_entries.keys().isdisjoint(entries):
                self.end(job, outcome, remember=False)

    def drop_replaced_entry(self, entry: str, *, since: float) -> None:
        """End the wait of an entry for the jobs that it has not submitted since a time.

        :param since: event loop time at which a new process of the entry was first seen.
        """
        outcome = Outcome(
            verdict=Verdict.UNKNOWN, reason="entry replaced", retry_after_s=RETRY_AFTER_S
        )
        for job in list(self.jobs_by_id.values()):
            if job.waiting_entries.get(entry, since) >= since:
                continue
            del job.waiting_entries[entry]
            if not job.waiting_entries:
                self.end(job, outcome, remember=False)

    def pending_by_route(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by route."""
        counts: dict[str, int] = {}
        for job in self.jobs_by_id.values():
            if not job.started:
                counts[job.request.route] = counts.get(job.request.route, 0) + 1
        return counts
