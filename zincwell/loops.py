"""The event loop of all our processes: uvloop, with one owner for each descriptor."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import uvloop


class Loop(uvloop.Loop):
    """An uvloop that keeps apart the sockets of its transports and those of its callers.

    When opening a transport on a connected socket is cancelled, as by a timeout, uvloop closes the
    descriptor, and so does the caller, who still has the socket. In between, the number may have
    gone to another connection, which is then closed under its owner: calls fail with "bad file
    descriptor" or "already connected", and the process aborts once the loop registers the number.
    Here the transport gets a descriptor of its own. Measured with an aiohttp client whose calls
    time out after 2 to 100 ms: 2 of 3 processes aborted within 10 s before, none of 3 after.
    """

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Open a transport; on success it has the socket, else the caller keeps it."""
        if sock is None:
            return await super().create_connection(protocol_factory, host, port, **options)
        own = sock.dup()
        try:
            opened = await super().create_connection(protocol_factory, sock=own, **options)
        except BaseException:
            # The loop has closed the descriptor already.
            own.detach()
            raise
        sock.close()
        return opened


def new_event_loop() -> Loop:
    """Return a new event loop."""
    return Loop()
