"""The open jobs of an owner and the answers to recently ended ones."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.dispatch._jobs import AnswerCache, Job
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import JobRequest, Outcome, Verdict

log = logging.getLogger("zincwell.owner")

# Retry delay that refused callers are given by default.
RETRY_AFTER_S = 1.0


class JobRegistry:
    """Opens and ends jobs and reports the outcomes to the waiting entries.

    :param on_ended: called with each ended job, to stop its remaining runs.
    :param answer: called with a job's id, the names of the entries that wait for it, and its
        outcome.
    """

    def __init__(
        self,
        *,
        on_ended: Callable[[Job], None],
        answer: Callable[[str, set[str], Outcome], None],
        metrics: Metrics,
    ) -> None:
        self.jobs_by_id: dict[str, Job] = {}
        self._on_ended = on_ended
        self._answer = answer
        self._answers = AnswerCache()
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def open(
        self, request: JobRequest, *, entry: str, age_s: float, possibly_started: bool
    ) -> Job | None:
        """Open a job and return it.

        Return None if the job is open already, so that the entry waits as well, or if it was
        answered, so that the entry gets the cached answer.
        """
        answer = self._answers.get(request.id)
        if answer is not None:
            log.info("answered_again job=%s entry=%s verdict=%s", request.id, entry, answer.verdict)
            self._answer(request.id, {entry}, answer)
            return None
        job = self.jobs_by_id.get(request.id)
        if job is not None:
            log.info("job_attached job=%s entry=%s", request.id, entry)
            job.waiting_entries.add(entry)
            return None
        now = self._loop.time()
        job = Job(
            request=request,
            arrived_at=now - age_s,
            possibly_started=possibly_started,
            accepted_at=now,
        )
        job.waiting_entries.add(entry)
        self.jobs_by_id[request.id] = job
        return job

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
            self._answer(job.request.id, job.waiting_entries, outcome)

    def refuse(self, job: Job, reason: str, *, retry_after_s: float = RETRY_AFTER_S) -> None:
        """End a job that this owner has not started, with a retry delay."""
        verdict = Verdict.UNKNOWN if job.possibly_started else Verdict.REFUSED
        outcome = Outcome(verdict=verdict, reason=reason, retry_after_s=retry_after_s)
        self.end(job, outcome, remember=False)

    def cancel(self, job_id: str, *, entry: str) -> None:
        """Remove an entry from those that wait for a job, and end the job if none is left."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return
        job.waiting_entries.discard(entry)
        if not job.waiting_entries:
            log.info("job_cancelled job=%s started=%s", job_id, job.started)
            self.end(job, Outcome(verdict=Verdict.CANCELLED), remember=False)

    def end_jobs_of(self, entries: set[str], *, reason: str) -> None:
        """End the jobs that only these unreachable or lost entries wait for.

        The same jobs may reach an owner on the other side of a partition, through their entry,
        which submits them to a stand-in, or by resubmission, and must not run on both sides. An
        entry that still waits for a job learns that it has ended once the partition has healed.
        """
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=RETRY_AFTER_S)
        for job in list(self.jobs_by_id.values()):
            if job.waiting_entries <= entries:
                self.end(job, outcome, remember=False)

    def pending_by_route(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by route."""
        counts: dict[str, int] = {}
        for job in self.jobs_by_id.values():
            if not job.started:
                counts[job.request.route] = counts.get(job.request.route, 0) + 1
        return counts
