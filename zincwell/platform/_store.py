"""HTTP client of the platform's record store, an append-only log of keyed records."""

from __future__ import annotations

import base64
import json
import logging
import struct
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import urlencode

from msgspec import Struct

from zincwell._decoding import convert, make_decoder
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
from zincwell.exceptions import DocumentError, MalformedJsonError
from zincwell.platform._http import HttpCallError, HttpClient
from zincwell.platform._wire import (
    check_json,
    decode_configuration,
    decode_worker,
    is_text_key,
)

log = logging.getLogger("zincwell.store")

TOPIC_NAMES = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.WORKERS: "keyed.servers",
    # Fencing tokens are derived from offsets in this topic, so it must never be recreated.
    Topic.CLAIMS: "keyed.zincwell",
    Topic.ENTRIES: "keyed.zincwell-entries",
    Topic.LIVENESS: "keyed.zincwell-liveness",
}
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# The store responds within 4 ms, or 50 to 60 times that when it is slow. A call that takes longer
# than this timeout may be on a connection that broke silently.
CALL_TIMEOUT_S = 0.6
# Longer results are continued by the next read.
MAX_READ_KB = 1024

# Other programs may write malformed records under ever new keys.
MAX_LOGGED_KEYS = 1_000

# A read response starts with the end offset and the first offset of the log, 8 bytes each.
OFFSETS_BYTES = 16


class NewestItem(Struct):
    """One record of a ``NewestBody``; ``value`` is base64-encoded."""

    key: str
    offset: int
    value: str = ""


class NewestBody(Struct, rename="camel"):
    """One page of the response to ``/v1/log-newest``: the newest record of each key."""

    items: list[NewestItem]
    more_pages: bool
    end: int


class AppendBody(Struct):
    """Response to an append, with the offset of the record."""

    offset: int


T = TypeVar("T")

_decode_append_body = make_decoder(AppendBody, strict=False)
_decode_newest_body = make_decoder(NewestBody, strict=False)


