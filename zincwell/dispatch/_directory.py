"""The entries of the pool and the links to them."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter
from collections.abc import Callable, Collection

from zincwell.dispatch._domains import DOMAIN_TIMEOUT_S
from zincwell.dispatch._messages import Ping, Receipt
from zincwell.dispatch._peers import LinkObserver, PeerLink
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.ports import PeerClient

log = logging.getLogger("zincwell.directory")

# An entry that is silent for this long is not counted any more when entries vote.
GONE_S = 5.0
# An answer younger than this is not asked for again; one counts as fresh for twice as long.
PROBE_AGAIN_S = 0.15


class EntryDirectory:
    """Knows all entries, this one included, and opens links to the others.

    :param clock: this entry's clock; it counts the time that the VM was suspended.
    :param is_cell_member: tells whether an entry belongs to the own cell.
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
        self._past_by_name: dict[str, set[str]] = {}
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
        """Take note of where this entry's registration stands."""
        self._me = self.entries_by_name[me.name] = me
        for link in self.links_by_name.values():
            link.me = me

    def note(self, entry: EntryInfo, *, named: bool = False) -> None:
        """Take note of an entry, or of a new life of it.

        Lives are ordered by their registrations in the store. One that is not known to be
        registered counts as new unless another took its place before.

        :param named: it was only named by somebody, and may be gone.
        """
        if entry.name == self._me.name:
            return
        known = self.entries_by_name.get(entry.name)
        if known is None:
            self._set(entry)
        elif known.incarnation == entry.incarnation:
            if entry.registered > known.registered:
                self.entries_by_name[entry.name] = entry
        elif self._replaces(entry, known, named):
            self._past_by_name.setdefault(entry.name, set()).add(known.incarnation)
            self._set(entry)

    def _replaces(self, entry: EntryInfo, known: EntryInfo, named: bool) -> bool:
        if entry.registered >= 0 and known.registered >= 0:
            return entry.is_newer_incarnation(known)
        return not named and entry.incarnation not in self._past_by_name.get(entry.name, ())

    def is_superseded(self, entry: EntryInfo) -> bool:
        """Return whether a later life of an entry is known."""
        known = self.entries_by_name.get(entry.name)
        if known is None or known.incarnation == entry.incarnation:
            return False
        past = entry.incarnation in self._past_by_name.get(entry.name, ())
        return past or known.is_newer_incarnation(entry)

    def _set(self, entry: EntryInfo) -> None:
        log.info("entry_seen entry=%s address=%s", entry.name, entry.address)
        self.entries_by_name[entry.name] = entry
        link = self.links_by_name.pop(entry.name, None)
        if link is not None:
            link.close()

    def note_heard(self, name: str) -> None:
        """Note that something came from an entry."""
        link = self.links_by_name.get(name)
        if link is not None:
            link.note_heard()

    def link(self, entry: EntryInfo) -> PeerLink:
        """Return the link to this life of an entry."""
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

    def cell_members(self) -> list[EntryInfo]:
        """Return the entries of the own cell, this one included."""
        return [entry for entry in self.entries_by_name.values() if self._is_cell_member(entry)]

    def idle_links(self) -> list[PeerLink]:
        """Return the links to all other entries of the cell that have nothing to deliver."""
        links = [self.link(entry) for entry in self.cell_members() if entry.name != self._me.name]
        return [link for link in links if link.is_idle()]

    def close_links_but_to(self, owners: Collection[str]) -> None:
        """Close the links to entries of other cells, except the owners there.

        Entries that once belonged to one cell would keep a connection to each other.
        """
        for name, link in list(self.links_by_name.items()):
            if name not in owners and link.is_idle() and not self._is_cell_member(link.peer):
                del self.links_by_name[name]
                link.close()

    def known(self) -> list[EntryInfo]:
        """Return the cell's entries that are not known to be gone, this one included."""
        return [entry for entry in self.cell_members() if not self._is_gone(entry)]

    def _is_gone(self, entry: EntryInfo) -> bool:
        link = self.links_by_name.get(entry.name)
        return link is not None and not link.is_idle() and link.silence_s() > GONE_S

    def probe(self) -> None:
        """Ask the other entries whether they hear the owner.

        One that has answered just now is not asked again: with 40 entries that ask each other all
        the time, the processors of the weakest are full for as long as no owner is heard.
        """
        now = self._loop.time()
        for link in self.idle_links():
            if now - link.last_receipt_at > PROBE_AGAIN_S:
                link.send(Ping())

    def fresh_receipts(self, cell: str, age_s: float) -> list[Receipt]:
        """Return acknowledgements of a cell's entries that are younger than an age."""
        return [
            link.last_receipt
            for link in self.links_by_name.values()
            if link.last_receipt is not None
            and link.last_receipt.cell == cell
            and self._loop.time() - link.last_receipt_at < age_s
        ]

    def successors(self) -> list[str]:
        """Return the entries that answer, in the order in which they should take over."""
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
        """Return the first of the successors in each failure domain."""
        chosen: Counter[str] = Counter()
        first = []
        for name in self.successors():
            entry = self.links_by_name[name].peer
            chosen[entry.zone] += 1
            if chosen[entry.zone] <= per_domain:
                first.append(entry)
        return first

    def withdraw_jobs(self, *, owners: Collection[str]) -> set[str]:
        """Take back jobs that were not delivered to any entry but the owners of cells.

        Returns the ids of those that were never sent.
        """
        unsent: set[str] = set()
        for name, link in self.links_by_name.items():
            if name not in owners:
                unsent |= link.withdraw_jobs()
        return unsent

    def withdraw_unsent(self, owner: str) -> set[str]:
        """Take back the jobs that wait behind a delivery to an owner that does not answer."""
        link = self.links_by_name.get(owner)
        return link.withdraw_unsent() if link is not None else set()
