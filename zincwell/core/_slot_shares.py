"""Divide every worker's slots among the entries of a domain, and lend unused slots.

Each slot of a worker belongs to one entry. An entry lends the slots that it does not need to its
domain peers through heartbeats, so that a burst at one entry can use nearly all workers. An
entry that needs its slots back revokes the loan at once, and uses them when the borrower has
acknowledged this, except for slots on which the borrower's tasks still run.

If entries guessed which slots the others leave free, even load would cause about one refused
start per task (see docs/design/placement.md).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import xxhash

from zincwell.core._follow import NEVER
from zincwell.core._messages import Lending
from zincwell.core._worker import Worker
from zincwell.ports import Clock

LOAN_TTL_S = 1.0
HEADROOM_DIVISOR = 4  # one slot in 4 is not lent
NO_LENDING = Lending()


def allocate_part(total: int, *, index: int, count: int, worker: str) -> int:
    """Return one member's part of an amount that is divided evenly among several.

    The members are rotated by a hash of the worker's name, so that the remainder of the division
    does not always go to the same member.

    :param index: position of the member.
    :param count: number of members.
    """
    place = (index + xxhash.xxh32_intdigest(worker.encode())) % count
    return total * (place + 1) // count - total * place // count


@dataclass
class Loan:
    """The slots that this entry lends one peer.

    :ivar active_lendings: lendings that the peer may act on: the last acknowledged and later ones.
    :ivar used_by_worker: borrowed slots that the peer reported as in use.
    :ivar acknowledged_at: monotonic time of the peer's last acknowledgement.
    """

    active_lendings: list[Lending] = field(default_factory=list)
    used_by_worker: dict[str, int] = field(default_factory=dict)
    acknowledged_at: float = NEVER


@dataclass
class Credit:
    """The slots that one peer lends this entry.

    :ivar received_at: monotonic time when the peer last sent its lending.
    :ivar previous: the lending before the current one; tasks may still run on its slots.
    :ivar reported_by_worker: the peer's slots that this entry last reported as in use.
    """

    lending: Lending
    received_at: float
    previous: Lending = NO_LENDING
    reported_by_worker: dict[str, int] = field(default_factory=dict)

    def max_used(self, worker: Worker) -> int:
        """Return the largest number of the peer's slots on a worker that may be in use."""
        lent = max(_count_lent_by(self.lending, worker), _count_lent_by(self.previous, worker))
        return max(lent, self.reported_by_worker.get(worker.name, 0))


