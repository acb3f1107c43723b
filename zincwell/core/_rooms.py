"""Free slots of workers, in a heap ordered by preference."""

from __future__ import annotations

import heapq
import random

from zincwell.core._worker import Worker


class Rooms:
    """Free slots of workers, taken one by one.

    The next slot is one of the worker with the largest share of free slots, divided by its
    slowness; ties are broken at random. A heap is used because a scan of all workers per task
    costs more than the start itself once a domain has hundreds of workers.

    :param room_by_worker: number of free slots, at least 1.
    :param source: random numbers that break ties.
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
