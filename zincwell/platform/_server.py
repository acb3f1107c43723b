"""A small HTTP server: one task a connection, whole requests in, whole answers out."""

from __future__ import annotations

import asyncio
import http
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from urllib.parse import unquote

import httptools
import msgspec

from zincwell.dispatch import BackgroundTasks

log = logging.getLogger("zincwell.http")

# Connections wait for us here while a burst of callers connects.
BACKLOG = 512
# Requests that wait on one connection before no more is read from it.
MAX_WAITING = 16
# A head with more bytes of names and values than this is refused.
MAX_HEAD_BYTES = 32_768
REFUSALS = {413: "body: too large", 431: "headers: too large"}
# A connection on which no whole request has come for this many seconds is closed.
IDLE_S = 75.0
# How often connections are looked at for that, in seconds.
LOOK_S = 15.0


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A whole request; names of headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A whole answer; with ``close`` the connection ends after it."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Answers requests at one address.

    A general server and client take 14 MB and a quarter of a second of a core to be loaded. That
    is a third of an entry's memory, and after a restart callers find nobody for as long.

    :param handler: answers one request; it is cancelled when the caller's connection ends.
    :param body_limit: returns the most bytes that a body may have now.
    """

    def __init__(self, *, handler: Handler, body_limit: Callable[[], int]) -> None:
        self._handler = handler
        self._body_limit = body_limit
        self._connections: set[_Connection] = set()
        self._listening: asyncio.AbstractServer | None = None
        self._loop = asyncio.get_running_loop()
        self._look: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> str:
        """Begin to answer at an address; return it with the port that was taken."""
        host, _, port = address.rpartition(":")
        self._listening = await self._loop.create_server(
            self._connect, host, int(port), backlog=BACKLOG
        )
        self._look = self._loop.call_later(LOOK_S, self._close_idle)
        return f"{host}:{self._listening.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Take no more connections, and end those that are open."""
        if self._listening is not None:
            self._listening.close()
            self._look.cancel()
        for connection in list(self._connections):
            connection.close()

    def _connect(self) -> _Connection:
        return _Connection(
            handler=self._handler, body_limit=self._body_limit, connections=self._connections
        )

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.idle_s() > IDLE_S:
                connection.close()
        self._look = self._loop.call_later(LOOK_S, self._close_idle)


class _Connection(asyncio.Protocol):
    """One caller's connection; its requests are answered in order."""

    def __init__(
        self,
        *,
        handler: Handler,
        body_limit: Callable[[], int],
        connections: set[_Connection],
    ) -> None:
        self._handler = handler
        self._body_limit = body_limit
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[HttpRequest | HttpResponse] = deque()
        self._wake = asyncio.Event()
        self._busy = False
        self._paused = False
        self._ends = False
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._tasks = BackgroundTasks()
        self._begin()

    def close(self) -> None:
        """End the connection and whatever it waits for."""
        self._tasks.close()
        if self._transport is not None:
            self._transport.close()

    def idle_s(self) -> float:
        """Return for how long no whole request has come; 0 while one is being answered."""
        return 0.0 if self._busy or self._waiting else self._loop.time() - self._heard_at

    def _begin(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._refusal: HttpResponse | None = None

    # -- what the loop calls ----------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin to answer."""
        self._transport = transport
        self._connections.add(self)
        self._tasks.spawn(self._answer_forever())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller waited for."""
        self._connections.discard(self)
        self._tasks.close()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._put(HttpResponse(status=400, close=True))
        except httptools.HttpParserError as error:
            log.info('request_malformed error="%s"', error)
            self._put(HttpResponse(status=400, close=True))

    # -- what the parser calls --------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._begin()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._count_head(len(name) + len(value))
        if self._refusal is None:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES and self._refusal is None:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """Refuse a body that is too large before it comes."""
        length = self._headers.get("content-length", "0")
        if self._refusal is None and length.isdigit() and int(length) > self._body_limit():
            self._refuse(413)
        if self._refusal is None and self._headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a part of a body."""
        self._body_bytes += len(body)
        if self._refusal is not None:
            return
        if self._body_bytes > self._body_limit():
            self._refuse(413)
            return
        self._parts.append(body)

    def _refuse(self, status: int) -> None:
        """Answer at once; the connection ends when the rest has come and was thrown away.

        Ended before, it would be reset for the bytes that nobody reads, and the answer lost.
        """
        body = msgspec.json.encode({"error": REFUSALS[status]})
        self._refusal = HttpResponse(status=status, body=body, close=True)
        self._parts.clear()
        self._put(self._refusal)

    def on_message_complete(self) -> None:
        """Let a whole request wait for its answer."""
        if self._refusal is not None:
            self._ends = True
            self._wake.set()
            return
        if not self._parser.should_keep_alive():
            self._headers["connection"] = "close"
        try:
            target = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            self._put(HttpResponse(status=400, close=True))
            return
        self._put(
            HttpRequest(
                method=self._parser.get_method().decode("ascii"),
                path=unquote(target.decode("latin-1")),
                headers=self._headers,
                body=b"".join(self._parts),
            )
        )

    # -- answering --------------------------------------------------------------------------

    def _put(self, waiting: HttpRequest | HttpResponse) -> None:
        self._heard_at = self._loop.time()
        self._waiting.append(waiting)
        self._wake.set()
        if len(self._waiting) > MAX_WAITING and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    async def _answer_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                self._busy = True
                self._ends = await self._answer(self._waiting.popleft()) or self._ends
                self._busy = False
            if self._ends:
                self._transport.close()
                return
            self._heard_at = self._loop.time()
            if self._paused:
                self._paused = False
                self._transport.resume_reading()

    async def _answer(self, waiting: HttpRequest | HttpResponse) -> bool:
        """Answer one request; return whether the connection ends with it."""
        if isinstance(waiting, HttpResponse):
            self._transport.write(_render(waiting))
            return waiting is not self._refusal
        try:
            response = await self._handler(waiting)
        except Exception:
            # A caller whose request meets a fault of ours would wait for its whole deadline.
            log.exception("request_failed path=%s", waiting.path)
            response = HttpResponse(status=500)
        response.close = response.close or waiting.headers.get("connection", "") == "close"
        self._transport.write(_render(response))
        return response.close


def _render(response: HttpResponse) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} {http.HTTPStatus(response.status).phrase}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
        *render_headers(response.headers),
    ]
    if response.close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


def render_headers(headers: Mapping[str, str]) -> list[str]:
    """Return headers as lines."""
    return [f"{name}: {value}" for name, value in headers.items()]
