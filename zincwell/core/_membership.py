"""Which entries there are, and which of them is home to a key.

The entries' seats are folded from the log. A *seat* is one run of one entry; the *home* of a
key is a seat of the key's failure domain, by rendezvous hashing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import xxhash
from msgspec import Struct

from zincwell.core._follow import Fold
from zincwell.ports import Record

STREAM = "seats"


class Seat(Struct, frozen=True, kw_only=True):
    """One run of one entry.

    :param incarnation: differs at each start of the process.
    :param url: base URL of its listener for peers.
    :param opened: offset of the record that opened it; -1 if none did.
    """

    vm: str
    incarnation: str
    domain: str
    url: str
    opened: int = -1

    @property
    def id(self) -> str:
        """Name of the seat."""
        return f"{self.vm}:{self.incarnation}"


class OpenSeat(Struct, frozen=True, kw_only=True, tag_field="kind", tag="open"):
    """A seat opens; an earlier one of the same VM closes by it."""

    vm: str
    incarnation: str
    domain: str
    url: str


class CloseSeat(Struct, frozen=True, kw_only=True, tag_field="kind", tag="close"):
    """A seat closes for good."""

    vm: str
    incarnation: str
    by: str


SeatRecord = OpenSeat | CloseSeat


class Membership(Fold):
    """Open seats of all entries.

    :ivar on_change: called with the domain whose seats changed, and whether a seat may have
        been closed against its holder's will (who may not know it yet).
    """

    stream = STREAM

    def __init__(self) -> None:
        super().__init__()
        self.seats_by_vm: dict[str, Seat] = {}
        self.on_change: list[Callable[[str, bool], None]] = []

    def is_open(self, *, vm: str, incarnation: str) -> bool:
        """Tell whether this run of this entry has an open seat."""
        seat = self.seats_by_vm.get(vm)
        return seat is not None and seat.incarnation == incarnation

    def seats_of(self, domain: str) -> list[Seat]:
        """Return the open seats of a domain, by name."""
        seats = (seat for seat in self.seats_by_vm.values() if seat.domain == domain)
        return sorted(seats, key=lambda seat: seat.vm)

    def _apply(self, record: Record) -> None:
        try:
            value = msgspec.convert(record.value, SeatRecord)
        except msgspec.ValidationError:
            return
        if isinstance(value, OpenSeat):
            self._open(value, record.offset)
        else:
            self._close(value)

    def _open(self, value: OpenSeat, offset: int) -> None:
        if self.is_open(vm=value.vm, incarnation=value.incarnation):
            return
        before = self.seats_by_vm.get(value.vm)
        self.seats_by_vm[value.vm] = Seat(
            vm=value.vm,
            incarnation=value.incarnation,
            domain=value.domain,
            url=value.url,
            opened=offset,
        )
        domains = {value.domain} | ({before.domain} if before else set())
        self._tell(domains, abrupt=before is not None)

    def _close(self, value: CloseSeat) -> None:
        if self.is_open(vm=value.vm, incarnation=value.incarnation):
            seat = self.seats_by_vm.pop(value.vm)
            self._tell({seat.domain}, abrupt=value.by != seat.id)

    def _load(self, snapshot: dict[str, Any]) -> None:
        seats = msgspec.convert(snapshot["seats"], list[Seat])
        before = self.seats_by_vm
        self.seats_by_vm = {seat.vm: seat for seat in seats}
        changed = {seat.domain for seat in before.values() if self.seats_by_vm.get(seat.vm) != seat}
        changed |= {seat.domain for seat in seats if before.get(seat.vm) != seat}
        self._tell(changed, abrupt=True)

    def snapshot(self) -> dict[str, Any]:
        """Return the open seats."""
        return {"seats": msgspec.to_builtins(list(self.seats_by_vm.values()))}

    def _tell(self, domains: Iterable[str], *, abrupt: bool) -> None:
        for domain in sorted(domains):
            for call in self.on_change:
                call(domain, abrupt)


def domain_of_key(key: str, domains: list[str]) -> str:
    """Return the failure domain that a key has its home in.

    A key ``domain/...`` names it; any other key is spread over the domains given.
    """
    prefix, slash, _ = key.partition("/")
    if slash and prefix in domains:
        return prefix
    return max(domains, key=lambda domain: _weight(domain, key))


def home_of_key(key: str, seats: Iterable[Seat]) -> Seat | None:
    """Return the home of a key among the seats of its domain, or None if there are none."""
    return max(seats, key=lambda seat: _weight(seat.vm, key), default=None)


def _weight(name: str, key: str) -> int:
    """Rendezvous hashing: only keys of a seat that comes or goes change their home."""
    return xxhash.xxh3_64_intdigest(f"{name}|{key}".encode())
