"""A small HTTP server without streaming: one asyncio task per connection."""

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

from zincwell.dispatch import BackgroundTasks, LoopTicks

log = logging.getLogger("zincwell.http")

# Large enough for a burst of callers that connect at once.
LISTEN_BACKLOG = 512
# Reading from a connection pauses while more requests than this wait on it.
MAX_PIPELINED_REQUESTS = 16
# Limits the request target plus all header names and values.
MAX_HEAD_BYTES = 32_768
ERROR_BY_STATUS = {413: "body: too large", 431: "headers: too large"}
# A connection that sends no complete request for longer is closed.
IDLE_TIMEOUT_S = 75.0
IDLE_CHECK_INTERVAL_S = 15.0


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A complete request; header names are in lower case.

    :param sent_since: earliest time at which it can have arrived, by the clock of the process; None
        if the server was not told when sockets were polled.
    """

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    sent_since: float | None = None


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A complete response; with ``close`` the server closes the connection after it."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Serves requests at one address.

    Importing a general-purpose HTTP server and client takes 14 MB, which is a third of an entry's
    memory, and a quarter of a second of a core, during which a restarted entry serves no callers.

    :param handler: responds to one request; cancelled when the client closes the connection.
    :param body_limit: returns the current size limit of a request body, in bytes.
    :param ticks: tells when sockets were polled, if requests are to have the time of their arrival.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        body_limit: Callable[[], int],
        ticks: LoopTicks | None = None,
    ) -> None:
        self._handler = handler
        self._body_limit = body_limit
        self._ticks = ticks
        self._connections: set[_Connection] = set()
        self._listener: asyncio.AbstractServer | None = None
        self._loop = asyncio.get_running_loop()
        self._idle_check: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> str:
        """Listen at an address and return it with the actual port.

        :param address: ``HOST:PORT``; port 0 lets the system choose one.
        """
        host, _, port = address.rpartition(":")
        self._listener = await self._loop.create_server(
            self._make_connection, host, int(port), backlog=LISTEN_BACKLOG
        )
        self._idle_check = self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_idle)
        return f"{host}:{self._listener.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and close the open connections."""
        if self._listener is not None:
            self._listener.close()
            self._idle_check.cancel()
        for connection in list(self._connections):
            connection.close()

    def _make_connection(self) -> _Connection:
        return _Connection(
            handler=self._handler,
            body_limit=self._body_limit,
            connections=self._connections,
            ticks=self._ticks,
        )

    def _close_idle(self) -> None:
        # First, since an error below must not end the checks for good.
        self._idle_check = self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_idle)
        for connection in list(self._connections):
            if connection.idle_s() > IDLE_TIMEOUT_S:
                connection.close()


