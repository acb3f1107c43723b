"""A small HTTP client for the many short calls of an owner, which makes two for each task."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import httptools

from zincwell.exceptions import ZincwellError

# Idle connections are closed after this time: a worker accepts at most 64 connections, and one that
# broke silently is not reused for long.
KEEP_ALIVE_TIMEOUT_S = 15.0
IDLE_CHECK_INTERVAL_S = 5.0
# A worker accepts at most 64 connections from all entries together.
MAX_CONNECTIONS_PER_ADDRESS = 12


class HttpCallError(ZincwellError):
    """A call got no response or a malformed one; the server may have processed it."""


class HttpClientResponse(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class HttpClient:
    """An HTTP/1.1 client with keep-alive connections and one call at a time on each.

    Each task start costs an owner two calls, and a general-purpose client takes five times as long
    per call. This client sends only a request line, a few headers and a body of known length.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._pools_by_address: dict[str, _ConnectionPool] = {}
        self._idle_check = self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_idle)

    def close(self) -> None:
        """Close all idle connections."""
        self._idle_check.cancel()
        for pool in self._pools_by_address.values():
            pool.close_idle(0.0, now=self._loop.time())
        self._pools_by_address.clear()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> HttpClientResponse:
        """Send one request and return the response.

        :param address: ``HOST:PORT``.
        :param timeout_s: limit for the whole call: a free connection, connecting, the response.
        :raises HttpCallError: if there is no valid response within the time.
        """
        request = _encode_request(method, address, path, headers or {}, body)
        deadline = self._loop.time() + timeout_s
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = self._pools_by_address[address] = _ConnectionPool(address=address)
        pool.active_calls += 1
        try:
            await _acquire_permit(pool.permits, deadline)
            try:
                connection = pool.take_idle() or await self._connect(address, deadline)
                response = await self._exchange(connection, request, deadline)
                if connection.is_open:
                    pool.release_connection(connection, now=self._loop.time())
                return response
            finally:
                pool.permits.release()
        finally:
            pool.active_calls -= 1

    async def _exchange(
        self, connection: _Connection, request: bytes, deadline: float
    ) -> HttpClientResponse:
        response = connection.send(request)
        timer = self._loop.call_at(deadline, connection.abort, "timed out waiting for the response")
        try:
            return await response
        except asyncio.CancelledError:
            # A late response would be read as the response to the next call on this connection.
            connection.abort("cancelled")
            raise
        finally:
            timer.cancel()

    async def _connect(self, address: str, deadline: float) -> _Connection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout_at(deadline):
                _, connection = await self._loop.create_connection(_Connection, host, int(port))
        except TimeoutError:
            raise HttpCallError("timed out connecting") from None
        except (OSError, ValueError) as error:
            raise HttpCallError(f"connection failed: {error!r}") from error
        return connection

    def _close_idle(self) -> None:
        # First, since an error below must not end the checks for good.
        self._idle_check = self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_idle)
        now = self._loop.time()
        for address, pool in list(self._pools_by_address.items()):
            pool.close_idle(KEEP_ALIVE_TIMEOUT_S, now=now)
            if pool.is_unused():
                # Most addresses of workers that left are never called again.
                del self._pools_by_address[address]


async def _acquire_permit(permits: asyncio.Semaphore, deadline: float) -> None:
    if not permits.locked():
        await permits.acquire()
        return
    try:
        async with asyncio.timeout_at(deadline):
            await permits.acquire()
    except TimeoutError:
        raise HttpCallError("timed out waiting for a free connection") from None


class _ConnectionPool:
    """The idle connections to one address and the limit on open ones."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.active_calls = 0
        self.permits = asyncio.Semaphore(MAX_CONNECTIONS_PER_ADDRESS)
        self._idle: list[_Connection] = []

    def take_idle(self) -> _Connection | None:
        """Return the most recently used idle connection, so that few stay open, or None."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        return None

    def release_connection(self, connection: _Connection, *, now: float) -> None:
        """Return a connection to the pool."""
        connection.idle_since = now
        self._idle.append(connection)

    def close_idle(self, age_s: float, *, now: float) -> None:
        """Close the connections that have been idle for ``age_s`` seconds or longer."""
        kept = []
        for connection in self._idle:
            if connection.is_open and now - connection.idle_since < age_s:
                kept.append(connection)
            else:
                connection.abort("idle")
        self._idle = kept

    def is_unused(self) -> bool:
        """Return whether there are no idle connections and no calls in progress."""
        return not self._idle and not self.active_calls


class _Connection(asyncio.Protocol):
    """One connection, with at most one call in progress."""

    def __init__(self) -> None:
        self.is_open = False
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[HttpClientResponse] | None = None
        self._body_parts: list[bytes] = []

    def send(self, request: bytes) -> asyncio.Future[HttpClientResponse]:
        """Send a request and return a future of its response."""
        self._body_parts.clear()
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._response

    def abort(self, reason: str) -> None:
        """Close the connection at once and fail the call in progress."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()
        self._fail(reason)

    def _fail(self, reason: str) -> None:
        response, self._response = self._response, None
        if response is not None and not response.done():
            response.set_exception(HttpCallError(reason))

    # -- asyncio.Protocol callbacks ---------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if self._response is None:
            # No request is in progress; these bytes would be read as part of the next response.
            self.abort("unexpected data")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.abort(f"malformed response: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self.is_open = False
        self._fail(f"connection lost: {exc!r}")

    # -- httptools parser callbacks ---------------------------------------------------------

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Resolve the future of the call with the response."""
        status = self._parser.get_status_code()
        if status < 200:
            # An interim response (1xx); the final one follows.
            return
        if not self._parser.should_keep_alive():
            self.is_open = False
            self._transport.close()
        response, self._response = self._response, None
        if response is not None and not response.done():
            response.set_result(HttpClientResponse(status, b"".join(self._body_parts)))


def _encode_request(
    method: str, address: str, path: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if not all(line.isprintable() for line in lines):
        # Prevents header injection: values such as worker ids come from the store.
        raise HttpCallError("request line or header contains an unprintable character")
    return "\r\n".join([*lines, "", ""]).encode() + body
