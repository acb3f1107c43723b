"""A pool: its queue, its workers, and the placement of tasks on workers."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from zincwell.core._follow import NEVER
from zincwell.core._free_slots import FreeSlots
from zincwell.core._health import may_eject_more, should_eject
from zincwell.core._jobs import SPILLED_TENANT, Task
from zincwell.core._ordering import Queue
from zincwell.core._quotas import Quotas
from zincwell.core._retries import RetryBudget
from zincwell.core._slot_shares import Shares
from zincwell.core._worker import Worker
from zincwell.document import Pool as PoolRules
from zincwell.ports import Clock

QUEUE_DELAY_SAMPLES = 64
SPILL_AFTER_S = 0.03


class Pool:
    """Queue and workers of one pool in this entry.

    :param shares: this entry's share of the slots and connections of each worker.
    :param quotas: quotas of running tasks by tenant.
    :param seed: seed of the random choice between equally preferred workers.
    :param on_backlog: called when queued tasks are left after all free slots are taken.
    :ivar lender_by_name: entries of other domains that lend us slots, as workers.
    :ivar own_backlog_at: monotonic time at which tasks of this domain's callers last waited.
    """

    def __init__(
        self,
        *,
        name: str,
        rules: PoolRules,
        queue: Queue,
        shares: Shares,
        quotas: Quotas,
        clock: Clock,
        seed: str,
        on_backlog: Callable[[], None],
    ):
        self._on_backlog = on_backlog
        self.quotas = quotas
        self.retry_budget = RetryBudget()
        self.name = name
        self.rules = rules
        self.queue = queue
        self.worker_by_name: dict[str, Worker] = {}
        self.lender_by_name: dict[str, Worker] = {}
        self._retiring: list[Worker] = []
        self._saturated_since: float | None = None
        self.own_backlog_at = NEVER
        self._shares = shares
        self._clock = clock
        self._random = random.Random(seed)
        self._queue_delays_s: deque[float] = deque(maxlen=QUEUE_DELAY_SAMPLES)
        self._placement_is_due = False

    def wake(self) -> None:
        """Schedule a placement round; calls within one event loop iteration share one round."""
        if not self._placement_is_due:
            self._placement_is_due = True
            asyncio.get_running_loop().call_soon(self._place_queued)

    def usable_workers(self) -> list[Worker]:
        """Return the workers on which tasks may be started."""
        now = self._clock.monotonic()
        return [
            worker
            for worker in self.worker_by_name.values()
            if worker.is_usable() and not worker.health.is_ejected(now=now)
        ]

    def slots(self) -> int:
        """Return the number of slots of all usable workers and of lenders in other domains."""
        lenders = [worker for worker in self.lender_by_name.values() if worker.is_usable()]
        return sum(worker.slots for worker in [*self.usable_workers(), *lenders])

    def free_slots(self) -> int:
        """Return the number of free slots in our domain that this entry may use."""
        return sum(self._free_slots_by_worker().values())

    def capacity(self) -> int:
        """Return the number of slots in our domain, free or not, that this entry may use."""
        return sum(self._shares.allowed(worker) for worker in self.usable_workers())

    def all_workers(self) -> list[Worker]:
        """Return all workers that may run our tasks, including lenders and retiring workers."""
        lenders = self.lender_by_name.values()
        return [*self.worker_by_name.values(), *lenders, *self._retiring]

    def start_retiring(self, name: str) -> Worker:
        """Start no more tasks on a worker; its tasks can still be cancelled and stopped."""
        worker = self.worker_by_name.pop(name)
        self._retiring.append(worker)
        return worker

    async def finish_retiring(self, worker: Worker) -> None:
        """Close the connections to a retiring worker after its last task has ended."""
        await worker.retire()
        self._retiring.remove(worker)

    def find_worker(self, name: str) -> Worker | None:
        """Return a worker, lender or retiring worker by name, or None."""
        found = self.worker_by_name.get(name) or self.lender_by_name.get(name)
        retiring = (worker for worker in self._retiring if worker.name == name)
        return found or next(retiring, None)

    def largest_memory_mb(self) -> int:
        """Return the memory of the largest worker in MB."""
        return max((worker.vm.memory_mb for worker in self.worker_by_name.values()), default=0)

    def eject_if_outlier(self, worker: Worker) -> bool:
        """Eject a worker whose failure rate is an outlier; return whether it was ejected."""
        now = self._clock.monotonic()
        workers = list(self.worker_by_name.values())
        if not self.rules.guards or worker.health.is_ejected(now=now):
            return False
        others = [other.health for other in workers if other is not worker]
        if not should_eject(worker.health, others):
            return False
        ejected = sum(1 for other in workers if other.health.is_ejected(now=now))
        if not may_eject_more(ejected=ejected, workers=len(workers), share=self.rules.eject_share):
            return False
        worker.health.eject(now=now)
        return True

    def _place_queued(self) -> None:
        self._placement_is_due = False
        if not self.queue.size:
            self._track_saturation(is_saturated=False)
            return
        free_slots = FreeSlots(free_slots_by_worker=self._free_slots_by_worker(), rng=self._random)
        self._place_on(free_slots)
        self._track_saturation(is_saturated=self.queue.size > 0 and not free_slots)
        if self.should_spill():
            self._place_on(
                FreeSlots(free_slots_by_worker=self.free_lender_slots(), rng=self._random)
            )
        if self.queue.size:
            self._on_backlog()

    def should_spill(self) -> bool:
        """Return whether tasks have waited long enough to be run in another domain.

        No task is sent on while tasks of other domains are queued here: those would then be
        separated from their owner by a chain of entries, each link of which can fail.
        """
        if not self.rules.spill or self._saturated_since is None:
            return False
        if self.queue.size_by_tenant.get(SPILLED_TENANT):
            return False
        return self._clock.monotonic() - self._saturated_since >= SPILL_AFTER_S

    def free_lender_slots(self) -> dict[Worker, int]:
        """Return the free slots that entries of other domains lend us, by lender."""
        free_slots = {
            worker: worker.slots - len(worker.placed_by_id)
            for worker in self.lender_by_name.values()
            if worker.is_usable() and not worker.is_backing_off()
        }
        return {worker: free for worker, free in free_slots.items() if free > 0}

    def _track_saturation(self, *, is_saturated: bool) -> None:
        """Record since when the pool is saturated, and when tasks of our own last waited."""
        if self.queue.size > self.queue.size_by_tenant.get(SPILLED_TENANT, 0):
            self.own_backlog_at = self._clock.monotonic()
        if not is_saturated:
            self._saturated_since = None
        elif self._saturated_since is None:
            self._saturated_since = self._clock.monotonic()

    def _place_on(self, free_slots: FreeSlots) -> None:
        """Place queued tasks on free slots, with one message per worker.

        :param free_slots: free slots; those that are taken are removed from it.
        """
        batch_by_worker: dict[Worker, list[Task]] = {}
        while free_slots:
            task = self.queue.pop()
            if task is None:
                break
            worker = free_slots.take()
            self.quotas.note_start(task.job.tenant)
            self._queue_delays_s.append(self._clock.monotonic() - task.queued_at)
            batch_by_worker.setdefault(worker, []).append(task)
        for worker, tasks in batch_by_worker.items():
            worker.place(tasks)

    def _free_slots_by_worker(self) -> dict[Worker, int]:
        """Return the free slots in our domain that this entry may use, by worker."""
        free_slots = {}
        for worker in self.usable_workers():
            if worker.is_backing_off() or worker.open_streams >= self._shares.max_streams(worker):
                continue
            allowed = min(self._shares.allowed(worker), worker.health.concurrency(worker.slots))
            free = allowed - len(worker.placed_by_id) - worker.held_slots
            if free > 0:
                free_slots[worker] = free
        return free_slots
