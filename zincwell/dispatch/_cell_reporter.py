"""What owners tell each other of their cells."""

from __future__ import annotations

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._messages import CellReport
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import EntryInfo

# An owner tells this many others, so that what it sends does not grow with the number of cells.
REPORTED_CELLS = 8


class CellReporter:
    """Reports how the own cell stands to those whose jobs may come to it."""

    def __init__(self, *, cell_directory: CellDirectory, directory: EntryDirectory) -> None:
        self._cell_directory = cell_directory
        self._directory = directory

    def report(self, owner: Owner, me: EntryInfo) -> list[CellReport]:
        """Tell other cells how this one stands; return what the own entries are to know.

        A cell alone has nobody to send its jobs to, so nothing is said of it.

        :param me: the entry that is the owner.
        """
        if not self._cell_directory.other_cells() or owner.domain is not None:
            return []
        capacity = owner.capacity_status()
        report = CellReport(
            cell=self._cell_directory.home.name,
            fence=owner.fence,
            free_cpu=capacity.free_cpu,
            backlog_s=capacity.backlog_s,
            pending=owner.jobs.pending_by_route(),
        )
        self._cell_directory.note_owner(report.cell, me, report.fence)
        self._cell_directory.note_report(report)
        for entry in self._neighbours() + self._guests(owner):
            link = self._directory.link(entry)
            if link.is_idle():
                link.send(report)
        return [report, *self._cell_directory.fresh_reports()]

    def _neighbours(self) -> list[EntryInfo]:
        """Return the owners of the cells that follow this one in the layout."""
        cells = self._cell_directory.layout.cells
        place = cells.index(self._cell_directory.home)
        following = (cells[place + 1 :] + cells[:place])[:REPORTED_CELLS]
        owners = [self._cell_directory.owner_of(cell.name) for cell in following]
        return [neighbour for neighbour in owners if neighbour is not None]

    def _guests(self, owner: Owner) -> list[EntryInfo]:
        """Return the entries of other cells whose jobs are here; they must hear this owner."""
        entries = [self._directory.entries_by_name.get(name) for name in owner.waiting_entries()]
        return [e for e in entries if e and not self._cell_directory.covers(e.zone, e.name)]
