"""Send queued tasks of a full domain to entries of other domains that have idle slots.

A lender is an entry of another domain, used like one more worker: it grants a lease, and a task
that it refuses or fences has not run. If entries guessed which domain has free slots, nearly
every start would be refused, so tasks are sent only on slots that a lender has promised in a
current lease. Leases are requested only while there is a backlog, and only from a few entries
chosen at random, so that no entry polls all others. See docs/design/spill.md.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from zincwell._supervision import supervisor
from zincwell.core._dispatch import Dispatcher
from zincwell.core._membership import Membership, Seat
from zincwell.core._pool import Pool
from zincwell.core._worker import Worker
from zincwell.ports import Clock, Vm, WorkerTransport
from zincwell.settings import TimingSettings

CHECK_INTERVAL_S = 0.03
LENDER_LEASE_S = 0.8
PROBE_TIMEOUT_S = 0.2
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
IDLE_TIMEOUT_S = 2.0
MAX_LENDERS_ADDED_PER_CHECK = 2
MAX_LENDERS = 6

log = logging.getLogger("zincwell.spill")


class SpillManager:
    """Adds lenders while tasks wait for slots, and removes them afterwards.

    :param domain: failure domain of this entry.
    :param open_lender: opens the transport to an entry that runs spilled tasks of a pool.
    :param seed: seed of the random choice of lenders.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        membership: Membership,
        domain: str,
        clock: Clock,
        timing: TimingSettings,
        open_lender: Callable[[Seat, str], WorkerTransport],
        seed: str,
    ):
        self._dispatcher = dispatcher
        self._membership = membership
        self._domain = domain
        self._clock = clock
        # Each renewal returns the current number of idle slots, so the lease of a lender is much
        # shorter than that of a worker.
        self._timing = msgspec.structs.replace(timing, worker_lease_s=LENDER_LEASE_S)
        self._open_lender = open_lender
        self._random = random.Random(f"spill/{seed}")
        self._demand = asyncio.Event()
        self._lease_task_by_worker: dict[Worker, asyncio.Task] = {}
        self._last_useful_at_by_worker: dict[Worker, float] = {}
        self._backoff_s_by_seat: dict[str, float] = {}
        self._backoff_until_by_seat: dict[str, float] = {}
        self._retiring: set[asyncio.Task] = set()

    def note_backlog(self) -> None:
        """Signal that tasks are queued for which the domain has no free slots."""
        self._demand.set()

    async def run(self) -> None:
        """Add and remove lenders until cancelled; sleep while there is no backlog."""
        while True:
            if not self._lease_task_by_worker:
                await self._demand.wait()
            self._demand.clear()
            await asyncio.sleep(CHECK_INTERVAL_S)
            for pool in self._dispatcher.pool_by_name.values():
                self._check_pool(pool)

    async def close(self) -> None:
        """Close the connections to all lenders without waiting for their tasks."""
        for worker, lease_task in self._lease_task_by_worker.items():
            lease_task.cancel()
            await worker.close()

    def _check_pool(self, pool: Pool) -> None:
        for worker in list(pool.lender_by_name.values()):
            self._check_lender(pool, worker)
        if not pool.should_spill():
            return
        if not any(pool.free_lender_slots()):
            self._add_lenders(pool)
        pool.wake()

    def _check_lender(self, pool: Pool, worker: Worker) -> None:
        """Remove a lender that has offered no slot, or that has been unused, for too long.

        A lender that runs tasks stays, since a stop of these tasks has to reach it.
        """
        now = self._clock.monotonic()
        if worker.placed_by_id or worker in pool.free_lender_slots():
            timeout_s = IDLE_TIMEOUT_S
            self._backoff_s_by_seat.pop(worker.name, None)
            if worker.placed_by_id or pool.should_spill():
                self._last_useful_at_by_worker[worker] = now
        else:
            timeout_s = PROBE_TIMEOUT_S
        if now - self._last_useful_at_by_worker[worker] > timeout_s:
            if timeout_s == PROBE_TIMEOUT_S:
                self._back_off(worker.name, now)
            self._remove_lender(pool, worker)

    def _back_off(self, seat: str, now: float) -> None:
        """Back off exponentially from an entry that offered no slots."""
        backoff_s = self._backoff_s_by_seat.get(seat, MIN_BACKOFF_S)
        self._backoff_s_by_seat[seat] = min(2 * backoff_s, MAX_BACKOFF_S)
        self._backoff_until_by_seat[seat] = now + backoff_s

    def _add_lenders(self, pool: Pool) -> None:
        """Add a few random entries of other domains, except those in backoff."""
        now = self._clock.monotonic()
        backing_off = {name: at for name, at in self._backoff_until_by_seat.items() if at > now}
        self._backoff_until_by_seat = backing_off
        seats = [
            seat
            for seat in self._membership.seats_by_vm.values()
            if seat.domain != self._domain
            and seat.id not in pool.lender_by_name
            and seat.id not in backing_off
        ]
        count = min(MAX_LENDERS_ADDED_PER_CHECK, MAX_LENDERS - len(pool.lender_by_name), len(seats))
        for seat in self._random.sample(seats, max(0, count)):
            self._add_lender(pool, seat)

    def _add_lender(self, pool: Pool, seat: Seat) -> None:
        vm = Vm(vm=seat.id, role="entry", domain=seat.domain, url=seat.url, pool=pool.name)
        worker = self._dispatcher.make_worker(
            pool, vm, transport=self._open_lender(seat, pool.name), timing=self._timing
        )
        pool.lender_by_name[worker.name] = worker
        self._last_useful_at_by_worker[worker] = self._clock.monotonic()
        self._lease_task_by_worker[worker] = asyncio.create_task(
            supervisor.keep_running(worker.run, name="worker_lease", essential=False)
        )
        log.info("lender_added", extra={"lender": seat.id, "pool": pool.name})

    def _remove_lender(self, pool: Pool, worker: Worker) -> None:
        del pool.lender_by_name[worker.name]
        del self._last_useful_at_by_worker[worker]
        self._lease_task_by_worker.pop(worker).cancel()
        retiring = asyncio.create_task(worker.retire())
        self._retiring.add(retiring)
        retiring.add_done_callback(self._retiring.discard)
        log.info("lender_dropped", extra={"lender": worker.name, "pool": pool.name})
