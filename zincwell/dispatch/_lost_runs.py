"""Runs that were given up on silent workers, until no other owner can have renewed them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from zincwell.dispatch._job_registry import JobRegistry
from zincwell.dispatch._jobs import Job
from zincwell.dispatch._types import Outcome, Verdict

log = logging.getLogger("zincwell.owner")

# A job whose lost runs can't be confirmed to have ended for this long ends with an unknown outcome:
# an entry that waits for it is gone, or neither the store nor most of the entries answer.
LOSS_CONFIRMATION_TIMEOUT_S = 3.0
# Jobs with runs that were given up are remembered up to this number, in case they come again.
MAX_LOST_JOBS = 20_000


class LostRuns:
    """Keeps the tasks of a job waiting after the loss of a run, and ends jobs that wait too long.

    The leases that this owner has asked for have expired, but another owner may have renewed them.

    :param is_term_confirmed: see `OwnerListener.is_term_confirmed`.
    """

    def __init__(
        self, *, jobs: JobRegistry, is_term_confirmed: Callable[[Collection[str], float], bool]
    ) -> None:
        self._jobs = jobs
        self._is_term_confirmed = is_term_confirmed
        # Event loop time of the latest run that was given up, by job.
        self._lost_at_by_job: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    def note(self, job_id: str) -> None:
        """Remember that a run of a job was given up, also if the job ends and comes again."""
        self._lost_at_by_job.pop(job_id, None)
        self._lost_at_by_job[job_id] = self._loop.time()
        if len(self._lost_at_by_job) > MAX_LOST_JOBS:
            del self._lost_at_by_job[next(iter(self._lost_at_by_job))]
        job = self._jobs.jobs_by_id.get(job_id)
        if job is not None:
            job.lost_at = self._lost_at_by_job[job_id]

    def attach(self, job: Job) -> None:
        """Apply to a job that has come again what is remembered of it."""
        job.lost_at = self._lost_at_by_job.get(job.request.id)

    def forget(self, job: Job) -> None:
        """Forget the losses of a job."""
        job.lost_at = None
        self._lost_at_by_job.pop(job.request.id, None)

    def may_be_active(self, job: Job) -> bool:
        """Return whether runs of a job that were given up may be active under another owner."""
        if job.lost_at is None:
            return False
        if not self._is_term_confirmed(job.waiting_entries, job.lost_at):
            return True
        log.info(
            "loss_confirmed job=%s waited_ms=%d",
            job.request.id,
            (self._loop.time() - job.lost_at) * 1000,
        )
        self.forget(job)
        return False

    def review(self, now: float) -> bool:
        """End the jobs that have waited too long; return whether tasks of another may start now."""
        any_confirmed = False
        lost = [job for job in self._jobs.jobs_by_id.values() if job.lost_at is not None]
        for job in lost:
            if not self.may_be_active(job):
                any_confirmed = True
            elif now - job.lost_at >= LOSS_CONFIRMATION_TIMEOUT_S:
                log.warning("loss_unconfirmed job=%s", job.request.id)
                reason = "runs of a lost worker may be active"
                outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason)
                self._jobs.end(job, outcome, remember=False)
        return any_confirmed
