"""Load reports that owners exchange about their cells."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from zincwell.dispatch._announcements import Announcements
from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._messages import CellReport
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import EntryInfo

# Number of other owners that each report is sent to. The others get one in so many, or the traffic
# of an owner would grow faster with the number of cells. All have to know within 1 s which jobs
# this cell has.
REPORT_FANOUT = 8
FAR_REPORT_INTERVAL = 3


class CellReporter:
    """Reports the load of the home cell to entries that may submit jobs to it.

    :param announcements: told which reports were sent to the other owners.
    """

    def __init__(
        self,
        *,
        cell_directory: CellDirectory,
        directory: EntryDirectory,
        announcements: Announcements,
    ) -> None:
        self._cell_directory = cell_directory
        self._directory = directory
        self._announcements = announcements
        self._count = 0
        self._latest: CellReport | None = None

    def report(self, owner: Owner, me: EntryInfo) -> list[CellReport]:
        """Send the home cell's report to other cells; return the reports for its own entries.

        If there is only one cell, its jobs have no other cell to go to and nothing is reported.

        :param me: the entry that is the owner.
        """
        if not self._cell_directory.other_cells() or owner.domain is not None:
            self._announcements.set_owners({})
            return []
        report = self._latest = self._make_report(owner)
        self._cell_directory.note_owner(report.cell, me, report.fence)
        self._cell_directory.note_report(report)
        owners_by_cell = self._owners_by_cell()
        self._announcements.set_owners(owners_by_cell)
        due_by_cell = self._choose_due(owners_by_cell)
        self._announce(report, owner, due_by_cell)
        for entry in self._remote_submitters(owner):
            if entry not in due_by_cell.values():
                self._send(entry, report)
        return [report, *self._cell_directory.fresh_reports()]

    def tell(self, owner: Owner, cells: Collection[str]) -> None:
        """Announce the home cell's jobs at once to the owners of these cells.

        What the report says of the load may be as old as the last one.
        """
        owners_by_cell = self._owners_by_cell()
        self._announcements.set_owners(owners_by_cell)
        named = {cell: owners_by_cell[cell] for cell in cells if cell in owners_by_cell}
        if not named:
            return
        report = self._latest
        if report is None or report.fence != owner.fence:
            report = self._make_report(owner)
        self._announce(report, owner, named)

    def _make_report(self, owner: Owner) -> CellReport:
        capacity = owner.capacity_status()
        return CellReport(
            cell=self._cell_directory.home.name,
            fence=owner.fence,
            free_cpu=capacity.free_cpu,
            backlog_s=capacity.backlog_s,
            pending=owner.jobs.pending_by_route(),
        )

    def _announce(
        self, report: CellReport, owner: Owner, owners_by_cell: dict[str, EntryInfo]
    ) -> None:
        """Send the report to owners of other cells, with the jobs that this cell has."""
        job_ids = owner.jobs_to_announce()
        announcement = msgspec.structs.replace(
            report, jobs=job_ids, unstarted=[name for name in job_ids if owner.has_no_run(name)]
        )
        for cell, entry in owners_by_cell.items():
            if self._send(entry, announcement):
                self._announcements.note_sent(cell, announcement)

    def _send(self, entry: EntryInfo, report: CellReport) -> bool:
        """Send a report unless others wait for an acknowledgement; return whether it was sent."""
        link = self._directory.link(entry)
        if not link.is_idle():
            return False
        link.send(report)
        return True

    def _owners_by_cell(self) -> dict[str, EntryInfo]:
        """Return the owners of the other cells by cell, in order of the layout from this one on."""
        cells = self._cell_directory.layout.cells
        position = cells.index(self._cell_directory.home)
        following = cells[position + 1 :] + cells[:position]
        owners_by_cell = {cell.name: self._cell_directory.owner_of(cell.name) for cell in following}
        return {cell: owner for cell, owner in owners_by_cell.items() if owner is not None}

    def _choose_due(self, owners_by_cell: dict[str, EntryInfo]) -> dict[str, EntryInfo]:
        """Return the owners that get this report: the next ones, and others in turn."""
        self._count += 1
        turn = self._count % FAR_REPORT_INTERVAL
        return {
            cell: owner
            for index, (cell, owner) in enumerate(owners_by_cell.items())
            if index < REPORT_FANOUT or index % FAR_REPORT_INTERVAL == turn
        }

    def _remote_submitters(self, owner: Owner) -> list[EntryInfo]:
        """Return the entries of other cells with jobs in this one.

        They need its reports to know that its owner is alive.
        """
        entries = [self._directory.entries_by_name.get(name) for name in owner.waiting_entries()]
        return [e for e in entries if e and not self._cell_directory.covers(e.zone, e.name)]
