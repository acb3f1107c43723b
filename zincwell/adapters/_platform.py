"""HTTP clients for the platform's log service and VM directory."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec
from msgspec import Struct

from zincwell._decoding import make_decoder
from zincwell.exceptions import (
    DirectoryUnavailableError,
    LogUnavailableError,
    MalformedJsonError,
    RecordsExpiredError,
)
from zincwell.ports import LogService, Record, Vm, VmDirectory

CALL_TIMEOUT_S = 2.0
KEEP_ALIVE_S = 5.0
HTTP_OK = 200
HTTP_GONE = 410
NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class AppendReply(Struct, frozen=True):
    """Response to an append."""

    offset: int


class ReadReply(Struct, frozen=True):
    """Response to a read; ``first`` is the oldest offset still stored."""

    first: int
    records: list[Record]


class ListReply(Struct, frozen=True):
    """Response of the VM directory."""

    vms: list[Vm]


_decode_append_reply = make_decoder(AppendReply)
_decode_read_reply = make_decoder(ReadReply)
_decode_list_reply = make_decoder(ListReply)


class HttpLogService(LogService):
    """HTTP client for the log service.

    :param url: base URL of the service.
    """

    def __init__(self, *, url: str, session: aiohttp.ClientSession):
        self._url = url.rstrip("/")
        self._session = session

    async def append(self, *, stream: str, value: dict[str, Any]) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: if the append was not confirmed; the record may have been
            stored.
        """
        body = msgspec.json.encode(value)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"{self._url}/streams/{stream}"
        try:
            async with self._session.post(url, data=body, timeout=timeout) as response:
                raw = await response.read()
                if response.status != HTTP_OK:
                    raise LogUnavailableError(f"append returned HTTP status {response.status}")
            return _decode_append_reply(raw).offset
        except (*NETWORK_ERRORS, MalformedJsonError) as error:
            raise LogUnavailableError(f"append to stream {stream} failed: {error!r}") from error

    async def read(self, *, stream: str, start: int, wait_s: float) -> list[Record]:
        """Return the records from an offset on, waiting up to ``wait_s`` if there is none.

        :raises LogUnavailableError: if the read failed.
        :raises RecordsExpiredError: if the offset is no longer stored.
        """
        timeout = aiohttp.ClientTimeout(total=wait_s + CALL_TIMEOUT_S)
        url = f"{self._url}/streams/{stream}"
        params = {"from": str(start), "wait_ms": str(round(wait_s * 1000))}
        try:
            async with self._session.get(url, params=params, timeout=timeout) as response:
                raw = await response.read()
                if response.status not in (HTTP_OK, HTTP_GONE):
                    raise LogUnavailableError(f"read returned HTTP status {response.status}")
            reply = _decode_read_reply(raw)
        except (*NETWORK_ERRORS, MalformedJsonError) as error:
            raise LogUnavailableError(f"read of stream {stream} failed: {error!r}") from error
        if response.status == HTTP_GONE:
            raise RecordsExpiredError(first=reply.first)
        return reply.records


class HttpVmDirectory(VmDirectory):
    """HTTP client for the VM directory.

    :param url: base URL of the directory.
    """

    def __init__(self, *, url: str, session: aiohttp.ClientSession):
        self._url = url.rstrip("/")
        self._session = session

    async def list_vms(self) -> list[Vm]:
        """Return all VMs.

        :raises DirectoryUnavailableError: if the directory can't be read.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(f"{self._url}/vms", timeout=timeout) as response:
                raw = await response.read()
                if response.status != HTTP_OK:
                    raise DirectoryUnavailableError(
                        f"VM directory returned HTTP status {response.status}"
                    )
            return _decode_list_reply(raw).vms
        except (*NETWORK_ERRORS, MalformedJsonError) as error:
            raise DirectoryUnavailableError(
                f"reading the VM directory failed: {error!r}"
            ) from error
