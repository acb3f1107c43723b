"""A stand-in for the platform's store, with faults."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import struct
from collections.abc import Callable

from aiohttp import web

SERVERS = "keyed.servers"
OPERATOR = "keyed.op"
MAX_WAIT_S = 30.0


class StandInStore:
    """Keeps keyed topics in memory and answers each entry at an address of its own.

    :param map_worker: gives an entry the address under which it reaches a worker.
    """

    def __init__(
        self, *, random_numbers: random.Random, map_worker: Callable[[str, str], str]
    ) -> None:
        self.down_for: set[str] = set()
        self.slow_s = 0.0
        self.lost_share = 0.0
        self._random = random_numbers
        self._map_worker = map_worker
        self._records_by_topic: dict[str, list[tuple[str, bytes]]] = {}
        self._first_by_topic: dict[str, int] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self._records_by_topic.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def forget_history(self) -> None:
        """Expire all records but the newest of each key."""
        for topic, records in self._records_by_topic.items():
            self._first_by_topic[topic] = len(records)

    async def handle(self, entry: str, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call of an entry."""
        body = await request.read()
        if entry in self.down_for:
            return web.Response(status=503)
        await asyncio.sleep(0.004 + self.slow_s)
        calls = {
            "/v1/log-append": self._append,
            "/v1/log-read": self._read,
            "/v1/log-newest": self._newest,
        }
        response = await calls[request.path](entry, request.query, body)
        if self._random.random() < self.lost_share and request.transport is not None:
            request.transport.abort()
        return response

    async def _append(self, entry: str, query, body: bytes) -> web.Response:
        topic = query["topic"]
        if topic in (SERVERS, OPERATOR):
            return web.Response(status=403)
        end = len(self._records_by_topic.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        key_length = body[4]
        key = body[5 : 5 + key_length].decode()
        offset = self.put(topic, key, body[5 + key_length :])
        return web.json_response({"offset": offset, "end": offset + 1})

    async def _read(self, entry: str, query, body: bytes) -> web.Response:
        topic, start = query["topic"], int(query["from"])
        if start < self._first_by_topic.get(topic, 0):
            return web.json_response({"first": self._first_by_topic[topic]}, status=410)
        wait_s = min(int(query.get("waitMs", 0)) / 1000, MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records_by_topic.get(topic, [])) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass  # Nothing came; the answer has no records.
        records = self._records_by_topic.get(topic, [])
        first = self._first_by_topic.get(topic, 0)
        raw = struct.pack(">QQ", len(records), first)
        for key, value in records[start:]:
            name = key.encode()
            record = bytes([len(name)]) + name + self._seen_by(entry, topic, key, value)
            raw += struct.pack(">I", len(record)) + record
        return web.Response(body=raw)

    async def _newest(self, entry: str, query, body: bytes) -> web.Response:
        topic = query["topic"]
        records = self._records_by_topic.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {
                "key": key,
                "offset": offset,
                "value": base64.b64encode(self._seen_by(entry, topic, key, value)).decode(),
            }
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        return web.json_response({"items": items, "morePages": False, "end": len(records)})

    def _seen_by(self, entry: str, topic: str, key: str, value: bytes) -> bytes:
        if topic != SERVERS or not value:
            return value
        document = json.loads(value)
        document["addr"] = self._map_worker(entry, document["addr"])
        return json.dumps(document).encode()