class Shares:
    """Computes how many slots of a worker this entry may use now.

    :param vm: name of this entry.
    :param entries: returns the names of all entries of the domain, sorted.
    :param demand: returns whether this entry has tasks queued in a pool.
    """

    def __init__(
        self,
        *,
        vm: str,
        entries: Callable[[], list[str]],
        demand: Callable[[str], bool],
        clock: Clock,
    ):
        self._vm = vm
        self._entries = entries
        self._demand = demand
        self._clock = clock
        self._loan_by_vm: dict[str, Loan] = {}
        self._credit_by_vm: dict[str, Credit] = {}

    def allowed(self, worker: Worker) -> int:
        """Return how many slots of a worker this entry may use now."""
        return max(0, self._count_retained(worker) + self._count_borrowed(worker))

    def max_streams(self, worker: Worker) -> int:
        """Return how many streams this entry may have open to a worker.

        A worker accepts a fixed number of connections from all entries together. Half of this
        entry's part is reserved for leases, stops and watches.
        """
        return max(1, worker.vm.connections // len(self._entries()) // 2)

    def reset(self) -> None:
        """Discard all loans and credits after the entries of the domain have changed.

        A peer that has restarted numbers its lendings from the start again, and a peer that has
        left neither lends nor borrows.
        """
        self._loan_by_vm.clear()
        self._credit_by_vm.clear()

    # -- lending -------------------------------------------------------------------------

    def has_active_lendings(self) -> bool:
        """Tell whether a peer may still act on a lending that gives it slots."""
        loans = self._loan_by_vm.values()
        return any(
            loan.active_lendings and loan.active_lendings[-1].per_worker_by_pool for loan in loans
        )

    def offer(self, vm: str, workers: list[Worker]) -> Lending:
        """Return the lending to send to a peer; its number grows when its content changes.

        It is empty if the peer has not acknowledged a lending within ``LOAN_TTL_S`` seconds.
        """
        loan = self._loan_by_vm.setdefault(vm, Loan())
        lending = NO_LENDING
        if self._clock.monotonic() - loan.acknowledged_at < LOAN_TTL_S:
            lending = self._find_lendable(vm, workers)
        last = loan.active_lendings[-1] if loan.active_lendings else NO_LENDING
        lending = msgspec.structs.replace(lending, number=last.number)
        if lending != last:
            last = msgspec.structs.replace(lending, number=last.number + 1)
            loan.active_lendings.append(last)
        return last

    def _find_lendable(self, vm: str, workers: list[Worker]) -> Lending:
        """Return the slots that can be lent to a peer now, without the reserved headroom."""
        spare_by_worker = {
            worker: self._count_lendable(worker, vm)
            for worker in workers
            if not self._demand(worker.vm.pool)
        }
        per_worker: dict[str, int] = {}
        for worker, spare in spare_by_worker.items():
            pool = worker.vm.pool
            per_worker[pool] = max(spare, per_worker.get(pool, 0))
        less = {
            worker.name: per_worker[worker.vm.pool] - spare
            for worker, spare in spare_by_worker.items()
            if spare < per_worker[worker.vm.pool]
        }
        per_worker = {pool: spare for pool, spare in per_worker.items() if spare}
        return Lending(per_worker_by_pool=per_worker, less_by_worker=less)

    def _count_lendable(self, worker: Worker, vm: str) -> int:
        """Return the number of a worker's slots that can be lent to one peer.

        This is the peer's part of this entry's slots without the headroom, limited to the slots
        that neither this entry uses nor another peer may use. Parts of one division never
        overlap, but the other peers may still use parts of an earlier division.
        """
        entries = self._entries()
        own = self._count_owned(worker)
        borrowers = [name for name in entries if name != self._vm]
        part = allocate_part(
            own - own // HEADROOM_DIVISOR,
            index=borrowers.index(vm),
            count=len(borrowers),
            worker=worker.name,
        )
        lent = sum(self._count_lent(name, worker) for name in borrowers if name != vm)
        used = len(worker.placed_by_id) + worker.held_slots
        return max(0, min(part, own - used - lent))

    def note_use(self, vm: str, *, seen: int, used_by_worker: dict[str, int]) -> bool:
        """Record a borrower's acknowledgement; tell whether it may have returned slots.

        :param seen: number of the latest lending that the borrower has received.
        :param used_by_worker: borrowed slots that the borrower uses.
        """
        loan = self._loan_by_vm.setdefault(vm, Loan())
        previous = (len(loan.active_lendings), loan.used_by_worker)
        loan.active_lendings = [
            lending for lending in loan.active_lendings if lending.number >= seen
        ]
        loan.used_by_worker = used_by_worker
        loan.acknowledged_at = self._clock.monotonic()
        return previous != (len(loan.active_lendings), used_by_worker)

    # -- borrowing -----------------------------------------------------------------------

    def take_offer(self, vm: str, lending: Lending) -> None:
        """Record the lending of a peer, unless a later one has arrived already."""
        known = self._credit_by_vm.get(vm)
        if known is not None and known.lending.number > lending.number > 0:
            return
        now = self._clock.monotonic()
        if known is None:
            self._credit_by_vm[vm] = Credit(lending=lending, received_at=now)
            return
        if lending != known.lending:
            known.previous, known.lending = known.lending, lending
        known.received_at = now

    def seen(self, vm: str) -> int:
        """Return the number of the latest lending received from a peer, 0 if there is none."""
        credit = self._credit_by_vm.get(vm)
        return credit.lending.number if credit is not None else 0

    def used_of(self, vm: str, workers: list[Worker]) -> dict[str, int]:
        """Return the borrowed slots in use that may belong to a peer, by worker.

        With several lenders, the same slot may be reported to more than one of them. This leaves
        a slot idle for a moment, whereas a slot reported to no lender would be used twice.
        """
        credit = self._credit_by_vm.get(vm)
        if credit is None:
            return {}
        reported = {}
        for worker in workers:
            over = len(worker.placed_by_id) - self._count_retained(worker)
            reported[worker.name] = min(max(over, 0), credit.max_used(worker))
        credit.reported_by_worker = {name: count for name, count in reported.items() if count}
        return credit.reported_by_worker

    # -- slot counts ---------------------------------------------------------------------

    def _count_retained(self, worker: Worker) -> int:
        """Return the slots of a worker that belong to this entry, less those lent out."""
        lent = sum(self._count_lent(vm, worker) for vm in self._entries() if vm != self._vm)
        return self._count_owned(worker) - lent

    def _count_owned(self, worker: Worker) -> int:
        """Return the slots of a worker that belong to this entry."""
        entries = self._entries()
        return allocate_part(
            worker.slots, index=entries.index(self._vm), count=len(entries), worker=worker.name
        )

    def _count_lent(self, vm: str, worker: Worker) -> int:
        """Return the largest number of a worker's slots that a peer may be using on loan."""
        loan = self._loan_by_vm.get(vm)
        if loan is None:
            return 0
        used = loan.used_by_worker.get(worker.name, 0)
        if self._clock.monotonic() - loan.acknowledged_at > 2 * LOAN_TTL_S:
            # A peer that has been silent for this long no longer acts on any lending.
            return 0
        offered = [_count_lent_by(lending, worker) for lending in loan.active_lendings]
        return max([used, *offered])

    def _count_borrowed(self, worker: Worker) -> int:
        """Return the slots of a worker that peers lend this entry now."""
        oldest = self._clock.monotonic() - LOAN_TTL_S
        return sum(
            _count_lent_by(credit.lending, worker)
            for vm, credit in self._credit_by_vm.items()
            if credit.received_at > oldest and vm in self._entries()
        )


def _count_lent_by(lending: Lending, worker: Worker) -> int:
    """Return the number of a worker's slots that a lending gives."""
    spare = lending.per_worker_by_pool.get(worker.vm.pool, 0)
    return max(0, spare - lending.less_by_worker.get(worker.name, 0))
