"""A small system whose bytes are counted, and processor time and memory of its processes."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from tests.cluster import Cluster, EntryProcess, Process
from tests.relay import Relay

KB_PER_PAGE = 4
SLOTS = 8
#: Rows of made-up workers allow for so many connections that no run is bound by them.
MANY_CONNECTIONS = 100_000
_libc = ctypes.CDLL(None)


class CountedRelay(Relay):
    """A relay that counts bytes and connections by source address.

    :ivar bytes_by_source: bytes of both directions, without the headers of TCP and IP.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_source: Counter[str] = Counter()
        self.connections_by_source: Counter[str] = Counter()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        self.connections_by_source[source] += 1
        await super()._serve(
            _CountedReader(reader, self.bytes_by_source, source),
            _CountedWriter(writer, self.bytes_by_source, source),
        )

    def total_bytes(self) -> int:
        """Return the bytes of all sources."""
        return sum(self.bytes_by_source.values())


class _CountedReader:
    def __init__(self, reader: asyncio.StreamReader, counts: Counter[str], source: str):
        self._reader, self._counts, self._source = reader, counts, source

    async def read(self, size: int) -> bytes:
        chunk = await self._reader.read(size)
        self._counts[self._source] += len(chunk)
        return chunk


class _CountedWriter:
    def __init__(self, writer: asyncio.StreamWriter, counts: Counter[str], source: str):
        self._writer, self._counts, self._source = writer, counts, source

    def write(self, chunk: bytes) -> None:
        self._counts[self._source] += len(chunk)
        self._writer.write(chunk)

    def __getattr__(self, name: str):
        return getattr(self._writer, name)


@dataclass(kw_only=True)
class CountedCluster(Cluster):
    """A cluster with counted relays, and one process that stands for many workers."""

    many: Process | None = None
    many_relay: CountedRelay | None = None
    rows: dict[str, int] = field(default_factory=dict)

    async def _relay(self, target: str | None) -> CountedRelay:
        relay = CountedRelay()
        await relay.open()
        if target is not None:
            relay.set_target(target)
        self.relays.append(relay)
        return relay

    async def open_many(self) -> None:
        """Start the process that stands for many workers."""
        self.many = await self.start_many()
        self.many_relay = await self._relay(self.many.fields["url"])

    async def start_many(self) -> Process:
        """Start one more process that stands for many workers."""
        return await self._start("many", "-m", "bench._slopes_worker", "--slots", str(SLOTS))

    async def set_rows(
        self,
        domain: str,
        count: int,
        *,
        slots: int = SLOTS,
        counted: bool = False,
        more: Sequence[Process] = (),
    ) -> None:
        """Have so many workers of a domain in the list of VMs, all of them the one process.

        :param more: further processes that stand for many workers, to share the work.
        """
        processes = [self.many, *more]
        for process in processes:
            await self.control(process, slots=slots)
        urls = [process.fields["url"] for process in processes]
        urls = [self.many_relay.url] if counted else urls
        directory = self.directory.fields["url"]
        for number in range(count):
            vm = f"worker-{domain}-{number:04}"
            row = {
                "vm": vm,
                "role": "worker",
                "domain": domain,
                "url": urls[number % len(urls)],
                "pool": "braille",
                "rack": f"rack-{number // 6:03}",
                "slots": slots,
                "connections": MANY_CONNECTIONS,
                "memory_mb": 256_000,
            }
            await self.put(f"{directory}/vms/{vm}", row)
        for number in range(count, self.rows.get(domain, 0)):
            row_url = f"{directory}/vms/worker-{domain}-{number:04}"
            async with self.session.delete(row_url) as response:
                await response.read()
        self.rows[domain] = count

    async def wait_workers(self, count: int) -> None:
        """Wait until every entry may use so many workers."""
        for entry in self.live_entries():

            async def usable(entry: EntryProcess = entry) -> bool:
                workers = (await self.status(entry))["workers"]
                return len(workers) == count == sum(worker["usable"] for worker in workers)

            await self.wait_for(f"{entry.vm} has {count} workers", usable)


@contextlib.asynccontextmanager
async def open_cluster(
    *, entries: int, domain: str = "kariakoo", **document
) -> AsyncIterator[CountedCluster]:
    """Open a cluster with one domain, some entries and no workers yet."""
    with tempfile.TemporaryDirectory() as folder:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            cluster = CountedCluster(folder=Path(folder), session=session)
            try:
                pools = {"pools": {"braille": {"admission": "bounded"}}}
                await cluster.open(domains={domain: (entries, 0)}, **{**pools, **document})
                await cluster.open_many()
                yield cluster
            finally:
                await cluster.close()


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds, to the nanosecond.

    ``/proc/PID/stat`` counts in ticks of 10 ms, too coarse for what an idle entry uses.
    """
    clock = ctypes.c_int()
    error = _libc.clock_getcpuclockid(ctypes.c_int(pid), ctypes.byref(clock))
    if error:
        raise OSError(error, f"no processor clock of process {pid}")
    return time.clock_gettime(clock.value)


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process in KB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * KB_PER_PAGE
