"""Queue disciplines: the order in which queued tasks are started."""

from __future__ import annotations

import abc
import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from zincwell.core._jobs import Job, Task
from zincwell.document import Ordering

#: Seconds of remaining work that are offset by one second of earlier arrival.
AGING_RATE = 0.05


class Queue(abc.ABC):
    """Queued jobs of one pool.

    Holds jobs, not tasks: a job of 1,200 tasks is one item. Cancelling a job only empties its
    own list of waiting tasks; the item is removed once it reaches the head of the queue.

    :param run_s: returns the expected run time of a service's task in seconds.
    :param may_start: returns whether a tenant's quota allows one more running task.
    """

    def __init__(self, *, run_s: Callable[[str], float], may_start: Callable[[str], bool]) -> None:
        self._run_s = run_s
        self._may_start = may_start
        self.size = 0
        self.size_by_tenant: dict[str, int] = {}

    def push(self, job: Job) -> None:
        """Add a job with all its waiting tasks."""
        self._count(job, len(job.waiting))
        self._insert(job, is_requeued=False)

    def requeue(self, task: Task) -> None:
        """Return a popped task to the queue, ahead of the other waiting tasks of its job."""
        task.job.waiting.appendleft(task)
        self._count(task.job, 1)
        if len(task.job.waiting) == 1:
            self._insert(task.job, is_requeued=True)

    def pop(self) -> Task | None:
        """Remove and return the next task to start, or None if no waiting task may start."""
        job = self._next_job()
        if job is None:
            return None
        self._count(job, -1)
        task = job.waiting.popleft()
        self._on_pop(job)
        return task

    def discard(self, job: Job) -> list[Task]:
        """Remove and return all waiting tasks of a job."""
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
        """Estimate how long a job not queued yet would wait for its first start, in seconds.

        :param slots: number of slots that serve this queue.
        """

    @abc.abstractmethod
    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks, in no particular order."""

    @abc.abstractmethod
    def _insert(self, job: Job, *, is_requeued: bool) -> None:
        """Add a job that has waiting tasks.

        :param is_requeued: whether the job was queued before and a popped task was returned.
        """

    @abc.abstractmethod
    def _next_job(self) -> Job | None:
        """Return the job whose task starts next, without removing it."""

    def _on_pop(self, job: Job) -> None:
        """Account for a task popped from the job that ``_next_job`` returned last."""
        return


class _JobHeap:
    """Jobs ordered by rank, lowest first; holds each job at most once."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Job]] = []
        self._members: set[Job] = set()
        self._sequence = itertools.count()

    def push(self, job: Job, rank: float, *, is_requeued: bool) -> None:
        """Add a job; a job that is still in the heap keeps its position.

        :param is_requeued: whether the job was here before; it then precedes equal ranks.
        """
        if job not in self._members:
            self._members.add(job)
            sequence = next(self._sequence)
            heapq.heappush(self._heap, (rank, -sequence if is_requeued else sequence, job))

    def first(self) -> Job | None:
        """Return the first job that has waiting tasks; remove jobs without any before it."""
        while self._heap and not self._heap[0][2].waiting:
            self._members.discard(heapq.heappop(self._heap)[2])
        return self._heap[0][2] if self._heap else None

    def rerank_first(self, rank: float) -> None:
        """Replace the rank of the first job."""
        heapq.heapreplace(self._heap, (rank, next(self._sequence), self._heap[0][2]))

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        return [job for _, _, job in self._heap if job.waiting]

    def jobs_up_to(self, rank: float) -> Iterator[Job]:
        """Yield the jobs whose rank is at most the given one."""
        return (job for ranked, _, job in self._heap if ranked <= rank)


