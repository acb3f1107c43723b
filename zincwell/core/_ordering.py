"""The order in which queued tasks are started."""

from __future__ import annotations

import abc
import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

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
        self._insert(job, is_back=False)

    def push_back(self, task: Task) -> None:
        """Queue a task again, ahead of its siblings, that turned out not to have run."""
        task.job.waiting.appendleft(task)
        self._count(task.job, 1)
        if len(task.job.waiting) == 1:
            self._insert(task.job, is_back=True)

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
    def _insert(self, job: Job, *, is_back: bool) -> None:
        """Add a job that has waiting tasks.

        :param is_back: whether it was queued before and one of its tasks has come back.
        """

    @abc.abstractmethod
    def _next_job(self) -> Job | None:
        """Return the job whose task goes next, leaving it where it is."""

    def _taken(self, job: Job) -> None:
        """Note that a task of the job returned last has been taken."""
        return


class _JobHeap:
    """Jobs by rank, the lowest first, each of them once."""

    def __init__(self) -> None:
        self._lines: list[tuple[float, int, Job]] = []
        self._listed: set[Job] = set()
        self._order = itertools.count()

    def push(self, job: Job, rank: float, *, is_back: bool) -> None:
        """Add a job; one that still has a line keeps it.

        :param is_back: whether the job was here before; it then goes before its equals.
        """
        if job not in self._listed:
            self._listed.add(job)
            order = next(self._order)
            heapq.heappush(self._lines, (rank, -order if is_back else order, job))

    def first(self) -> Job | None:
        """Return the first job that has waiting tasks, dropping emptied ones before it."""
        while self._lines and not self._lines[0][2].waiting:
            self._listed.discard(heapq.heappop(self._lines)[2])
        return self._lines[0][2] if self._lines else None

    def rank_first(self, rank: float) -> None:
        """Give the first job another rank."""
        heapq.heapreplace(self._lines, (rank, next(self._order), self._lines[0][2]))

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        return [job for _, _, job in self._lines if job.waiting]

    def jobs_up_to(self, rank: float) -> Iterator[Job]:
        """Yield the jobs that go before one of the rank given."""
        return (job for ranked, _, job in self._lines if ranked <= rank)


