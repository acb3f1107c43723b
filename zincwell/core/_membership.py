"""Group membership of the entries, and assignment of keys to their homes.

The membership is replicated through the log. A *seat* is the membership of one run of one
entry. The *home* of a key is a seat of the key's failure domain, chosen by rendezvous hashing.
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
    """Membership of one run of one entry.

    :param vm: name of the entry's VM.
    :param incarnation: identifies the run; differs at each start of the process.
    :param domain: failure domain of the entry.
    :param url: base URL of its listener for peers.
    :param opened: log offset of the record that opened it; -1 if there is none.
    """

    vm: str
    incarnation: str
    domain: str
    url: str
    opened: int = -1

    @property
    def id(self) -> str:
        """Identifier of the seat: VM and incarnation."""
        return f"{self.vm}:{self.incarnation}"


class OpenSeat(Struct, frozen=True, kw_only=True, tag_field="kind", tag="open"):
    """Opens a seat and closes an earlier one of the same VM."""

    vm: str
    incarnation: str
    domain: str
    url: str


class CloseSeat(Struct, frozen=True, kw_only=True, tag_field="kind", tag="close"):
    """Closes a seat.

    :param by: id of the seat whose entry closes it.
    """

    vm: str
    incarnation: str
    by: str


SeatRecord = OpenSeat | CloseSeat


class Membership(Fold):
    """Open seats of all entries, replicated through the log.

    :ivar on_change: callbacks, called with the domain whose seats changed, and whether a seat
        may have been closed by another entry, so that its holder may not know it yet.
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
        self._notify_listeners(domains, abrupt=before is not None)

    def _close(self, value: CloseSeat) -> None:
        if self.is_open(vm=value.vm, incarnation=value.incarnation):
            seat = self.seats_by_vm.pop(value.vm)
            self._notify_listeners({seat.domain}, abrupt=value.by != seat.id)

    def _load(self, snapshot: dict[str, Any]) -> None:
        seats = msgspec.convert(snapshot["seats"], list[Seat])
        before = self.seats_by_vm
        self.seats_by_vm = {seat.vm: seat for seat in seats}
        changed = {seat.domain for seat in before.values() if self.seats_by_vm.get(seat.vm) != seat}
        changed |= {seat.domain for seat in seats if before.get(seat.vm) != seat}
        self._notify_listeners(changed, abrupt=True)

    def snapshot(self) -> dict[str, Any]:
        """Return the open seats."""
        return {"seats": msgspec.to_builtins(list(self.seats_by_vm.values()))}

    def _notify_listeners(self, domains: Iterable[str], *, abrupt: bool) -> None:
        for domain in sorted(domains):
            for call in self.on_change:
                call(domain, abrupt)


def domain_of_key(key: str, domains: list[str]) -> str:
    """Return the failure domain in which a key has its home.

    A key ``domain/...`` names one of the given domains; other keys are hashed over them.
    """
    prefix, slash, _ = key.partition("/")
    if slash and prefix in domains:
        return prefix
    return max(domains, key=lambda domain: _weight(domain, key))


def home_of_key(key: str, seats: Iterable[Seat]) -> Seat | None:
    """Return the home of a key among the seats of its domain, or None if there are no seats."""
    return max(seats, key=lambda seat: _weight(seat.vm, key), default=None)


def _weight(name: str, key: str) -> int:
    """Return the rendezvous weight; only keys of a seat that opens or closes change their home."""
    return xxhash.xxh3_64_intdigest(f"{name}|{key}".encode())
