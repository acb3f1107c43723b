"""Distribution of the worker list by an owner."""

from __future__ import annotations

from collections.abc import Callable

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._messages import WorkerListSnapshot
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch._worker_list import WorkerList

# An owner that reads the list sends it to the other cells of its failure domain with every Nth
# heartbeat. These are not the heartbeats with cell reports, which keep the links busy.
HEARTBEATS_PER_SNAPSHOT = 4
# An owner sends the list to the first successors in each failure domain with every Nth heartbeat,
# so that a new owner or a stand-in owner knows the workers even while the store is unavailable.
HEARTBEATS_PER_SUCCESSOR_SNAPSHOT = 20
SUCCESSORS_PER_DOMAIN = 3


class WorkerListSender:
    """Sends the worker list to entries that do not read it from the store.

    A successor also learns which workers that have left the list are still in use. It gets its
    first list as soon as it is one, since it may have to take over at once.
    """

    def __init__(
        self, *, cell_directory: CellDirectory, directory: EntryDirectory, worker_list: WorkerList
    ) -> None:
        self._cell_directory = cell_directory
        self._directory = directory
        self._worker_list = worker_list
        # Fencing token and incarnation of each successor that this owner has sent the list to.
        self._informed: set[tuple[int, str]] = set()

    def send_due(
        self,
        heartbeat_count: int,
        *,
        fence: int,
        make_report: Callable[[], WorkerListSnapshot | None],
    ) -> None:
        """Send the list to the entries that are due.

        :param heartbeat_count: number of heartbeats sent so far.
        :param fence: fencing token of this owner.
        :param make_report: returns the list for successors, None while it is not known.
        """
        successors = self._directory.first_successors(SUCCESSORS_PER_DOMAIN)
        if heartbeat_count % HEARTBEATS_PER_SUCCESSOR_SNAPSHOT == 0:
            self._informed.clear()
        due = [s for s in successors if (fence, s.incarnation) not in self._informed]
        report = make_report() if due else None
        if report is not None:
            self._send_to_successors(due, report)
        if heartbeat_count % HEARTBEATS_PER_SNAPSHOT == 1:
            self._send_to_other_parts()

    def _send_to_successors(self, successors: list[EntryInfo], report: WorkerListSnapshot) -> None:
        for entry in successors:
            self._directory.link(entry).send(report)
            self._informed.add((report.fence, entry.incarnation))

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