class FifoQueue(Queue):
    """Starts jobs in order of arrival, skipping tenants that are at their quota."""

    def __init__(self, *, run_s: Callable[[str], float], may_start: Callable[[str], bool]) -> None:
        super().__init__(run_s=run_s, may_start=may_start)
        self._heap_by_tenant: dict[str, _JobHeap] = {}

    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Estimate the wait from the whole queue length, whoever queued it."""
        return self.size * self._run_s(job.service) / max(slots, 1)

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        return [job for heap in self._heap_by_tenant.values() for job in heap.jobs()]

    def _insert(self, job: Job, *, is_requeued: bool) -> None:
        heap = self._heap_by_tenant.setdefault(job.tenant, _JobHeap())
        heap.push(job, job.arrived_at, is_requeued=is_requeued)

    def _next_job(self) -> Job | None:
        first_by_tenant = {tenant: heap.first() for tenant, heap in self._heap_by_tenant.items()}
        for tenant in [tenant for tenant, job in first_by_tenant.items() if job is None]:
            del self._heap_by_tenant[tenant]
        ready = [job for tenant, job in first_by_tenant.items() if job and self._may_start(tenant)]
        return min(ready, key=lambda job: job.arrived_at, default=None)


@dataclass
class _FairShare:
    """Service received by a tenant or by one of its classes.

    :ivar virtual_time: expected run time of all starts divided by the weight, in seconds.
    """

    virtual_time: float = 0.0


@dataclass
class _ClassQueue(_FairShare):
    """Jobs of one urgency class of a tenant."""

    heap: _JobHeap = field(default_factory=_JobHeap)


@dataclass
class _TenantQueue(_FairShare):
    """Jobs of one tenant by urgency class.

    :ivar system_virtual_time: virtual time at which a newly backlogged class starts.
    """

    system_virtual_time: float = 0.0
    class_by_urgency: dict[str, _ClassQueue] = field(default_factory=dict)

    def next_class(self) -> _ClassQueue | None:
        """Return the class with the lowest virtual time among those with waiting tasks."""
        ready = [queue for queue in self.class_by_urgency.values() if queue.heap.first()]
        return min(ready, key=lambda queue: queue.virtual_time, default=None)


class FairQueue(Queue):
    """Weighted fair queueing between tenants and between the classes of each tenant.

    Each start advances the virtual time of its tenant by the expected run time divided by the
    weight; the tenant with the lowest virtual time starts next. A tenant that was idle, or
    held back by its quota, continues from the system virtual time, which never decreases: so
    it accumulates no credit with which it could starve the others. The same holds for the
    classes of a tenant. Jobs of one class are ordered by a rank that subclasses define.

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
        self._system_virtual_time = 0.0

    def expected_wait_s(self, job: Job, *, slots: float) -> float:
        """Estimate the wait from the jobs ahead in the same class of the same tenant.

        The backlog of other tenants and classes counts only through their share of the slots.
        """
        queue = self._queue_by_tenant.get(job.tenant)
        if queue is None:
            return 0.0
        share = self._share(job.tenant)
        own = queue.class_by_urgency.get(job.urgency)
        if own is None:
            return 0.0
        share *= self._class_share(queue, job.urgency)
        jobs_ahead = own.heap.jobs_up_to(self._rank(job))
        ahead_s = sum(len(other.waiting) * self._run_s(other.service) for other in jobs_ahead)
        return ahead_s / max(slots * share, 1)

    def _share(self, tenant: str) -> float:
        """Return a tenant's share of the slots among the tenants with waiting tasks."""
        own_weight = self._weight(tenant)
        queues = self._queue_by_tenant.items()
        others = [name for name, queue in queues if name != tenant and queue.next_class()]
        return own_weight / (own_weight + sum(self._weight(name) for name in others))

    def _class_share(self, queue: _TenantQueue, urgency: str) -> float:
        """Return a class's share of its tenant's slots among the classes with waiting tasks."""
        own_weight = self._class_weight(urgency)
        classes = queue.class_by_urgency.items()
        others = [
            name for name, class_queue in classes if name != urgency and class_queue.heap.first()
        ]
        return own_weight / (own_weight + sum(self._class_weight(name) for name in others))

    def jobs(self) -> list[Job]:
        """Return the jobs that have waiting tasks."""
        tenants = self._queue_by_tenant.values()
        classes = (
            class_queue for queue in tenants for class_queue in queue.class_by_urgency.values()
        )
        return [job for class_queue in classes for job in class_queue.heap.jobs()]

    def _insert(self, job: Job, *, is_requeued: bool) -> None:
        queue = self._queue_by_tenant.setdefault(job.tenant, _TenantQueue())
        if queue.next_class() is None:
            queue.virtual_time = max(queue.virtual_time, self._system_virtual_time)
        class_queue = queue.class_by_urgency.setdefault(job.urgency, _ClassQueue())
        if class_queue.heap.first() is None or class_queue.heap.first() is job:
            class_queue.virtual_time = max(class_queue.virtual_time, queue.system_virtual_time)
        class_queue.heap.push(job, self._rank(job), is_requeued=is_requeued)

    def _next_job(self) -> Job | None:
        ready = []
        for tenant, queue in list(self._queue_by_tenant.items()):
            if queue.next_class() is None:
                self._drop_if_caught_up(tenant, queue)
            elif self._may_start(tenant):
                ready.append(queue)
            else:
                queue.virtual_time = max(queue.virtual_time, self._system_virtual_time)
        if not ready:
            return None
        chosen = min(ready, key=lambda queue: queue.virtual_time)
        self._system_virtual_time = max(self._system_virtual_time, chosen.virtual_time)
        class_queue = chosen.next_class()
        chosen.system_virtual_time = max(chosen.system_virtual_time, class_queue.virtual_time)
        return class_queue.heap.first()

    def _drop_if_caught_up(self, tenant: str, queue: _TenantQueue) -> None:
        """Drop a tenant without waiting tasks once the system virtual time has reached its own.

        Dropped earlier, it would come back without the charge for its past starts.
        """
        if queue.virtual_time <= self._system_virtual_time:
            del self._queue_by_tenant[tenant]

    def _on_pop(self, job: Job) -> None:
        run_s = self._run_s(job.service)
        queue = self._queue_by_tenant[job.tenant]
        queue.virtual_time += run_s / self._weight(job.tenant)
        class_queue = queue.class_by_urgency[job.urgency]
        class_queue.virtual_time += run_s / self._class_weight(job.urgency)
        if job.waiting and class_queue.heap.first() is job:
            class_queue.heap.rerank_first(self._rank(job))

    @abc.abstractmethod
    def _rank(self, job: Job) -> float:
        """Return the rank of a job within its tenant and class; the lowest starts first."""


