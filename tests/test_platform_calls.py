"""HTTP client of the platform adapter: keep-alive, timeouts, lost connections, bad responses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from zincwell.platform._http import (
    MAX_CONNECTIONS_PER_ADDRESS,
    HttpCallError,
    HttpClient,
    HttpClientResponse,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class RawPeer:
    """A server that sends scripted bytes as responses; None means no response."""

    def __init__(self) -> None:
        self.responses: list[bytes | None] = []
        self.requests: list[bytes] = []
        self.connections: list[asyncio.StreamWriter] = []
        self.request_received = asyncio.Event()
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Close the server and its connections."""
        self.server.close()
        for writer in self.connections:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                self.requests.append(head + await reader.readexactly(length))
                self.request_received.set()
                response = self.responses.pop(0) if self.responses else OK
                if response is None:
                    continue
                writer.write(response)
                if b"close" in response:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return


@pytest.fixture
async def peer() -> AsyncIterator[RawPeer]:
    """A server."""
    raw = RawPeer()
    await raw.open()
    yield raw
    await raw.close()


@pytest.fixture
async def http() -> AsyncIterator[HttpClient]:
    """A client."""
    caller = HttpClient()
    yield caller
    caller.close()


def call(http: HttpClient, peer: RawPeer, *, timeout_s: float = 20.0, **fields):
    return http.call("POST", peer.address, "/v1/x", timeout_s=timeout_s, **fields)


async def test_a_call_sends_headers_and_body(http: HttpClient, peer: RawPeer):
    response = await call(http, peer, body=b"{}", headers={"Expect-Instance": "i-1"})
    assert_that(response, Equals(HttpClientResponse(200, b"hi")))
    expected = (
        f"POST /v1/x HTTP/1.1\r\nHost: {peer.address}\r\nContent-Length: 2\r\n"
        "Expect-Instance: i-1\r\n\r\n{}"
    )
    assert_that(peer.requests, Equals([expected.encode()]))


async def test_consecutive_calls_share_a_connection(http: HttpClient, peer: RawPeer):
    for _ in range(3):
        await call(http, peer)
    assert_that(peer.connections, HasLength(1))


async def test_concurrent_calls_each_get_their_own_response(http: HttpClient, peer: RawPeer):
    await asyncio.gather(*(call(http, peer) for _ in range(3 * MAX_CONNECTIONS_PER_ADDRESS)))
    assert_that(peer.requests, HasLength(3 * MAX_CONNECTIONS_PER_ADDRESS))
    assert_that(len(peer.connections) <= MAX_CONNECTIONS_PER_ADDRESS, Equals(True))


async def test_a_chunked_response_is_reassembled(http: HttpClient, peer: RawPeer):
    peer.responses = [
        b"HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    ]
    assert_that(await call(http, peer), Equals(HttpClientResponse(409, b"abc")))
    assert_that(await call(http, peer), Equals(HttpClientResponse(200, b"hi")))
    assert_that(peer.connections, HasLength(1))


async def test_a_connection_closed_by_the_peer_is_not_reused(http: HttpClient, peer: RawPeer):
    peer.responses = [b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"]
    await call(http, peer)
    await call(http, peer)
    assert_that(peer.connections, HasLength(2))


async def test_a_late_response_is_not_read_as_the_next_one(http: HttpClient, peer: RawPeer):
    # A call would get the response to another request if a response arrives after its call timed
    # out and the next call uses the same connection.
    peer.responses = [None]
    with pytest.raises(HttpCallError):
        await call(http, peer, timeout_s=0.01)
    peer.connections[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
    assert_that(await call(http, peer), Equals(HttpClientResponse(200, b"hi")))


async def test_the_connection_of_a_cancelled_call_is_not_reused(http: HttpClient, peer: RawPeer):
    peer.responses = [None]
    pending_call = asyncio.ensure_future(call(http, peer))
    await peer.request_received.wait()
    pending_call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await pending_call
    await call(http, peer)
    assert_that(peer.connections, HasLength(2))


@pytest.mark.parametrize(
    "response",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nclose",
        b"HTTP/1.1 200 OK\r\nContent-Length: close\r\n\r\n",
    ],
)
async def test_a_malformed_response_is_an_error(http: HttpClient, peer: RawPeer, response: bytes):
    peer.responses = [response]
    with pytest.raises(HttpCallError):
        await call(http, peer)
    assert_that(await call(http, peer), Equals(HttpClientResponse(200, b"hi")))


@pytest.mark.parametrize("address", ["127.0.0.1:1", "nowhere", "127.0.0.1:x"])
async def test_an_unreachable_address_is_an_error(http: HttpClient, address: str):
    with pytest.raises(HttpCallError):
        await http.call("GET", address, "/", timeout_s=20.0)


async def test_a_line_break_in_a_value_injects_no_header(http: HttpClient, peer: RawPeer):
    with pytest.raises(HttpCallError):
        await call(http, peer, headers={"Expect-Instance": "i\r\nX-Other: 1"})
    assert_that(peer.requests, Equals([]))


async def test_idle_connections_are_closed(http: HttpClient, peer: RawPeer):
    await call(http, peer)
    pool = http._pools_by_address[peer.address]
    pool.close_idle(0.0, now=http._loop.time())
    assert_that(pool.is_unused(), Equals(True))
    await call(http, peer)
    assert_that(peer.connections, HasLength(2))
