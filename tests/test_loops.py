"""The event loop closes only file descriptors that it owns."""

from __future__ import annotations

import asyncio
import socket

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from zincwell.loops import new_event_loop


async def connect() -> socket.socket:
    """Return a socket connected to a server in this process."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, server.sockets[0].getsockname())
    return sock


@pytest.mark.parametrize("turns", [0, 1, 2])
def test_a_socket_is_closed_once_when_its_transport_is_cancelled(turns: int):
    # Guards against a descriptor with two owners. A client passes a connected socket to the loop,
    # and the call times out while the transport is being opened. If both the loop and the client
    # close the descriptor, its number may belong to another connection by then: the process
    # aborts, or its connections fail with "bad file descriptor".
    async def cancel_and_close() -> int:
        sock = await connect()
        loop = asyncio.get_running_loop()
        opening = asyncio.ensure_future(loop.create_connection(asyncio.Protocol, sock=sock))
        for _ in range(turns):
            await asyncio.sleep(0)
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
        sock.close()  # Raises OSError if the loop has closed the descriptor.
        return sock.fileno()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        assert_that(runner.run(cancel_and_close()), Equals(-1))


def test_a_transport_outlives_the_socket_that_it_was_opened_on():
    async def talk() -> bytes:
        here, there = socket.socketpair()
        here.setblocking(False)
        there.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, sock=here)
        assert_that(here.fileno(), Equals(-1))
        transport.write(b"hello")
        try:
            return await loop.sock_recv(there, 5)
        finally:
            transport.close()
            there.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        assert_that(runner.run(talk()), Equals(b"hello"))
