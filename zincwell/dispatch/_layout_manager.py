"""Divides the pool into cells if it is too large for one owner, and merges cells again."""

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
# A plan must remain the same for this long before it is applied. After a start, all workers and
# entries are listed within 2 s. Cells are merged after a much longer time, because workers expire
# from the list during an outage of the store and return to it only some seconds later.
DIVIDE_AFTER_S = 2.0
MERGE_AFTER_S = 60.0


class LayoutManager:
    """Checks whether the layout fits the pool; runs on the owner of the first cell.

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
        """Return whether the same better layout has been planned for long enough."""
        self._entries = list(entries)
        domains = count_domains(self._entries, workers)
        current = self._current_shapes(domains)
        plan = list(plan_cells(domains, current)) if domains else current
        now = self._loop.time()
        if plan != self._plan:
            self._plan, self._planned_at = plan, now
        if plan == current:
            return False
        divides = sum(shape.parts for shape in plan) > sum(shape.parts for shape in current)
        return now - self._planned_at >= (DIVIDE_AFTER_S if divides else MERGE_AFTER_S)

    async def create_initial_layout(
        self, *, entries: Iterable[EntryInfo], workers: Iterable[WorkerInfo]
    ) -> bool:
        """Write the first layout of a pool without owner if it needs several cells.

        Otherwise one owner would send heartbeats to all entries and renew the leases of all workers
        for the seconds until the pool is divided. With 300 entries it can't keep up; the others
        consider it lost, and each of them probes all others.

        :returns: whether the pool needs several cells and has no layout yet.
        """
        self._entries = list(entries)
        domains = count_domains(self._entries, workers)
        if not domains or self._cell_directory.layout_offset >= 0:
            return False
        self._plan = list(plan_cells(domains, ()))
        if sum(shape.parts for shape in self._plan) == 1:
            return False
        await self.write_layout()
        return True

    def _current_shapes(self, domains: dict[str, DomainSize]) -> list[CellShape]:
        """Return the current shapes; an undivided pool has one shape with all domains."""
        all_domains = tuple(sorted(domains))
        return [
            shape if shape.domains else replace(shape, domains=all_domains)
            for shape in self._cell_directory.layout.shapes()
        ]

    async def write_layout(self) -> None:
        """Write the planned layout, unless the log of claims has changed in the meantime."""
        known_offset = self._cell_directory.layout_offset
        layout = make_layout(
            self._plan,
            suffix=f"{self._me.incarnation[-6:]}-{known_offset + 1}",
            previous=self._cell_directory.layout,
            entries=self._entries,
        )
        value = msgspec.json.encode(layout)
        try:
            page = await self._store.newest(Topic.CLAIMS)
            for record in page.records:
                if record.key == LAYOUT_KEY and record.offset > known_offset:
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
    """Return the number of workers and the cores of the entries of each failure domain."""
    sizes: dict[str, DomainSize] = {}
    for entry in entries:
        size = sizes.get(entry.zone, DomainSize())
        sizes[entry.zone] = replace(size, cores=(*size.cores, entry.cores))
    for worker in workers:
        size = sizes.get(worker.zone, DomainSize())
        sizes[worker.zone] = replace(size, workers=size.workers + 1)
    return sizes
