"""The jobs that wait for room, in the order in which they get it."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator

from zincwell.dispatch._jobs import Job


class JobQueue:
    """Keeps waiting jobs in order: urgent first, then short, then old.

    A job that has begun and is past its objective goes before all others. It can't be refused any
    more, and behind jobs that are more urgent its last tasks would wait for as long as these come.

    The order is kept, not made anew: under overload hundreds of jobs wait, and each end of a task
    asks for it. Sorting at each of them filled the owner's core.
    """

    def __init__(self) -> None:
        self._regular: list[Job] = []
        self._overdue: list[Job] = []

    def __iter__(self) -> Iterator[Job]:
        """Iterate over the jobs in order, whatever is added or discarded meanwhile."""
        return itertools.chain(list(self._overdue), list(self._regular))

    def __len__(self) -> int:
        return len(self._overdue) + len(self._regular)

    def add(self, job: Job, *, now: float) -> None:
        """Let a job wait; one that waits already keeps its place."""
        jobs = self._overdue if job.is_overdue(now) else self._regular
        if job.queued_in is not None:
            return
        bisect.insort(jobs, job, key=_place)
        job.queued_in = jobs

    def discard(self, job: Job) -> None:
        """Let a job wait no longer."""
        jobs, job.queued_in = job.queued_in, None
        if jobs is None:
            return
        del jobs[bisect.bisect_left(jobs, _place(job), key=_place)]

    def promote_overdue(self, now: float) -> None:
        """Put the jobs ahead that have passed their objective while they waited."""
        for job in [job for job in self._regular if job.is_overdue(now)]:
            self.discard(job)
            self.add(job, now=now)

    def smallest_cpu(self) -> int:
        """Return the least that a task of a waiting job asks for, in thousandths of a core."""
        return min(job.smallest_cpu for job in self)


def _place(job: Job) -> tuple[int, float, float, str]:
    return (job.request.priority, job.estimate_s, job.arrived_at, job.request.id)
