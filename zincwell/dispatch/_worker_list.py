"""The worker list, read from the store or received from an entry that has read it."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._cells import Cell
from zincwell.dispatch._known_workers import KnownWorkers
from zincwell.dispatch._messages import WorkerListSnapshot
from zincwell.dispatch._topic_follower import TopicFollower
from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch.ports import Store, Topic

log = logging.getLogger("zincwell.workers")

# Pause between two reads. A leaving worker must get no new tasks from 2 s after its announcement
# on, which still holds if one read is lost.
READ_PAUSE_S = 0.4
# Without a snapshot of at most this age from another entry, an owner reads the list itself.
SNAPSHOT_FRESH_S = 1.0
# Maximum age of a list used for starting tasks, as a fraction of the notice period of leaving
# workers. The rest covers the delivery of the start order to the worker.
USABLE_NOTICE_FRACTION = 0.85
# Lower bound of the maximum age: with one read each 0.4 s, an owner could hardly ever meet a
# stricter limit.
MIN_USABLE_AGE_S = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class ListVersion:
    """Version, age and origin of the known worker list.

    :param offset: log offset up to which the list is known, -1 before the first read.
    :param read_at: time at which it was read, by this entry's clock.
    :param source: ``store``, or the name of the entry that sent it.
    :param cell: name of the cell that the list is restricted to, None if it is complete.
    """

    offset: int = -1
    read_at: float = -math.inf
    source: str = ""
    cell: str | None = None


class WorkerList:
    """Keeps the worker list up to date with few reads of the store.

    Each worker renews its record every 1.5 s, and a reader receives all records. With 300 entries
    and 1,500 workers, reads by the owners of all cells would take 50 MB per second from the store.
    Therefore one owner per failure domain reads the list and sends it to the other owners there,
    and successors receive it from their owner. An owner that gets no snapshots reads the store.

    :param leave_notice_s: how long a worker accepts new tasks after announcing that it leaves.
    :param has_service: returns whether the configuration has a service.
    :param on_change: called when the list may have changed.
    :param clock: monotonic clock that includes the time during which the VM was suspended.
    """

    def __init__(
        self,
        *,
        store: Store,
        cell_directory: CellDirectory,
        leave_notice_s: float,
        has_service: Callable[[str], bool],
        on_change: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._cell_directory = cell_directory
        self._max_usable_age_s = max(leave_notice_s * USABLE_NOTICE_FRACTION, MIN_USABLE_AGE_S)
        self._has_service = has_service
        self._on_change = on_change
        self._known_workers = KnownWorkers()
        self._version = ListVersion()
        # Read time of the most recent list received from another entry.
        self._snapshot_read_at = -math.inf
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._feed = TopicFollower(
            store=store,
            topic=Topic.WORKERS,
            on_change=lambda keys: self.refresh(),
            clock=clock,
            pause_s=READ_PAUSE_S,
            enabled=False,
        )

    def close(self) -> None:
        """Stop reading the list."""
        self._feed.close()

    @property
    def listed_by_id(self) -> dict[str, WorkerInfo]:
        """The listed workers of configured services, by id."""
        return self._known_workers.listed_by_id

    def recently_lapsed(self) -> list[WorkerInfo]:
        """Return workers that recently expired without notice and may still run tasks."""
        return self._known_workers.recently_lapsed()

    def read_at(self) -> float:
        """Return the time at which the list was read, by this entry's clock.

        Minus infinity if the workers of the home cell are not known yet.
        """
        return self._newest_read_at() if self._covers(self._cell_directory.home) else -math.inf

    def age_s(self) -> float:
        """Return the age of the list in seconds, infinite before the first read."""
        return self._clock() - self.read_at()

    @property
    def source(self) -> str:
        """The origin of the list: ``store``, or the name of the entry that sent it."""
        return self._version.source

    def is_usable(self) -> bool:
        """Return whether the list is recent enough for starting tasks.

        An old list lacks the leave announcements made since it was read. While the store is
        unavailable, no newer list can be had, and the known one stays usable.
        """
        return self.age_s() < self._max_usable_age_s or self._feed.is_store_unresponsive()

    def is_fresh(self) -> bool:
        """Return whether the list can be read, by this entry or by one that sends snapshots."""
        return self._feed.reachable or self._has_fresh_snapshot()

    def update_reading(self, *, is_owner: bool) -> None:
        """Read the list periodically if this entry is an owner without recent snapshots."""
        enabled = is_owner and not self._has_fresh_snapshot()
        if enabled and not self._feed.enabled:
            self._feed.request_read()
        self._feed.enabled = enabled

    async def read_now(self, *, within_s: float) -> None:
        """Start a read and wait a limited time for the first read to finish."""
        self.request_read()
        until = self._loop.time() + within_s
        while self._feed.offset < 0 and self._loop.time() < until:
            await asyncio.sleep(within_s / 10)

    def request_read(self) -> None:
        """Read the list at once, even if other entries send snapshots."""
        self._feed.enabled = True
        self._feed.request_read()

    def refresh(self) -> None:
        """Apply the records read from the store; also called when the configuration changes."""
        feed = self._feed
        if feed.offset < max(self._version.offset, 0):
            return
        infos = [record.value for record in feed.records_by_key.values()]
        version = ListVersion(offset=feed.offset, read_at=feed.read_at, source="store")
        self._update([info for info in infos if isinstance(info, WorkerInfo)], version)

    def make_snapshot(self, cell: Cell) -> WorkerListSnapshot | None:
        """Return a snapshot with the workers of a cell, for its owner or a successor.

        None if the workers of the cell are not known here.
        """
        if not self._covers(cell):
            return None
        covered = [
            info
            for info in self.listed_by_id.values()
            if self._cell_directory.layout.cell_of(info.zone, info.id) is cell
        ]
        return WorkerListSnapshot(
            cell=cell.name,
            place=self._version.offset,
            workers=covered,
            age_s=round(self._clock() - self._newest_read_at(), 3),
        )

    def note_snapshot(self, snapshot: WorkerListSnapshot, *, entry: str, delay_s: float) -> None:
        """Apply a snapshot of the list that another entry has read.

        A snapshot older than the known list changes nothing, but shows that this entry need not
        read the store itself. Versions are ordered by log offset, since the delay of a message is
        known only approximately.

        :param entry: name of the sender.
        :param delay_s: delay of the message in seconds.
        """
        if snapshot.cell != self._cell_directory.home.name:
            return
        read_at = self._clock() - snapshot.age_s - delay_s
        self._snapshot_read_at = max(self._snapshot_read_at, read_at)
        if snapshot.place > self._version.offset or not self._covers(self._cell_directory.home):
            snapshot_version = ListVersion(
                offset=snapshot.place, read_at=read_at, source=entry, cell=snapshot.cell
            )
            self._update(snapshot.workers, snapshot_version)
        elif snapshot.place == self._version.offset:
            read_at = max(read_at, self._version.read_at)
            self._version = replace(self._version, read_at=read_at)

    def _update(self, infos: list[WorkerInfo], version: ListVersion) -> None:
        if version.source != self._version.source:
            age_ms = (self._clock() - version.read_at) * 1000
            log.info(
                "list_source from=%s place=%d age_ms=%d", version.source, version.offset, age_ms
            )
        self._version = version
        self._known_workers.update({i.id: i for i in infos if self._has_service(i.service)})
        self._on_change()

    def _newest_read_at(self) -> float:
        """Return the time of the last read, including reads that brought no newer records."""
        if self._feed.offset < self._version.offset:
            return self._version.read_at
        return max(self._version.read_at, self._feed.read_at)

    def _covers(self, cell: Cell) -> bool:
        """Return whether the known list includes the workers of a cell."""
        return self._version.offset >= 0 and self._version.cell in (None, cell.name)

    def _has_fresh_snapshot(self) -> bool:
        return self._clock() - self._snapshot_read_at < SNAPSHOT_FRESH_S
