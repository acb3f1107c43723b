"""Workers over HTTP; tasks' events come as a stream of JSON lines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from msgspec import Struct

from zincwell.adapters._platform import HTTP_OK, NETWORK_ERRORS
from zincwell.exceptions import WorkerConnectionError, WorkerError, WorkerUnreachableError
from zincwell.ports import EventKind, Start, WorkerEvent, WorkerLease, WorkerTransport

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 10.0
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
BROKEN_STREAM_ERRORS = (*NETWORK_ERRORS, msgspec.MsgspecError, ValueError)


class LeaseCall(Struct, frozen=True):
    """Ask for a lease or renew it."""

    entry: str
    ttl_s: float


class StartCall(Struct, frozen=True):
    """Start a batch of tasks under a lease."""

    entry: str
    lease: str
    tasks: list[Start]


class WatchCall(Struct, frozen=True):
    """Ask what became of tasks."""

    ids: list[str]
    fence: bool
    run: str = ""


class StopCall(Struct, frozen=True):
    """Stop tasks."""

    ids: list[str]


class HttpWorkerTransport(WorkerTransport):
    """One worker behind a base URL.

    :param accept_silence_s: silence allowed before the first event of a stream.
    :param stream_silence_s: silence allowed later; workers send a beat well within it.
    :param local_address: address that connections come from; any if not given.
    :param headers: sent with each call.
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
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_CONNECTION_S, local_addr=local_address
            ),
            headers,
        )
        # What tells a silent connection from a silent worker has to be a new connection.
        self._fresh_session = _open_session(
            aiohttp.TCPConnector(limit=0, force_close=True, local_addr=local_address), headers
        )

    async def lease(self, *, entry: str, ttl_s: float) -> WorkerLease:
        """Ask for a lease, or renew it, always on a new connection."""
        raw = await self._call("/leases", LeaseCall(entry=entry, ttl_s=ttl_s))
        return _decode(raw, WorkerLease)

    async def start(
        self, *, entry: str, lease: str, tasks: list[Start]
    ) -> AsyncIterator[WorkerEvent]:
        """Start tasks and yield what becomes of them."""
        call = StartCall(entry=entry, lease=lease, tasks=tasks)
        events = self._stream(self._session, "/starts", call, {task.id for task in tasks})
        async for event in events:
            yield event

    async def watch(self, *, ids: list[str], fence: bool, run: str) -> AsyncIterator[WorkerEvent]:
        """Ask on a new connection what became of tasks."""
        call = WatchCall(ids=ids, fence=fence, run=run)
        async for event in self._stream(self._fresh_session, "/watches", call, set(ids)):
            yield event

    async def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        """Stop tasks."""
        raw = await self._call("/stops", StopCall(ids=ids))
        return _decode(raw, list[WorkerEvent])

    async def close(self) -> None:
        """Release the connections."""
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
            raise WorkerError(f"{path} answered {response.status}")
        return raw

    async def _stream(
        self, session: aiohttp.ClientSession, path: str, message: Struct, open_ids: set[str]
    ) -> AsyncIterator[WorkerEvent]:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(message)
        try:
            async with asyncio.timeout(self._accept_silence_s + CONNECT_TIMEOUT_S):
                response = await session.post(self._url + path, data=body, timeout=timeout)
            async with response:
                if response.status != HTTP_OK:
                    raise WorkerConnectionError(f"{path} answered {response.status}")
                silence_s = self._accept_silence_s
                while open_ids:
                    event = await _read_event(response, silence_s)
                    silence_s = self._stream_silence_s
                    _close_id(event, open_ids)
                    yield event
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise WorkerUnreachableError(f"{path}: {error!r}") from error
        except BROKEN_STREAM_ERRORS as error:
            raise WorkerConnectionError(f"{path}: {error!r}") from error


async def _read_event(response: aiohttp.ClientResponse, silence_s: float) -> WorkerEvent:
    """Read one line; a cut or truncated one counts as a lost connection."""
    async with asyncio.timeout(silence_s):
        line = await response.content.readline()
    if not line.endswith(b"\n"):
        raise WorkerConnectionError("the stream ended before every task was final")
    event = msgspec.json.decode(line, type=WorkerEvent)
    if event.kind is EventKind.COMPLETED and len(bytes(event.output)) != event.length:
        raise WorkerConnectionError(f"the output of {event.id} has not its stated length")
    return event


def _close_id(event: WorkerEvent, open_ids: set[str]) -> None:
    """Note a final event; an id that was not asked for means crossed answers."""
    if event.kind is EventKind.BEAT:
        return
    if event.kind in FINAL_KINDS:
        if event.id not in open_ids:
            raise WorkerConnectionError(f"an answer for {event.id}, which is not open here")
        open_ids.discard(event.id)


def _open_session(
    connector: aiohttp.TCPConnector, headers: dict[str, str] | None
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=connector, read_bufsize=MAX_LINE_BYTES, headers=headers)


def _decode(raw: bytes, type_):
    try:
        return msgspec.json.decode(raw, type=type_)
    except msgspec.MsgspecError as error:
        raise WorkerError(f"malformed answer: {error}") from error
