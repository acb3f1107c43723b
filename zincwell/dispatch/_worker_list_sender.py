"""Who is told by an owner what the list of workers says."""

from __future__ import annotations

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._worker_list import WorkerList

# Each so many heartbeats an owner that reads the list tells the other cells of its failure domain.
# Not in the heartbeats that bring reports, or the links would never be idle.
NEWS_BEATS = 4
# Each so many it tells the first of its successors in each failure domain, so that one of them is
# well informed when it takes over or stands in, also while the store is away.
SUCCESSOR_NEWS_BEATS = 20
INFORMED_SUCCESSORS = 3


class WorkerListSender:
    """Passes the list of workers on to those who don't read it."""

    def __init__(
        self, *, cell_directory: CellDirectory, directory: EntryDirectory, worker_list: WorkerList
    ) -> None:
        self._cell_directory = cell_directory
        self._directory = directory
        self._worker_list = worker_list

    def send_due(self, beats: int) -> None:
        """Tell whoever is due, by how many heartbeats there have been."""
        if beats % SUCCESSOR_NEWS_BEATS == 0:
            self._tell_successors()
        if beats % NEWS_BEATS == 1:
            self._tell_other_parts()

    def _tell_successors(self) -> None:
        snapshot = self._worker_list.make_snapshot(self._cell_directory.home)
        if snapshot is None:
            return
        for entry in self._directory.first_successors(INFORMED_SUCCESSORS):
            self._directory.link(entry).send(snapshot)

    def _tell_other_parts(self) -> None:
        home = self._cell_directory.home
        if home.part or home.parts == 1:
            return
        for cell in self._cell_directory.other_cells():
            owner = self._cell_directory.owner_of(cell.name)
            if owner is None or cell.domains != home.domains:
                continue
            link = self._directory.link(owner)
            snapshot = self._worker_list.make_snapshot(cell)
            if snapshot is not None and link.is_idle():
                link.send(snapshot)
