"""A small HTTP client for the many short calls of an owner: two for each task that it starts."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import httptools

from zincwell.exceptions import ZincwellError

# Idle connections are closed after this many seconds: workers allow 64 each, and one that went
# silent is then not met again.
KEEP_ALIVE_S = 15.0
# How often idle connections are looked at, in seconds.
LOOK_S = 5.0
# Most connections to one address; workers allow 64 to all entries together.
CONNECTIONS_PER_ADDRESS = 12


class HttpCallError(ZincwellError):
    """A call got no answer, or none that can be read; it may have been carried out."""


class HttpAnswer(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpCaller:
    """Makes HTTP/1.1 calls over connections that are kept, each with one call at a time.

    A start of a task costs an owner two calls, and a general client takes five times as long for
    each. This one knows a request line, a few headers and a body of known length.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._hosts_by_address: dict[str, _Host] = {}
        self._look = self._loop.call_later(LOOK_S, self._close_old)

    def close(self) -> None:
        """Close all idle connections."""
        self._look.cancel()
        for host in self._hosts_by_address.values():
            host.close_older_than(0.0, now=self._loop.time())
        self._hosts_by_address.clear()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> HttpAnswer:
        """Make one call and return its answer.

        :raises HttpCallError: if there is none within the time, in seconds.
        """
        request = _render(method, address, path, headers or {}, body)
        deadline = self._loop.time() + timeout_s
        host = self._hosts_by_address.get(address)
        if host is None:
            host = self._hosts_by_address[address] = _Host(address=address)
        host.calls += 1
        try:
            await _acquire(host.permits, deadline)
            try:
                connection = host.take() or await self._open(address, deadline)
                answer = await self._exchange(connection, request, deadline)
                if connection.is_open:
                    host.give_back(connection, now=self._loop.time())
                return answer
            finally:
                host.permits.release()
        finally:
            host.calls -= 1

    async def _exchange(
        self, connection: _Connection, request: bytes, deadline: float
    ) -> HttpAnswer:
        answer = connection.send(request)
        timer = self._loop.call_at(deadline, connection.abort, "no answer in time")
        try:
            return await answer
        except asyncio.CancelledError:
            # Its answer would be taken for that of the next call.
            connection.abort("cancelled")
            raise
        finally:
            timer.cancel()

    async def _open(self, address: str, deadline: float) -> _Connection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout_at(deadline):
                _, connection = await self._loop.create_connection(_Connection, host, int(port))
        except TimeoutError:
            raise HttpCallError("not connected in time") from None
        except (OSError, ValueError) as error:
            raise HttpCallError(f"not connected: {error!r}") from error
        return connection

    def _close_old(self) -> None:
        now = self._loop.time()
        for address, host in list(self._hosts_by_address.items()):
            host.close_older_than(KEEP_ALIVE_S, now=now)
            if host.is_unused():
                # Workers come and go; nobody calls most of their addresses again.
                del self._hosts_by_address[address]
        self._look = self._loop.call_later(LOOK_S, self._close_old)


async def _acquire(permits: asyncio.Semaphore, deadline: float) -> None:
    if not permits.locked():
        await permits.acquire()
        return
    try:
        async with asyncio.timeout_at(deadline):
            await permits.acquire()
    except TimeoutError:
        raise HttpCallError("no connection free in time") from None


class _Host:
    """The idle connections to an address, and who may open one."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.calls = 0
        self.permits = asyncio.Semaphore(CONNECTIONS_PER_ADDRESS)
        self._idle: list[_Connection] = []

    def take(self) -> _Connection | None:
        """Return the idle connection that was used last, so that few are kept; None if none is."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        return None

    def give_back(self, connection: _Connection, *, now: float) -> None:
        """Keep a connection for the next call."""
        connection.idle_since = now
        self._idle.append(connection)

    def close_older_than(self, age_s: float, *, now: float) -> None:
        """Close the connections that have been idle for so long."""
        kept = []
        for connection in self._idle:
            if connection.is_open and now - connection.idle_since < age_s:
                kept.append(connection)
            else:
                connection.abort("idle")
        self._idle = kept

    def is_unused(self) -> bool:
        """Return whether nothing is kept here and nobody calls."""
        return not self._idle and not self.calls


class _Connection(asyncio.Protocol):
    """One connection, with at most one call under way."""

    def __init__(self) -> None:
        self.is_open = False
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._parts: list[bytes] = []

    def send(self, request: bytes) -> asyncio.Future[HttpAnswer]:
        """Send a request; the answer comes by the future."""
        self._parts.clear()
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._answer

    def abort(self, reason: str) -> None:
        """Close the connection at once; a call under way fails."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()
        self._fail(reason)

    def _fail(self, reason: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(HttpCallError(reason))

    # -- what the loop calls ----------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport."""
        self._transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._answer is None:
            # Nothing was asked, so whatever comes here would be taken for the next answer.
            self.abort("unexpected data")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.abort(f"malformed answer: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call under way."""
        self.is_open = False
        self._fail(f"connection lost: {exc!r}")

    # -- what the parser calls --------------------------------------------------------------

    def on_body(self, body: bytes) -> None:
        """Keep a part of a body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer over."""
        status = self._parser.get_status_code()
        if status < 200:
            # An interim answer; the real one follows.
            return
        if not self._parser.should_keep_alive():
            self.is_open = False
            self._transport.close()
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_result(HttpAnswer(status, b"".join(self._parts)))


def _render(method: str, address: str, path: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if not all(line.isprintable() for line in lines):
        # A name from the store with a line break in it would add headers of its own.
        raise HttpCallError("unprintable character in a header")
    return "\r\n".join([*lines, "", ""]).encode() + body
