"""The platform's store: keyed topics of one partition, as the page on what is spoken tells."""

from __future__ import annotations

import asyncio
import base64
import json
import struct

from standins.http import Request

WORKERS = "keyed.servers"
OPERATOR = "keyed.op"
ANSWER_S = 0.004
PAGE_ITEMS = 500
MAX_WAIT_S = 30.0


class Store:
    """Keeps all records in memory. Nothing expires."""

    def __init__(self) -> None:
        self._records_by_topic: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value drops the key."""
        records = self._records_by_topic.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def remove(self, topic: str, key: str) -> None:
        """Drop a key, if its newest record has a value."""
        values = [value for name, value in self._records_by_topic.get(topic, []) if name == key]
        if values and values[-1]:
            self.put(topic, key, b"")

    async def handle(self, request: Request) -> tuple[int, bytes]:
        """Answer one call of an entry."""
        await asyncio.sleep(ANSWER_S)
        topic = request.query["topic"]
        if request.path == "/v1/log-append":
            return self._append(topic, request)
        if request.path == "/v1/log-read":
            return await self._read(topic, request)
        if request.path == "/v1/log-newest":
            return self._newest(topic, request.query.get("after", ""))
        return 404, b""

    def _append(self, topic: str, request: Request) -> tuple[int, bytes]:
        if topic in (WORKERS, OPERATOR):
            return 403, b""
        end = len(self._records_by_topic.get(topic, []))
        if "at" in request.query and int(request.query["at"]) != end:
            return 412, json.dumps({"end": end}).encode()
        key_length = request.body[4]
        key = request.body[5 : 5 + key_length].decode()
        offset = self.put(topic, key, request.body[5 + key_length :])
        return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()

    async def _read(self, topic: str, request: Request) -> tuple[int, bytes]:
        start = int(request.query["from"])
        wait_s = min(int(request.query.get("waitMs", "0")) / 1000, MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records_by_topic.get(topic, [])) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass  # No record came; the response has none.
        records = self._records_by_topic.get(topic, [])
        raw = [struct.pack(">QQ", len(records), 0)]
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            raw.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(raw)

    def _newest(self, topic: str, after: str) -> tuple[int, bytes]:
        records = self._records_by_topic.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        page = {"items": items[:PAGE_ITEMS], "morePages": len(items) > PAGE_ITEMS}
        return 200, json.dumps({**page, "end": len(records)}).encode()
