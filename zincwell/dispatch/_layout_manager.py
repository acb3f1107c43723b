"""Divides the pool into cells when one owner can't carry it, and joins them again."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

import msgspec

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._cells import LAYOUT_KEY, make_layout
from zincwell.dispatch._types import EntryInfo, WorkerInfo
from zincwell.dispatch.decisions import CellShape, DomainSize, plan_cells
from zincwell.dispatch.ports import (
    Store,
    StoreConflictError,
    StoreRecord,
    StoreUnavailableError,
    Topic,
)

log = logging.getLogger("zincwell.cells")

LAYOUT_CHECK_INTERVAL_S = 0.5
# A plan must stay the same for this many seconds before it is carried out. After a start, workers
# and entries are listed within two. Cells are joined much later: during an outage of the store
# workers lapse in the list, and are back only some seconds after it.
DIVIDE_AFTER_S = 2.0
JOIN_AFTER_S = 60.0


class LayoutManager:
    """Looks whether the layout fits the pool, as the owner of the first cell.

    :param on_layout: called with the record of a new layout.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        store: Store,
        cell_directory: CellDirectory,
        on_layout: Callable[..., None],
    ) -> None:
        self._me = me
        self._store = store
        self._cell_directory = cell_directory
        self._on_layout = on_layout
        self._loop = asyncio.get_running_loop()
        self._plan: list[CellShape] = []
        self._entries: list[EntryInfo] = []
        self._planned_at = 0.0

    def is_change_due(self, *, entries: Iterable[EntryInfo], workers: Iterable[WorkerInfo]) -> bool:
        """Return whether another layout has been the better one for long enough."""
        self._entries = list(entries)
        domains = count_domains(self._entries, workers)
        current = self._current(domains)
        plan = list(plan_cells(domains, current)) if domains else current
        now = self._loop.time()
        if plan != self._plan:
            self._plan, self._planned_at = plan, now
        if plan == current:
            return False
        more = sum(shape.parts for shape in plan) > sum(shape.parts for shape in current)
        return now - self._planned_at >= (DIVIDE_AFTER_S if more else JOIN_AFTER_S)

    async def create_initial_layout(
        self, *, entries: Iterable[EntryInfo], workers: Iterable[WorkerInfo]
    ) -> bool:
        """Write the first layout of a pool that nobody owns yet, if it needs several cells.

        An owner of the whole pool, for the seconds until the pool is divided, would send each
        heartbeat to all entries and hold all workers: with 300 entries it falls behind, the others
        take it for lost, and each asks all others for it.
        """
        self._entries = list(entries)
        domains = count_domains(self._entries, workers)
        if not domains or self._cell_directory.layout_offset >= 0:
            return False
        self._plan = list(plan_cells(domains, ()))
        if sum(shape.parts for shape in self._plan) == 1:
            return False
        await self.change()
        return True

    def _current(self, domains: dict[str, DomainSize]) -> list[CellShape]:
        """Return the shapes in force; a pool that was never divided has all domains in one."""
        everything = tuple(sorted(domains))
        return [
            shape if shape.domains else replace(shape, domains=everything)
            for shape in self._cell_directory.layout.shapes()
        ]

    async def change(self) -> None:
        """Write the planned layout, unless somebody has written to the log meanwhile."""
        known = self._cell_directory.layout_offset
        layout = make_layout(
            self._plan,
            mark=f"{self._me.incarnation[-6:]}-{known + 1}",
            before=self._cell_directory.layout,
            entries=self._entries,
        )
        value = msgspec.json.encode(layout)
        try:
            page = await self._store.newest(Topic.CLAIMS)
            for record in page.records:
                if record.key == LAYOUT_KEY and record.offset > known:
                    self._on_layout(record)
                    return
            offset = await self._store.append(
                Topic.CLAIMS, key=LAYOUT_KEY, value=value, at=page.end
            )
        except StoreConflictError:
            return
        except StoreUnavailableError as error:
            log.info('layout_unchanged error="%s"', error)
            return
        log.info("layout_changed cells=%d", len(layout.cells))
        self._on_layout(StoreRecord(key=LAYOUT_KEY, offset=offset, value=value))


def count_domains(
    entries: Iterable[EntryInfo], workers: Iterable[WorkerInfo]
) -> dict[str, DomainSize]:
    """Return what each failure domain has."""
    sizes: dict[str, DomainSize] = {}
    for entry in entries:
        size = sizes.get(entry.zone, DomainSize())
        sizes[entry.zone] = replace(size, cores=(*size.cores, entry.cores))
    for worker in workers:
        size = sizes.get(worker.zone, DomainSize())
        sizes[worker.zone] = replace(size, workers=size.workers + 1)
    return sizes
