"""The order in which queued tasks are started."""

from __future__ import annotations

import abc
import heapq
import itertools
from collections import deque
from collections.abc import Callable

from zincwell.core._jobs import Job, Task
from zincwell.document import Ordering

AGING = 0.05


class Queue(abc.ABC):
    """Queued jobs of one pool.

    Holds jobs, not tasks: a job of 1,200 tasks is one item, and cancelling it empties its
    own list of waiting tasks, after which the item is skipped when its turn comes.

    :param run_s: returns the expected run time of a service's task in seconds.
    :param may_start: returns whether a tenant's quota lets one more of its tasks start.
    """

    def __init__(self, *, run_s: Callable[[str], float], may_start: Callable[[str], bool]) -> None:
        self._run_s = run_s
        self._may_start = may_start
        self.size = 0
        self.size_by_tenant: dict[str, int] = {}

    def push(self, job: Job) -> None:
        """Queue a job with all its waiting tasks."""
        self._count(job, len(job.waiting))
        self._insert(job)

    def push_back(self, task: Task) -> None:
        """Queue a task again, ahead of its siblings, that turned out not to have run."""
        task.job.waiting.appendleft(task)
        self._count(task.job, 1)
        if len(task.job.waiting) == 1:
            self._insert(task.job)

    def pop(self) -> Task | None:
        """Take the next task to start, or None if none waits that may start."""
        job = self._next_job()
        if job is None:
            return None
        self._count(job, -1)
        task = job.waiting.popleft()
        self._taken(job)
        return task

    def discard(self, job: Job) -> list[Task]:
        """Take out all waiting tasks of a job."""
        tasks = list(job.waiting)
        self._count(job, -len(tasks))
        job.waiting.clear()
        return tasks

    def _count(self, job: Job, change: int) -> None:
        self.size += change
        count = self.size_by_tenant.get(job.tenant, 0) + change
        if count:
            self.size_by_tenant[job.tenant] = count
        else:
            self.size_by_tenant.pop(job.tenant, None)

    @abc.abstractmethod
    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Return how long a job not queued yet would wait for its first start, in seconds.

        :param slots: slots that serve this queue.
        """

    @abc.abstractmethod
    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks, in no particular order."""

    @abc.abstractmethod
    def _insert(self, job: Job) -> None:
        """Add a job that has waiting tasks."""

    @abc.abstractmethod
    def _next_job(self) -> Job | None:
        """Return the job whose task goes next, leaving it where it is."""

    def _taken(self, job: Job) -> None:
        """Note that a task of the job returned last has been taken."""
        return


class FifoQueue(Queue):
    """First come, first served."""

    def __init__(self, *, run_s: Callable[[str], float], may_start: Callable[[str], bool]) -> None:
        super().__init__(run_s=run_s, may_start=may_start)
        self._jobs: deque[Job] = deque()

    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Return how long a job would wait: for all that is queued."""
        return self.size * self._run_s(job.service) / max(slots, 1)

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        return [job for job in dict.fromkeys(self._jobs) if job.waiting]

    def _insert(self, job: Job) -> None:
        self._jobs.append(job)

    def _next_job(self) -> Job | None:
        while self._jobs and not self._jobs[0].waiting:
            self._jobs.popleft()
        ready = (job for job in self._jobs if job.waiting and self._may_start(job.tenant))
        return next(ready, None)


class _TenantQueue:
    """Jobs of one tenant and class, by rank."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Job]] = []
        self.served = 0.0

    def prune(self) -> bool:
        """Drop emptied jobs from the front and tell whether any job is left."""
        while self.heap and not self.heap[0][2].waiting:
            heapq.heappop(self.heap)
        return bool(self.heap)


