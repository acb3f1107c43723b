"""Reachability of the entries of a cell, as its owner observes it."""

from __future__ import annotations

import asyncio

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._domains import DomainMonitor
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch._worker_list import WorkerList

# While a partition lasts or the pool has several cells, the jobs of an entry are stopped if it has
# not answered for this long. Its callers notice at once that it has failed and resubmit their jobs
# 1.3 s later; a stop takes up to 0.2 s.
ENTRY_TIMEOUT_S = 0.9
# Otherwise the jobs of an entry go on, because its callers find them again through another entry.
# They are stopped after this time: the entry may have cancelled jobs in vain, whose runs must end
# within 4 s, and a stop takes up to 0.2 s.
ENTRY_LOST_S = 3.0


class ReachabilityMonitor:
    """Tracks which entries of the home cell its owner can reach.

    :param domains: tells which failure domains are cut off.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        cell_directory: CellDirectory,
        directory: EntryDirectory,
        worker_list: WorkerList,
        domains: DomainMonitor,
    ) -> None:
        self._me = me
        self._cell_directory = cell_directory
        self._directory = directory
        self._worker_list = worker_list
        self._domains = domains
        self._later_layout_since_by_name: dict[str, float] = {}

    def note_layout(self, entry: str, offset: int) -> None:
        """Record the log offset of the layout that an entry follows.

        An entry that follows a later layout submits its jobs to other owners, and this owner can't
        end its term by a layout that it does not know.
        """
        if offset <= self._cell_directory.layout_offset:
            self._later_layout_since_by_name.pop(entry, None)
        else:
            now = asyncio.get_running_loop().time()
            self._later_layout_since_by_name.setdefault(entry, now)

    def reaches_all_domains(self, *, elected_at: float) -> bool:
        """Return whether all failure domains are reachable, and have been for long enough."""
        if self._worker_list.read_at() < elected_at:
            # Workers that were added since this entry read the list may be running tasks.
            return False
        links = self._directory.links_by_name.values()
        return self._domains.reaches_all(self._directory.cell_members(), links)

    def end_jobs_of_unreachable_entries(self, owner: Owner) -> None:
        """Stop the jobs of entries that are cut off by a partition or may have failed.

        During a partition, the callers of a failed entry may resubmit their jobs on the other side,
        which would run them a second time.
        """
        if not self._worker_list.is_fresh():
            self._domains.note_worker_list_unavailable()
        silent = self._find_silent_entries(ENTRY_TIMEOUT_S)
        if self._cell_directory.other_cells():
            # The callers of a failed entry may resubmit their jobs to any cell, which would run
            # them a second time alongside this one.
            owner.jobs.end_jobs_of(silent, reason="entry lost")
        entries = self._directory.cell_members()
        cut_off = self._domains.find_cut_off_domains(entries, self._directory.links_by_name)
        partitioned = bool(cut_off) or owner.domain is not None
        self._end_jobs_of_lost_entries(owner, partitioned=partitioned)
        self._end_jobs_under_later_layout(owner)
        if not partitioned:
            return
        cut_off_entries = {entry.name for entry in entries if entry.zone in cut_off}
        owner.jobs.end_shared_jobs_of(cut_off_entries, reason="failure domain cut off")
        owner.jobs.end_jobs_of(cut_off_entries | silent, reason="entry lost during a partition")

    def _end_jobs_of_lost_entries(self, owner: Owner, *, partitioned: bool) -> None:
        """End the jobs that no caller waits for any more, as their entry is gone for good.

        A new process under the name of the entry does not know the jobs of the one before it. If
        their callers may reach another owner, these jobs end as early as those of a silent entry.
        """
        lost = self._find_silent_entries(ENTRY_LOST_S)
        if lost:
            owner.jobs.end_jobs_of(lost, reason="entry lost")
        now = asyncio.get_running_loop().time()
        urgent = partitioned or self._cell_directory.other_cells()
        timeout_s = ENTRY_TIMEOUT_S if urgent else ENTRY_LOST_S
        replacements_by_name = self._directory.replacements_by_name
        for name, replacement in list(replacements_by_name.items()):
            if now - replacement.silent_since > timeout_s:
                del replacements_by_name[name]
                owner.jobs.drop_replaced_entry(name, since=replacement.seen_at)

    def _end_jobs_under_later_layout(self, owner: Owner) -> None:
        now = asyncio.get_running_loop().time()
        since_by_name = self._later_layout_since_by_name
        outdated = {name for name, at in since_by_name.items() if now - at > ENTRY_TIMEOUT_S}
        if outdated:
            owner.jobs.end_jobs_of(outdated, reason="layout changed")

    def _find_silent_entries(self, timeout_s: float) -> set[str]:
        links_by_name = self._directory.links_by_name
        silent = {name for name, link in links_by_name.items() if link.silence_s() > timeout_s}
        # After a restart there may be a link to the previous incarnation of this entry, which never
        # answers.
        return silent - {self._me.name}