class HttpStore(Store):
    """Accesses the store at an address, ``HOST:PORT``."""

    def __init__(self, *, address: str, http: HttpClient) -> None:
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
            page = decode_newest(body)
            # Pages are no consistent snapshot. Reading changes from the end offset of the first
            # page covers everything that was appended while later pages were read.
            end = page.end if end is None else end
            for item in page.items:
                records.append(self._decoder.decode_item(topic, item))
                after = item.key
            if not page.more_pages or not page.items:
                return StorePage(records=records, end=end)

    async def changes(self, topic: Topic, *, start: int, wait_s: float) -> StorePage:
        """Return the records from offset ``start`` on, waiting up to ``wait_s`` for the first."""
        query = {
            "topic": TOPIC_NAMES[topic],
            "part": "0",
            "from": str(start),
            "maxKb": str(MAX_READ_KB),
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
        return _decode(body, _decode_append_body).offset

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
            response = await self._http.call(
                method,
                self._address,
                f"{path}?{urlencode(query)}",
                body=data,
                timeout_s=wait_s + CALL_TIMEOUT_S,
            )
        except HttpCallError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        if response.status == 412:
            raise StoreConflictError(path)
        if response.status == 410:
            raise RecordsGoneError(path)
        if response.status != 200:
            raise StoreUnavailableError(f"{path}: status {response.status}")
        return response.body


def _decode(body: bytes, decode: Callable[[bytes], T]) -> T:
    try:
        return decode(body)
    except MalformedJsonError as error:
        raise StoreUnavailableError(f"malformed response: {error}") from error


def decode_newest(body: bytes) -> NewestBody:
    """Decode one page of the newest records, without the items that are malformed.

    :raises StoreUnavailableError: if the page itself is malformed.
    """
    try:
        return _decode_newest_body(body)
    except MalformedJsonError:
        # One malformed item fails the decoding of its page, which is therefore repeated by item.
        # The decoder of the standard library accepts keys that are not valid text.
        pass
    try:
        page = json.loads(body.decode(errors="replace"))
        items = page["items"]
        head = convert({**page, "items": []}, NewestBody, strict=False)
        for item in items:
            _append_item(head.items, item)
    except (MalformedJsonError, KeyError, RecursionError, TypeError, ValueError) as error:
        raise StoreUnavailableError(f"malformed response: {error!r}") from error
    if head.more_pages and not head.items:
        raise StoreUnavailableError("malformed response: no valid item to continue after")
    return head


def _append_item(items: list[NewestItem], item: object) -> None:
    try:
        decoded = convert(item, NewestItem, strict=False)
        decoded.key.encode()
    except (MalformedJsonError, UnicodeEncodeError) as error:
        log.error('item_unreadable item=%.80a error="%s"', item, error)
        return
    items.append(decoded)


class RecordDecoder:
    """Decodes records of the store.

    A malformed record, and one under an unknown key, gets no value; the other records stay valid.
    A malformed record is logged only the first time for its key, since workers write every second.
    """

    def __init__(self) -> None:
        self._logged_keys: set[tuple[Topic, str]] = set()

    def parse(self, topic: Topic, start: int, body: bytes) -> StorePage:
        """Parse a read response: 16 bytes of offsets, then length, key and value of each record.

        :param start: offset of the first record.
        :raises StoreUnavailableError: if the response has no offsets.
        """
        if len(body) < OFFSETS_BYTES:
            raise StoreUnavailableError("malformed response: offsets missing")
        end, _first = struct.unpack_from(">QQ", body)
        records: list[StoreRecord] = []
        position = OFFSETS_BYTES
        while position + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_length = content[0] if content else 0
            # A key that is longer than its record is cut off, so it names another record.
            key_bytes = content[1 : 1 + key_length] if key_length < len(content) else b""
            key = key_bytes.decode(errors="replace")
            offset = start + len(records)
            records.append(self.decode(topic, key, offset, content[1 + key_length :]))
        last = start + len(records)
        if not records:
            return StorePage(records=records, end=max(start, end))
        return StorePage(records=records, end=last, complete=last >= end)

    def decode(self, topic: Topic, key: str, offset: int, value: bytes) -> StoreRecord:
        """Decode one record.

        A malformed record has the value None, unless its key alone names an evacuation.
        """
        try:
            decoded = _decode_value(topic, key, value)
        except DocumentError as error:
            decoded = _decode_evacuation_key(topic, key)
            self._log_unreadable(topic, key, error)
        return StoreRecord(key=key, offset=offset, value=decoded)

    def decode_item(self, topic: Topic, item: NewestItem) -> StoreRecord:
        """Decode one record of a page of the newest records."""
        try:
            value = base64.b64decode(item.value, validate=True)
        except ValueError as error:
            self._log_unreadable(topic, item.key, error)
            decoded = _decode_evacuation_key(topic, item.key)
            return StoreRecord(key=item.key, offset=item.offset, value=decoded)
        return self.decode(topic, item.key, item.offset, value)

    def _log_unreadable(self, topic: Topic, key: str, error: Exception) -> None:
        if (topic, key) in self._logged_keys or len(self._logged_keys) >= MAX_LOGGED_KEYS:
            return
        self._logged_keys.add((topic, key))
        log.error('record_unreadable topic=%s key=%s error="%s"', topic.name, key, error)


def _decode_value(
    topic: Topic, key: str, value: bytes
) -> Configuration | Evacuation | WorkerInfo | bytes | None:
    if not value:
        return None
    if not is_text_key(key):
        raise DocumentError("key: not valid text")
    if topic is Topic.WORKERS:
        return decode_worker(key, value)
    if topic is Topic.CONFIGURATION:
        return _decode_operator_record(key, value)
    return value


def _decode_operator_record(key: str, value: bytes) -> Configuration | Evacuation | None:
    """Decode a record that operators wrote; None for an unknown key."""
    if key == CONFIGURATION_KEY:
        return decode_configuration(value)
    if key.startswith(EVACUATION_PREFIX):
        check_json(value)
        return _decode_evacuation_key(Topic.CONFIGURATION, key)
    return None


def _decode_evacuation_key(topic: Topic, key: str) -> Evacuation | None:
    """Return the evacuation that a key names, whatever the record holds; None for other keys.

    The key alone counts, since work sent to a domain whose evacuation record is malformed would be
    lost when the domain shuts down.
    """
    domain = key.removeprefix(EVACUATION_PREFIX)
    if topic is not Topic.CONFIGURATION or not domain or domain == key:
        return None
    return Evacuation(domain=domain)
