"""The seat of this entry: opening it, keeping it, closing those of dead peers.

What goes wrong without it: two entries take themselves for the home of the same key, each
grants it to another owner, and its tasks start twice. What prevents it is a lease. A home
grants only within ``seat_lease_s`` of its last contact with the log, or with every other open
seat of its domain, and whoever closes its seat has stopped to acknowledge it longer ago than
that, and then closes it through the log. See docs/design/ownership.md.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

import msgspec

from zincwell.core._follow import NEVER, Follower
from zincwell.core._membership import CloseSeat, Membership, OpenSeat, Seat
from zincwell.exceptions import LogUnavailableError
from zincwell.ports import Clock, LogService
from zincwell.settings import TimingSettings

log = logging.getLogger("zincwell.seat")


@dataclass
class PeerContact:
    """What this entry and one peer have heard of each other.

    :ivar acked_at: when the last heartbeat that the peer acknowledged was sent.
    :ivar heard_at: when it last sent one to us, or answered one.
    :ivar epoch: next offset of its fold of the seats, as it last said.
    """

    incarnation: str
    acked_at: float = NEVER
    heard_at: float = NEVER
    epoch: int = 0


class SeatKeeper:
    """Keeps the seat of this entry and tells whether it may grant claims now.

    :ivar joined_at: wall clock when all other seats of the domain knew of ours.
    """

    def __init__(
        self,
        *,
        seat: Seat,
        membership: Membership,
        follower: Follower,
        log_service: LogService,
        clock: Clock,
        timing: TimingSettings,
    ):
        self.seat = seat
        self.membership = membership
        self.contact_by_vm: dict[str, PeerContact] = {}
        self._follower = follower
        self._log_service = log_service
        self._clock = clock
        self._timing = timing
        self._closing_by_id: dict[str, int] = {}
        self._joined = False
        self._stepped_at = clock.monotonic()
        self.joined_at = NEVER
        self.leaving = False

    @property
    def is_open(self) -> bool:
        """Whether our seat is open in our fold."""
        return self.membership.is_open(vm=self.seat.vm, incarnation=self.seat.incarnation)

    def others(self) -> list[Seat]:
        """Return the other open seats of our domain."""
        seats = self.membership.seats_of(self.seat.domain)
        return [seat for seat in seats if seat.vm != self.seat.vm]

    def is_first(self) -> bool:
        """Tell whether our seat is the first of all by name."""
        return self.is_open and min(self.membership.seats_by_vm) == self.seat.vm

    def may_grant(self) -> bool:
        """Tell whether this entry may grant claims as a home at this very moment.

        The times compared are those of real contact, so after a pause of this process they
        are old and the answer is no, until there has been new contact.
        """
        if not self.is_open or not self.has_joined():
            return False
        oldest = self._clock.monotonic() - self._timing.seat_lease_s
        if self._follower.contact_at > oldest:
            return True
        others = self.others()
        # Alone, only the log can tell us that we have been replaced.
        return bool(others) and all(self._contact(seat).acked_at > oldest for seat in others)

    def has_log(self) -> bool:
        """Tell whether the log has answered within the seat's lease."""
        oldest = self._clock.monotonic() - self._timing.seat_lease_s
        return self._follower.contact_at > oldest

    def hears_all_peers(self) -> bool:
        """Tell whether every other open seat of the domain has lately acknowledged ours."""
        oldest = self._clock.monotonic() - 2 * self._timing.heartbeat_s
        return all(self._contact(seat).acked_at > oldest for seat in self.others())

    def acknowledges(self, seat: Seat) -> bool:
        """Note a heartbeat from a peer and tell whether we acknowledge its seat.

        A seat that we have begun to close is not acknowledged again unless it is opened anew:
        an acknowledgement would extend its lease past the moment from which its keys are
        granted elsewhere.
        """
        contact = self._contact(seat)
        contact.heard_at = self._clock.monotonic()
        current = self.membership.seats_by_vm.get(seat.vm)
        if current is None or current.id != seat.id:
            return False
        return self._closing_by_id.get(seat.id) != current.opened

    def note_answer(self, *, seat: Seat, epoch: int, sent_at: float, ack: bool) -> None:
        """Note a peer's answer to our heartbeat."""
        contact = self._contact(seat)
        contact.heard_at = self._clock.monotonic()
        contact.epoch = max(contact.epoch, epoch)
        if ack:
            contact.acked_at = max(contact.acked_at, sent_at)

    async def run(self) -> None:
        """Open the seat, and from then on close those of silent peers; until cancelled."""
        while True:
            try:
                await self._step()
            except LogUnavailableError as error:
                log.info("seat_log_unavailable", extra={"error": error})
            await asyncio.sleep(self._timing.heartbeat_s)

    async def close(self) -> None:
        """Close our own seat when leaving.

        :raises LogUnavailableError: if the log does not answer; peers then find us silent.
        """
        self.leaving = True
        if self.is_open:
            await self._append(self._closing_of(self.seat))

    def due_records(self) -> list[OpenSeat | CloseSeat]:
        """Return what has to be appended now: our own seat, or the end of a silent peer's.

        A peer whose end is decided is not acknowledged from here on.
        """
        self._forgive_after_pause()
        if not self.has_log():
            return []
        if not self.is_open:
            self._joined = False
            self.contact_by_vm.clear()
            return [] if self.leaving else [_opening(self.seat)]
        self.has_joined()
        silent = [seat for seat in self.others() if self._is_silent(seat)]
        for seat in silent:
            if self._closing_by_id.get(seat.id) != seat.opened:
                self._closing_by_id[seat.id] = seat.opened
                log.warning("peer_silent", extra={"seat": seat.id})
        return [self._closing_of(seat) for seat in silent]

    async def _step(self) -> None:
        for record in self.due_records():
            await self._append(record)
            log.info("seat_record", extra={"record": record})

    def _forgive_after_pause(self) -> None:
        """Give the peers the whole silence anew after a pause of our own.

        What they sent meanwhile waits in our sockets; counted as silence, it would make us
        close the seats of healthy peers on waking.
        """
        now = self._clock.monotonic()
        if now - self._stepped_at > self._timing.seat_lease_s:
            for contact in self.contact_by_vm.values():
                contact.heard_at = now
        self._stepped_at = now

    def _is_silent(self, seat: Seat) -> bool:
        silent_s = self._clock.monotonic() - self._contact(seat).heard_at
        return silent_s > self._timing.peer_silence_s

    def _closing_of(self, seat: Seat) -> CloseSeat:
        return CloseSeat(vm=seat.vm, incarnation=seat.incarnation, by=self.seat.id)

    async def _append(self, record: OpenSeat | CloseSeat) -> None:
        """Append and wait for the fold to reach the record, so that no step goes twice."""
        value = msgspec.to_builtins(record)
        offset = await self._log_service.append(stream=self.membership.stream, value=value)
        for _ in range(20):
            if self.membership.next_offset > offset:
                return
            await asyncio.sleep(self._timing.heartbeat_s / 5)

    def has_joined(self) -> bool:
        """Tell whether every other open seat of the domain knows that ours is open.

        Until then one of them may still take itself for the home of our keys.
        """
        if not self._joined and self.is_open:
            opened = self.membership.seats_by_vm[self.seat.vm].opened
            self._joined = all(self._contact(seat).epoch > opened for seat in self.others())
            if self._joined:
                self.joined_at = self._clock.wall()
        return self._joined

    def _contact(self, seat: Seat) -> PeerContact:
        contact = self.contact_by_vm.get(seat.vm)
        if contact is None or contact.incarnation != seat.incarnation:
            # A seat just learnt of counts as heard now, and gets the whole silence to speak.
            contact = PeerContact(seat.incarnation, heard_at=self._clock.monotonic())
            self.contact_by_vm[seat.vm] = contact
        return contact


def _opening(seat: Seat) -> OpenSeat:
    return OpenSeat(vm=seat.vm, incarnation=seat.incarnation, domain=seat.domain, url=seat.url)
