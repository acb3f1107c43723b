"""Jobs that were cancelled recently, as an entry or an owner remembers them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# A start order without a response may be executed up to 12 s later, and its run is reported within
# 0.9 s. After that no run of a cancelled job can appear any more.
RETENTION_S = 14.0
# Limits the memory, at about 300 bytes for each job. Runs of a job that is evicted too early are
# stopped like any other orphaned run.
MAX_REMEMBERED_JOBS = 10_000
# In place of a cell's name: the job may be in any cell.
ANY_CELL = ""


@dataclass(slots=True, kw_only=True)
class CancelledJob:
    """A cancelled job.

    :param cell: cell whose owner had the job, or `ANY_CELL`.
    :param cancelled_at: event loop time of the cancellation.
    :param by_request: whether a caller asked for it, which ends the job for all of its callers.
        Otherwise the callers of one entry are gone, and other entries may wait for the job.
    """

    id: str
    cell: str = ANY_CELL
    cancelled_at: float
    by_request: bool


class CancelledJobs:
    """Remembers cancelled jobs for as long as a run of them may appear."""

    def __init__(self) -> None:
        self._jobs_by_id: OrderedDict[str, CancelledJob] = OrderedDict()

    def add(self, job: CancelledJob, *, now: float) -> None:
        """Remember a job. A cancellation by request is not replaced by one without."""
        known = self._jobs_by_id.get(job.id)
        if known is not None and known.by_request and not job.by_request:
            return
        self._jobs_by_id[job.id] = job
        self._jobs_by_id.move_to_end(job.id)
        self._evict(now)

    def forget(self, job_id: str) -> None:
        """Forget a job, because a caller has submitted it again."""
        if self._jobs_by_id:
            self._jobs_by_id.pop(job_id, None)

    def get(self, job_id: str, *, now: float) -> CancelledJob | None:
        """Return a job that was cancelled recently, or None."""
        if not self._jobs_by_id:
            return None
        self._evict(now)
        return self._jobs_by_id.get(job_id)

    def jobs_of_cell(self, cell: str, *, now: float) -> list[CancelledJob]:
        """Return the jobs that the owner of a cell may have."""
        self._evict(now)
        return [job for job in self._jobs_by_id.values() if job.cell in (cell, ANY_CELL)]

    def note_layout_change(self) -> None:
        """Record that the jobs may be in any cell, because the cells have changed."""
        for job in self._jobs_by_id.values():
            job.cell = ANY_CELL

    def _evict(self, now: float) -> None:
        while self._jobs_by_id:
            oldest = next(iter(self._jobs_by_id.values()))
            recent = now - oldest.cancelled_at < RETENTION_S
            if recent and len(self._jobs_by_id) <= MAX_REMEMBERED_JOBS:
                return
            del self._jobs_by_id[oldest.id]
