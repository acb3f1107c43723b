"""Client side of claims: asks the home of a key to make this entry its owner."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.core._home import Home
from zincwell.core._membership import Membership, Seat, domain_of_key, home_of_key
from zincwell.core._messages import Claim, ClaimKind, ClaimReply
from zincwell.core._peers import ClaimSender, Peers
from zincwell.exceptions import PeerUnavailableError
from zincwell.ports import Clock
from zincwell.settings import TimingSettings

CLAIM_RETRY_S = 0.05
CLAIM_TIMEOUT_S = 0.4
HOME_RETRY_MS = 1_000

log = logging.getLogger("zincwell.ownership")


class Ownership:
    """Sends claims to the homes of keys.

    :param home: the home in this entry, for the keys that it is home to.
    :param domains: returns the failure domains over which keys without a prefix are spread.
    """

    def __init__(
        self,
        *,
        seat: Seat,
        home: Home,
        membership: Membership,
        peers: Peers,
        clock: Clock,
        timing: TimingSettings,
        domains: Callable[[], list[str]],
    ):
        self._seat = seat
        self._home = home
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._timing = timing
        self._domains = domains
        self._sender_by_url: dict[str, ClaimSender] = {}

    async def acquire(self, claim: Claim) -> ClaimReply:
        """Claim a key, with retries until the home decides or ``claim_budget_s`` has passed.

        A retry is idempotent: a home gives the same asker the same grant.
        """
        give_up_at = self._clock.monotonic() + self._timing.claim_budget_s
        while True:
            reply = await self._ask(claim)
            if reply.kind not in (ClaimKind.NOT_READY, ClaimKind.MOVED):
                return reply
            if self._clock.monotonic() > give_up_at:
                return reply
            await asyncio.sleep(CLAIM_RETRY_S)

    async def _ask(self, claim: Claim) -> ClaimReply:
        domain = domain_of_key(claim.key, self._domains())
        home = home_of_key(claim.key, self._membership.seats_of(domain))
        if home is None:
            return _not_ready("home_vacant")
        if home.id == self._seat.id:
            return self._home.claim(asker=self._seat, claim=claim)
        asked_at = self._clock.monotonic()
        try:
            reply = await self._sender(home.url).send(claim)
        except PeerUnavailableError as error:
            log.info("home_unreachable", extra={"home": home.id, "error": error})
            return _not_ready("home_unreachable")
        if self._clock.monotonic() - asked_at > self._timing.seat_lease_s:
            # A delayed grant may come from a home that was paused and has been replaced since,
            # and the new home doesn't know of it.
            return _not_ready("late_grant")
        return reply

    def _sender(self, url: str) -> ClaimSender:
        sender = self._sender_by_url.get(url)
        if sender is None:
            sender = ClaimSender(
                asker=self._seat, url=url, peers=self._peers, timeout_s=CLAIM_TIMEOUT_S
            )
            self._sender_by_url[url] = sender
        return sender


def _not_ready(reason: str) -> ClaimReply:
    return ClaimReply(kind=ClaimKind.NOT_READY, reason=reason, retry_after_ms=HOME_RETRY_MS)
