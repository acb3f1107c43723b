"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from zincwell.adapters._platform import AppendReply, ReadReply
from zincwell.ports import Record
from zincwell.standins._server import StandinServer, never_answer, reply

APPEND_TIME_S = 0.003


class StandinLog(StandinServer):
    """Log service in memory.

    Switches: ``down`` leaves every call unanswered, ``lose_answers`` stores that many appends
    without answering them, ``append_s`` is the duration of an append, ``drop`` maps a stream to
    the offset of its first retained record.
    """

    switches = frozenset({"down", "lose_answers", "append_s", "drop"})

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lose_answers = 0
        self.append_s = APPEND_TIME_S
        self.drop: dict[str, int] = {}
        self.appends = 0
        self._records_by_stream: dict[str, list[Record]] = {}
        self._next_by_stream: dict[str, int] = {}
        self._appended = asyncio.Condition()
        self.app.router.add_post("/streams/{stream}", self._append)
        self.app.router.add_get("/streams/{stream}", self._read)

    async def _append(self, request: web.Request) -> web.Response:
        if self.down:
            return await never_answer()
        value = msgspec.json.decode(await request.read(), type=dict)
        await asyncio.sleep(self.append_s)
        offset = await self._store(request.match_info["stream"], value)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return await never_answer()
        return reply(AppendReply(offset=offset))

    async def _store(self, stream: str, value: dict) -> int:
        offset = self._next_by_stream.get(stream, 0)
        self._next_by_stream[stream] = offset + 1
        records = self._records_by_stream.setdefault(stream, [])
        records.append(Record(offset=offset, value=value))
        self.appends += 1
        async with self._appended:
            self._appended.notify_all()
        return offset

    async def _read(self, request: web.Request) -> web.Response:
        if self.down:
            return await never_answer()
        stream = request.match_info["stream"]
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        await self._wait_for(stream, start, wait_s)
        if self.down:
            return await never_answer()
        records = self._records_by_stream.get(stream, [])
        first = self.drop.get(stream, 0)
        if start < first:
            return reply(ReadReply(first=first, records=[]), status=410)
        return reply(ReadReply(first=first, records=records[start:][:500]))

    async def _wait_for(self, stream: str, start: int, wait_s: float) -> None:
        async def records_available() -> None:
            async with self._appended:
                await self._appended.wait_for(lambda: self._next_by_stream.get(stream, 0) > start)

        try:
            await asyncio.wait_for(records_available(), wait_s)
        except TimeoutError:
            return