class FairDeadlineQueue(FairQueue):
    """Weighted fair between tenants; earliest deadline first within a class."""

    def _rank(self, job: Job) -> float:
        return job.deadline_at


class FairLeastWorkQueue(FairQueue):
    """Weighted fair between tenants; least remaining work first within a class.

    Work is expected run time. The arrival time adds to the rank, so that only jobs that arrive
    within a bounded time after a large job can overtake it, and it never starves.
    """

    def _rank(self, job: Job) -> float:
        remaining_s = len(job.waiting) * self._run_s(job.service)
        return remaining_s + AGING_RATE * job.arrived_at


def make_queue(
    ordering: Ordering,
    *,
    weight: Callable[[str], float],
    class_weight: Callable[[str], float],
    run_s: Callable[[str], float],
    may_start: Callable[[str], bool],
) -> Queue:
    """Create the queue for an ordering.

    The parameters are those of :class:`Queue` and :class:`FairQueue`.
    """
    if ordering is Ordering.FIFO:
        return FifoQueue(run_s=run_s, may_start=may_start)
    queue_class = FairDeadlineQueue if ordering is Ordering.FAIR_DEADLINE else FairLeastWorkQueue
    return queue_class(weight=weight, class_weight=class_weight, run_s=run_s, may_start=may_start)
