"""Free slots, with the worker to be chosen next always at hand."""

from __future__ import annotations

import heapq
import random

from zincwell.core._worker import Worker


class Rooms:
    """Free slots of workers.

    The worker with most room for its size goes next, a slow one counting as smaller, equal
    ones in random order. Kept in a heap: looking through all workers for each task costs more
    than the start itself once a domain has hundreds.
    """

    def __init__(self, *, room_by_worker: dict[Worker, int], source: random.Random):
        self._source = source
        self._heap = [self._item(worker, room) for worker, room in room_by_worker.items()]
        heapq.heapify(self._heap)

    def __bool__(self) -> bool:
        return bool(self._heap)

    def take(self) -> Worker:
        """Take one slot and return its worker."""
        _, _, room, worker = self._heap[0]
        if room > 1:
            heapq.heapreplace(self._heap, self._item(worker, room - 1))
        else:
            heapq.heappop(self._heap)
        return worker

    def _item(self, worker: Worker, room: int) -> tuple[float, float, int, Worker]:
        preference = room / max(1, worker.slots) / worker.health.slowness
        return -preference, self._source.random(), room, worker
