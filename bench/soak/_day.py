"""One seeded day: start everything, let faults come, mend, and judge."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import random
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from bench.soak._callers import Callers
from bench.soak._checks import Checks
from bench.soak._elections import Elections
from bench.soak._entries import EntryProcess
from bench.soak._faults import STORE, Faults, write_configuration
from bench.soak._network import Network
from bench.soak._store import SERVERS, StandInStore
from bench.soak._worker import ListDelays, StandInWorker

ZONES = ("a", "b", "c")
# An owner divides the pool once it has been too large for this long, with some time to spare.
DIVIDING_S = 5.0
# Callers come before the faults do.
WARM_UP_S = 1.0
# Time to recover after the last fault; the machine that plays the day may be busy.
RECOVERY_S = 30.0
# Runs of an owner may still be at work after another term that was as short.
OWNER_BACK_S = 3.0


@dataclass(frozen=True, kw_only=True)
class DayPlan:
    """What to play.

    :param faults: how many faults come, one every 0 to 1.5 s.
    :param cores: processor that the entries say they have; with 0.05 the workers of each zone are a
        cell of their own.
    :param kinds: names of the methods of ``Faults`` to draw from; all if empty.
    :param tells_born: whether workers tell their start time.
    :param list_delays: how far the workers' lists are behind; None if they never are.
    """

    seed: int
    entries: int = 6
    workers: int = 9
    faults: int = 12
    cores: float = 1.0
    kinds: tuple[str, ...] = ()
    tells_born: bool = True
    list_delays: ListDelays | None = None


@dataclass(frozen=True, kw_only=True)
class DayResult:
    """What came of a day.

    :param owners_back: how often an entry became owner again, at once or after a term of less than
        `OWNER_BACK_S`.
    """

    broken: list[str]
    jobs: int
    starts: int
    answers_by_status: dict[str, int]
    owners_back: int


class Day:
    """The parts of one day."""

    def __init__(self, *, plan: DayPlan, folder: Path) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._checks = Checks()
        self._network = Network()
        self._entries = self._make_entries(folder)
        self._elections = Elections(folder=folder)
        self._workers = [
            StandInWorker(
                name=f"worker-{number}",
                zone=ZONES[number % len(ZONES)],
                checks=self._checks,
                random_numbers=self._random,
                tells_born=plan.tells_born,
                list_delays=plan.list_delays,
            )
            for number in range(plan.workers)
        ]
        self._store = StandInStore(random_numbers=self._random, map_worker=self._map_worker)
        self._port_by_way: dict[tuple[str, str], int] = {}

    async def play(self) -> DayResult:
        """Play the day and end all processes that it started."""
        listeners = await self._open()
        callers = Callers(entries=self._entries, checks=self._checks, random_numbers=self._random)
        try:
            await asyncio.gather(*(entry.start() for entry in self._entries))
            await self._expect_service(callers)
            if self._plan.cores < 1:
                await asyncio.sleep(DIVIDING_S)
            feeder = asyncio.create_task(callers.feed())
            await asyncio.sleep(WARM_UP_S)
            await self._make_faults().play(self._plan.faults)
            await self._expect_service(callers)
            feeder.cancel()
            await callers.finish()
            await self._end_entries()
        finally:
            await asyncio.gather(*(entry.kill() for entry in self._entries))
            self._network.close()
            for listener in listeners:
                listener.close()
        self._checks.finish(self._elections.entries_by_fence())
        return DayResult(
            broken=self._checks.broken,
            jobs=len(self._checks.jobs_by_id),
            starts=self._checks.starts,
            answers_by_status=dict(self._checks.answers_by_status),
            owners_back=self._elections.count_returns(within_s=OWNER_BACK_S),
        )

    def _make_entries(self, folder: Path) -> list[EntryProcess]:
        # Entries listen at addresses of their own, which no other run of the soak uses.
        network = f"127.{os.getpid() >> 8 & 0x7F | 0x80}.{os.getpid() & 0xFF}"
        return [
            EntryProcess(
                name=f"entry-{number}",
                zone=ZONES[number % len(ZONES)],
                ip=f"{network}.{number + 1}",
                folder=folder,
                cores=self._plan.cores,
            )
            for number in range(self._plan.entries)
        ]

    def _make_faults(self) -> Faults:
        return Faults(
            entries=self._entries,
            workers=self._workers,
            store=self._store,
            network=self._network,
            checks=self._checks,
            elections=self._elections,
            random_numbers=self._random,
            kinds=self._plan.kinds,
        )

    async def _open(self) -> list[asyncio.AbstractServer]:
        """Open stand-ins and proxies, and write the entries' settings."""
        listeners = []
        for worker in self._workers:
            listener, worker.port = await _serve(worker.handle)
            listeners.append(listener)
            self._store.put(SERVERS, worker.id, json.dumps(worker.document()).encode())
        write_configuration(self._store, 1)
        for entry in self._entries:
            listener, port = await _serve(functools.partial(self._store.handle, entry.name))
            listeners.append(listener)
            store = await self._proxy(entry.name, STORE, "127.0.0.1", port)
            for worker in self._workers:
                way = (entry.name, worker.name)
                self._port_by_way[way] = await self._proxy(*way, "127.0.0.1", worker.port)
            advertised = await self._proxy(None, entry.name, entry.ip, entry.peers_port)
            entry.write_settings(advertised=advertised, store=store)
        return listeners

    async def _proxy(self, source: str | None, target: str, host: str, port: int) -> int:
        return await self._network.proxy(source=source, target=target, address=lambda: (host, port))

    def _map_worker(self, entry: str, worker: str) -> str:
        return f"127.0.0.1:{self._port_by_way[entry, worker]}"

    async def _expect_service(self, callers: Callers) -> None:
        """Check that every entry serves, some time after the last fault."""
        served = await asyncio.gather(
            *(callers.probe(entry, patience_s=RECOVERY_S) for entry in self._entries)
        )
        for entry, well in zip(self._entries, served, strict=True):
            if not well:
                self._checks.fail("RECOVER", f"{entry.name} serves nothing")

    async def _end_entries(self) -> None:
        for entry in self._entries:
            if entry.exit_status() is not None:
                self._checks.fail("EXIT", f"{entry.name} ended with status {entry.exit_status()}")
            if entry.tracebacks():
                self._checks.fail("TRACEBACK", f"{entry.name}: {entry.tracebacks()} in its log")
        ended = await asyncio.gather(*(entry.drain() for entry in self._entries))
        for entry, well in zip(self._entries, ended, strict=True):
            if not well:
                self._checks.fail("DRAIN_END", f"{entry.name} did not end after SIGTERM")


async def _serve(handler) -> tuple[asyncio.AbstractServer, int]:
    server = web.Server(handler, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
    return listener, listener.sockets[0].getsockname()[1]
