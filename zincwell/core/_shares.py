"""Split every worker's slots among the entries of a domain, and lend what is unused.

Each slot of a worker belongs to one entry. What an entry does not need it lends to its domain
peers through heartbeats, so that a burst at one entry can use nearly all workers. An entry
that needs its slots back says so at once and counts them as its own when the borrower has
answered, less those on which borrowed tasks still run.

Without this, entries guess what the others leave free: under even load one sees about one
refused start for each task (measured, see docs/design/placement.md).
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

LOAN_S = 1.0
HEADROOM_PARTS = 4
NO_LENDING = Lending()


def part_of(total: int, *, index: int, count: int, worker: str) -> int:
    """Return the part of an amount that falls to one of several, rotated by worker.

    Rotated, so that what can't be divided does not always fall to the same one.
    """
    place = (index + xxhash.xxh32_intdigest(worker.encode())) % count
    return total * (place + 1) // count - total * place // count


@dataclass
class Loan:
    """What we lend one peer.

    :ivar offered: lendings that the peer may act on: the last it answered, and later ones.
    :ivar used_by_worker: borrowed slots that it said it uses.
    """

    offered: list[Lending] = field(default_factory=list)
    used_by_worker: dict[str, int] = field(default_factory=dict)
    answered_at: float = NEVER


@dataclass
class Credit:
    """What one peer lends us.

    :ivar before: what it lent before that; tasks may still run on it.
    :ivar owed_by_worker: its slots that we last told it we use.
    """

    lending: Lending
    heard_at: float
    before: Lending = NO_LENDING
    owed_by_worker: dict[str, int] = field(default_factory=dict)

    def most(self, worker: Worker) -> int:
        """Return how many slots of a worker we may be using of it."""
        lent = max(_lent_by(self.lending, worker), _lent_by(self.before, worker))
        return max(lent, self.owed_by_worker.get(worker.name, 0))


class Shares:
    """Tells how many slots of a worker this entry may use now.

    :param vm: our name.
    :param entries: returns the names of all entries of the domain, sorted.
    :param demand: returns whether we have tasks queued in a pool.
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
        return max(0, self._kept(worker) + self._borrowed(worker))

    def connections(self, worker: Worker) -> int:
        """Return how many streams this entry may have open to a worker.

        A worker takes a fixed number of connections over all entries; half of our part is
        left to leases, stops and watches.
        """
        return max(1, worker.vm.connections // len(self._entries()) // 2)

    def forget(self) -> None:
        """Forget all loans, as the entries of the domain have changed.

        A peer that has restarted numbers its lendings anew, and one that is gone neither
        lends nor borrows.
        """
        self._loan_by_vm.clear()
        self._credit_by_vm.clear()

    # -- lending -------------------------------------------------------------------------

    def may_get_back(self) -> bool:
        """Tell whether a peer may still act on an offer of slots that we now need."""
        loans = self._loan_by_vm.values()
        return any(loan.offered and loan.offered[-1].per_worker_by_pool for loan in loans)

    def offer(self, vm: str, workers: list[Worker]) -> Lending:
        """Decide what to lend a peer, to be sent to it."""
        loan = self._loan_by_vm.setdefault(vm, Loan())
        lending = NO_LENDING
        if self._clock.monotonic() - loan.answered_at < LOAN_S:
            lending = self._spare(vm, workers)
        last = loan.offered[-1] if loan.offered else NO_LENDING
        lending = msgspec.structs.replace(lending, number=last.number)
        if lending != last:
            last = msgspec.structs.replace(lending, number=last.number + 1)
            loan.offered.append(last)
        return last

    def _spare(self, vm: str, workers: list[Worker]) -> Lending:
        """Return what we can lend a peer now, keeping a little for what may come."""
        spare_by_worker = {
            worker: self._spare_of(worker, vm)
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

    def _spare_of(self, worker: Worker, vm: str) -> int:
        """Return the slots of a worker that we can lend one peer.

        Its part of what we do without, but no more than is left when the slots in use and
        those that other peers may use are taken off. Their parts may date from an earlier
        split, so it is not enough that the parts of this one add up.
        """
        entries = self._entries()
        own = self._own(worker)
        borrowers = [name for name in entries if name != self._vm]
        part = part_of(
            own - own // HEADROOM_PARTS,
            index=borrowers.index(vm),
            count=len(borrowers),
            worker=worker.name,
        )
        lent = sum(self._lent(name, worker) for name in borrowers if name != vm)
        used = len(worker.placed_by_id) + worker.held
        return max(0, min(part, own - used - lent))

    def note_use(self, vm: str, *, seen: int, used_by_worker: dict[str, int]) -> bool:
        """Note a borrower's answer; tell whether slots may have come back by it.

        :param seen: number of the lending that the borrower now goes by.
        """
        loan = self._loan_by_vm.setdefault(vm, Loan())
        before = (len(loan.offered), loan.used_by_worker)
        loan.offered = [lending for lending in loan.offered if lending.number >= seen]
        loan.used_by_worker = used_by_worker
        loan.answered_at = self._clock.monotonic()
        return before != (len(loan.offered), used_by_worker)

    # -- borrowing -----------------------------------------------------------------------

    def take_offer(self, vm: str, lending: Lending) -> None:
        """Note what a peer lends us; an earlier offer that comes late is no longer good."""
        known = self._credit_by_vm.get(vm)
        if known is not None and known.lending.number > lending.number > 0:
            return
        now = self._clock.monotonic()
        if known is None:
            self._credit_by_vm[vm] = Credit(lending=lending, heard_at=now)
            return
        if lending != known.lending:
            known.before, known.lending = known.lending, lending
        known.heard_at = now

    def seen(self, vm: str) -> int:
        """Return the number of the latest lending that we had from a peer."""
        credit = self._credit_by_vm.get(vm)
        return credit.lending.number if credit is not None else 0

    def used_of(self, vm: str, workers: list[Worker]) -> dict[str, int]:
        """Return the borrowed slots in use that may be a peer's, by worker.

        With several lenders a slot may be told to more than one of them. That leaves a slot
        idle for a moment; told to none, it would be used twice.
        """
        credit = self._credit_by_vm.get(vm)
        if credit is None:
            return {}
        owed = {}
        for worker in workers:
            over = len(worker.placed_by_id) - self._kept(worker)
            owed[worker.name] = min(max(over, 0), credit.most(worker))
        credit.owed_by_worker = {name: count for name, count in owed.items() if count}
        return credit.owed_by_worker

    # -- parts ---------------------------------------------------------------------------

    def _kept(self, worker: Worker) -> int:
        """Return our own slots of a worker less those lent out."""
        lent = sum(self._lent(vm, worker) for vm in self._entries() if vm != self._vm)
        return self._own(worker) - lent

    def _own(self, worker: Worker) -> int:
        """Return the slots of a worker that belong to us."""
        entries = self._entries()
        return part_of(
            worker.slots, index=entries.index(self._vm), count=len(entries), worker=worker.name
        )

    def _lent(self, vm: str, worker: Worker) -> int:
        loan = self._loan_by_vm.get(vm)
        if loan is None:
            return 0
        used = loan.used_by_worker.get(worker.name, 0)
        if self._clock.monotonic() - loan.answered_at > 2 * LOAN_S:
            # A peer that has not answered for so long no longer acts on any offer.
            return 0
        offered = [_lent_by(lending, worker) for lending in loan.offered]
        return max([used, *offered])

    def _borrowed(self, worker: Worker) -> int:
        oldest = self._clock.monotonic() - LOAN_S
        return sum(
            _lent_by(credit.lending, worker)
            for vm, credit in self._credit_by_vm.items()
            if credit.heard_at > oldest and vm in self._entries()
        )


def _lent_by(lending: Lending, worker: Worker) -> int:
    """Return the slots of a worker that a lending gives."""
    spare = lending.per_worker_by_pool.get(worker.vm.pool, 0)
    return max(0, spare - lending.less_by_worker.get(worker.name, 0))
