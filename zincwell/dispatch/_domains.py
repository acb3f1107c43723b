"""Failure detection for whole failure domains.

The workers of a domain that is cut off expire from the platform's list, but go on running tasks
under a stand-in. An owner that takes the list for complete would start those tasks a second time.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable

from zincwell.dispatch._messages import OwnerHeartbeat
from zincwell.dispatch._peers import PeerLink
from zincwell.dispatch._types import EntryInfo

# A failure domain counts as cut off if none of its entries has answered for this long. The owner
# then stops their jobs, since a stand-in there starts them again 1.4 s after its take-over.
DOMAIN_TIMEOUT_S = 0.6
# After a domain is reachable again, or the worker list is readable again, the entries of the domain
# submit their jobs and its workers are listed again within this time.
DOMAIN_RECOVERY_S = 3.0
# A new owner that has received no heartbeat for longer than this can't know which domains were cut
# off in the meantime. A regular take-over completes 0.9 s after the last heartbeat.
MAX_HEARTBEAT_GAP_S = 1.5


class DomainMonitor:
    """Tracks when any failure domain was last unreachable.

    The owner observes this itself. The other entries learn it from the owner's heartbeats, so that
    a successor knows of partitions before its own term.
    """

    def __init__(self, *, me: EntryInfo) -> None:
        self._me = me
        self._loop = asyncio.get_running_loop()
        # Until the first heartbeat, assume that a domain was unreachable just now.
        self._unreachable_at = self._loop.time()
        self._heartbeat_at = -math.inf
        self._elected_at = 0.0

    def note_heartbeat(self, heartbeat: OwnerHeartbeat, *, delay_s: float) -> None:
        """Adopt the knowledge of the owner that this entry follows.

        :param delay_s: greatest possible age of the heartbeat. One that was delayed by a partition
            says nothing about the time since it was sent.
        """
        self._heartbeat_at = self._loop.time() - delay_s
        self._unreachable_at = self._loop.time() - (
            0.0 if heartbeat.domain else heartbeat.complete_s
        )

    def note_worker_list_unavailable(self) -> None:
        """Record that the owner can't read the worker list.

        Its own domain may be the one that is cut off. A cell of a single domain has no other sign
        of this, because it has no other domain that could fall silent. Meanwhile its workers expire
        from the list. A successor that has never read the list would take the first workers that
        return to it for all there are, and start the tasks of the others a second time.
        """
        self._unreachable_at = self._loop.time()

    def note_elected(self, *, was_owner: bool) -> None:
        """Start a term as owner.

        :param was_owner: whether this entry was the owner or a stand-in before, and so has observed
            the domains all the time.
        """
        self._elected_at = self._loop.time()
        if not was_owner and self._elected_at - self._heartbeat_at > MAX_HEARTBEAT_GAP_S:
            self._unreachable_at = self._elected_at

    def complete_s(self) -> float:
        """Return for how long all domains have been reachable, in seconds."""
        return self._loop.time() - self._unreachable_at

    def reaches_all(self, entries: Iterable[EntryInfo], links: Iterable[PeerLink]) -> bool:
        """Return whether all domains are reachable, and have been for long enough.

        Only acknowledgements of the current term count.
        """
        zones = {entry.zone for entry in entries} - {self._me.zone}
        reachable = {
            link.peer.zone
            for link in links
            if link.last_receipt_at >= self._elected_at and link.silence_s() < DOMAIN_TIMEOUT_S
        }
        return not zones - reachable and self.complete_s() > DOMAIN_RECOVERY_S

    def find_cut_off_domains(
        self, entries: Iterable[EntryInfo], links_by_name: dict[str, PeerLink]
    ) -> set[str]:
        """Return the domains that are cut off, and record when there are any."""
        silent_by_domain: dict[str, bool] = {}
        for entry in entries:
            if entry.zone == self._me.zone:
                continue
            link = links_by_name.get(entry.name)
            silent = link is not None and link.silence_s() > DOMAIN_TIMEOUT_S
            silent_by_domain[entry.zone] = silent and silent_by_domain.get(entry.zone, True)
        cut_off = {zone for zone, silent in silent_by_domain.items() if silent}
        if cut_off:
            self._unreachable_at = self._loop.time()
        return cut_off
