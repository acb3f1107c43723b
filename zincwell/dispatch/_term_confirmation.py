"""Whether this entry has been the owner throughout, as entries and the store say afterwards."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._election import Election
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.ports import Store, StoreUnavailableError, Topic

log = logging.getLogger("zincwell.election")

# Pause between two reads of the claims while one is needed.
CLAIMS_READ_INTERVAL_S = 0.1


@dataclass(frozen=True, kw_only=True)
class Following:
    """Since when an entry has acknowledged the owner under one fencing token.

    :param since: event loop time of the first acknowledgement.
    """

    incarnation: str
    fence: int
    since: float


class TermConfirmation:
    """Tells an owner whether another owner can have renewed the leases of its runs.

    A later owner renews what it finds on a worker, and a stand-in the runs of the jobs that entries
    have submitted to it. Neither exists if no later claim is in the store and the entries of the
    job follow this owner. An entry that has just begun to may have followed a stand-in before,
    whose leases have yet to expire.

    :param get_election: returns the election of the home cell.
    :param lease_s: longest time for which a lease of another owner may last, in seconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        directory: EntryDirectory,
        get_election: Callable[[], Election],
        lease_s: float,
    ) -> None:
        self._store = store
        self._directory = directory
        self._get_election = get_election
        self._lease_s = lease_s
        self._following_by_name: dict[str, Following] = {}
        self._claims_read_at = -math.inf
        self._claims_unread_at = -math.inf
        self._read_at = -math.inf
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()

    def close(self) -> None:
        """Stop reading the claims."""
        self._tasks.close()

    def note_following(self, entry: EntryInfo, fence: int) -> None:
        """Record that an entry follows the owner that has a fencing token."""
        known = self._following_by_name.get(entry.name)
        if known is None or (known.incarnation, known.fence) != (entry.incarnation, fence):
            self._following_by_name[entry.name] = Following(
                incarnation=entry.incarnation, fence=fence, since=self._loop.time()
            )

    def is_confirmed(self, entries: Collection[str], *, since: float) -> bool:
        """Return whether no other owner can have had the jobs of some entries until a given time.

        The claims are read from the store if needed. While it is unavailable, a majority of the
        entries of the cell must follow this owner, since a claim usually needs a majority without
        contact to it. That is not certain: an entry that sees no liveness of the owner in the store
        claims without one. A stand-in can't confirm its term, since the owner behind the partition
        may reach some workers of its domain.

        :param since: event loop time.
        """
        election = self._get_election()
        if election.domain:
            return False
        if not all(self._follows(name, since, election.fence) for name in entries):
            return False
        if self._claims_read_at >= since:
            return True
        self._read_claims_soon(election)
        return self._claims_unread_at >= since and self._has_majority(since, election.fence)

    def _follows(self, name: str, since: float, fence: int) -> bool:
        """Return whether an entry has followed the owner up to a time after ``since``."""
        entry = self._directory.entries_by_name.get(name)
        if entry is None:
            return False
        if not self._directory.is_cell_member(entry):
            return True
        following = self._following_by_name.get(name)
        if following is None or following.fence != fence:
            return False
        if self._loop.time() < following.since + self._lease_s:
            return False
        if entry.name == self._get_election().me.name:
            return True
        link = self._directory.find_link(entry)
        if link is None or link.last_receipt is None or link.last_receipt_asked_at < since:
            return False
        receipt = link.last_receipt
        return receipt.receiver.incarnation == following.incarnation and receipt.fence == fence

    def _has_majority(self, since: float, fence: int) -> bool:
        members = self._directory.cell_members()
        following = [entry for entry in members if self._follows(entry.name, since, fence)]
        return 2 * len(following) > len(members)

    def _read_claims_soon(self, election: Election) -> None:
        now = self._loop.time()
        if now - self._read_at >= CLAIMS_READ_INTERVAL_S:
            self._read_at = now
            self._tasks.spawn(self._read_claims(election))

    async def _read_claims(self, election: Election) -> None:
        asked_at = self._loop.time()
        try:
            page = await self._store.newest(Topic.CLAIMS)
        except StoreUnavailableError as error:
            log.info('claims_unread error="%s"', error)
            self._claims_unread_at = asked_at
            return
        # A later claim ends the term.
        election.note_records(page.records)
        self._claims_read_at = asked_at
