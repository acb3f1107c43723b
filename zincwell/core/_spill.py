"""Spill: queued tasks of a full domain go to entries of others that have idle slots.

A lender, an entry of another domain, is to us one more worker: it grants a lease, and a task
that it refuses or fences has not run. What goes wrong when entries guess where there is room
is a refused start for nearly each task, so a task goes out only on slots that a lender has
promised a moment ago. Leases are asked for only while tasks have waited for a while, of a few
entries picked at random: nobody polls all others. See docs/design/spill.md.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from zincwell.core._dispatch import Dispatcher
from zincwell.core._membership import Membership, Seat
from zincwell.core._pool import Pool
from zincwell.core._worker import Worker
from zincwell.ports import Clock, Vm, WorkerTransport
from zincwell.settings import TimingSettings

STEP_S = 0.03
LEASE_S = 0.8
TRIAL_S = 0.2
SHORTEST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
IDLE_S = 2.0
ADDED_AT_ONCE = 2
MAX_LENDERS = 6

log = logging.getLogger("zincwell.spill")


class Spill:
    """Finds lenders while there is demand, and lets them go after it.

    :param domain: our failure domain.
    :param open_lender: makes the transport to an entry that serves guests of a pool.
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
        # Its renewals tell how many slots are idle, so the lease is much shorter than a
        # worker's.
        self._timing = msgspec.structs.replace(timing, worker_lease_s=LEASE_S)
        self._open_lender = open_lender
        self._random = random.Random(f"spill/{seed}")
        self._starved = asyncio.Event()
        self._lane_by_worker: dict[Worker, asyncio.Task] = {}
        self._useful_at_by_worker: dict[Worker, float] = {}
        self._pause_s_by_seat: dict[str, float] = {}
        self._paused_until_by_seat: dict[str, float] = {}
        self._retiring: set[asyncio.Task] = set()

    def note_starved(self) -> None:
        """Note that tasks wait for which the domain has no room."""
        self._starved.set()

    async def run(self) -> None:
        """Look for lenders while tasks wait; until cancelled."""
        while True:
            if not self._lane_by_worker:
                await self._starved.wait()
            self._starved.clear()
            await asyncio.sleep(STEP_S)
            for pool in self._dispatcher.pool_by_name.values():
                self._step(pool)

    async def close(self) -> None:
        """Release all lenders at once."""
        for worker, lane in self._lane_by_worker.items():
            lane.cancel()
            await worker.close()

    def _step(self, pool: Pool) -> None:
        for worker in list(pool.lender_by_name.values()):
            self._judge(pool, worker)
        if not pool.wants_to_spill():
            return
        if not any(pool.lender_rooms()):
            self._add_lenders(pool)
        pool.wake()

    def _judge(self, pool: Pool, worker: Worker) -> None:
        """Let a lender go that has given no room for a while, or that nothing waits for.

        One on which tasks are placed stays, for a stop has to reach them there.
        """
        now = self._clock.monotonic()
        if worker.placed_by_id or worker in pool.lender_rooms():
            patience_s = IDLE_S
            self._pause_s_by_seat.pop(worker.name, None)
            if worker.placed_by_id or pool.wants_to_spill():
                self._useful_at_by_worker[worker] = now
        else:
            patience_s = TRIAL_S
        if now - self._useful_at_by_worker[worker] > patience_s:
            if patience_s == TRIAL_S:
                self._pause(worker.name, now)
            self._drop(pool, worker)

    def _pause(self, seat: str, now: float) -> None:
        """Leave an entry that had no room alone for a while, longer each time."""
        pause_s = self._pause_s_by_seat.get(seat, SHORTEST_PAUSE_S)
        self._pause_s_by_seat[seat] = min(2 * pause_s, LONGEST_PAUSE_S)
        self._paused_until_by_seat[seat] = now + pause_s

    def _add_lenders(self, pool: Pool) -> None:
        """Ask a few entries of other domains, and none that had no room a moment ago."""
        now = self._clock.monotonic()
        paused = {name: at for name, at in self._paused_until_by_seat.items() if at > now}
        self._paused_until_by_seat = paused
        seats = [
            seat
            for seat in self._membership.seats_by_vm.values()
            if seat.domain != self._domain
            and seat.id not in pool.lender_by_name
            and seat.id not in paused
        ]
        count = min(ADDED_AT_ONCE, MAX_LENDERS - len(pool.lender_by_name), len(seats))
        for seat in self._random.sample(seats, max(0, count)):
            self._add(pool, seat)

    def _add(self, pool: Pool, seat: Seat) -> None:
        vm = Vm(vm=seat.id, role="entry", domain=seat.domain, url=seat.url, pool=pool.name)
        worker = self._dispatcher.make_worker(
            pool, vm, transport=self._open_lender(seat, pool.name), timing=self._timing
        )
        pool.lender_by_name[worker.name] = worker
        self._useful_at_by_worker[worker] = self._clock.monotonic()
        self._lane_by_worker[worker] = asyncio.create_task(worker.run())
        log.info("lender_added", extra={"lender": seat.id, "pool": pool.name})

    def _drop(self, pool: Pool, worker: Worker) -> None:
        del pool.lender_by_name[worker.name]
        del self._useful_at_by_worker[worker]
        self._lane_by_worker.pop(worker).cancel()
        retiring = asyncio.create_task(worker.retire())
        self._retiring.add(retiring)
        retiring.add_done_callback(self._retiring.discard)
        log.info("lender_dropped", extra={"lender": worker.name, "pool": pool.name})
