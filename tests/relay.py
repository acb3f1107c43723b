"""A TCP relay that cuts or silences connections by where they come from."""

from __future__ import annotations

import asyncio

CHUNK = 65_536


class Relay:
    """Forwards connections to a target that may be set later.

    :ivar cut_from: source addresses whose connections are closed and refused.
    :ivar swallow_from: source addresses whose bytes are read and thrown away both ways.
    """

    def __init__(self) -> None:
        self.target: tuple[str, int] | None = None
        self.cut_from: set[str] = set()
        self.swallow_from: set[str] = set()
        self._server: asyncio.Server | None = None
        self._pipes: set[_Pipe] = set()
        self.url = ""

    async def open(self) -> str:
        """Listen and return the base URL."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"
        return self.url

    def aim(self, url: str) -> None:
        """Set the target by its base URL."""
        host, _, port = url.partition("://")[2].partition(":")
        self.target = (host, int(port))

    def cut(self, source: str) -> None:
        """Close and refuse all connections from an address."""
        self.cut_from.add(source)
        for pipe in list(self._pipes):
            if pipe.source == source:
                pipe.close()

    def heal(self, source: str) -> None:
        """Let connections from an address through again; what was swallowed stays lost."""
        self.cut_from.discard(source)
        self.swallow_from.discard(source)

    def silence_open_connections(self) -> int:
        """Swallow what goes over the connections open now; new ones work."""
        for pipe in self._pipes:
            pipe.is_silent = True
        return len(self._pipes)

    async def close(self) -> None:
        """Stop listening and close all."""
        self._server.close()
        for pipe in list(self._pipes):
            pipe.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        if source in self.cut_from or self.target is None:
            writer.transport.abort()
            return
        pipe = _Pipe(relay=self, source=source, writer=writer)
        self._pipes.add(pipe)
        try:
            far_reader, pipe.far_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                pipe.forward(reader, pipe.far_writer), pipe.forward(far_reader, writer)
            )
        except OSError:
            pass
        finally:
            pipe.close()
            self._pipes.discard(pipe)


class _Pipe:
    """One connection through the relay."""

    def __init__(self, *, relay: Relay, source: str, writer: asyncio.StreamWriter):
        self.source = source
        self.is_silent = False
        self.far_writer: asyncio.StreamWriter | None = None
        self._relay = relay
        self._writer = writer

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while chunk := await reader.read(CHUNK):
            if self.is_silent or self.source in self._relay.swallow_from:
                continue
            writer.write(chunk)
            await writer.drain()
        if not self.is_silent:
            writer.close()

    def close(self) -> None:
        for writer in (self._writer, self.far_writer):
            if writer is not None:
                writer.transport.abort()
