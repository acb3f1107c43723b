"""Connections between processes, through proxies that delay, reset, cut and silence them."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

CHUNK = 65_536
# Envelopes between entries say in their first bytes who sends them.
SENDER = re.compile(rb'"sender":\{"name":"([^"]+)"')
MAX_HEAD = 262_144


@dataclass(eq=False)
class Connection:
    """A proxied connection; once silenced, it passes nothing any more and stays open."""

    source: str
    target: str
    writers: list[asyncio.StreamWriter]
    silenced: bool = False


@dataclass
class Network:
    """Who can reach whom, one way at a time, and how long it takes."""

    cuts: set[tuple[str, str]] = field(default_factory=set)
    delay_s_by_way: dict[tuple[str, str], float] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    servers: list[asyncio.AbstractServer] = field(default_factory=list)

    def cut(self, ways: set[tuple[str, str]]) -> None:
        """Hold back everything on these ways until they are mended."""
        self.cuts |= ways

    def mend(self, ways: set[tuple[str, str]]) -> None:
        """Let pass what was held back."""
        self.cuts -= ways
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self, names: set[str]) -> None:
        """Silence the open connections of some processes for good; new ones work."""
        for connection in self.connections:
            if connection.source in names or connection.target in names:
                connection.silenced = True

    def reset(self, names: set[str]) -> None:
        """Reset the open connections of some processes."""
        for connection in list(self.connections):
            if connection.source in names or connection.target in names:
                for writer in connection.writers:
                    writer.transport.abort()

    async def proxy(
        self, *, source: str | None, target: str, address: Callable[[], tuple[str, int]]
    ) -> int:
        """Open a proxy before a server and return its port.

        :param source: who connects, or None if the first bytes tell.
        """

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self._carry(reader, writer, source, target, address)
            except (OSError, asyncio.IncompleteReadError):
                pass  # One side has closed or reset the connection; both are closed below.
            finally:
                writer.transport.abort()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Accept nothing more and reset what is open."""
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def _carry(self, reader, writer, source, target, address) -> None:
        head = b""
        if source is None:
            head, source = await _read_sender(reader)
        await self._wait_until_open((source, target))
        target_reader, target_writer = await asyncio.open_connection(*address())
        connection = Connection(source, target, [writer, target_writer])
        self.connections.add(connection)
        target_writer.write(head)
        pumps = [
            asyncio.ensure_future(self._pump(reader, target_writer, connection, (source, target))),
            asyncio.ensure_future(self._pump(target_reader, writer, connection, (target, source))),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self.connections.discard(connection)
            target_writer.transport.abort()

    async def _pump(self, reader, writer, connection: Connection, way: tuple[str, str]) -> None:
        while data := await reader.read(CHUNK):
            if way in self.delay_s_by_way:
                await asyncio.sleep(self.delay_s_by_way[way])
            await self._wait_until_open(way)
            if connection.silenced:
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
        await self._wait_until_open(way)

    async def _wait_until_open(self, way: tuple[str, str]) -> None:
        while way in self.cuts:
            await self.changed.wait()


async def _read_sender(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    head = b""
    while len(head) < MAX_HEAD:
        data = await reader.read(CHUNK)
        if not data:
            break
        head += data
        found = SENDER.search(head)
        if found:
            return head, found[1].decode()
    raise ConnectionResetError("no sender in an envelope")
