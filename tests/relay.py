"""TCP relay that aborts connections or drops their data, by source address."""

from __future__ import annotations

import asyncio

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to a target that can be set later.

    :ivar cut_from: source addresses whose connections are refused.
    :ivar discard_from: source addresses whose data is read and dropped in both directions.
    """

    def __init__(self) -> None:
        self.target: tuple[str, int] | None = None
        self.cut_from: set[str] = set()
        self.discard_from: set[str] = set()
        self._server: asyncio.Server | None = None
        self._connections: set[_RelayedConnection] = set()
        self.url = ""

    async def open(self) -> str:
        """Listen and return the base URL."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"
        return self.url

    def set_target(self, url: str) -> None:
        """Set the target by its base URL."""
        host, _, port = url.partition("://")[2].partition(":")
        self.target = (host, int(port))

    def cut(self, source: str) -> None:
        """Abort the open connections from an address and refuse new ones."""
        self.cut_from.add(source)
        for connection in list(self._connections):
            if connection.source == source:
                connection.close()

    def heal(self, source: str) -> None:
        """Forward connections from an address again; dropped data stays lost."""
        self.cut_from.discard(source)
        self.discard_from.discard(source)

    def silence_open_connections(self) -> int:
        """Drop all data of the connections open now and return their number.

        New connections are forwarded.
        """
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for connection in list(self._connections):
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        if source in self.cut_from or self.target is None:
            writer.transport.abort()
            return
        connection = _RelayedConnection(relay=self, source=source, writer=writer)
        self._connections.add(connection)
        try:
            target_reader, connection.target_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                connection.forward(reader, connection.target_writer),
                connection.forward(target_reader, writer),
            )
        except OSError:
            pass
        finally:
            connection.close()
            self._connections.discard(connection)


class _RelayedConnection:
    """One connection through the relay."""

    def __init__(self, *, relay: Relay, source: str, writer: asyncio.StreamWriter):
        self.source = source
        self.is_silent = False
        self.target_writer: asyncio.StreamWriter | None = None
        self._relay = relay
        self._writer = writer

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.is_silent or self.source in self._relay.discard_from:
                continue
            writer.write(chunk)
            await writer.drain()
        if not self.is_silent:
            writer.close()

    def close(self) -> None:
        for writer in (self._writer, self.target_writer):
            if writer is not None:
                writer.transport.abort()
