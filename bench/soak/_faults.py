"""Faults in series that overlap, drawn from a seed."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import signal
import time
from collections.abc import Awaitable, Callable

from bench.soak._checks import Checks
from bench.soak._elections import Elections
from bench.soak._entries import EntryProcess
from bench.soak._network import Network
from bench.soak._store import OPERATOR, SERVERS, StandInStore
from bench.soak._worker import CPU, StandInWorker

log = logging.getLogger("soak")

STORE = "store"
# Seconds from one fault to the next, of a cut or a bad store, and of a process that stands still;
# drawn evenly. Take-overs take 0.5 s to 2 s, leases last 1 s, workers lapse in no list here.
GAP_S = (0.0, 1.5)
LENGTH_S = (0.3, 5.0)
# The store drops the entry of a worker that has not reported for three intervals of 1.5 s.
ENTRY_EXPIRY_S = 4.5
# Time after that; an entry that is no owner forgets workers that lapsed 5 s ago.
LONG_CUT_S = (6.0, 10.0)
PAUSE_S = (0.2, 4.0)
# An election that takes longer is not waited for.
ELECTION_TIMEOUT_S = 2.5
ELECTION_POLL_S = 0.01
# How long a successor is owner that is killed as well.
SHORT_TERM_S = (0.0, 0.6)
# Share of the calls to a worker that get lost, they or their answers, as on a poor link.
LOST_CALL_SHARE = 0.15
# What operators and workers do by plan excuses nothing.
PLANNED = {"evacuate", "drain_worker", "resize_worker"}
# What ends a process harms no other one.
HARMLESS_TO_OTHERS = {
    "kill_entry",
    "drain_entry",
    "crash_worker",
    "restart_worker",
    "hang_up",
    "configure",
}


class Faults:
    """Injects faults and takes each back after a while."""

    def __init__(
        self,
        *,
        entries: list[EntryProcess],
        workers: list[StandInWorker],
        store: StandInStore,
        network: Network,
        checks: Checks,
        elections: Elections,
        random_numbers: random.Random,
        kinds: tuple[str, ...] = (),
    ) -> None:
        self._entries = entries
        self._workers = workers
        self._store = store
        self._network = network
        self._checks = checks
        self._elections = elections
        self._random = random_numbers
        self._version = 1
        self._busy: set[str] = set()
        # Names of the workers that have lost the path to the store, and their list entries.
        self._unlisted: set[str] = set()
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_entry,
            self.drain_entry,
            self.drain_entry,
            self.pause_entry,
            self.cut_zone,
            self.cut_one_way,
            self.cut_store,
            self.store_down,
            self.store_slow,
            self.store_loses_answers,
            self.store_forgets,
            self.silence,
            self.reset,
            self.delay,
            self.crash_worker,
            self.drain_worker,
            self.worker_loses_answers,
            self.worker_starts_late,
            self.worker_fails,
            self.worker_hangs,
            self.hang_up,
            self.configure,
        ]
        if kinds:
            self._kinds = [getattr(self, kind) for kind in kinds]

    async def play(self, count: int) -> None:
        """Let faults come one after the other, whether or not earlier ones have ended."""
        open_faults = []
        for _ in range(count):
            kind = self._random.choice(self._kinds)
            open_faults.append(asyncio.create_task(self._play_one(kind)))
            await asyncio.sleep(self._random.uniform(*GAP_S))
        await asyncio.gather(*open_faults)

    async def _play_one(self, kind: Callable[[], Awaitable[None]]) -> None:
        log.info("fault kind=%s", kind.__name__)
        if kind.__name__ in PLANNED:
            await kind()
        else:
            harms = kind.__name__ not in HARMLESS_TO_OTHERS
            self._checks.disturb(harms=harms)
            await kind()
            self._checks.disturb(harms=harms)
        log.info("fault_over kind=%s", kind.__name__)

    async def _last(self) -> None:
        await asyncio.sleep(self._random.uniform(*LENGTH_S))

    def _pick_entry(self) -> EntryProcess | None:
        """Return an entry that no other fault holds; two are always left alone."""
        free = [entry for entry in self._entries if entry.name not in self._busy]
        return self._random.choice(free) if len(free) > 2 else None

    # -- processes --------------------------------------------------------------------------

    async def kill_entry(self) -> None:
        """Kill an entry and start it again."""
        entry = self._pick_entry()
        if entry is None:
            return
        self._busy.add(entry.name)
        await entry.kill()
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        await entry.start()
        self._busy.discard(entry.name)

    async def drain_entry(self) -> None:
        """Ask an entry to end, and start it again."""
        entry = self._pick_entry()
        if entry is None:
            return
        self._busy.add(entry.name)
        if not await entry.drain():
            self._checks.fail("DRAIN_END", f"{entry.name} did not end after SIGTERM")
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        await entry.start()
        self._busy.discard(entry.name)

    async def pause_entry(self) -> None:
        """Let an entry stand still for a while."""
        entry = self._pick_entry()
        if entry is None:
            return
        self._busy.add(entry.name)
        entry.pause()
        await asyncio.sleep(self._random.uniform(*PAUSE_S))
        entry.resume()
        self._busy.discard(entry.name)

    async def restart_owner(self) -> None:
        """Kill the owner and start it at once; the others stand still until it is owner again.

        Drawn only when it is asked for by name, like evacuations.
        """
        await self._wait_for_unlisted_workers()
        owner = self._hold_all_entries()
        if owner is None:
            return
        others = [entry for entry in self._entries if entry is not owner]
        for entry in others:
            entry.pause()
        await owner.kill()
        await owner.start()
        await self._wait_for_election(lambda entry: entry == owner.name)
        for entry in others:
            entry.resume()
        self._busy.clear()

    async def owner_returns(self) -> None:
        """Kill the owner and start it at once, then end its successor, beside workers in no list.

        The one that started last is the first candidate. Drawn only when it is asked for by name,
        like evacuations.
        """
        if not await self._wait_for_unlisted_workers():
            return
        owner = self._hold_all_entries()
        if owner is None:
            return
        await owner.kill()
        await owner.start()
        successor = await self._wait_for_election(lambda entry: True)
        if successor not in (None, owner):
            await self._wait_until(lambda: self._elections.follows_newest(owner.name))
            await asyncio.sleep(self._random.uniform(*SHORT_TERM_S))
            end = self._random.choice([successor.drain, successor.kill])
            ending = asyncio.create_task(end())
            await self._wait_for_election(lambda entry: entry != successor.name)
            await ending
            await successor.start()
        self._busy.clear()

    async def owner_regains_term(self) -> None:
        """Let the owner stand still until another entry follows it, and that one likewise.

        The first process is among the candidates of the second election. Drawn only when it is
        asked for by name, like evacuations.
        """
        owner = self._hold_all_entries()
        if owner is None:
            return
        owner.pause()
        successor = await self._wait_for_election(lambda entry: entry != owner.name)
        if successor is not None:
            successor.pause()
        owner.resume()
        if successor is not None:
            await self._wait_for_election(lambda entry: entry != successor.name)
            successor.resume()
        self._busy.clear()

    async def _wait_for_unlisted_workers(self) -> bool:
        """Wait until a worker has lost its list entry; return whether one has, after a while."""
        return await self._wait_until(lambda: bool(self._unlisted), timeout_s=ENTRY_EXPIRY_S)

    async def _wait_until(
        self, is_reached: Callable[[], bool], *, timeout_s: float = ELECTION_TIMEOUT_S
    ) -> bool:
        """Wait for a condition; return whether it holds, after a while."""
        deadline = time.monotonic() + timeout_s
        while not is_reached() and time.monotonic() < deadline:
            await asyncio.sleep(ELECTION_POLL_S)
        return is_reached()

    def _hold_all_entries(self) -> EntryProcess | None:
        """Return the owner, and keep other faults from all entries; None if one has an entry."""
        newest = self._elections.newest()
        if self._busy or newest is None:
            return None
        self._busy.update(entry.name for entry in self._entries)
        return self._entry(newest.entry)

    async def _wait_for_election(self, is_expected: Callable[[str], bool]) -> EntryProcess | None:
        """Return the entry that is elected next, if it is an expected one; None after a while."""
        before = self._elections.newest()

        def is_elected() -> bool:
            newest = self._elections.newest()
            return newest is not None and newest != before and is_expected(newest.entry)

        elected = await self._wait_until(is_elected)
        return self._entry(self._elections.newest().entry) if elected else None

    def _entry(self, name: str) -> EntryProcess:
        return next(entry for entry in self._entries if entry.name == name)

    async def hang_up(self) -> None:
        """Tell all entries that their settings have changed."""
        for entry in self._entries:
            if entry.life and entry.name not in self._busy:
                entry.signal(signal.SIGHUP)

    # -- network ----------------------------------------------------------------------------

    async def _cut(self, ways: set[tuple[str, str]]) -> None:
        self._network.cut(ways)
        await self._last()
        self._network.mend(ways)

    async def cut_zone(self) -> None:
        """Cut a failure domain off, workers and all; it may keep the store."""
        zone = self._random.choice(sorted({entry.zone for entry in self._entries}))
        parts = [*self._entries, *self._workers]
        inside = {part.name for part in parts if part.zone == zone}
        outside = {part.name for part in parts if part.zone != zone}
        if self._random.random() < 0.7:
            outside.add(STORE)
        ways = {(a, b) for a in inside for b in outside}
        await self._cut(ways | {(b, a) for a, b in ways})

    async def cut_one_way(self) -> None:
        """Let nothing pass from one entry, in one direction."""
        entry = self._random.choice(self._entries)
        others = {part.name for part in [*self._entries, *self._workers]} - {entry.name}
        ways = {(entry.name, other) for other in others}
        await self._cut(ways if self._random.random() < 0.5 else {(b, a) for a, b in ways})

    async def cut_store(self) -> None:
        """Cut some entries off from the store."""
        names = {entry.name for entry in self._random.sample(self._entries, 2)}
        await self._cut({(name, STORE) for name in names} | {(STORE, name) for name in names})

    async def silence(self) -> None:
        """Silence the open connections of an entry for good."""
        self._network.silence({self._random.choice(self._entries).name})

    async def reset(self) -> None:
        """Reset the open connections of an entry."""
        self._network.reset({self._random.choice(self._entries).name})

    async def delay(self) -> None:
        """Delay all that an entry sends and receives."""
        entry = self._random.choice(self._entries)
        others = {part.name for part in [*self._entries, *self._workers]} | {STORE}
        delay_s = self._random.uniform(0.005, 0.08)
        ways = {(entry.name, other) for other in others} | {(o, entry.name) for o in others}
        self._network.delay_s_by_way.update(dict.fromkeys(ways, delay_s))
        await self._last()
        for way in ways:
            self._network.delay_s_by_way.pop(way, None)

    # -- store ------------------------------------------------------------------------------

    async def store_down(self) -> None:
        """Let the store refuse some entries, or all."""
        count = self._random.choice([2, len(self._entries)])
        names = {entry.name for entry in self._random.sample(self._entries, count)}
        self._store.down_for |= names
        await self._last()
        self._store.down_for -= names

    async def store_slow(self) -> None:
        """Let the store answer late."""
        self._store.slow_s = self._random.uniform(0.05, 0.4)
        await self._last()
        self._store.slow_s = 0.0

    async def store_loses_answers(self) -> None:
        """Let answers of the store get lost."""
        self._store.lost_share = 0.35
        await self._last()
        self._store.lost_share = 0.0

    async def store_forgets(self) -> None:
        """Let the store expire its history."""
        self._store.forget_history()

    # -- workers ----------------------------------------------------------------------------

    def _list(self, worker: StandInWorker) -> None:
        self._store.put(SERVERS, worker.id, json.dumps(worker.document()).encode())

    async def crash_worker(self) -> None:
        """Crash a worker; its next life has another id."""
        worker = self._random.choice(self._workers)
        earlier_id = worker.id
        worker.crash()
        self._list(worker)
        await asyncio.sleep(1.0)
        self._store.put(SERVERS, earlier_id, b"")

    async def restart_worker(self) -> None:
        """Restart a worker under its id, with another capacity, and list it at once or later.

        Drawn only when it is asked for by name, like evacuations.
        """
        worker = self._random.choice(self._workers)
        worker.restart(cpu=self._random.choice([CPU // 2, CPU]))
        life = worker.lives
        await asyncio.sleep(self._random.choice([0.0, 0.05, 1.0]))
        if worker.lives == life:
            self._list(worker)

    async def drain_worker(self) -> None:
        """Let a worker leave by plan, and come back under another id."""
        worker = self._random.choice(self._workers)
        if worker.draining_since:
            return
        worker.draining_since = time.monotonic()
        self._list(worker)
        life = worker.lives
        await asyncio.sleep(3.0)
        if worker.lives == life:
            self._store.put(SERVERS, worker.id, b"")
            worker.crash()
            self._list(worker)

    async def cut_workers_from_store(self) -> None:
        """Let a third of the workers lose the path to the store alone, and their list entries.

        They report again within one interval of the end of the cut. Drawn only when it is asked
        for by name, like evacuations.
        """
        await self._cut_workers_from_store(LENGTH_S)

    async def cut_workers_for_long(self) -> None:
        """Let a third of the workers lose the path to the store until all have forgotten them.

        Drawn only when it is asked for by name, like evacuations.
        """
        await self._cut_workers_from_store(LONG_CUT_S)

    async def _cut_workers_from_store(self, length_s: tuple[float, float]) -> None:
        cut = self._random.sample(self._workers, len(self._workers) // 3)
        lives_by_name = {worker.name: worker.lives for worker in cut}
        await asyncio.sleep(ENTRY_EXPIRY_S)
        for worker in cut:
            self._store.put(SERVERS, worker.id, b"")
        self._unlisted.update(worker.name for worker in cut)
        await asyncio.sleep(self._random.uniform(*length_s))
        self._unlisted.difference_update(worker.name for worker in cut)
        for worker in cut:
            if worker.lives == lives_by_name[worker.name]:
                self._list(worker)

    async def resize_worker(self) -> None:
        """Let a worker's capacity shrink, and grow again after a while.

        Drawn only when it is asked for by name, like evacuations.
        """
        worker = self._random.choice(self._workers)
        life, cpu = worker.lives, worker.cpu
        worker.resize(cpu // self._random.choice([2, 4]))
        self._list(worker)
        await self._last()
        if worker.lives == life:
            worker.resize(cpu)
            self._list(worker)

    async def evacuate(self) -> None:
        """Ask as an operator that the workers of a zone get nothing new for a while.

        Drawn only when it is asked for by name: the series of the other faults would be others.
        """
        zone = self._random.choice(sorted({worker.zone for worker in self._workers}))
        workers = [worker for worker in self._workers if worker.zone == zone]
        if workers[0].evacuated_since:
            return
        for worker in workers:
            worker.evacuated_since = time.monotonic()
        self._store.put(OPERATOR, f"evacuate/{zone}", b"{}")
        await self._last()
        for worker in workers:
            worker.evacuated_since = None
        self._store.put(OPERATOR, f"evacuate/{zone}", b"")

    async def worker_loses_answers(self) -> None:
        """Let answers of a worker to starts get lost."""
        worker = self._random.choice(self._workers)
        worker.lost_start_share = 0.5
        await self._last()
        worker.lost_start_share = 0.0

    async def workers_lose_calls(self) -> None:
        """Let calls to a third of the workers or their answers get lost; connections stay open.

        Drawn only when it is asked for by name, like evacuations.
        """
        workers = self._random.sample(self._workers, len(self._workers) // 3)
        for worker in workers:
            worker.lost_call_share = LOST_CALL_SHARE
        await self._last()
        for worker in workers:
            worker.lost_call_share = 0.0

    async def cut_worker_one_way(self) -> None:
        """Let nothing pass from a worker to the entries; calls reach it and are carried out.

        Drawn only when it is asked for by name, like evacuations.
        """
        worker = self._random.choice(self._workers)
        await self._cut({(worker.name, entry.name) for entry in self._entries})

    async def worker_starts_late(self) -> None:
        """Let a worker carry starts out late."""
        worker = self._random.choice(self._workers)
        worker.late_start_s = self._random.uniform(0.2, 3.0)
        await self._last()
        worker.late_start_s = 0.0

    async def worker_fails(self) -> None:
        """Let a worker fail all that it starts."""
        worker = self._random.choice(self._workers)
        worker.fails_all = True
        await self._last()
        worker.fails_all = False

    async def worker_hangs(self) -> None:
        """Let what a worker starts stand still."""
        worker = self._random.choice(self._workers)
        worker.hangs = True
        await self._last()
        worker.hangs = False

    # -- operators --------------------------------------------------------------------------

    async def configure(self) -> None:
        """Write a newer configuration."""
        self._version += self._random.randint(1, 9)
        write_configuration(self._store, self._version)


def write_configuration(store: StandInStore, version: int) -> None:
    """Write a configuration with all routes that callers use."""
    routes = [
        {
            "name": name,
            "host": "soak.example",
            "pathPrefix": f"/{name}/",
            "service": "svc",
            "priority": priority,
            "attempts": 3,
            "stretch": 1.6,
            "sloMs": 400,
        }
        for priority, name in enumerate(("urgent", "usual", "late"))
    ]
    routes.append({**routes[0], "name": f"added-{version}", "pathPrefix": f"/added-{version}/"})
    document = {"version": version, "routes": routes, "services": [{"name": "svc"}]}
    store.put(OPERATOR, "config", json.dumps(document).encode())
