"""The home of keys: grants each key to one owner.

What goes wrong without it: a school sends a page again to another entry, both entries run it,
and it is embossed twice. The home of the key, one entry of the key's failure domain, grants
the key to the first entry that asks; every later one is told the owner.

A home keeps nothing on disk. One that has just become home to a key may not know an earlier
grant. It knows from when its knowledge is complete (``floor``), and a key created before that
is not granted: its outcome is unknown, and that is what the caller is told.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from zincwell.core._follow import NEVER
from zincwell.core._membership import Membership, Seat, domain_of_key, home_of_key
from zincwell.core._messages import (
    Claim,
    ClaimKind,
    ClaimReply,
    HandoverReply,
    Intent,
    OwnedKey,
)
from zincwell.core._seat import SeatKeeper
from zincwell.ports import Clock
from zincwell.settings import TimingSettings

NOT_READY_MS = 200
ABRUPT_LEASES = 2
LEAVER_S = 2.0
STALE_RETRY_MS = 50

log = logging.getLogger("zincwell.home")


@dataclass
class Step:
    """The seats of our domain from one moment on.

    :ivar since: wall clock from when these seats held.
    :ivar grants_from: monotonic time before which keys new to us are not granted.
    :ivar floor_by_seat: what homes before this step said, during it or later, of the
        completeness of what they handed over. What they said earlier is worth nothing here:
        they went on granting until this step.
    """

    since: float
    grants_from: float
    seats: list[Seat]
    floor_by_seat: dict[str, float] = field(default_factory=dict)


class Home:
    """Grants the keys that this entry is home to.

    :param domains: returns the domains that the configuration spreads keys over.
    :param owned_here: returns what this entry itself owns under a key. A successor home is
        often the owner of keys that the home before it granted.
    """

    def __init__(
        self,
        *,
        keeper: SeatKeeper,
        membership: Membership,
        clock: Clock,
        timing: TimingSettings,
        domains: Callable[[], list[str]],
        owned_here: Callable[[str], OwnedKey | None],
    ):
        self._owned_here = owned_here
        self._domains = domains
        self._keeper = keeper
        self._membership = membership
        self._clock = clock
        self._timing = timing
        self._steps: list[Step] = []
        self._owned_by_key: dict[str, OwnedKey] = {}
        self._refused_by_key: dict[str, tuple[int, float]] = {}
        self._awaited: set[str] = set()
        self._leavers: list[Seat] = []
        self._leavers_until = 0.0
        self._not_before = NEVER
        membership.on_change.append(self._note_change)

    @property
    def size(self) -> int:
        """Number of keys remembered."""
        return len(self._owned_by_key)

    def claim(self, *, asker: Seat, claim: Claim) -> ClaimReply:
        """Grant a key to the asker, or say why not."""
        if not self._is_home_to(claim.key):
            return ClaimReply(kind=ClaimKind.MOVED)
        if not self._keeper.may_grant() or self._keeper.leaving:
            return _not_ready("no_lease")
        owned = self._owned_by_key.get(claim.key) or self._owned_here(claim.key)
        if owned is None:
            return self._claim_new(asker, claim)
        if claim.intent is Intent.REFUSE and owned.owner.id == asker.id:
            self._note_refused(claim)
        if claim.intent is Intent.OWN:
            if self._is_superseded(claim):
                return ClaimReply(kind=ClaimKind.SUPERSEDED, reason="superseded")
            if owned.owner.id == asker.id and claim.disown < owned.serial:
                return _granted(owned)
            if claim.disown == owned.serial:
                return self._grant(asker, claim, serial=owned.serial + 1)
        return ClaimReply(kind=ClaimKind.OWNED, owner=owned.owner, serial=owned.serial)

    def hand_over(self, *, seat: Seat, owned: list[OwnedKey]) -> list[OwnedKey]:
        """Return the keys that a seat of any domain is home to, of ours and of those given."""
        seats = self._membership.seats_of(seat.domain)
        known = {key.key: key for key in owned}
        known.update(self._owned_by_key)
        domains = self._domains()
        return [
            key
            for key in known.values()
            if domain_of_key(key.key, domains) == seat.domain and _is_home(seat, key.key, seats)
        ]

    def floor(self) -> float:
        """Return the wall clock time from when all that we were home to is known."""
        if not self._steps:
            return self._clock.wall()
        floors = [self._known_since(self._steps[0])]
        for before, step in itertools.pairwise(self._steps):
            since = self._known_since(step)
            sources = self._sources(before, step)
            floors += [step.floor_by_seat.get(seat.id, since) for seat in sources]
        return max(floors)

    def _known_since(self, step: Step) -> float:
        """Return from when we know the keys that came to us at a step without a handover.

        Not before all others knew of our seat: until then one of them may have granted them.
        """
        return max(step.since, self._keeper.joined_at)

    def _sources(self, before: Step, step: Step) -> list[Seat]:
        """Return the seats that keys of ours came from at a step.

        Rendezvous hashing gives us keys of the seats that went, and when we come ourselves,
        keys of all, or just those of the earlier run of this VM.
        """
        me = self._keeper.seat
        if all(seat.id != me.id for seat in step.seats):
            return []
        if any(seat.id == me.id for seat in before.seats):
            staying = {seat.vm for seat in step.seats}
            return [seat for seat in before.seats if seat.vm not in staying]
        earlier = [seat for seat in before.seats if seat.vm == me.vm]
        return earlier or before.seats

    def take_over(self, reply: HandoverReply) -> None:
        """Learn the keys that another entry knows of; the later grant wins."""
        for key in reply.keys:
            known = self._owned_by_key.get(key.key)
            if known is None or known.serial < key.serial:
                self._owned_by_key[key.key] = key
        for step in self._steps:
            step.floor_by_seat.setdefault(reply.seat.id, reply.floor)
        self._awaited.discard(reply.seat.id)

    def awaited(self) -> list[Seat]:
        """Return the seats that have yet to tell us what they know."""
        seats = {seat.id: seat for seat in self._membership.seats_by_vm.values()}
        if self._clock.monotonic() < self._leavers_until:
            seats |= {seat.id: seat for seat in self._leavers}
        self._awaited &= set(seats)
        return [seats[seat_id] for seat_id in sorted(self._awaited)]

    def forget_old(self) -> None:
        """Drop keys past the resubmission window; callers' later resends are refused anyway."""
        oldest = self._clock.wall() - self._timing.resubmission_window_s
        oldest -= 2 * self._timing.clock_margin_s
        old = [key for key, owned in self._owned_by_key.items() if owned.created_at < oldest]
        for key in old:
            del self._owned_by_key[key]
        old = [key for key, (_, at) in self._refused_by_key.items() if at < oldest]
        for key in old:
            del self._refused_by_key[key]
        while len(self._steps) > 1 and self._steps[1].since < oldest:
            self._steps.pop(0)

    def _is_home_to(self, key: str) -> bool:
        me = self._keeper.seat
        if domain_of_key(key, self._domains()) != me.domain:
            return False
        home = home_of_key(key, self._membership.seats_of(me.domain))
        return home is not None and home.id == me.id

    def _claim_new(self, asker: Seat, claim: Claim) -> ClaimReply:
        home_since, grants_from = self._home_since(claim.key)
        wait_s = max(grants_from, self._not_before) - self._clock.monotonic()
        if wait_s > 0:
            return _not_ready("taking_over", round(wait_s * 1000) + NOT_READY_MS)
        fresh = claim.created_at > home_since + self._timing.clock_margin_s
        if fresh or self._is_surely_first(claim):
            if claim.intent is Intent.REFUSE:
                _log_decision("key_never_granted", asker, claim, home_since)
            return self._decide_new(asker, claim)
        if claim.never_run:
            return ClaimReply(kind=ClaimKind.STALE, reason="stale", retry_after_ms=STALE_RETRY_MS)
        if self._awaited:
            return _not_ready("recovering")
        _log_decision("key_unknown", asker, claim, home_since)
        return ClaimReply(kind=ClaimKind.UNKNOWN, reason="home_changed")

    def _is_surely_first(self, claim: Claim) -> bool:
        """Tell whether an attempt that calls itself first came too early to be overtaken.

        Held up on its way, it may have been overtaken by a later attempt that an earlier home
        granted. From the last grant of that home until our first one lease goes by, so an
        attempt that was sent less than a lease ago was sent after it.
        """
        longest_s = self._timing.seat_lease_s - self._timing.clock_margin_s
        return claim.never_run and self._clock.wall() - claim.sent_at < longest_s

    def _decide_new(self, asker: Seat, claim: Claim) -> ClaimReply:
        if claim.intent is Intent.REFUSE:
            self._note_refused(claim)
        if claim.intent is not Intent.OWN:
            return ClaimReply(kind=ClaimKind.ABSENT)
        if self._is_superseded(claim):
            return ClaimReply(kind=ClaimKind.SUPERSEDED, reason="superseded")
        return self._grant(asker, claim, serial=1)

    def _note_refused(self, claim: Claim) -> None:
        """Remember an attempt whose caller is told that the key has not run.

        An earlier attempt may still be on its way through another entry. Granted after this
        answer, it would run what the caller was told had not run.
        """
        if claim.attempt:
            known = self._refused_by_key.get(claim.key, (0, 0.0))[0]
            self._refused_by_key[claim.key] = (max(known, claim.attempt), claim.created_at)

    def _is_superseded(self, claim: Claim) -> bool:
        refused = self._refused_by_key.get(claim.key, (0, 0.0))[0]
        return 0 < claim.attempt <= refused

    def _grant(self, asker: Seat, claim: Claim, *, serial: int) -> ClaimReply:
        owned = OwnedKey(key=claim.key, owner=asker, serial=serial, created_at=claim.created_at)
        self._owned_by_key[claim.key] = owned
        return _granted(owned)

    def _note_change(self, domain: str, abrupt: bool) -> None:
        if domain != self._keeper.seat.domain:
            return
        now = self._clock.monotonic()
        if abrupt:
            if not self._keeper.has_joined():
                self._not_before = now + ABRUPT_LEASES * self._timing.seat_lease_s
            # The holder of a seat that others closed may grant until its lease lapses, and
            # its grant may be taken up one lease later.
            now += ABRUPT_LEASES * self._timing.seat_lease_s
        seats = self._membership.seats_of(domain)
        before = self._steps[-1].seats if self._steps else []
        self._steps.append(Step(since=self._clock.wall(), grants_from=now, seats=seats))
        # A seat that its holder closed itself is asked as well, for as long as it is there.
        staying = {seat.id for seat in seats}
        self._leavers = [] if abrupt else [seat for seat in before if seat.id not in staying]
        self._leavers_until = self._clock.monotonic() + LEAVER_S
        self._awaited = {seat.id for seat in self._membership.seats_by_vm.values()}
        self._awaited |= {seat.id for seat in self._leavers}
        self._awaited.discard(self._keeper.seat.id)

    def _home_since(self, key: str) -> tuple[float, float]:
        """Return from when we know all grants of a key, and when we may grant it.

        Follows the steps back as long as we were the key's home, and one step further if the
        home before us has handed over what it knew.
        """
        ours: Step | None = None
        for step in reversed(self._steps):
            home = home_of_key(key, step.seats)
            if home is None:
                continue
            if home.id == self._keeper.seat.id:
                ours = step
                continue
            if ours is None:
                break
            since = ours.floor_by_seat.get(home.id, self._known_since(ours))
            return since, ours.grants_from
        if ours is None:
            return self._clock.wall(), 0.0
        return self._known_since(ours), ours.grants_from


def _log_decision(event: str, asker: Seat, claim: Claim, home_since: float) -> None:
    """Log what is said of a key that is not granted, and how old the key and our knowledge are."""
    made_after_s = round(claim.created_at - home_since, 3)
    log.info(event, extra={"job": claim.key, "asker": asker.id, "made_after_s": made_after_s})


def _granted(owned: OwnedKey) -> ClaimReply:
    return ClaimReply(kind=ClaimKind.GRANTED, owner=owned.owner, serial=owned.serial)


def _not_ready(reason: str, retry_after_ms: int = NOT_READY_MS) -> ClaimReply:
    return ClaimReply(kind=ClaimKind.NOT_READY, reason=reason, retry_after_ms=retry_after_ms)


def _is_home(seat: Seat, key: str, seats: list[Seat]) -> bool:
    home = home_of_key(key, seats)
    return home is not None and home.id == seat.id
