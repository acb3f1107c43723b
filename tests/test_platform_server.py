"""HTTP server of the platform adapter: order, size limits, disconnects, malformed requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, StartsWith

from zincwell.platform._server import MAX_PIPELINED_REQUESTS, HttpRequest, HttpResponse, HttpServer

BODY_LIMIT = 1_000


class Handler:
    """Responds with the path, except for special paths; records cancelled requests."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.cancelled: list[str] = []
        self.started = asyncio.Event()
        self.ended = asyncio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to one request."""
        self.requests.append(request)
        self.started.set()
        if request.path == "/fails":
            raise RuntimeError("a fault")
        if request.path == "/waits":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled.append(request.path)
                self.ended.set()
                raise
        return HttpResponse(body=request.path.encode(), close=request.path == "/last")


class Caller:
    """A client connection that sends raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def read_response(self) -> tuple[int, bytes]:
        """Return the status and body of the next response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        return int(head.split()[1]), await self.reader.readexactly(length)


@pytest.fixture
def handler() -> Handler:
    """The handler of the server."""
    return Handler()


@pytest.fixture
async def address(handler: Handler) -> AsyncIterator[str]:
    """The address of the server."""
    server = HttpServer(handler=handler.handle, body_limit=lambda: BODY_LIMIT)
    yield await server.listen("127.0.0.1:0")
    server.close()


@pytest.fixture
async def caller(address: str) -> AsyncIterator[Caller]:
    """A connection to the server."""
    host, _, port = address.rpartition(":")
    caller = Caller(*await asyncio.open_connection(host, int(port)))
    yield caller
    caller.writer.close()


def render(path: str, body: bytes = b"", *, headers: str = "") -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    )
    return head.encode() + body


async def test_a_request_is_reassembled(handler: Handler, caller: Caller):
    data = render("/a%20b?x=1", b"body", headers="X-Name: Value\r\n")
    for byte in data:
        caller.send(bytes([byte]))
        await caller.writer.drain()
    assert_that(await caller.read_response(), Equals((200, b"/a b")))
    request = handler.requests[0]
    assert_that((request.method, request.path, request.body), Equals(("POST", "/a b", b"body")))
    assert_that(request.headers["x-name"], Equals("Value"))


async def test_responses_are_sent_in_order_of_the_requests(caller: Caller):
    count = 3 * MAX_PIPELINED_REQUESTS
    caller.send(b"".join(render(f"/{number}") for number in range(count)))
    responses = [await caller.read_response() for _ in range(count)]
    assert_that(responses, Equals([(200, b"/%d" % number) for number in range(count)]))


async def test_a_disconnect_cancels_the_request(handler: Handler, caller: Caller):
    # Otherwise workers would run jobs whose caller has disconnected.
    caller.send(render("/waits"))
    await handler.started.wait()
    caller.writer.close()
    await handler.ended.wait()
    assert_that(handler.cancelled, Equals(["/waits"]))


async def test_the_connection_closes_when_the_response_says_so(caller: Caller):
    caller.send(render("/last"))
    assert_that(await caller.read_response(), Equals((200, b"/last")))
    assert_that(await caller.reader.read(), Equals(b""))


async def test_the_connection_closes_when_the_request_says_so(caller: Caller):
    caller.send(render("/x", headers="Connection: close\r\n"))
    await caller.read_response()
    assert_that(await caller.reader.read(), Equals(b""))


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_that_is_too_large_is_rejected(
    handler: Handler, caller: Caller, chunked: bool
):
    body = b"x" * (BODY_LIMIT + 1)
    if chunked:
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller.send(head + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n")
    else:
        caller.send(render("/x", body))
    assert_that(await caller.read_response(), Equals((413, b'{"error":"body: too large"}')))
    assert_that(await caller.reader.read(), Equals(b""))
    assert_that(handler.requests, HasLength(0))


async def test_headers_that_are_too_large_are_rejected(handler: Handler, caller: Caller):
    headers = "".join(f"X-{number}: {'v' * 900}\r\n" for number in range(40))
    caller.send(render("/x", headers=headers))
    assert_that((await caller.read_response())[0], Equals(431))
    assert_that(handler.requests, HasLength(0))


@pytest.mark.parametrize(
    "data", [b"nonsense\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"\x00\x01\r\n\r\n"]
)
async def test_a_malformed_request_is_rejected(handler: Handler, caller: Caller, data: bytes):
    caller.send(data)
    assert_that((await caller.read_response())[0], Equals(400))
    assert_that(await caller.reader.read(), Equals(b""))
    assert_that(handler.requests, HasLength(0))


async def test_an_exception_in_the_handler_returns_500(caller: Caller):
    caller.send(render("/fails") + render("/next"))
    assert_that((await caller.read_response())[0], Equals(500))
    assert_that(await caller.read_response(), Equals((200, b"/next")))


async def test_expect_100_continue_gets_an_interim_response(caller: Caller):
    caller.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
    interim = await caller.reader.readuntil(b"\r\n\r\n")
    assert_that(interim, StartsWith(b"HTTP/1.1 100"))
    caller.send(b"ab")
    assert_that((await caller.read_response())[0], Equals(200))


async def test_a_closed_server_refuses_connections(address: str, handler: Handler):
    server = HttpServer(handler=handler.handle, body_limit=lambda: BODY_LIMIT)
    other = await server.listen("127.0.0.1:0")
    server.close()
    host, _, port = other.rpartition(":")
    with pytest.raises(ConnectionError) as caught:
        await asyncio.open_connection(host, int(port))
    assert_that(str(caught.value), Contains(port))
