"""One pool: its queue, its workers, and which task goes to which worker."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from zincwell.core._health import may_eject_more, should_eject
from zincwell.core._jobs import Task
from zincwell.core._ordering import Queue
from zincwell.core._quotas import Quotas
from zincwell.core._retries import RetryBudget
from zincwell.core._shares import Shares
from zincwell.core._worker import Worker
from zincwell.document import Pool as PoolRules
from zincwell.ports import Clock

DELAY_WINDOW = 64


class Pool:
    """Queue and workers of one pool as this entry has them.

    :param on_starved: called when tasks wait for which there is no room.
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
        on_starved: Callable[[], None],
    ):
        self._on_starved = on_starved
        self.quotas = quotas
        self.retry_budget = RetryBudget()
        self.name = name
        self.rules = rules
        self.queue = queue
        self.worker_by_name: dict[str, Worker] = {}
        self._shares = shares
        self._clock = clock
        self._random = random.Random(seed)
        self._delays: deque[float] = deque(maxlen=DELAY_WINDOW)
        self._pump_is_due = False

    def wake(self) -> None:
        """Place what can be placed, once for all that happens in this turn of the loop."""
        if not self._pump_is_due:
            self._pump_is_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    def usable_workers(self) -> list[Worker]:
        """Return the workers that may get a task."""
        now = self._clock.monotonic()
        return [
            worker
            for worker in self.worker_by_name.values()
            if worker.is_usable() and not worker.health.is_ejected(now=now)
        ]

    def slots(self) -> int:
        """Return the slots of all usable workers."""
        return sum(worker.slots for worker in self.usable_workers())

    def largest_memory_mb(self) -> int:
        """Return the memory of the largest worker, in MB."""
        return max((worker.vm.memory_mb for worker in self.worker_by_name.values()), default=0)

    def judge(self, worker: Worker) -> bool:
        """Eject a worker that fails much more than its peers; tell whether it was."""
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

    def _pump(self) -> None:
        self._pump_is_due = False
        rooms = self._rooms()
        batch_by_worker: dict[str, list[Task]] = {}
        while rooms:
            task = self.queue.pop()
            if task is None:
                break
            worker = self._choose(rooms)
            self.quotas.note_start(task.job.tenant)
            self._delays.append(self._clock.monotonic() - task.queued_at)
            batch_by_worker.setdefault(worker.name, []).append(task)
            rooms[worker] -= 1
            if rooms[worker] <= 0:
                del rooms[worker]
        for name, tasks in batch_by_worker.items():
            self.worker_by_name[name].place(tasks)
        if self.queue.size:
            self._on_starved()

    def _rooms(self) -> dict[Worker, int]:
        """Return the free slots that this entry may use, by worker."""
        rooms = {}
        for worker in self.usable_workers():
            if worker.is_backing_off() or worker.open_streams >= self._shares.connections(worker):
                continue
            allowed = min(self._shares.allowed(worker), worker.health.concurrency(worker.slots))
            room = allowed - len(worker.placed_by_id) - worker.held
            if room > 0:
                rooms[worker] = room
        return rooms

    def _choose(self, rooms: dict[Worker, int]) -> Worker:
        """Choose the worker with most room for its size, slow ones counting as smaller."""
        return max(rooms, key=lambda worker: self._preference(worker, rooms[worker]))

    def _preference(self, worker: Worker, room: int) -> tuple[float, float]:
        return room / max(1, worker.slots) / worker.health.slowness, self._random.random()
