"""The record in the store that names all workers of a cell's owner, for a later owner."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable, Iterable

import msgspec
from msgspec import Struct

from zincwell._decoding import make_decoder
from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._messages import WorkerListSnapshot
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch._worker_reports import WorkerReports
from zincwell.dispatch.ports import (
    Store,
    StoreConflictError,
    StoreRecord,
    StoreUnavailableError,
    Topic,
)
from zincwell.exceptions import MalformedJsonError

log = logging.getLogger("zincwell.workers")

# Interval at which an owner compares the workers in use with its record, and the least time between
# two writes, which may follow each other when many workers join.
CHECK_INTERVAL_S = 0.1
# Pause after a call that the store has not answered or has rejected.
RETRY_PAUSE_S = 0.3
# An owner whose first record would be larger writes none. The store takes twice as much, so that
# the record can grow during the term.
MAX_FIRST_RECORD_BYTES = 128 * 1024


class WorkerRecord(Struct, frozen=True, kw_only=True):
    """All workers that the owner with a fencing token uses."""

    fence: int
    workers: list[WorkerInfo]


_decode_record = make_decoder(WorkerRecord)


class StoredReports:
    """Writes the workers of this entry's owner to the store, and reads those of the owner before.

    Other entries have the report of an owner as well (`WorkerReports`), but may all end with it.
    The record needs no age: an owner writes the first one of its term when it knows all workers of
    the owner before, and from then on uses no other worker before the store has acknowledged a
    record that names it. Each write is on condition that the topic has no later record, so that one
    that is carried out late replaces no newer one.

    :param get_owner: returns the owner that this entry hosts.
    :param on_usable: called when further workers may be used.
    """

    def __init__(
        self,
        *,
        store: Store,
        cell_directory: CellDirectory,
        worker_reports: WorkerReports,
        get_owner: Callable[[], Owner | None],
        on_usable: Callable[[], None],
    ) -> None:
        self._store = store
        self._cell_directory = cell_directory
        self._worker_reports = worker_reports
        self._get_owner = get_owner
        self._on_usable = on_usable
        self._elected = asyncio.Event()
        self._fence = 0
        # The end of the topic as last read; None if it has to be read again.
        self._end: int | None = None
        # The workers that records of this term name, by id: those that are acknowledged, and those
        # that may be used. All may be used until the first record is written.
        self._stored_by_id: dict[str, WorkerInfo] | None = None
        self._usable_by_id: dict[str, WorkerInfo] | None = None

    def begin_term(self) -> None:
        """Read the record of the owner before at once, if no entry has sent its report."""
        self._elected.set()

    def choose_usable(self, listed: dict[str, WorkerInfo]) -> dict[str, WorkerInfo]:
        """Return the listed workers that the owner may use, with their last usable addresses."""
        owner, usable = self._get_owner(), self._usable_by_id
        if usable is None or owner is None or owner.fence != self._fence:
            return listed
        return {
            worker_id: info if _is_same_address(info, usable) else usable[worker_id]
            for worker_id, info in listed.items()
            if worker_id in usable
        }

    async def run(self) -> None:
        """Write the record whenever the workers in use change."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._elected.wait()
            except TimeoutError:
                pass
            self._elected.clear()
            owner = self._get_owner()
            if owner is None or owner.domain is not None:
                continue
            try:
                await self._update(owner)
            except StoreConflictError:
                self._end = None
            except StoreUnavailableError as error:
                self._end = None
                log.info('worker_record_failed fence=%d error="%s"', owner.fence, error)
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _update(self, owner: Owner) -> None:
        if owner.fence != self._fence:
            self._fence, self._end = owner.fence, None
            self._stored_by_id = self._usable_by_id = None
        if self._end is None and not await self._read(owner):
            return
        if self._get_owner() is owner and self._worker_reports.are_all_workers_known():
            await self._write(owner)

    async def _read(self, owner: Owner) -> bool:
        """Read the record of the owner before; return whether no later one has written its own."""
        page = await self._store.newest(Topic.WORKER_RECORDS)
        key = self._cell_directory.home.claim_key()
        record = next((_decode(r) for r in page.records if r.key == key), None)
        if self._get_owner() is not owner or owner.fence != self._fence:
            return False
        if record is not None and record.fence == self._worker_reports.missing_fence():
            report = WorkerListSnapshot(
                cell=self._cell_directory.home.name,
                place=-1,
                workers=record.workers,
                fence=record.fence,
                complete=True,
            )
            log.info("worker_record_read fence=%d workers=%d", record.fence, len(record.workers))
            self._worker_reports.note_report(report, delay_s=0.0, owner=owner)
        if record is not None and record.fence > owner.fence:
            return False
        self._end = page.end
        return True

    async def _write(self, owner: Owner) -> None:
        listed = self._worker_reports.listed_workers()
        infos_by_id = {info.id: info for info in [*owner.workers_in_use(), *listed]}
        if self._stored_by_id is not None and _name_the_same(self._stored_by_id, infos_by_id):
            return
        value = _encode(owner.fence, infos_by_id.values())
        if self._usable_by_id is None:
            if len(value) > MAX_FIRST_RECORD_BYTES:
                return
            # The write may take effect unanswered.
            self._usable_by_id = infos_by_id
        key, fence = self._cell_directory.home.claim_key(), owner.fence
        offset = await self._store.append(Topic.WORKER_RECORDS, key=key, value=value, at=self._end)
        self._end = offset + 1
        log.info("worker_record_written fence=%d workers=%d", fence, len(infos_by_id))
        if fence == self._fence:
            self._stored_by_id = self._usable_by_id = infos_by_id
            if self._get_owner() is owner:
                self._on_usable()


def _is_same_address(info: WorkerInfo, known_by_id: dict[str, WorkerInfo]) -> bool:
    return known_by_id[info.id].address == info.address


def _name_the_same(known_by_id: dict[str, WorkerInfo], infos_by_id: dict[str, WorkerInfo]) -> bool:
    return known_by_id.keys() == infos_by_id.keys() and all(
        _is_same_address(info, known_by_id) for info in infos_by_id.values()
    )


def _encode(fence: int, workers: Iterable[WorkerInfo]) -> bytes:
    record = WorkerRecord(fence=fence, workers=sorted(workers, key=lambda info: info.id))
    return zlib.compress(msgspec.json.encode(record), 1)


def _decode(record: StoreRecord) -> WorkerRecord | None:
    """Decode a record; log an error and return None if it is invalid."""
    try:
        return _decode_record(zlib.decompress(record.value or b""))
    except (MalformedJsonError, zlib.error) as error:
        log.error('worker_record_unreadable key=%s error="%s"', record.key, error)
        return None
