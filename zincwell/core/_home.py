"""The home (coordinator) of a key: grants the key to exactly one owner.

Without it, a caller that resends a key to another entry would have its tasks run twice. The
home of a key is one entry of the key's failure domain. It grants the key to the first entry
that claims it, and answers every later claim with the owner.

A home stores its grants in memory only, so a new home may not know the grants of the previous
one. It records the time from which its knowledge is complete (``floor``). A key created before
that time is not granted; its caller gets the outcome ``outcome_unknown``.
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

NOT_READY_RETRY_MS = 200
ABRUPT_CLOSE_WAIT_LEASES = 2
CLOSED_SEAT_HANDOVER_S = 2.0
STALE_RETRY_MS = 50

log = logging.getLogger("zincwell.home")


@dataclass
class MembershipView:
    """Set of the domain's open seats, valid until the next view replaces it.

    :ivar since: wall-clock time from which the view is valid.
    :ivar grants_from: monotonic time before which this entry doesn't grant keys that the view
        gave it.
    :ivar floor_by_seat: by seat id, the time from which the keys that the seat handed over are
        complete. Only handovers received under this view or a later one count: previous homes
        went on granting until the view took effect.
    """

    since: float
    grants_from: float
    seats: list[Seat]
    floor_by_seat: dict[str, float] = field(default_factory=dict)


class Home:
    """Grants the keys that this entry is home to.

    :param domains: returns the failure domains over which keys without a prefix are spread.
    :param find_owned: returns the ownership record of a key that this entry itself owns, or
        None. A new home often owns keys that the previous home granted to it.
    """

    def __init__(
        self,
        *,
        keeper: SeatKeeper,
        membership: Membership,
        clock: Clock,
        timing: TimingSettings,
        domains: Callable[[], list[str]],
        find_owned: Callable[[str], OwnedKey | None],
    ):
        self._find_owned = find_owned
        self._domains = domains
        self._keeper = keeper
        self._membership = membership
        self._clock = clock
        self._timing = timing
        self._views: list[MembershipView] = []
        self._owned_by_key: dict[str, OwnedKey] = {}
        self._refused_by_key: dict[str, tuple[int, float]] = {}
        self._pending_handovers: set[str] = set()
        self._leaving_seats: list[Seat] = []
        self._leaving_seats_until = 0.0
        self._no_grants_before = NEVER
        membership.on_change.append(self._note_change)

    @property
    def size(self) -> int:
        """Number of grants held in memory."""
        return len(self._owned_by_key)

    def claim(self, *, asker: Seat, claim: Claim) -> ClaimReply:
        """Grant a key to the asker, or return the reason why it isn't granted."""
        if not self._is_home_to(claim.key):
            return ClaimReply(kind=ClaimKind.MOVED)
        if not self._keeper.may_grant() or self._keeper.leaving:
            return _not_ready("no_lease")
        owned = self._owned_by_key.get(claim.key) or self._find_owned(claim.key)
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
        """Return those keys whose home is a given seat, which may be of any domain.

        Selects from this home's grants and from ``owned``, the keys that this entry owns.
        """
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
        """Return the wall-clock time from which this home knows every grant of its keys."""
        if not self._views:
            return self._clock.wall()
        floors = [self._known_since(self._views[0])]
        for before, view in itertools.pairwise(self._views):
            since = self._known_since(view)
            previous_homes = self._previous_homes(before, view)
            floors += [view.floor_by_seat.get(seat.id, since) for seat in previous_homes]
        return max(floors)

    def _known_since(self, view: MembershipView) -> float:
        """Return from when the grants of keys that a view gave this seat are known.

        Holds without a handover. The time is never before all other seats knew of this one:
        until then one of them may have granted the keys.
        """
        return max(view.since, self._keeper.joined_at)

    def _previous_homes(self, before: MembershipView, view: MembershipView) -> list[Seat]:
        """Return the seats whose keys moved to this seat from one view to the next.

        With rendezvous hashing these are the seats that closed. If this seat opened in the
        view, they are all seats, or only that of the earlier run of this VM if there was one.
        """
        me = self._keeper.seat
        if all(seat.id != me.id for seat in view.seats):
            return []
        if any(seat.id == me.id for seat in before.seats):
            staying = {seat.vm for seat in view.seats}
            return [seat for seat in before.seats if seat.vm not in staying]
        earlier = [seat for seat in before.seats if seat.vm == me.vm]
        return earlier or before.seats

    def merge_handover(self, reply: HandoverReply) -> None:
        """Merge the keys that another entry handed over; the grant with the higher serial wins."""
        for key in reply.keys:
            known = self._owned_by_key.get(key.key)
            if known is None or known.serial < key.serial:
                self._owned_by_key[key.key] = key
        for view in self._views:
            view.floor_by_seat.setdefault(reply.seat.id, reply.floor)
        self._pending_handovers.discard(reply.seat.id)

    def seats_pending_handover(self) -> list[Seat]:
        """Return the seats whose handover is still pending."""
        seats = {seat.id: seat for seat in self._membership.seats_by_vm.values()}
        if self._clock.monotonic() < self._leaving_seats_until:
            seats |= {seat.id: seat for seat in self._leaving_seats}
        self._pending_handovers &= set(seats)
        return [seats[seat_id] for seat_id in sorted(self._pending_handovers)]

    def expire_old(self) -> None:
        """Drop keys older than the resubmission window; resends of them are refused anyway."""
        oldest = self._clock.wall() - self._timing.resubmission_window_s
        oldest -= 2 * self._timing.clock_margin_s
        old = [key for key, owned in self._owned_by_key.items() if owned.created_at < oldest]
        for key in old:
            del self._owned_by_key[key]
        old = [key for key, (_, at) in self._refused_by_key.items() if at < oldest]
        for key in old:
            del self._refused_by_key[key]
        while len(self._views) > 1 and self._views[1].since < oldest:
            self._views.pop(0)

    def _is_home_to(self, key: str) -> bool:
        me = self._keeper.seat
        if domain_of_key(key, self._domains()) != me.domain:
            return False
        home = home_of_key(key, self._membership.seats_of(me.domain))
        return home is not None and home.id == me.id

    def _claim_new(self, asker: Seat, claim: Claim) -> ClaimReply:
        known_since, grants_from = self._grants_known_since(claim.key)
        wait_s = max(grants_from, self._no_grants_before) - self._clock.monotonic()
        if wait_s > 0:
            return _not_ready("taking_over", round(wait_s * 1000) + NOT_READY_RETRY_MS)
        fresh = claim.created_at > known_since + self._timing.clock_margin_s
        if fresh or self._is_surely_first(claim):
            if claim.intent is Intent.REFUSE:
                _log_decision("key_never_granted", asker, claim, known_since)
            return self._decide_new(asker, claim)
        if claim.never_run:
            return ClaimReply(kind=ClaimKind.STALE, reason="stale", retry_after_ms=STALE_RETRY_MS)
        if self._pending_handovers:
            return _not_ready("recovering")
        _log_decision("key_unknown", asker, claim, known_since)
        return ClaimReply(kind=ClaimKind.UNKNOWN, reason="home_changed")

    def _is_surely_first(self, claim: Claim) -> bool:
        """Tell whether a claim marked ``never_run`` is recent enough to be trusted.

        A delayed first attempt may have been overtaken by a later attempt that the previous
        home granted. At least one lease lies between the last grant of the previous home and
        the first grant of this one, so an attempt sent less than a lease ago was sent after
        that last grant.
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
        """Record an attempt whose caller is about to get the answer ``not_run``.

        An earlier attempt may still be in flight through another entry. If it were granted
        after this answer, it would make the answer false.
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
                self._no_grants_before = now + ABRUPT_CLOSE_WAIT_LEASES * self._timing.seat_lease_s
            # The holder of a seat that a peer closed may grant until its lease expires, and an
            # asker accepts a grant up to one lease after its claim.
            now += ABRUPT_CLOSE_WAIT_LEASES * self._timing.seat_lease_s
        seats = self._membership.seats_of(domain)
        before = self._views[-1].seats if self._views else []
        self._views.append(MembershipView(since=self._clock.wall(), grants_from=now, seats=seats))
        # A seat that its holder closed itself is asked too, while its process still answers.
        staying = {seat.id for seat in seats}
        self._leaving_seats = [] if abrupt else [seat for seat in before if seat.id not in staying]
        self._leaving_seats_until = self._clock.monotonic() + CLOSED_SEAT_HANDOVER_S
        self._pending_handovers = {seat.id for seat in self._membership.seats_by_vm.values()}
        self._pending_handovers |= {seat.id for seat in self._leaving_seats}
        self._pending_handovers.discard(self._keeper.seat.id)

    def _grants_known_since(self, key: str) -> tuple[float, float]:
        """Return from when all grants of a key are known, and from when it may be granted.

        Goes back through the views while this seat was the key's home. If the home before it
        has handed over its keys, the first time is the floor that came with that handover.

        :returns: wall-clock time, monotonic time.
        """
        own_view: MembershipView | None = None
        for view in reversed(self._views):
            home = home_of_key(key, view.seats)
            if home is None:
                continue
            if home.id == self._keeper.seat.id:
                own_view = view
                continue
            if own_view is None:
                break
            since = own_view.floor_by_seat.get(home.id, self._known_since(own_view))
            return since, own_view.grants_from
        if own_view is None:
            return self._clock.wall(), 0.0
        return self._known_since(own_view), own_view.grants_from


def _log_decision(event: str, asker: Seat, claim: Claim, known_since: float) -> None:
    """Log the decision not to grant a key.

    ``made_after_s`` is the time from complete knowledge of the key's grants to its creation.
    """
    made_after_s = round(claim.created_at - known_since, 3)
    log.info(event, extra={"job": claim.key, "asker": asker.id, "made_after_s": made_after_s})


def _granted(owned: OwnedKey) -> ClaimReply:
    return ClaimReply(kind=ClaimKind.GRANTED, owner=owned.owner, serial=owned.serial)


def _not_ready(reason: str, retry_after_ms: int = NOT_READY_RETRY_MS) -> ClaimReply:
    return ClaimReply(kind=ClaimKind.NOT_READY, reason=reason, retry_after_ms=retry_after_ms)


def _is_home(seat: Seat, key: str, seats: list[Seat]) -> bool:
    home = home_of_key(key, seats)
    return home is not None and home.id == seat.id
