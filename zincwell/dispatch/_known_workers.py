"""The platform's worker list and the workers whose entries have recently expired."""

from __future__ import annotations

import asyncio

from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch.decisions import Sighting, compare_incarnation

# A new owner also probes workers whose list entries expired within this time. While the store is
# unavailable entries expire although the workers are alive, and they return about two seconds after
# the store does.
LAPSED_RETENTION_S = 5.0


class KnownWorkers:
    """Tracks listed and recently expired workers, whether or not this entry is the owner."""

    def __init__(self) -> None:
        self.listed_by_id: dict[str, WorkerInfo] = {}
        self._lapsed_by_id: dict[str, tuple[WorkerInfo, float]] = {}
        self._loop = asyncio.get_running_loop()

    def update(self, listed: dict[str, WorkerInfo]) -> None:
        """Replace the list and note the workers that have left it.

        A record of an earlier incarnation than the known one is a stale read or another writer's,
        and changes nothing.
        """
        now = self._loop.time()
        listed = self._without_older_records(listed)
        for worker_id in self.listed_by_id.keys() - listed.keys():
            self._lapsed_by_id[worker_id] = (self.listed_by_id[worker_id], now)
        self.listed_by_id = listed
        self._lapsed_by_id = {
            worker_id: (info, at)
            for worker_id, (info, at) in self._lapsed_by_id.items()
            if worker_id not in listed and now - at < LAPSED_RETENTION_S
        }

    def _without_older_records(self, listed: dict[str, WorkerInfo]) -> dict[str, WorkerInfo]:
        current = {}
        for worker_id, info in listed.items():
            known = self._newest_known(worker_id)
            sighting = compare_incarnation(info.born_ms, known_ms=known.born_ms if known else None)
            if sighting is not Sighting.OLDER:
                current[worker_id] = info
            elif worker_id in self.listed_by_id:
                current[worker_id] = self.listed_by_id[worker_id]
        return current

    def _newest_known(self, worker_id: str) -> WorkerInfo | None:
        known = self.listed_by_id.get(worker_id)
        lapsed = self._lapsed_by_id.get(worker_id)
        return known or (lapsed[0] if lapsed is not None else None)

    def recently_lapsed(self) -> list[WorkerInfo]:
        """Return workers that left the list without draining and may still be running tasks."""
        now = self._loop.time()
        return [
            info
            for info, at in self._lapsed_by_id.values()
            if now - at < LAPSED_RETENTION_S and not info.draining
        ]
