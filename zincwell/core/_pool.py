"""One pool: its queue, its workers, and which task goes to which worker."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from zincwell.core._follow import NEVER
from zincwell.core._health import may_eject_more, should_eject
from zincwell.core._jobs import GUEST_TENANT, Task
from zincwell.core._ordering import Queue
from zincwell.core._quotas import Quotas
from zincwell.core._retries import RetryBudget
from zincwell.core._rooms import Rooms
from zincwell.core._shares import Shares
from zincwell.core._worker import Worker
from zincwell.document import Pool as PoolRules
from zincwell.ports import Clock

DELAY_WINDOW = 64
SPILL_AFTER_S = 0.03


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
        self.lender_by_name: dict[str, Worker] = {}
        self._retiring: list[Worker] = []
        self._full_since: float | None = None
        self.own_waited_at = NEVER
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
        """Return the slots of all usable workers, and those that other domains lend us."""
        lenders = [worker for worker in self.lender_by_name.values() if worker.is_usable()]
        return sum(worker.slots for worker in [*self.usable_workers(), *lenders])

    def room(self) -> int:
        """Return the free slots of our own domain that this entry may use."""
        return sum(self._rooms().values())

    def capacity(self) -> int:
        """Return the slots of our own domain, free or not, that this entry may use."""
        return sum(self._shares.allowed(worker) for worker in self.usable_workers())

    def all_workers(self) -> list[Worker]:
        """Return all workers that may run tasks of ours, here and in other domains."""
        lenders = self.lender_by_name.values()
        return [*self.worker_by_name.values(), *lenders, *self._retiring]

    def take_out(self, name: str) -> Worker:
        """Give a worker nothing new; cancels and stop rules still reach its tasks."""
        worker = self.worker_by_name.pop(name)
        self._retiring.append(worker)
        return worker

    async def let_go(self, worker: Worker) -> None:
        """Release a worker that was taken out, once what runs there has ended."""
        await worker.retire()
        self._retiring.remove(worker)

    def find_worker(self, name: str) -> Worker | None:
        """Return a worker, lender or worker that was taken out, by name."""
        found = self.worker_by_name.get(name) or self.lender_by_name.get(name)
        retiring = (worker for worker in self._retiring if worker.name == name)
        return found or next(retiring, None)

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
        if not self.queue.size:
            self._note_fullness(is_full=False)
            return
        rooms = Rooms(room_by_worker=self._rooms(), source=self._random)
        self._fill(rooms)
        self._note_fullness(is_full=self.queue.size > 0 and not rooms)
        if self.wants_to_spill():
            self._fill(Rooms(room_by_worker=self.lender_rooms(), source=self._random))
        if self.queue.size:
            self._on_starved()

    def wants_to_spill(self) -> bool:
        """Tell whether tasks have waited long enough to be run in another domain.

        Guests are not passed on: a chain of entries would stand between a task and its owner,
        each link of which can break.
        """
        if not self.rules.spill or self._full_since is None:
            return False
        if self.queue.size_by_tenant.get(GUEST_TENANT):
            return False
        return self._clock.monotonic() - self._full_since >= SPILL_AFTER_S

    def lender_rooms(self) -> dict[Worker, int]:
        """Return the free slots that entries of other domains have promised us."""
        rooms = {
            worker: worker.slots - len(worker.placed_by_id)
            for worker in self.lender_by_name.values()
            if worker.is_usable() and not worker.is_backing_off()
        }
        return {worker: room for worker, room in rooms.items() if room > 0}

    def _note_fullness(self, *, is_full: bool) -> None:
        """Note since when tasks have waited for slots without a break, and own ones at all."""
        if self.queue.size > self.queue.size_by_tenant.get(GUEST_TENANT, 0):
            self.own_waited_at = self._clock.monotonic()
        if not is_full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = self._clock.monotonic()

    def _fill(self, rooms: Rooms) -> None:
        """Place queued tasks in the rooms given, each worker's in one message.

        :param rooms: free slots; what is left of them afterwards stays in it.
        """
        batch_by_worker: dict[Worker, list[Task]] = {}
        while rooms:
            task = self.queue.pop()
            if task is None:
                break
            worker = rooms.take()
            self.quotas.note_start(task.job.tenant)
            self._delays.append(self._clock.monotonic() - task.queued_at)
            batch_by_worker.setdefault(worker, []).append(task)
        for worker, tasks in batch_by_worker.items():
            worker.place(tasks)

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
