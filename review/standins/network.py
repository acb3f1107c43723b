"""Proxies between the entries, which can cut one of them off from all others."""

from __future__ import annotations

import asyncio
import re

HOST = "127.0.0.1"
CHUNK = 65_536
# The first request on a connection between entries names its sender in its body.
SENDER = re.compile(rb'"sender":\{"name":"([^"]+)"')


class Network:
    """Carries what the entries send to each other.

    :ivar cut_off: name of the entry that is cut off now, empty if none is.
    """

    def __init__(self) -> None:
        self.cut_off = ""
        self._servers: list[asyncio.AbstractServer] = []
        self._held: list[asyncio.StreamWriter] = []

    async def proxy(self, target: str, host: str, port: int) -> str:
        """Open a proxy in front of an entry and return its address."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self._carry(reader, writer, target, host, port)
            except (OSError, asyncio.IncompleteReadError):
                pass  # One side has closed the connection.
            except asyncio.CancelledError:
                pass  # The run has ended.
            finally:
                writer.transport.abort()

        server = await asyncio.start_server(accept, HOST, 0, backlog=512)
        self._servers.append(server)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def heal(self) -> None:
        """End the cut; what was held back is lost with its connections."""
        self.cut_off = ""
        for writer in self._held:
            writer.transport.abort()
        self._held.clear()

    def close(self) -> None:
        """Accept nothing more."""
        for server in self._servers:
            server.close()

    async def _carry(self, reader, writer, target: str, host: str, port: int) -> None:
        head = b""
        while (found := SENDER.search(head)) is None:
            data = await reader.read(CHUNK)
            if not data:
                return
            head += data
        ends = {found[1].decode(), target}
        target_reader, target_writer = await asyncio.open_connection(host, port)
        try:
            if not await self._is_lost(ends, writer):
                target_writer.write(head)
                await asyncio.wait(
                    [
                        asyncio.ensure_future(self._pump(reader, target_writer, ends, writer)),
                        asyncio.ensure_future(self._pump(target_reader, writer, ends, writer)),
                    ],
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            target_writer.transport.abort()

    async def _pump(self, reader, writer, ends: set[str], held: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(CHUNK):
                if await self._is_lost(ends, held):
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # One side has closed the connection.

    async def _is_lost(self, ends: set[str], held: asyncio.StreamWriter) -> bool:
        """Hold a connection of the entry that is cut off until the cut has ended."""
        if self.cut_off not in ends:
            return False
        self._held.append(held)
        while self.cut_off in ends:
            await asyncio.sleep(0.01)
        return True
