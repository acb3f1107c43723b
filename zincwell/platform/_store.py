"""The platform's store of records, by HTTP."""

from __future__ import annotations

import base64
import logging
import struct
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from zincwell.dispatch._types import Configuration, Evacuation, WorkerInfo
from zincwell.dispatch.ports import (
    RecordsGoneError,
    Store,
    StoreConflictError,
    StorePage,
    StoreRecord,
    StoreUnavailableError,
    Topic,
)
from zincwell.exceptions import DocumentError
from zincwell.platform._http import HttpCaller, HttpCallError
from zincwell.platform._wire import check_readable, decode_configuration, decode_worker

log = logging.getLogger("zincwell.store")

TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.WORKERS: "keyed.servers",
    # Fencing tokens are made from offsets in this topic, so it must never be begun anew.
    Topic.CLAIMS: "keyed.zincwell",
    Topic.ENTRIES: "keyed.zincwell-entries",
    Topic.LIVENESS: "keyed.zincwell-liveness",
}
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# The store answers in 4 ms; when slow, in 50 to 60 times that. A call beyond this is given up on
# a connection that may be silent.
CALL_TIMEOUT_S = 0.6
# A read returns at most this much; the rest comes with the next one.
READ_KB = 1024

# An answer to a read begins with the end of the log and its first offset, 8 bytes each.
OFFSETS_BYTES = 16


class NewestItem(Struct):
    """One record of a listing; ``value`` is in base64."""

    key: str
    offset: int
    value: str = ""


class NewestBody(Struct, rename="camel"):
    """A page of the newest record of each key."""

    items: list[NewestItem]
    more_pages: bool
    end: int


class AppendBody(Struct):
    """Where an append landed."""

    offset: int


class HttpStore(Store):
    """Calls the store at an address."""

    def __init__(self, *, address: str, http: HttpCaller) -> None:
        self._address = address
        self._http = http
        self._decoder = RecordDecoder()

    async def newest(self, topic: Topic) -> StorePage:
        """Return the newest record of each key."""
        records: list[StoreRecord] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": TOPIC_NAMES[topic], "part": "0"}
            if after:
                query["after"] = after
            body = await self._call("GET", "/v1/log-newest", query)
            page = _decode(body, NewestBody)
            # Pages are no snapshot: what came since the first one is read again from its end.
            end = page.end if end is None else end
            for item in page.items:
                value = _decode_base64(item.value)
                records.append(self._decoder.decode(topic, item.key, item.offset, value))
                after = item.key
            if not page.more_pages or not page.items:
                return StorePage(records=records, end=end)

    async def changes(self, topic: Topic, *, start: int, wait_s: float) -> StorePage:
        """Return records from an offset on, waiting for one for a limited time."""
        query = {
            "topic": TOPIC_NAMES[topic],
            "part": "0",
            "from": str(start),
            "maxKb": str(READ_KB),
            "waitMs": str(int(wait_s * 1000)),
        }
        body = await self._call("GET", "/v1/log-read", query, wait_s=wait_s)
        return self._decoder.parse(topic, start, body)

    async def append(self, topic: Topic, *, key: str, value: bytes, at: int | None = None) -> int:
        """Append a record and return its offset."""
        query = {"topic": TOPIC_NAMES[topic], "part": "0"}
        if at is not None:
            query["at"] = str(at)
        name = key.encode()
        record = bytes([len(name)]) + name + value
        data = struct.pack(">I", len(record)) + record
        body = await self._call("POST", "/v1/log-append", query, data=data)
        return _decode(body, AppendBody).offset

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        data: bytes = b"",
        wait_s: float = 0.0,
    ) -> bytes:
        try:
            answer = await self._http.call(
                method,
                self._address,
                f"{path}?{urlencode(query)}",
                body=data,
                timeout_s=wait_s + CALL_TIMEOUT_S,
            )
        except HttpCallError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        if answer.status == 412:
            raise StoreConflictError(path)
        if answer.status == 410:
            raise RecordsGoneError(path)
        if answer.status != 200:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        return answer.body


def _decode(body: bytes, kind: type):
    try:
        return msgspec.json.decode(body, type=kind, strict=False)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f"malformed answer: {error}") from error


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise StoreUnavailableError(f"malformed answer: {error}") from error


class RecordDecoder:
    """Turns records of the store into what they say.

    A record that can't be read, or says nothing that is known, has no value; the others hold. It
    is logged when its key is first met, not at each of its changes: workers write every second.
    """

    def __init__(self) -> None:
        self._unreadable: set[tuple[Topic, str]] = set()

    def parse(self, topic: Topic, start: int, body: bytes) -> StorePage:
        """Return the records of a read: 16 bytes of offsets, then length, key and value of each.

        :raises StoreUnavailableError: if the answer is no such body.
        """
        if len(body) < OFFSETS_BYTES:
            raise StoreUnavailableError("malformed answer: no offsets")
        end, _first = struct.unpack_from(">QQ", body)
        records: list[StoreRecord] = []
        position = OFFSETS_BYTES
        while position + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_length = content[0] if content else 0
            key = content[1 : 1 + key_length].decode(errors="replace")
            offset = start + len(records)
            records.append(self.decode(topic, key, offset, content[1 + key_length :]))
        last = start + len(records)
        if not records:
            return StorePage(records=records, end=max(start, end))
        return StorePage(records=records, end=last, complete=last >= end)

    def decode(self, topic: Topic, key: str, offset: int, value: bytes) -> StoreRecord:
        """Return one record; without a value if it can't be read."""
        try:
            decoded = _decode_value(topic, key, value)
        except DocumentError as error:
            decoded = _decode_key(topic, key)
            if (topic, key) not in self._unreadable:
                self._unreadable.add((topic, key))
                log.error('record_unreadable topic=%s key=%s error="%s"', topic.name, key, error)
        return StoreRecord(key=key, offset=offset, value=decoded)


def _decode_value(
    topic: Topic, key: str, value: bytes
) -> Configuration | Evacuation | WorkerInfo | bytes | None:
    if not value:
        return None
    if topic is Topic.WORKERS:
        return decode_worker(key, value)
    if topic is Topic.CONFIGURATION:
        return _decode_order(key, value)
    return value


def _decode_order(key: str, value: bytes) -> Configuration | Evacuation | None:
    """Return what operators have written under a key, None for what is not known here."""
    if key == CONFIGURATION_KEY:
        return decode_configuration(value)
    if key.startswith(EVACUATION_PREFIX):
        check_readable(value)
        return _decode_key(Topic.CONFIGURATION, key)
    return None


def _decode_key(topic: Topic, key: str) -> Evacuation | None:
    """Return what a key alone says: which failure domain is evacuated, whatever its record holds.

    Work sent to a domain whose evacuation can't be read would run into its shutdown.
    """
    domain = key.removeprefix(EVACUATION_PREFIX)
    if topic is not Topic.CONFIGURATION or not domain or domain == key:
        return None
    return Evacuation(domain=domain)
