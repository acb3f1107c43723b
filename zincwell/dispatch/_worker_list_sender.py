"""Distribution of the worker list by an owner."""

from __future__ import annotations

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._worker_list import WorkerList

# An owner that reads the list sends it to the other cells of its failure domain with every Nth
# heartbeat. These are not the heartbeats with cell reports, which keep the links busy.
HEARTBEATS_PER_SNAPSHOT = 4
# An owner sends the list to the first successors in each failure domain with every Nth heartbeat,
# so that a new owner or a stand-in owner knows the workers even while the store is unavailable.
HEARTBEATS_PER_SUCCESSOR_SNAPSHOT = 20
SUCCESSORS_PER_DOMAIN = 3


class WorkerListSender:
    """Sends the worker list to entries that do not read it from the store."""

    def __init__(
        self, *, cell_directory: CellDirectory, directory: EntryDirectory, worker_list: WorkerList
    ) -> None:
        self._cell_directory = cell_directory
        self._directory = directory
        self._worker_list = worker_list

    def send_due(self, heartbeat_count: int) -> None:
        """Send the list to the entries that are due.

        :param heartbeat_count: number of heartbeats sent so far.
        """
        if heartbeat_count % HEARTBEATS_PER_SUCCESSOR_SNAPSHOT == 0:
            self._send_to_successors()
        if heartbeat_count % HEARTBEATS_PER_SNAPSHOT == 1:
            self._send_to_other_parts()

    def _send_to_successors(self) -> None:
        snapshot = self._worker_list.make_snapshot(self._cell_directory.home)
        if snapshot is None:
            return
        for entry in self._directory.first_successors(SUCCESSORS_PER_DOMAIN):
            self._directory.link(entry).send(snapshot)

    def _send_to_other_parts(self) -> None:
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
