"""The small HTTP client: connections that are kept, lost, silent, or answer nonsense."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from zincwell.platform._http import (
    CONNECTIONS_PER_ADDRESS,
    HttpAnswer,
    HttpCaller,
    HttpCallError,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class RawPeer:
    """A server that answers each request with given bytes, one after the other."""

    def __init__(self) -> None:
        self.answers: list[bytes | None] = []
        self.requests: list[bytes] = []
        self.connections: list[asyncio.StreamWriter] = []
        self.asked = asyncio.Event()
        self.address = ""

    async def open(self) -> None:
        """Listen on a port of the system's choice."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Close everything."""
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
                self.asked.set()
                answer = self.answers.pop(0) if self.answers else OK
                if answer is None:
                    continue
                writer.write(answer)
                if b"close" in answer:
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
async def http() -> AsyncIterator[HttpCaller]:
    """A client."""
    caller = HttpCaller()
    yield caller
    caller.close()


def call(http: HttpCaller, peer: RawPeer, *, timeout_s: float = 20.0, **fields):
    return http.call("POST", peer.address, "/v1/x", timeout_s=timeout_s, **fields)


async def test_a_call_sends_headers_and_body(http: HttpCaller, peer: RawPeer):
    answer = await call(http, peer, body=b"{}", headers={"Expect-Instance": "i-1"})
    assert_that(answer, Equals(HttpAnswer(200, b"hi")))
    expected = (
        f"POST /v1/x HTTP/1.1\r\nHost: {peer.address}\r\nContent-Length: 2\r\n"
        "Expect-Instance: i-1\r\n\r\n{}"
    )
    assert_that(peer.requests, Equals([expected.encode()]))


async def test_calls_one_after_the_other_share_a_connection(http: HttpCaller, peer: RawPeer):
    for _ in range(3):
        await call(http, peer)
    assert_that(peer.connections, HasLength(1))


async def test_calls_at_once_each_get_their_own_answer(http: HttpCaller, peer: RawPeer):
    await asyncio.gather(*(call(http, peer) for _ in range(3 * CONNECTIONS_PER_ADDRESS)))
    assert_that(peer.requests, HasLength(3 * CONNECTIONS_PER_ADDRESS))
    assert_that(len(peer.connections) <= CONNECTIONS_PER_ADDRESS, Equals(True))


async def test_an_answer_in_pieces_is_put_together(http: HttpCaller, peer: RawPeer):
    peer.answers = [
        b"HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    ]
    assert_that(await call(http, peer), Equals(HttpAnswer(409, b"abc")))
    assert_that(await call(http, peer), Equals(HttpAnswer(200, b"hi")))
    assert_that(peer.connections, HasLength(1))


async def test_a_connection_that_the_peer_closes_is_not_used_again(http: HttpCaller, peer: RawPeer):
    peer.answers = [b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"]
    await call(http, peer)
    await call(http, peer)
    assert_that(peer.connections, HasLength(2))


async def test_a_late_answer_is_not_taken_for_the_next_one(http: HttpCaller, peer: RawPeer):
    # Symptom it guards against: a caller gets the answer to another one's request. Sequence: an
    # answer comes after its call was given up, when the next call waits on the same connection.
    peer.answers = [None]
    with pytest.raises(HttpCallError):
        await call(http, peer, timeout_s=0.01)
    peer.connections[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
    assert_that(await call(http, peer), Equals(HttpAnswer(200, b"hi")))


async def test_a_cancelled_call_leaves_its_connection(http: HttpCaller, peer: RawPeer):
    peer.answers = [None]
    given_up = asyncio.ensure_future(call(http, peer))
    await peer.asked.wait()
    given_up.cancel()
    with pytest.raises(asyncio.CancelledError):
        await given_up
    await call(http, peer)
    assert_that(peer.connections, HasLength(2))


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nclose",
        b"HTTP/1.1 200 OK\r\nContent-Length: close\r\n\r\n",
    ],
)
async def test_an_answer_that_can_t_be_read_is_an_error(
    http: HttpCaller, peer: RawPeer, answer: bytes
):
    peer.answers = [answer]
    with pytest.raises(HttpCallError):
        await call(http, peer)
    assert_that(await call(http, peer), Equals(HttpAnswer(200, b"hi")))


@pytest.mark.parametrize("address", ["127.0.0.1:1", "nowhere", "127.0.0.1:x"])
async def test_an_address_where_nobody_listens_is_an_error(http: HttpCaller, address: str):
    with pytest.raises(HttpCallError):
        await http.call("GET", address, "/", timeout_s=20.0)


async def test_a_name_with_a_line_break_adds_no_header(http: HttpCaller, peer: RawPeer):
    with pytest.raises(HttpCallError):
        await call(http, peer, headers={"Expect-Instance": "i\r\nX-Other: 1"})
    assert_that(peer.requests, Equals([]))


async def test_idle_connections_are_closed(http: HttpCaller, peer: RawPeer):
    await call(http, peer)
    host = http._hosts_by_address[peer.address]
    host.close_older_than(0.0, now=http._loop.time())
    assert_that(host.is_unused(), Equals(True))
    await call(http, peer)
    assert_that(peer.connections, HasLength(2))
