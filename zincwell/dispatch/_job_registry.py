"""The open jobs of an owner, who waits for them, and the answers of those that ended lately."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.dispatch._jobs import AnswerCache, Job
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import JobRequest, Outcome, Verdict

log = logging.getLogger("zincwell.owner")

# Coming back is worth a try after this many seconds.
RETRY_AFTER_S = 1.0


class JobRegistry:
    """Opens and ends jobs, and tells the entries that wait for them.

    :param on_ended: called with each job that has ended, to stop what still runs of it.
    :param answer: called with a job's id, the entries that wait for it, and its outcome.
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
        """Return a new job, or None if it is open or was answered: then one more entry waits."""
        answer = self._answers.get(request.id)
        if answer is not None:
            log.info("answered_again job=%s entry=%s verdict=%s", request.id, entry, answer.verdict)
            self._answer(request.id, {entry}, answer)
            return None
        job = self.jobs_by_id.get(request.id)
        if job is not None:
            log.info("attached job=%s entry=%s", request.id, entry)
            job.waiting_for.add(entry)
            return None
        now = self._loop.time()
        job = Job(
            request=request,
            arrived_at=now - age_s,
            possibly_started=possibly_started,
            accepted_at=now,
        )
        job.waiting_for.add(entry)
        self.jobs_by_id[request.id] = job
        return job

    def end(self, job: Job, outcome: Outcome, *, remember: bool = True) -> None:
        """Answer a job.

        :param remember: give the same answer to resends.
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
        if job.waiting_for:
            self._answer(job.request.id, job.waiting_for, outcome)

    def refuse(self, job: Job, reason: str, *, retry_after_s: float = RETRY_AFTER_S) -> None:
        """Answer a job that this owner has not started, with a time to come back."""
        verdict = Verdict.UNKNOWN if job.possibly_started else Verdict.REFUSED
        outcome = Outcome(verdict=verdict, reason=reason, retry_after_s=retry_after_s)
        self.end(job, outcome, remember=False)

    def cancel(self, job_id: str, *, entry: str) -> None:
        """Let an entry no longer wait for a job; with nobody left the job ends."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return
        job.waiting_for.discard(entry)
        if not job.waiting_for:
            log.info("job_cancelled job=%s started=%s", job_id, job.started)
            self.end(job, Outcome(verdict=Verdict.CANCELLED), remember=False)

    def drop_jobs_of(self, entries: set[str], *, reason: str) -> None:
        """End the jobs that only these entries wait for, which are cut off or lost.

        Their callers turn to the other side of the partition: through the entry, which hands them
        to a stand-in, or by themselves. If they have not, the entry learns once it is back that
        the jobs have ended.
        """
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=RETRY_AFTER_S)
        for job in list(self.jobs_by_id.values()):
            if job.waiting_for <= entries:
                self.end(job, outcome, remember=False)

    def pending_by_route(self) -> dict[str, int]:
        """Return by route how many jobs have no task started."""
        counts: dict[str, int] = {}
        for job in self.jobs_by_id.values():
            if not job.started:
                counts[job.request.route] = counts.get(job.request.route, 0) + 1
        return counts
