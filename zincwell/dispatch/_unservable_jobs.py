"""Jobs that an owner can't serve: hopeless under the load, out of time, or too large."""

from __future__ import annotations

import logging

from zincwell.dispatch._job_registry import JobRegistry
from zincwell.dispatch._jobs import Job
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._overload import OverloadControl
from zincwell.dispatch._queue import JobQueue
from zincwell.dispatch._types import Outcome, Verdict
from zincwell.dispatch._worker_set import WorkerSet

log = logging.getLogger("zincwell.owner")

# Retry delay for callers while workers are evacuated. Operators end evacuations by hand.
EVACUATED_RETRY_S = 5.0


class UnservableJobs:
    """Refuses or ends the jobs of an owner that it can't serve.

    :param overload: finds the jobs that the load leaves no chance.
    :param queue: the waiting jobs.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        workers: WorkerSet,
        overload: OverloadControl,
        queue: JobQueue,
        metrics: Metrics,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._overload = overload
        self._queue = queue
        self._metrics = metrics

    def end_due(self, now: float) -> None:
        """End the jobs that can't be served in time, or by any worker.

        :param now: event loop time.
        """
        for job in self._jobs.pop_unstarted_at_timeout(now):
            self._jobs.refuse(job, "not started within the caller's timeout")
        for refusal in self._overload.find_jobs_to_refuse(now):
            job = refusal.job
            log.info(
                "job_hopeless job=%s age_ms=%d wait_ms=%.0f run_ms=%.0f slo_ms=%d tasks=%d"
                " waiting=%d exposed=%s cause=%s timeout_ms=%d retry_ms=%.0f",
                job.request.id,
                (now - job.arrived_at) * 1000,
                refusal.wait_s * 1000,
                job.estimate_s * 1000,
                job.slo_s * 1000,
                job.waiting,
                len(self._queue),
                job.possibly_started,
                refusal.cause,
                job.request.timeout_ms,
                refusal.retry_after_s * 1000,
            )
            self._count_refusal(job, refusal.cause)
            self._jobs.refuse(job, "no room in time", retry_after_s=refusal.retry_after_s)
        for job in list(self._jobs.jobs_by_id.values()):
            if job.waiting and not self._may_ever_fit(job):
                self._end_unplaceable(job)

    def _end_unplaceable(self, job: Job) -> None:
        """End a job that no worker of this cell is large enough for.

        A job that has started can't move to another cell, where its runs are not visible. If an
        evacuation is the reason, the job ends at once, so that its caller can retry elsewhere.
        Otherwise it keeps waiting for workers that are large enough.
        """
        if not self._workers.could_fit_but_for_evacuation(job.request):
            if not job.started:
                self._count_refusal(job, "too_large")
                self._jobs.refuse(job, "no worker is large enough")
            return
        reason = "failure domain evacuated"
        if not job.started:
            self._count_refusal(job, "evacuated")
            self._jobs.refuse(job, reason, retry_after_s=EVACUATED_RETRY_S)
            return
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=EVACUATED_RETRY_S)
        self._jobs.end(job, outcome, remember=False)

    def _count_refusal(self, job: Job, cause: str) -> None:
        labels = f'route="{job.request.route}",cause="{cause}"'
        self._metrics.count("jobs_refused", labels)

    def _may_ever_fit(self, job: Job) -> bool:
        """Return whether the known workers are large enough for a job.

        Checked once for each job and version of the worker set. Under overload hundreds of jobs
        wait, and checking hundreds of workers for each of them takes milliseconds.
        """
        if job.fit_checked_version == self._workers.version:
            return True
        job.fit_checked_version = self._workers.version
        return self._workers.could_ever_fit(job.request)
