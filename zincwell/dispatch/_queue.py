"""Queue of the jobs that wait for capacity, in the order in which they get it."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator

from zincwell.dispatch._jobs import Job

# A started job goes first if at most this many of its tasks still wait. One with a thousand waiting
# tasks would block all more urgent jobs for as long as these run.
MAX_WAITING_TASKS_TO_GO_FIRST = 64


class JobQueue:
    """Keeps waiting jobs sorted: started jobs first, then by urgency, estimated run time and age.

    Jobs that will be late are deferred behind all others.

    A started job can't be refused any more, and the capacity that its first tasks used is wasted
    if its last ones are late. Behind more urgent jobs, they would wait for as long as such jobs
    keep arriving. A started job with many waiting tasks goes first only when it is past its
    objective.

    The order is maintained on insertion: under overload hundreds of jobs wait, and every end of a
    task reads the queue. Sorting it each time takes a whole core of the owner.
    """

    def __init__(self) -> None:
        self._unstarted: list[Job] = []
        self._started: list[Job] = []
        self._deferred: list[Job] = []

    def __iter__(self) -> Iterator[Job]:
        """Iterate over a snapshot of the queue; jobs may be added or discarded meanwhile."""
        return itertools.chain(list(self._started), list(self._unstarted), list(self._deferred))

    def __len__(self) -> int:
        return len(self._started) + len(self._unstarted) + len(self._deferred)

    def add(self, job: Job, *, now: float) -> None:
        """Insert a job, or move a queued one to its current position."""
        self._insert(job, self._started if _has_precedence(job, now) else self._unstarted)

    def defer(self, job: Job) -> None:
        """Move a job that will be late behind all others."""
        self._insert(job, self._deferred)

    def is_deferred(self, job: Job) -> bool:
        """Return whether a job is deferred behind all others."""
        return job.queued_in is self._deferred

    def _insert(self, job: Job, jobs: list[Job]) -> None:
        if job.queued_in is jobs:
            return
        self.discard(job)
        bisect.insort(jobs, job, key=_sort_key)
        job.queued_in = jobs

    def discard(self, job: Job) -> None:
        """Remove a job if it is queued."""
        jobs, job.queued_in = job.queued_in, None
        if jobs is None:
            return
        del jobs[bisect.bisect_left(jobs, _sort_key(job), key=_sort_key)]

    def smallest_cpu(self) -> int:
        """Return the smallest demand of any waiting job's tasks, in thousandths of a core."""
        return min(job.smallest_cpu for job in self)


def _has_precedence(job: Job, now: float) -> bool:
    return job.started and (
        job.waiting <= MAX_WAITING_TASKS_TO_GO_FIRST or now - job.arrived_at > job.slo_s
    )


def _sort_key(job: Job) -> tuple[int, float, float, str]:
    return (job.request.priority, job.estimate_s, job.arrived_at, job.request.id)
