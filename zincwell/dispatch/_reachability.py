"""Which entries an owner still reaches, and the jobs of those that it does not."""

from __future__ import annotations

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._domains import DomainMonitor
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch._worker_list import WorkerList

# While domains are cut off, jobs of an entry that is silent for this long are stopped. Callers see
# its death at once and send again 1.3 s later; a stop takes up to 0.2 s.
ENTRY_LOST_S = 0.9


class ReachabilityMonitor:
    """Looks over the entries of the own cell as its owner.

    :param domains: when each failure domain was last out of hearing.
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

    def reaches_all_domains(self, *, elected_at: float) -> bool:
        """Return whether an entry of each failure domain answers, and has for a while."""
        if self._worker_list.read_at() < elected_at:
            # Workers that are new since this entry read the list may run something.
            return False
        links = self._directory.links_by_name.values()
        return self._domains.reaches_all(self._directory.cell_members(), links)

    def drop_jobs_of_unreachable_entries(self, owner: Owner) -> None:
        """Stop the jobs of entries that can't be heard because of a partition, or may be dead.

        While failure domains are cut off from each other, the callers of an entry that dies may
        send their jobs again to the other side, which would run them a second time.
        """
        if not self._worker_list.is_fresh():
            self._domains.note_list_unread()
        lost = self._find_lost()
        if self._cell_directory.other_cells():
            # The caller of an entry that died may send its job again to any cell, which would run
            # it a second time beside this one.
            owner.jobs.drop_jobs_of(lost, reason="entry lost")
        entries = self._directory.cell_members()
        cut_off = self._domains.find_cut_off(entries, self._directory.links_by_name)
        if not cut_off and owner.domain is None:
            return
        outside = {entry.name for entry in entries if entry.zone in cut_off}
        owner.jobs.drop_jobs_of(outside, reason="failure domain cut off")
        owner.jobs.drop_jobs_of(outside | lost, reason="entry lost during a partition")

    def _find_lost(self) -> set[str]:
        links_by_name = self._directory.links_by_name
        lost = {name for name, link in links_by_name.items() if link.silence_s() > ENTRY_LOST_S}
        # After a restart there may be a link to this VM's own life before, which never answers.
        return lost - {self._me.name}