class FairQueue(Queue):
    """Weighted fair between tenants and classes, by a rank within each.

    Each start adds the expected run time over the weight to what its tenant was served;
    the tenant served least goes next. One that was idle starts from the least of the others,
    so it can't save up a claim and then shut the rest out.

    :param weight: returns the weight of a tenant and class.
    """

    def __init__(
        self,
        *,
        weight: Callable[[str, str], float],
        run_s: Callable[[str], float],
        may_start: Callable[[str], bool],
    ):
        super().__init__(run_s=run_s, may_start=may_start)
        self._weight = weight
        self._queue_by_owner: dict[tuple[str, str], _TenantQueue] = {}
        self._floor = 0.0
        self._order = itertools.count()

    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Return how long a job would wait: for what goes before it in its own queue.

        What other tenants have queued does not count but for their share of the slots.
        """
        owner = (job.tenant, job.urgency)
        queue = self._queue_by_owner.get(owner)
        if queue is None:
            return 0.0
        rank = self._rank(job)
        before = (other for ranked, _, other in queue.heap if ranked <= rank)
        ahead_s = sum(len(other.waiting) * self._run_s(other.service) for other in before)
        return ahead_s / max(slots * self._share(owner), 1)

    def _share(self, owner: tuple[str, str]) -> float:
        """Return the share of the slots that falls to a tenant and class now."""
        mine = self._weight(*owner)
        queues = self._queue_by_owner.items()
        others = [name for name, queue in queues if name != owner and queue.prune()]
        return mine / (mine + sum(self._weight(*name) for name in others))

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        queues = self._queue_by_owner.values()
        jobs = (job for queue in queues for _, _, job in queue.heap)
        return [job for job in dict.fromkeys(jobs) if job.waiting]

    def _insert(self, job: Job) -> None:
        owner = (job.tenant, job.urgency)
        queue = self._queue_by_owner.get(owner)
        if queue is None:
            queue = self._queue_by_owner[owner] = _TenantQueue()
        if not queue.prune():
            queue.served = max(queue.served, self._floor)
        heapq.heappush(queue.heap, (self._rank(job), next(self._order), job))

    def _next_job(self) -> Job | None:
        active = [
            queue
            for (tenant, _), queue in self._queue_by_owner.items()
            if queue.prune() and self._may_start(tenant)
        ]
        if not active:
            return None
        chosen = min(active, key=lambda queue: queue.served)
        self._floor = chosen.served
        return chosen.heap[0][2]

    def _taken(self, job: Job) -> None:
        queue = self._queue_by_owner[(job.tenant, job.urgency)]
        weight = self._weight(job.tenant, job.urgency)
        queue.served += self._run_s(job.service) / weight
        if job.waiting and queue.heap[0][2] is job:
            heapq.heapreplace(queue.heap, (self._rank(job), next(self._order), job))

    @abc.abstractmethod
    def _rank(self, job: Job) -> float:
        """Return the rank of a job within its tenant; the lowest goes first."""


class FairDeadlineQueue(FairQueue):
    """Fair between tenants; within one, the earliest deadline first."""

    def _rank(self, job: Job) -> float:
        return job.deadline_at


class FairLeastWorkQueue(FairQueue):
    """Fair between tenants; within one, the least remaining work first.

    Work is counted in expected run time, and arrival weighs in, so that a large job is
    passed only by jobs that came up to a bounded time after it and never starves.
    """

    def _rank(self, job: Job) -> float:
        remaining_s = len(job.waiting) * self._run_s(job.service)
        return remaining_s + AGING * job.arrived_at


def make_queue(
    ordering: Ordering,
    *,
    weight: Callable[[str, str], float],
    run_s: Callable[[str], float],
    may_start: Callable[[str], bool],
) -> Queue:
    """Make the queue that a pool's ordering asks for."""
    if ordering is Ordering.FIFO:
        return FifoQueue(run_s=run_s, may_start=may_start)
    if ordering is Ordering.FAIR_DEADLINE:
        return FairDeadlineQueue(weight=weight, run_s=run_s, may_start=may_start)
    return FairLeastWorkQueue(weight=weight, run_s=run_s, may_start=may_start)
