"""Route submissions and cancellations of an entry to the owners of the cells."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._election import Election
from zincwell.dispatch._messages import Cancel, LayoutNotice, Message, Ping, Submit
from zincwell.dispatch._peers import PeerLink
from zincwell.dispatch._pending_jobs import OwnerChannel
from zincwell.dispatch._types import EntryInfo, JobRequest

# An owner of another cell that has answered within this time gets jobs while the home owner is
# silent. It is asked every 0.1 s meanwhile, and an answer takes 2 ms.
REACHABLE_WITHIN_S = 0.25
# Owners of other cells that an entry asks. In a pool of 28 cells, the entries of a cell would open
# 27 connections each.
MAX_PROBED_OWNERS = 4


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
        return self._cell_directory.choose(
            request,
            home_silence_s=silence_s,
            refused_by=refused_by,
            is_reachable=self._is_reachable,
        )

    def _is_reachable(self, cell: str) -> bool:
        """Return whether the owner of another cell has answered lately; see `probe_other_owners`.

        Jobs sent to an owner that does not answer may have been started there, and would wait
        under every later owner.
        """
        owner = self._cell_directory.owner_of(cell)
        if owner is None:
            return False
        if owner.incarnation == self._me.incarnation:
            return True
        link = self._directory.find_link(owner)
        if link is None or not link.has_answered_within(REACHABLE_WITHIN_S):
            self._directory.link(owner).send_if_idle(Ping())
            return False
        return True

    def probe_other_owners(self) -> None:
        """Ask owners of other cells for an answer while the owner of the home cell is silent."""
        owners = [self._cell_directory.owner_of(c.name) for c in self._cell_directory.other_cells()]
        known = [owner for owner in owners if owner is not None]
        # Each entry asks others, which spreads their jobs over the cells.
        start = sum(self._me.name.encode()) % max(len(known), 1)
        for owner in [*known[start:], *known[:start]][:MAX_PROBED_OWNERS]:
            if owner.incarnation != self._me.incarnation:
                self._directory.link(owner).send_if_idle(Ping())

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

    def owner(self, cell: str) -> EntryInfo | None:
        """Return the owner of a cell, None if none is known."""
        return self._owner_of(cell)

    def end_term(self, owner: EntryInfo) -> bool:
        """Tell the owner of a dissolved cell the layout; return whether its term has ended."""
        if owner.incarnation == self._me.incarnation or self._directory.is_superseded(owner):
            return True
        directory = self._cell_directory
        notice = LayoutNotice(layout=directory.layout, offset=directory.layout_offset)
        self._directory.link(owner).send(notice)
        return False

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
