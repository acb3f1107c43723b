"""How an entry knows the workers: by the platform's list, or from an entry that has read it."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._cells import Cell
from zincwell.dispatch._feeds import TopicFollower
from zincwell.dispatch._known_workers import KnownWorkers
from zincwell.dispatch._messages import WorkerListSnapshot
from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch.ports import Store, Topic

log = logging.getLogger("zincwell.workers")

# Leaving workers must get nothing new 2 s after they said so; an owner reads often enough to be
# done by then with one read lost.
READ_PAUSE_S = 0.4
# News of the list that is older than this counts as missed, and an owner reads the list itself.
NEWS_FRESH_S = 1.0
# Part of a leaving worker's notice that the list may be old when tasks are started by it. The rest
# is for the way of the order to the worker.
USABLE_SHARE = 0.85
# An owner that reads each 0.4 s could hardly ever start tasks by a list that must be younger.
LEAST_USABLE_S = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class ListVersion:
    """What is known of the list of workers, and since when.

    :param offset: offset in the store's log up to which it is known, -1 before the first reading.
    :param read_at: when it was read, by this entry's clock.
    :param source: ``store``, or the name of the entry that told of it.
    :param cell: name of the cell whose workers it has; None if it has all.
    """

    offset: int = -1
    read_at: float = -math.inf
    source: str = ""
    cell: str | None = None


class WorkerList:
    """Keeps the listed workers up to date at the least cost for the store.

    Each worker writes to the list every 1.5 s, and a reader gets it all. Read by the owners of all
    cells, 300 entries and 1,500 workers ask the store for 50 MB a second. So only one owner of a
    failure domain reads it and tells the others there; successors hear it from their owner. Who
    hears nothing reads for itself.

    :param leave_notice_s: how long after it has said that it leaves a worker may get new work.
    :param has_service: tells whether the configuration names a service.
    :param on_change: called when the list may have changed.
    :param clock: a steady clock that counts the time that the VM was suspended.
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
        self._usable_s = max(leave_notice_s * USABLE_SHARE, LEAST_USABLE_S)
        self._has_service = has_service
        self._on_change = on_change
        self._known_workers = KnownWorkers()
        self._version = ListVersion()
        # When the list was read that the newest news tell of.
        self._told_at = -math.inf
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._feed = TopicFollower(
            store=store,
            topic=Topic.WORKERS,
            on_change=lambda keys: self.refresh(),
            clock=clock,
            pause_s=READ_PAUSE_S,
            wanted=False,
        )

    def close(self) -> None:
        """Read no more."""
        self._feed.close()

    @property
    def listed_by_id(self) -> dict[str, WorkerInfo]:
        """The listed workers of the services that the configuration names."""
        return self._known_workers.listed_by_id

    def recently_lapsed(self) -> list[WorkerInfo]:
        """Return workers that have left the list without a word and may be at work all the same."""
        return self._known_workers.recently_lapsed()

    def read_at(self) -> float:
        """Return when the list was read that is known here, by this entry's clock."""
        return self._newest_read_at() if self._covers(self._cell_directory.home) else -math.inf

    def age_s(self) -> float:
        """Return how old the list is that is known here, in seconds; infinite before the first."""
        return self._clock() - self.read_at()

    @property
    def source(self) -> str:
        """Where the list comes from: ``store``, or the name of the entry that told of it."""
        return self._version.source

    def is_usable(self) -> bool:
        """Return whether tasks may be started by the list.

        A worker may have said that it leaves after an old list was read. While the store gives
        no answer there is nothing newer, and the list holds as it was.
        """
        return self.age_s() < self._usable_s or self._feed.is_unanswered()

    def is_fresh(self) -> bool:
        """Return whether the list can be read, here or by who tells of it."""
        return self._feed.reachable or self._has_fresh_news()

    def follow(self, *, owns: bool) -> None:
        """Read the list as closely as this entry's part asks for."""
        wanted = owns and not self._has_fresh_news()
        if wanted and not self._feed.wanted:
            self._feed.read_soon()
        self._feed.wanted = wanted

    async def read_now(self, *, within_s: float) -> None:
        """Begin to read at once, and wait for the first reading for a limited time."""
        self.read_soon()
        until = self._loop.time() + within_s
        while self._feed.offset < 0 and self._loop.time() < until:
            await asyncio.sleep(within_s / 10)

    def read_soon(self) -> None:
        """Read at once, also if others tell of the list."""
        self._feed.wanted = True
        self._feed.read_soon()

    def refresh(self) -> None:
        """Take over what was read; also when the configuration names other services."""
        feed = self._feed
        if feed.offset < max(self._version.offset, 0):
            return
        infos = [record.value for record in feed.records_by_key.values()]
        version = ListVersion(offset=feed.offset, read_at=feed.read_at, source="store")
        self._update([info for info in infos if isinstance(info, WorkerInfo)], version)

    def make_snapshot(self, cell: Cell) -> WorkerListSnapshot | None:
        """Return what another owner or a successor should know of a cell's workers.

        None if nothing is known of them here.
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
        """Take note of what another entry has read.

        News that are older than an own reading change nothing, but there is no need to go on
        reading. Which is the older one is told by the places in the store's log: the time that news
        were under way is known only roughly.

        :param delay_s: how long the message was under way.
        """
        if snapshot.cell != self._cell_directory.home.name:
            return
        read_at = self._clock() - snapshot.age_s - delay_s
        self._told_at = max(self._told_at, read_at)
        if snapshot.place > self._version.offset or not self._covers(self._cell_directory.home):
            told = ListVersion(
                offset=snapshot.place, read_at=read_at, source=entry, cell=snapshot.cell
            )
            self._update(snapshot.workers, told)
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
        """Return when the list was read; readings since that brought nothing new confirm it."""
        if self._feed.offset < self._version.offset:
            return self._version.read_at
        return max(self._version.read_at, self._feed.read_at)

    def _covers(self, cell: Cell) -> bool:
        """Return whether the workers of a cell are known here at all."""
        return self._version.offset >= 0 and self._version.cell in (None, cell.name)

    def _has_fresh_news(self) -> bool:
        return self._clock() - self._told_at < NEWS_FRESH_S
