"""Which failure domains are heard, and for how long all of them have been.

Workers of a domain that is cut off lapse in the platform's list and run on under a stand-in. An
owner that takes the listed workers for all there are would start again what those run.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable

from zincwell.dispatch._messages import OwnerHeartbeat
from zincwell.dispatch._peers import PeerLink
from zincwell.dispatch._types import EntryInfo

# Entries of a failure domain that are all silent for this long are taken to be cut off. Their
# jobs are stopped, since a stand-in there starts them again 1.4 s after its take-over.
DOMAIN_TIMEOUT_S = 0.6
# After a domain is heard again, or the list of workers can be read again, its entries hand their
# jobs over and its workers are listed anew within this many seconds.
DOMAIN_BACK_S = 3.0
# A new owner that heard none for this long can't know which domains were cut off meanwhile. A
# take-over is done 0.9 s after the last heartbeat.
UNINFORMED_S = 1.5


class DomainMonitor:
    """Knows when an entry of some failure domain was last out of hearing.

    An owner sees it itself; the others learn it from the owner's heartbeats, so that a successor
    knows of cuts before its term.
    """

    def __init__(self, *, me: EntryInfo) -> None:
        self._me = me
        self._loop = asyncio.get_running_loop()
        # A process that has heard no heartbeat yet knows of nothing.
        self._missed_at = self._loop.time()
        self._beat_at = -math.inf
        self._elected_at = 0.0

    def note_heartbeat(self, beat: OwnerHeartbeat, *, delay_s: float) -> None:
        """Take over what the owner that this entry follows knows.

        :param delay_s: how long ago the owner knew it. One that waited behind a cut says nothing
            of the domains since.
        """
        self._beat_at = self._loop.time() - delay_s
        self._missed_at = self._beat_at - (0.0 if beat.domain else beat.complete_s)

    def note_list_unread(self) -> None:
        """Take note that the owner can't read the list of workers.

        Its own domain may be the one that is cut off, and a cell of one domain has no other to
        miss. Workers lapse in the list meanwhile; a successor that has never read it would take
        those that come back first for all there are, and start again what the others run.
        """
        self._missed_at = self._loop.time()

    def note_elected(self, *, was_owner: bool) -> None:
        """Begin a term as owner.

        :param was_owner: the entry was owner or stand-in before and has watched all the while.
        """
        self._elected_at = self._loop.time()
        if not was_owner and self._elected_at - self._beat_at > UNINFORMED_S:
            self._missed_at = self._elected_at

    def complete_s(self) -> float:
        """Return for how long no domain has been out of hearing."""
        return self._loop.time() - self._missed_at

    def reaches_all(self, entries: Iterable[EntryInfo], links: Iterable[PeerLink]) -> bool:
        """Return whether an entry of each domain answers in this term, and has for a while."""
        zones = {entry.zone for entry in entries} - {self._me.zone}
        heard = {
            link.peer.zone
            for link in links
            if link.last_receipt_at >= self._elected_at and link.silence_s() < DOMAIN_TIMEOUT_S
        }
        return not zones - heard and self.complete_s() > DOMAIN_BACK_S

    def find_cut_off(
        self, entries: Iterable[EntryInfo], links_by_name: dict[str, PeerLink]
    ) -> set[str]:
        """Return the domains of which no entry is heard, and note that there are some."""
        silent_by_domain: dict[str, bool] = {}
        for entry in entries:
            if entry.zone == self._me.zone:
                continue
            link = links_by_name.get(entry.name)
            silent = link is not None and link.silence_s() > DOMAIN_TIMEOUT_S
            silent_by_domain[entry.zone] = silent and silent_by_domain.get(entry.zone, True)
        cut_off = {zone for zone, silent in silent_by_domain.items() if silent}
        if cut_off:
            self._missed_at = self._loop.time()
        return cut_off
