"""The jobs that wait for room, in the order in which they get it."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator

from zincwell.dispatch._jobs import Job

# A job that has begun goes first if at most this many of its tasks still wait. One of a thousand
# tasks would hold up everything that is more urgent for as long as they run.
FIRST_TASKS = 64


class JobQueue:
    """Keeps waiting jobs in order: begun first, then urgent, then short, then old.

    Jobs that will be late come last.

    A job that has begun can't be refused any more, and room that its first tasks took is lost if
    the last ones come late. Behind jobs that are more urgent these would wait for as long as such
    jobs come. A large job keeps its place until it is past its objective.

    The order is kept, not made anew: under overload hundreds of jobs wait, and each end of a task
    asks for it. Sorting at each of them filled the owner's core.
    """

    def __init__(self) -> None:
        self._fresh: list[Job] = []
        self._begun: list[Job] = []
        self._late: list[Job] = []

    def __iter__(self) -> Iterator[Job]:
        """Iterate over the jobs in order, whatever is added or discarded meanwhile."""
        return itertools.chain(list(self._begun), list(self._fresh), list(self._late))

    def __len__(self) -> int:
        return len(self._begun) + len(self._fresh) + len(self._late)

    def add(self, job: Job, *, now: float) -> None:
        """Let a job wait; one that waits already moves to its place."""
        self._put(job, self._begun if _goes_first(job, now) else self._fresh)

    def put_behind(self, job: Job) -> None:
        """Let a job wait behind all others, since it will be late."""
        self._put(job, self._late)

    def _put(self, job: Job, jobs: list[Job]) -> None:
        if job.queued_in is jobs:
            return
        self.discard(job)
        bisect.insort(jobs, job, key=_place)
        job.queued_in = jobs

    def discard(self, job: Job) -> None:
        """Let a job wait no longer."""
        jobs, job.queued_in = job.queued_in, None
        if jobs is None:
            return
        del jobs[bisect.bisect_left(jobs, _place(job), key=_place)]

    def smallest_cpu(self) -> int:
        """Return the least that a task of a waiting job asks for, in thousandths of a core."""
        return min(job.smallest_cpu for job in self)


def _goes_first(job: Job, now: float) -> bool:
    return job.started and (job.waiting <= FIRST_TASKS or now - job.arrived_at > job.slo_s)


def _place(job: Job) -> tuple[int, float, float, str]:
    return (job.request.priority, job.estimate_s, job.arrived_at, job.request.id)
