"""The platform's list of workers, and those that have just lapsed in it."""

from __future__ import annotations

import asyncio

from zincwell.dispatch._types import WorkerInfo

# Workers that lapsed in the list, as they do while the store is away, are back in it about two
# seconds after the store is; a new owner still asks those that lapsed within this many seconds.
LAPSED_S = 5.0


class KnownWorkers:
    """What is known of the workers, whether or not this entry is owner."""

    def __init__(self) -> None:
        self.listed_by_id: dict[str, WorkerInfo] = {}
        self._lapsed_by_id: dict[str, tuple[WorkerInfo, float]] = {}
        self._loop = asyncio.get_running_loop()

    def update(self, listed: dict[str, WorkerInfo]) -> None:
        """Follow the list."""
        now = self._loop.time()
        for worker_id in self.listed_by_id.keys() - listed.keys():
            self._lapsed_by_id[worker_id] = (self.listed_by_id[worker_id], now)
        self.listed_by_id = listed
        self._lapsed_by_id = {
            worker_id: (info, at)
            for worker_id, (info, at) in self._lapsed_by_id.items()
            if worker_id not in listed and now - at < LAPSED_S
        }

    def recently_lapsed(self) -> list[WorkerInfo]:
        """Return workers that have left the list without a word and may be at work all the same."""
        now = self._loop.time()
        return [
            info
            for info, at in self._lapsed_by_id.values()
            if now - at < LAPSED_S and not info.draining
        ]
