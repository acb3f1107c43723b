"""Route submissions and cancellations of an entry to the owners of the cells."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._election import Election
from zincwell.dispatch._messages import Cancel, Message, Submit
from zincwell.dispatch._peers import PeerLink
from zincwell.dispatch._pending_jobs import OwnerChannel
from zincwell.dispatch._types import EntryInfo, JobRequest


class OwnerRouter(OwnerChannel):
    """Sends jobs to the owner of their cell, which may be this entry itself.

    :param handle: handles a message that is addressed to this entry.
    :ivar election: election of the home cell, replaced when the layout changes.
    """

    election: Election

    def __init__(
        self,
        *,
        me: EntryInfo,
        cell_directory: CellDirectory,
        directory: EntryDirectory,
        handle: Callable[[Message], None],
    ) -> None:
        self._me = me
        self._cell_directory = cell_directory
        self._directory = directory
        self._handle = handle

    def home_cell(self) -> str:
        """Return the name of the home cell."""
        return self._cell_directory.home.name

    def choose_cell(self, request: JobRequest, *, refused_by: Collection[str]) -> str | None:
        """Return the cell for a job, None if every cell that would accept it has refused it."""
        if not self._cell_directory.other_cells():
            return None if refused_by else self.home_cell()
        silence_s = self.election.silence_s() if self._hears_owner() else math.inf
        return self._cell_directory.choose(request, home_silence_s=silence_s, refused_by=refused_by)

    def fence(self, cell: str) -> int:
        """Return the fencing token of a cell's owner, 0 if no owner has been heard.

        A claim in the store alone is not enough: its process may no longer exist. A job submitted
        to such an owner would count as possibly started and wait for 1.4 s under the next owner.
        """
        if cell != self.home_cell():
            return self._cell_directory.fence_of(cell)
        return self.election.fence if self._hears_owner() else 0

    def silence_s(self, cell: str) -> float:
        """Return the time since a cell's owner was last heard, in seconds."""
        if cell != self.home_cell():
            return self._cell_directory.silence_s(cell)
        return self.election.silence_s()

    def submit(self, cell: str, message: Submit) -> None:
        """Submit a job to the owner of a cell."""
        self._send(cell, message)

    def cancel(self, cell: str, message: Cancel) -> None:
        """Cancel a job at the owner of a cell."""
        self._send(cell, message)

    def cells(self) -> list[str]:
        """Return the names of all cells."""
        return [cell.name for cell in self._cell_directory.layout.cells]

    def withdraw_job(self, cell: str, job_id: str) -> bool:
        """Remove a job from the queue to the owner of a cell; return False if it was sent."""
        link = self._find_link(cell)
        return link is not None and bool(link.withdraw_unsent(job_id))

    def withdraw_blocked_jobs(self, cell: str) -> set[str]:
        """Remove the jobs queued behind a failed delivery to the owner of a cell."""
        link = self._find_link(cell)
        return link.withdraw_unsent() if link is not None and link.is_failing() else set()

    def _find_link(self, cell: str) -> PeerLink | None:
        owner = self._owner_of(cell)
        return self._directory.find_link(owner) if owner is not None else None

    def owner_names(self) -> set[str]:
        """Return the names of the known cell owners."""
        owners = [
            self._cell_directory.owner_of(cell.name) for cell in self._cell_directory.other_cells()
        ]
        return {owner.name for owner in [*owners, self.election.owner] if owner is not None}

    def _hears_owner(self) -> bool:
        return self.election.owner is not None and self.election.has_owner_contact()

    def _owner_of(self, cell: str) -> EntryInfo | None:
        if cell == self.home_cell():
            return self.election.owner
        return self._cell_directory.owner_of(cell)

    def _send(self, cell: str, message: Message) -> None:
        owner = self._owner_of(cell)
        if owner is None:
            return
        if owner.incarnation == self._me.incarnation:
            self._handle(message)
        else:
            self._directory.link(owner).send(message)
