"""HTTP transport to workers; events of tasks arrive as a stream of JSON lines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from msgspec import Struct

from zincwell._decoding import make_decoder
from zincwell.adapters._platform import HTTP_OK, NETWORK_ERRORS
from zincwell.exceptions import (
    MalformedJsonError,
    WorkerConnectionError,
    WorkerError,
    WorkerUnreachableError,
)
from zincwell.ports import EventKind, Start, WorkerEvent, WorkerLease, WorkerTransport

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 10.0
MAX_LINE_BYTES = 8 * 1024 * 1024
FINAL_KINDS = frozenset(
    {
        EventKind.REFUSED,
        EventKind.COMPLETED,
        EventKind.FAILED,
        EventKind.STOPPED,
        EventKind.FENCED,
        EventKind.LOST,
    }
)
BROKEN_STREAM_ERRORS = (*NETWORK_ERRORS, MalformedJsonError, ValueError)


class LeaseCall(Struct, frozen=True):
    """Request or renew a lease."""

    entry: str
    ttl_s: float


class StartCall(Struct, frozen=True):
    """Start a batch of tasks under a lease."""

    entry: str
    lease: str
    tasks: list[Start]


class WatchCall(Struct, frozen=True):
    """Request the events of tasks sent earlier.

    :param fence: whether the worker must refuse for good the ids that it has not seen.
    :param run: run of the worker's process that the tasks were sent to.
    """

    ids: list[str]
    fence: bool
    run: str = ""


class StopCall(Struct, frozen=True):
    """Stop tasks."""

    ids: list[str]


class HttpWorkerTransport(WorkerTransport):
    """HTTP connection to one worker.

    :param url: base URL of the worker.
    :param accept_silence_s: timeout in seconds for the first event of a stream.
    :param stream_silence_s: timeout in seconds between later events; workers send heartbeats at
        a much shorter interval.
    :param local_address: source address of connections; chosen by the system if not given.
    :param headers: headers of each request.
    """

    def __init__(
        self,
        *,
        url: str,
        accept_silence_s: float,
        stream_silence_s: float,
        local_address: tuple[str, int] | None = None,
        headers: dict[str, str] | None = None,
    ):
        self._url = url.rstrip("/")
        self._accept_silence_s = accept_silence_s
        self._stream_silence_s = stream_silence_s
        self._session = _open_session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S, local_addr=local_address),
            headers,
        )
        # Only a new connection can tell a dead connection from a dead worker.
        self._fresh_session = _open_session(
            aiohttp.TCPConnector(limit=0, force_close=True, local_addr=local_address), headers
        )

    async def lease(self, *, entry: str, ttl_s: float) -> WorkerLease:
        """Request or renew a lease on a new connection.

        :raises WorkerError: if there is no valid response.
        """
        raw = await self._call("/leases", LeaseCall(entry=entry, ttl_s=ttl_s))
        return _decode(raw, WorkerLease)

    async def start(
        self, *, entry: str, lease: str, tasks: list[Start]
    ) -> AsyncIterator[WorkerEvent]:
        """Start tasks and yield their events until each task has a final one.

        :raises WorkerUnreachableError: if no connection was made, so that nothing was sent.
        :raises WorkerConnectionError: if the request may have been sent.
        """
        call = StartCall(entry=entry, lease=lease, tasks=tasks)
        events = self._stream(self._session, "/starts", call, {task.id for task in tasks})
        async for event in events:
            yield event

    async def watch(self, *, ids: list[str], fence: bool, run: str) -> AsyncIterator[WorkerEvent]:
        """Yield the events of tasks sent earlier, read on a new connection.

        :raises WorkerError: if there is no response or the stream breaks.
        """
        call = WatchCall(ids=ids, fence=fence, run=run)
        async for event in self._stream(self._fresh_session, "/watches", call, set(ids)):
            yield event

    async def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        """Stop tasks and return their events.

        :raises WorkerError: if there is no valid response.
        """
        raw = await self._call("/stops", StopCall(ids=ids))
        return _decode(raw, list[WorkerEvent])

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._fresh_session.close()

    async def _call(self, path: str, message: Struct) -> bytes:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        body = msgspec.json.encode(message)
        try:
            async with self._fresh_session.post(
                self._url + path, data=body, timeout=timeout
            ) as response:
                raw = await response.read()
        except NETWORK_ERRORS as error:
            raise WorkerConnectionError(f"{path}: {error!r}") from error
        if response.status != HTTP_OK:
            raise WorkerError(f"{path} returned HTTP status {response.status}")
        return raw

    async def _stream(
        self, session: aiohttp.ClientSession, path: str, message: Struct, pending_ids: set[str]
    ) -> AsyncIterator[WorkerEvent]:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(message)
        try:
            async with asyncio.timeout(self._accept_silence_s + CONNECT_TIMEOUT_S):
                response = await session.post(self._url + path, data=body, timeout=timeout)
            async with response:
                if response.status != HTTP_OK:
                    raise WorkerConnectionError(f"{path} returned HTTP status {response.status}")
                silence_s = self._accept_silence_s
                while pending_ids:
                    event = await _read_event(response, silence_s)
                    silence_s = self._stream_silence_s
                    _remove_finished(event, pending_ids)
                    yield event
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise WorkerUnreachableError(f"{path}: {error!r}") from error
        except BROKEN_STREAM_ERRORS as error:
            raise WorkerConnectionError(f"{path}: {error!r}") from error


_decode_event = make_decoder(WorkerEvent)


async def _read_event(response: aiohttp.ClientResponse, silence_s: float) -> WorkerEvent:
    """Read one line of a stream.

    :raises WorkerConnectionError: if the line is incomplete or its output is truncated.
    """
    async with asyncio.timeout(silence_s):
        line = await response.content.readline()
    if not line.endswith(b"\n"):
        raise WorkerConnectionError("the stream ended before each task had a final event")
    event = _decode_event(line)
    if event.kind is EventKind.COMPLETED and len(bytes(event.output)) != event.length:
        raise WorkerConnectionError(f"the output of task {event.id} differs from its stated length")
    return event


def _remove_finished(event: WorkerEvent, pending_ids: set[str]) -> None:
    """Remove the task of a final event.

    :raises WorkerConnectionError: if the task is not pending on this stream, which means that
        the stream carries the response to another request.
    """
    if event.kind is EventKind.BEAT:
        return
    if event.kind in FINAL_KINDS:
        if event.id not in pending_ids:
            raise WorkerConnectionError(
                f"received an event of task {event.id}, which is not pending on this stream"
            )
        pending_ids.discard(event.id)


def _open_session(
    connector: aiohttp.TCPConnector, headers: dict[str, str] | None
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=connector, read_bufsize=MAX_LINE_BYTES, headers=headers)


def _decode(raw: bytes, type_):
    try:
        return make_decoder(type_)(raw)
    except MalformedJsonError as error:
        raise WorkerError(f"malformed response: {error}") from error
