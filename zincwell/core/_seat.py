"""Membership lease of this entry (its seat), and failure detection of its peers.

Without the lease, two entries could both act as the home of a key and grant it to different
owners, so that its tasks start twice. A home grants only within ``seat_lease_s`` of its last
contact with the log, or of the last acknowledgement from every other open seat of its domain.
A peer closes a seat through the log, and only when it has not acknowledged the seat for
longer than the lease. See docs/design/ownership.md.
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
    """Heartbeat state of one peer; times are monotonic.

    :ivar acked_at: when the latest heartbeat that the peer acknowledged was sent.
    :ivar heard_at: when the peer last sent or answered a heartbeat.
    :ivar epoch: next log offset of the peer's list of seats, as it last reported.
    """

    incarnation: str
    acked_at: float = NEVER
    heard_at: float = NEVER
    epoch: int = 0


class SeatKeeper:
    """Keeps this entry's seat open, closes those of silent peers, and checks the lease.

    :ivar joined_at: wall-clock time at which all other seats of the domain knew of this seat.
    :ivar leaving: whether this entry is closing its seat for good.
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
        self._closing_offset_by_id: dict[str, int] = {}
        self._joined = False
        self._last_step_at = clock.monotonic()
        self.joined_at = NEVER
        self.leaving = False

    @property
    def is_open(self) -> bool:
        """Whether this entry's seat is open, as far as it has read the log."""
        return self.membership.is_open(vm=self.seat.vm, incarnation=self.seat.incarnation)

    def others(self) -> list[Seat]:
        """Return the other open seats of this entry's domain."""
        seats = self.membership.seats_of(self.seat.domain)
        return [seat for seat in seats if seat.vm != self.seat.vm]

    def is_first_by_name(self) -> bool:
        """Tell whether this entry's seat is the first of all open seats by VM name."""
        return self.is_open and min(self.membership.seats_by_vm) == self.seat.vm

    def may_grant(self) -> bool:
        """Tell whether the lease of this entry is valid, so that it may grant claims.

        The lease is renewed only by contact with the log or the peers. After a pause of this
        process it has expired, until there is new contact.
        """
        if not self.is_open or not self.has_joined():
            return False
        oldest = self._clock.monotonic() - self._timing.seat_lease_s
        if self._follower.contact_at > oldest:
            return True
        others = self.others()
        # Without peers, only the log can show that another entry has replaced this one.
        return bool(others) and all(self._contact(seat).acked_at > oldest for seat in others)

    def has_log(self) -> bool:
        """Tell whether the log has answered within ``seat_lease_s``."""
        oldest = self._clock.monotonic() - self._timing.seat_lease_s
        return self._follower.contact_at > oldest

    def has_recent_acks(self) -> bool:
        """Tell whether every other open seat of the domain acknowledged a recent heartbeat.

        Recent means within two heartbeat periods.
        """
        oldest = self._clock.monotonic() - 2 * self._timing.heartbeat_s
        return all(self._contact(seat).acked_at > oldest for seat in self.others())

    def acknowledges(self, seat: Seat) -> bool:
        """Record a heartbeat from a peer and tell whether its seat is acknowledged.

        A seat that this entry has begun to close is not acknowledged unless it was reopened:
        an acknowledgement would extend its lease past the time from which another home grants
        its keys.
        """
        contact = self._contact(seat)
        contact.heard_at = self._clock.monotonic()
        current = self.membership.seats_by_vm.get(seat.vm)
        if current is None or current.id != seat.id:
            return False
        return self._closing_offset_by_id.get(seat.id) != current.opened

    def note_answer(self, *, seat: Seat, epoch: int, sent_at: float, ack: bool) -> None:
        """Record a peer's answer to a heartbeat.

        :param sent_at: monotonic time at which the heartbeat was sent.
        :param ack: whether the peer acknowledged this entry's seat.
        """
        contact = self._contact(seat)
        contact.heard_at = self._clock.monotonic()
        contact.epoch = max(contact.epoch, epoch)
        if ack:
            contact.acked_at = max(contact.acked_at, sent_at)

    async def run(self) -> None:
        """Open the seat and close those of silent peers, until cancelled."""
        while True:
            try:
                await self._step()
            except LogUnavailableError as error:
                log.info("seat_log_unavailable", extra={"error": error})
            await asyncio.sleep(self._timing.heartbeat_s)

    async def close(self) -> None:
        """Close this entry's seat before shutdown.

        :raises LogUnavailableError: if the log doesn't answer; the peers then close the seat
            after ``peer_silence_s``.
        """
        self.leaving = True
        if self.is_open:
            await self._append(self._close_record_of(self.seat))

    def due_records(self) -> list[OpenSeat | CloseSeat]:
        """Return the records to append now: opening this seat, or closing silent peers' seats.

        A peer whose seat is to be closed is not acknowledged from here on.
        """
        self._reset_silence_after_pause()
        if not self.has_log():
            return []
        if not self.is_open:
            self._joined = False
            self.contact_by_vm.clear()
            return [] if self.leaving else [_open_record_of(self.seat)]
        self.has_joined()
        silent = [seat for seat in self.others() if self._is_silent(seat)]
        for seat in silent:
            if self._closing_offset_by_id.get(seat.id) != seat.opened:
                self._closing_offset_by_id[seat.id] = seat.opened
                log.warning("peer_silent", extra={"seat": seat.id})
        return [self._close_record_of(seat) for seat in silent]

    async def _step(self) -> None:
        for record in self.due_records():
            await self._append(record)
            log.info("seat_record", extra={"record": record})

    def _reset_silence_after_pause(self) -> None:
        """Restart the silence timeout of all peers after a pause of this process.

        Heartbeats sent during the pause are still unread in the sockets. If the pause counted
        as silence, this entry would close the seats of healthy peers on resuming.
        """
        now = self._clock.monotonic()
        if now - self._last_step_at > self._timing.seat_lease_s:
            for contact in self.contact_by_vm.values():
                contact.heard_at = now
        self._last_step_at = now

    def _is_silent(self, seat: Seat) -> bool:
        silent_s = self._clock.monotonic() - self._contact(seat).heard_at
        return silent_s > self._timing.peer_silence_s

    def _close_record_of(self, seat: Seat) -> CloseSeat:
        return CloseSeat(vm=seat.vm, incarnation=seat.incarnation, by=self.seat.id)

    async def _append(self, record: OpenSeat | CloseSeat) -> None:
        """Append a record and wait until it is read back, so that it is not appended twice."""
        value = msgspec.to_builtins(record)
        offset = await self._log_service.append(stream=self.membership.stream, value=value)
        for _ in range(20):
            if self.membership.next_offset > offset:
                return
            await asyncio.sleep(self._timing.heartbeat_s / 5)

    def has_joined(self) -> bool:
        """Tell whether every other open seat of the domain knows that this one is open.

        Until then one of them may still act as the home of this seat's keys.
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
            # The silence timeout of a seat starts when this entry first learns of it.
            contact = PeerContact(seat.incarnation, heard_at=self._clock.monotonic())
            self.contact_by_vm[seat.vm] = contact
        return contact


def _open_record_of(seat: Seat) -> OpenSeat:
    return OpenSeat(vm=seat.vm, incarnation=seat.incarnation, domain=seat.domain, url=seat.url)
