"""Free slots of workers, in a heap ordered by preference."""

from __future__ import annotations

import heapq
import random

from zincwell.core._worker import Worker


class FreeSlots:
    """Free slots of workers, taken one by one.

    The next slot is one of the worker with the largest share of free slots, divided by its
    slowness; ties are broken at random. A heap is used because a scan of all workers per task
    costs more than the start itself once a domain has hundreds of workers.

    :param free_slots_by_worker: number of free slots, at least 1.
    :param rng: random numbers that break ties.
    """

    def __init__(self, *, free_slots_by_worker: dict[Worker, int], rng: random.Random):
        self._rng = rng
        self._heap = [self._item(worker, free) for worker, free in free_slots_by_worker.items()]
        heapq.heapify(self._heap)

    def __bool__(self) -> bool:
        return bool(self._heap)

    def take(self) -> Worker:
        """Take one slot and return its worker."""
        _, _, free, worker = self._heap[0]
        if free > 1:
            heapq.heapreplace(self._heap, self._item(worker, free - 1))
        else:
            heapq.heappop(self._heap)
        return worker

    def _item(self, worker: Worker, free: int) -> tuple[float, float, int, Worker]:
        preference = free / max(1, worker.slots) / worker.health.slowness
        return -preference, self._rng.random(), free, worker