class _Connection(asyncio.Protocol):
    """One client connection; responses are sent in the order of the requests."""

    def __init__(
        self,
        *,
        handler: Handler,
        body_limit: Callable[[], int],
        connections: set[_Connection],
        ticks: LoopTicks | None,
    ) -> None:
        self._handler = handler
        self._ticks = ticks
        # Since when the connection may have been waiting to be accepted, or to be read again.
        self._unread_since = self._read_again_at = 0.0
        self._data_since: float | None = None
        self._body_limit = body_limit
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: deque[HttpRequest | HttpResponse] = deque()
        self._wakeup = asyncio.Event()
        self._busy = False
        self._paused = False
        self._closing = False
        self._loop = asyncio.get_running_loop()
        self._last_activity_at = self._loop.time()
        self._tasks = BackgroundTasks()
        self._reset_request()

    def close(self) -> None:
        """Close the connection and cancel the request in progress."""
        self._tasks.close()
        if self._transport is not None:
            self._transport.close()

    def idle_s(self) -> float:
        """Return the seconds since the last activity; 0 while a request is in progress."""
        return 0.0 if self._busy or self._pending else self._loop.time() - self._last_activity_at

    def _reset_request(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._rejection: HttpResponse | None = None
        self._request_since = self._data_since

    def _stop_reading(self) -> None:
        if self._ticks is not None:
            self._unread_since = self._ticks.unread_since()

    def _start_reading(self) -> None:
        if self._ticks is not None:
            self._read_again_at = self._ticks.now()

    def _find_data_since(self) -> float | None:
        """Return the earliest time at which the data that is read now can have arrived."""
        if self._ticks is None:
            return None
        since = self._ticks.unread_since()
        return min(since, self._unread_since) if since < self._read_again_at else since

    # -- asyncio.Protocol callbacks ---------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start to process its requests."""
        self._transport = transport
        # It was established after the listener was polled last.
        self._stop_reading()
        self._start_reading()
        self._connections.add(self)
        self._tasks.keep_running(
            self._process_requests, name="connection", essential=False, on_failure=self.close
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel the request in progress."""
        self._connections.discard(self)
        self._tasks.close()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        self._data_since = self._find_data_since()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._enqueue(HttpResponse(status=400, close=True))
        except httptools.HttpParserError as error:
            log.info('request_malformed error="%s"', error)
            self._enqueue(HttpResponse(status=400, close=True))

    # -- httptools parser callbacks ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._count_head(len(name) + len(value))
        if self._rejection is None:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES and self._rejection is None:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Reject a body that is too large before it is received."""
        length = self._headers.get("content-length", "0")
        if self._rejection is None and length.isdigit() and int(length) > self._body_limit():
            self._reject(413)
        if self._rejection is None and self._headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(body)
        if self._rejection is not None:
            return
        if self._body_bytes > self._body_limit():
            self._reject(413)
            return
        self._body_parts.append(body)

    def _reject(self, status: int) -> None:
        """Send an error response at once; close when the rest was received and discarded.

        Closing with unread data would reset the connection and could lose the response.
        """
        body = msgspec.json.encode({"error": ERROR_BY_STATUS[status]})
        self._rejection = HttpResponse(status=status, body=body, close=True)
        self._body_parts.clear()
        self._enqueue(self._rejection)

    def on_message_complete(self) -> None:
        """Queue the complete request for the handler."""
        if self._rejection is not None:
            self._closing = True
            self._wakeup.set()
            return
        if not self._parser.should_keep_alive():
            self._headers["connection"] = "close"
        try:
            target = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            self._enqueue(HttpResponse(status=400, close=True))
            return
        self._enqueue(
            HttpRequest(
                method=self._parser.get_method().decode("ascii"),
                path=unquote(target.decode("latin-1")),
                headers=self._headers,
                body=b"".join(self._body_parts),
                sent_since=self._request_since,
            )
        )

    # -- request processing -----------------------------------------------------------------

    def _enqueue(self, item: HttpRequest | HttpResponse) -> None:
        self._last_activity_at = self._loop.time()
        self._pending.append(item)
        self._wakeup.set()
        if len(self._pending) > MAX_PIPELINED_REQUESTS and not self._paused:
            self._paused = True
            self._stop_reading()
            self._transport.pause_reading()

    async def _process_requests(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._pending:
                self._busy = True
                self._closing = await self._respond(self._pending.popleft()) or self._closing
                self._busy = False
            if self._closing:
                self._transport.close()
                return
            self._last_activity_at = self._loop.time()
            if self._paused:
                self._paused = False
                self._start_reading()
                self._transport.resume_reading()

    async def _respond(self, item: HttpRequest | HttpResponse) -> bool:
        """Send the response to one request; return whether to close the connection now.

        After a rejection it closes later, once the rest of the rejected request was received.
        """
        if isinstance(item, HttpResponse):
            self._transport.write(_encode_response(item))
            return item is not self._rejection
        try:
            response = await self._handler(item)
        except Exception:
            # Without a response the client would wait until its timeout.
            log.exception("request_failed path=%s", item.path)
            response = HttpResponse(status=500)
        response.close = response.close or item.headers.get("connection", "") == "close"
        self._transport.write(_encode_response(response))
        return response.close


def _encode_response(response: HttpResponse) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} {http.HTTPStatus(response.status).phrase}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
        *format_headers(response.headers),
    ]
    if response.close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


def format_headers(headers: Mapping[str, str]) -> list[str]:
    """Return headers as ``Name: value`` lines."""
    return [f"{name}: {value}" for name, value in headers.items()]
