"""A small deployment: entries as processes, with stand-ins for store, workers and callers."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from standins.callers import Callers, Kind, configuration
from standins.entries import Entry
from standins.http import call, serve
from standins.network import Network
from standins.record import Record
from standins.store import OPERATOR, WORKERS, Store
from standins.worker import BEAT_S, Worker

ZONES = ("kariakoo", "mikocheni", "ubungo", "kinondoni")
READY_TIMEOUT_S = 20.0
# The store removes the entry of a worker after three status report intervals of silence.
ENTRY_TIMEOUT_S = 3 * BEAT_S


class CannotRunError(Exception):
    """The pool did not start, so that the case could not run."""


@dataclass(kw_only=True)
class Pool:
    """The parts of the deployment.

    :ivar unlisted: ids of workers that don't reach the store now.
    """

    network: Network

    store: Store
    workers: list[Worker]
    entries: list[Entry]
    callers: Callers
    unlisted: set[str]

    async def wait_until_ready(self) -> None:
        """Wait until each entry is ready for callers."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for entry in self.entries:
                    while not await self.is_ready(entry):
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("the entries are not ready") from None

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry says that it is ready for callers."""
        try:
            status, _ = await call("GET", entry.ready, "/v1/ready", headers={}, timeout_s=1.0)
        except OSError:
            return False
        return status == 200

    def owner(self) -> Entry:
        """Return the entry that was elected last, as the logs tell."""
        elected = [
            (float(line.split("time=")[1].split()[0]), number)
            for number, entry in enumerate(self.entries)
            for line in entry.log_lines("event=owner_elected")
        ]
        if not elected:
            raise CannotRunError("no entry was elected")
        return self.entries[max(elected)[1]]

    async def beat_forever(self) -> None:
        """Let the workers that reach the store write their entries, and remove silent ones."""
        while True:
            for worker in self.workers:
                if worker.id not in self.unlisted:
                    worker.beat()
                elif worker.beat_age_s() > ENTRY_TIMEOUT_S:
                    self.store.remove(WORKERS, worker.id)
                await asyncio.sleep(BEAT_S / len(self.workers))


@contextlib.asynccontextmanager
async def open_pool(
    record: Record, *, entries: int, workers: int, kinds: list[Kind]
) -> AsyncIterator[Pool]:
    """Start a pool; end all its processes afterwards."""
    store = Store()
    store_server, store_port = await serve("127.0.0.1", store.handle)
    servers = [store_server]
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        nodes = [
            Entry(
                number=number + 1,
                zone=ZONES[number % len(ZONES)],
                store=f"127.0.0.1:{store_port}",
                folder=Path(folder),
            )
            for number in range(entries)
        ]
        callers = Callers(entries=nodes, record=record, kinds=kinds)
        standins = [
            Worker(
                name=f"i-{number:02d}",
                zone=ZONES[number % len(ZONES)],
                store=store,
                record=record,
                demands=callers.demands,
            )
            for number in range(workers)
        ]
        network = Network()
        pool = Pool(
            network=network,
            store=store,
            workers=standins,
            entries=nodes,
            callers=callers,
            unlisted=set(),
        )
        beats = None
        try:
            for worker in standins:
                servers.append(await worker.open())
                worker.beat()
            store.put(OPERATOR, "config", configuration())
            beats = asyncio.create_task(pool.beat_forever())
            for node in nodes:
                node.advertise(await network.proxy(node.name, node.ip, node.peers_port))
            await asyncio.gather(*(entry.start() for entry in nodes))
            yield pool
        finally:
            if beats is not None:
                beats.cancel()
            await asyncio.gather(*(entry.kill() for entry in nodes))
            network.close()
            for server in servers:
                server.close()