class FifoQueue(Queue):
    """First come, first served."""

    def __init__(self, *, run_s: Callable[[str], float], may_start: Callable[[str], bool]) -> None:
        super().__init__(run_s=run_s, may_start=may_start)
        self._heap_by_tenant: dict[str, _JobHeap] = {}

    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Return how long a job would wait: for all that is queued."""
        return self.size * self._run_s(job.service) / max(slots, 1)

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        return [job for heap in self._heap_by_tenant.values() for job in heap.jobs()]

    def _insert(self, job: Job, *, is_back: bool) -> None:
        heap = self._heap_by_tenant.setdefault(job.tenant, _JobHeap())
        heap.push(job, job.arrived_at, is_back=is_back)

    def _next_job(self) -> Job | None:
        firsts = {tenant: heap.first() for tenant, heap in self._heap_by_tenant.items()}
        for tenant in [tenant for tenant, job in firsts.items() if job is None]:
            del self._heap_by_tenant[tenant]
        ready = [job for tenant, job in firsts.items() if job and self._may_start(tenant)]
        return min(ready, key=lambda job: job.arrived_at, default=None)


@dataclass
class _Served:
    """What a tenant, or a class of one, was served: run time over weight, in seconds."""

    served: float = 0.0


@dataclass
class _ClassQueue(_Served):
    """Jobs of one class of a tenant."""

    heap: _JobHeap = field(default_factory=_JobHeap)


@dataclass
class _TenantQueue(_Served):
    """Jobs of one tenant, by class.

    :ivar floor: what its classes were served at the least; a newcomer starts there.
    """

    floor: float = 0.0
    class_by_urgency: dict[str, _ClassQueue] = field(default_factory=dict)

    def next_class(self) -> _ClassQueue | None:
        """Return the class served least that has waiting tasks."""
        ready = [queue for queue in self.class_by_urgency.values() if queue.heap.first()]
        return min(ready, key=lambda queue: queue.served, default=None)


class FairQueue(Queue):
    """Weighted fair between tenants, and between the classes of each, by a rank within.

    Each start adds the expected run time over the weight to what its tenant was served; the
    tenant served least goes next. Nobody can save up a claim and then shut the rest out: one
    that was idle, or held back by its quota, goes on from the floor, which only rises.

    :param weight: returns the weight of a tenant.
    :param class_weight: returns the weight of a class against others of the same tenant.
    """

    def __init__(
        self,
        *,
        weight: Callable[[str], float],
        class_weight: Callable[[str], float],
        run_s: Callable[[str], float],
        may_start: Callable[[str], bool],
    ):
        super().__init__(run_s=run_s, may_start=may_start)
        self._weight = weight
        self._class_weight = class_weight
        self._queue_by_tenant: dict[str, _TenantQueue] = {}
        self._floor = 0.0

    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Return how long a job would wait: for what goes before it in its own queue.

        What other tenants have queued does not count but for their share of the slots.
        """
        queue = self._queue_by_tenant.get(job.tenant)
        if queue is None:
            return 0.0
        share = self._share(job.tenant)
        own = queue.class_by_urgency.get(job.urgency)
        if own is None:
            return 0.0
        share *= self._class_share(queue, job.urgency)
        before = own.heap.jobs_up_to(self._rank(job))
        ahead_s = sum(len(other.waiting) * self._run_s(other.service) for other in before)
        return ahead_s / max(slots * share, 1)

    def _share(self, tenant: str) -> float:
        """Return the share of the slots that falls to a tenant now."""
        mine = self._weight(tenant)
        queues = self._queue_by_tenant.items()
        others = [name for name, queue in queues if name != tenant and queue.next_class()]
        return mine / (mine + sum(self._weight(name) for name in others))

    def _class_share(self, queue: _TenantQueue, urgency: str) -> float:
        """Return the share of its tenant's slots that falls to a class now."""
        mine = self._class_weight(urgency)
        classes = queue.class_by_urgency.items()
        others = [name for name, one in classes if name != urgency and one.heap.first()]
        return mine / (mine + sum(self._class_weight(name) for name in others))

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        tenants = self._queue_by_tenant.values()
        classes = (one for queue in tenants for one in queue.class_by_urgency.values())
        return [job for one in classes for job in one.heap.jobs()]

    def _insert(self, job: Job, *, is_back: bool) -> None:
        queue = self._queue_by_tenant.setdefault(job.tenant, _TenantQueue())
        if queue.next_class() is None:
            queue.served = max(queue.served, self._floor)
        one = queue.class_by_urgency.setdefault(job.urgency, _ClassQueue())
        if one.heap.first() is None or one.heap.first() is job:
            one.served = max(one.served, queue.floor)
        one.heap.push(job, self._rank(job), is_back=is_back)

    def _next_job(self) -> Job | None:
        ready = []
        for tenant, queue in list(self._queue_by_tenant.items()):
            if queue.next_class() is None:
                self._forget_if_settled(tenant, queue)
            elif self._may_start(tenant):
                ready.append(queue)
            else:
                queue.served = max(queue.served, self._floor)
        if not ready:
            return None
        chosen = min(ready, key=lambda queue: queue.served)
        self._floor = max(self._floor, chosen.served)
        one = chosen.next_class()
        chosen.floor = max(chosen.floor, one.served)
        return one.heap.first()

    def _forget_if_settled(self, tenant: str, queue: _TenantQueue) -> None:
        """Drop a tenant without jobs once all others have been served as much as it."""
        if queue.served <= self._floor:
            del self._queue_by_tenant[tenant]

    def _taken(self, job: Job) -> None:
        run_s = self._run_s(job.service)
        queue = self._queue_by_tenant[job.tenant]
        queue.served += run_s / self._weight(job.tenant)
        one = queue.class_by_urgency[job.urgency]
        one.served += run_s / self._class_weight(job.urgency)
        if job.waiting and one.heap.first() is job:
            one.heap.rank_first(self._rank(job))

    @abc.abstractmethod
    def _rank(self, job: Job) -> float:
        """Return the rank of a job within its tenant and class; the lowest goes first."""


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
    weight: Callable[[str], float],
    class_weight: Callable[[str], float],
    run_s: Callable[[str], float],
    may_start: Callable[[str], bool],
) -> Queue:
    """Make the queue that a pool's ordering asks for."""
    if ordering is Ordering.FIFO:
        return FifoQueue(run_s=run_s, may_start=may_start)
    kind = FairDeadlineQueue if ordering is Ordering.FAIR_DEADLINE else FairLeastWorkQueue
    return kind(weight=weight, class_weight=class_weight, run_s=run_s, may_start=may_start)
