"""Directory of the entries of the pool and the links to them."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from zincwell.dispatch._domains import DOMAIN_TIMEOUT_S
from zincwell.dispatch._messages import Cancel, Ping, Receipt
from zincwell.dispatch._peers import LinkObserver, PeerLink
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.ports import PeerClient

log = logging.getLogger("zincwell.directory")

# Entries that are silent for this long are not counted when a majority of entries is determined.
UNREACHABLE_AFTER_S = 5.0
# An entry is not probed again within this time after its answer. Answers count as fresh for twice
# as long.
PROBE_INTERVAL_S = 0.15


@dataclass(slots=True, frozen=True, kw_only=True)
class Replacement:
    """A new process under the name of a known entry.

    :param seen_at: event loop time at which the new process was first seen.
    :param silent_since: event loop time at which the old one was last heard.
    """

    seen_at: float
    silent_since: float


class EntryDirectory:
    """Tracks all entries, including this one, and opens links to the others.

    :param clock: monotonic clock of this entry, including time during which the VM was suspended.
    :param is_cell_member: returns whether an entry belongs to the home cell.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        client: PeerClient,
        observer: LinkObserver,
        clock: Callable[[], float],
        is_cell_member: Callable[[EntryInfo], bool] = lambda entry: True,
    ) -> None:
        self._is_cell_member = is_cell_member
        self.entries_by_name: dict[str, EntryInfo] = {me.name: me}
        self.links_by_name: dict[str, PeerLink] = {}
        self._me = me
        self._past_incarnations_by_name: dict[str, set[str]] = {}
        self.replacements_by_name: dict[str, Replacement] = {}
        self._client = client
        self._observer = observer
        self._clock = clock
        self._sequences = itertools.count(1)
        self._loop = asyncio.get_running_loop()

    def close(self) -> None:
        """Close all links."""
        for link in self.links_by_name.values():
            link.close()

    def register(self, me: EntryInfo) -> None:
        """Set the info of this entry after its registration in the store."""
        self._me = self.entries_by_name[me.name] = me
        for link in self.links_by_name.values():
            link.me = me

    def note(self, entry: EntryInfo, *, named: bool = False) -> None:
        """Record an entry, or a new incarnation of a known entry.

        Incarnations are ordered by the log offsets of their registrations. One without a known
        registration counts as new unless another incarnation has already replaced it.

        :param named: the entry was only mentioned in a message or record and may no longer exist.
        """
        if entry.name == self._me.name:
            return
        known = self.entries_by_name.get(entry.name)
        if known is None:
            self._add(entry)
        elif known.incarnation == entry.incarnation:
            if entry.registered > known.registered:
                self.entries_by_name[entry.name] = entry
        elif self._replaces(entry, known, named):
            self._past_incarnations_by_name.setdefault(entry.name, set()).add(known.incarnation)
            self._note_replacement(entry.name)
            self._add(entry)

    def _note_replacement(self, name: str) -> None:
        now = self._loop.time()
        link = self.links_by_name.get(name)
        silence_s = link.silence_s() if link is not None else 0.0
        self.replacements_by_name[name] = Replacement(seen_at=now, silent_since=now - silence_s)

    def _replaces(self, entry: EntryInfo, known: EntryInfo, named: bool) -> bool:
        if entry.registered >= 0 and known.registered >= 0:
            return entry.is_newer_incarnation(known)
        return not named and entry.incarnation not in self._past_incarnations_by_name.get(
            entry.name, ()
        )

    def is_superseded(self, entry: EntryInfo) -> bool:
        """Return whether a later incarnation of an entry is known."""
        known = self.entries_by_name.get(entry.name)
        if known is None or known.incarnation == entry.incarnation:
            return False
        past = entry.incarnation in self._past_incarnations_by_name.get(entry.name, ())
        return past or known.is_newer_incarnation(entry)

    def _add(self, entry: EntryInfo) -> None:
        log.info("entry_seen entry=%s address=%s", entry.name, entry.address)
        self.entries_by_name[entry.name] = entry
        link = self.links_by_name.pop(entry.name, None)
        if link is not None:
            link.close()

    def note_heard(self, entry: EntryInfo, *, sent_at: float) -> None:
        """Record that a message from an entry arrived.

        :param sent_at: when it was sent, by the clock of that entry.
        """
        link = self.links_by_name.get(entry.name)
        if link is None:
            return
        link.note_heard()
        if link.peer.incarnation == entry.incarnation:
            link.peer_clock.update(sent_at)

    def link(self, entry: EntryInfo) -> PeerLink:
        """Return the link to this incarnation of an entry, opening it if needed."""
        link = self.links_by_name.get(entry.name)
        if link is None or link.peer.incarnation != entry.incarnation:
            if link is not None:
                link.close()
            link = PeerLink(
                me=self._me,
                peer=entry,
                client=self._client,
                observer=self._observer,
                sequences=self._sequences,
                clock=self._clock,
            )
            self.links_by_name[entry.name] = link
        return link

    def is_cell_member(self, entry: EntryInfo) -> bool:
        """Return whether an entry belongs to the home cell."""
        return self._is_cell_member(entry)

    def cell_members(self) -> list[EntryInfo]:
        """Return the entries of the home cell, including this one."""
        return [entry for entry in self.entries_by_name.values() if self._is_cell_member(entry)]

    def idle_links(self) -> list[PeerLink]:
        """Return the idle links to the other entries of the home cell."""
        links = [self.link(entry) for entry in self.cell_members() if entry.name != self._me.name]
        return [link for link in links if link.is_idle()]

    def close_links_except(self, owners: Collection[str]) -> None:
        """Close the idle links to entries of other cells, except to these owners.

        Otherwise entries that once shared a cell would keep a connection to each other.
        """
        for name, link in list(self.links_by_name.items()):
            if name not in owners and link.is_idle() and not self._is_cell_member(link.peer):
                del self.links_by_name[name]
                link.close()

    def has_lost_entries(self, *, alive: Collection[str], within_s: float) -> bool:
        """Return whether an entry of the cell has ended, whose callers may turn to another one.

        :param alive: names of the entries that are alive.
        :param within_s: how long ago an entry may have ended that has started again since.
        """
        names = {entry.name for entry in self.cell_members()} - {self._me.name}
        now = self._loop.time()
        replaced = any(
            now - replacement.seen_at < within_s
            for name, replacement in self.replacements_by_name.items()
            if name in names
        )
        return replaced or not names <= set(alive)

    def reachable_entries(self) -> list[EntryInfo]:
        """Return the entries of the home cell that count as reachable, including this one."""
        return [entry for entry in self.cell_members() if not self._is_unreachable(entry)]

    def _is_unreachable(self, entry: EntryInfo) -> bool:
        link = self.links_by_name.get(entry.name)
        return link is not None and not link.is_idle() and link.silence_s() > UNREACHABLE_AFTER_S

    def probe(self) -> None:
        """Ask the other entries of the cell whether they receive the owner's heartbeats.

        Entries that have just answered are skipped: 40 entries that probe each other continuously
        saturate the CPUs of the weakest VMs until an owner is heard.
        """
        now = self._loop.time()
        for link in self.idle_links():
            if now - link.last_receipt_at > PROBE_INTERVAL_S:
                link.send(Ping())

    def fresh_receipts(self, cell: str, age_s: float) -> list[Receipt]:
        """Return the last acknowledgements of a cell's entries that are younger than an age."""
        return [
            link.last_receipt
            for link in self.links_by_name.values()
            if link.last_receipt is not None
            and link.last_receipt.cell == cell
            and self._loop.time() - link.last_receipt_at < age_s
        ]

    def successors(self) -> list[str]:
        """Return the names of the responsive entries of the cell, in order of succession."""
        alive = [
            link
            for link in self.links_by_name.values()
            if self._is_cell_member(link.peer)
            and link.last_receipt is not None
            and not link.last_receipt.leaving
            and link.silence_s() < DOMAIN_TIMEOUT_S
        ]
        alive.sort(key=lambda link: link.peer.owner_preference_key())
        return [link.peer.name for link in alive]

    def first_successors(self, per_domain: int) -> list[EntryInfo]:
        """Return the first successors of each failure domain.

        :param per_domain: maximum number of entries of one failure domain.
        """
        chosen: Counter[str] = Counter()
        first = []
        for name in self.successors():
            entry = self.links_by_name[name].peer
            chosen[entry.zone] += 1
            if chosen[entry.zone] <= per_domain:
                first.append(entry)
        return first

    def withdraw_jobs(self, *, owners: Collection[str]) -> set[str]:
        """Cancel the undelivered jobs on the links to entries other than these owners.

        Returns the ids of the jobs that were never sent.
        """
        unsent: set[str] = set()
        for name, link in self.links_by_name.items():
            if name not in owners:
                unsent |= link.withdraw_jobs()
        return unsent

    def undelivered_cancellations(self, entry: EntryInfo) -> list[Cancel]:
        """Return the cancellations that could not be delivered to an entry."""
        link = self.find_link(entry)
        return link.undelivered_cancellations() if link is not None else []

    def withdraw_unsent(self, owner: EntryInfo) -> set[str]:
        """Remove the jobs queued behind the delivery in flight to an owner and return their ids."""
        link = self.find_link(owner)
        return link.withdraw_unsent() if link is not None else set()

    def find_link(self, entry: EntryInfo) -> PeerLink | None:
        """Return the link to this incarnation of an entry, or None if none is open."""
        link = self.links_by_name.get(entry.name)
        return link if link is not None and link.peer.incarnation == entry.incarnation else None
