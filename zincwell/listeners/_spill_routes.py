"""Worker protocol on the peers' listener, used by entries of other failure domains.

The path holds the incarnation of the entry that granted the lease. Without it, an entry that
restarts at the same address and has lost its tasks would fence them as never seen, and their
owner would start them a second time. With it, the restarted entry answers with an error, which
proves nothing about the tasks, and the owner reports ``outcome_unknown``.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
from sanic import HTTPResponse, Request, Sanic

from zincwell._decoding import make_decoder
from zincwell.adapters._worker import LeaseCall, StartCall, StopCall, WatchCall
from zincwell.listeners._listener import reply
from zincwell.models import Answer
from zincwell.ports import EventKind, WorkerEvent

if TYPE_CHECKING:
    from zincwell.entry import Entry

GONE = 410
PREFIX = "/spill/<incarnation:str>/<pool:str>"
NDJSON = "application/x-ndjson"

_decode_lease_call = make_decoder(LeaseCall)
_decode_start_call = make_decoder(StartCall)
_decode_watch_call = make_decoder(WatchCall)
_decode_stop_call = make_decoder(StopCall)


def add_spill_routes(app: Sanic, entry: Entry) -> None:
    """Register the routes of the worker protocol."""
    routes = _SpillRoutes(entry)
    app.add_route(routes.lease, PREFIX + "/leases", methods=["POST"])
    app.add_route(routes.start, PREFIX + "/starts", methods=["POST"])
    app.add_route(routes.watch, PREFIX + "/watches", methods=["POST"])
    app.add_route(routes.stop, PREFIX + "/stops", methods=["POST"])


class _SpillRoutes:
    """Handlers of the worker protocol."""

    def __init__(self, entry: Entry):
        self._entry = entry

    async def lease(self, request: Request, incarnation: str, pool: str) -> HTTPResponse:
        if incarnation != self._entry.incarnation:
            return _answer_gone()
        call = _decode_lease_call(request.body)
        lease = self._entry.spilled_tasks.lease(pool=pool, entry=call.entry, ttl_s=call.ttl_s)
        return reply(lease)

    async def start(self, request: Request, incarnation: str, pool: str) -> HTTPResponse | None:
        if incarnation != self._entry.incarnation:
            return _answer_gone()
        call = _decode_start_call(request.body)
        events = self._entry.spilled_tasks.start(
            pool=pool, entry=call.entry, lease=call.lease, tasks=call.tasks
        )
        return await _stream(request, events)

    async def watch(self, request: Request, incarnation: str, pool: str) -> HTTPResponse | None:
        if incarnation != self._entry.incarnation:
            return _answer_gone()
        call = _decode_watch_call(request.body)
        return await _stream(
            request, self._entry.spilled_tasks.watch(ids=call.ids, fence=call.fence)
        )

    async def stop(self, request: Request, incarnation: str, pool: str) -> HTTPResponse:
        if incarnation != self._entry.incarnation:
            return _answer_gone()
        call = _decode_stop_call(request.body)
        return reply(self._entry.spilled_tasks.stop(ids=call.ids))


async def _stream(request: Request, events: AsyncIterator[WorkerEvent]) -> None:
    """Stream events as JSON lines.

    A heartbeat comes first, so that the owner knows that the tasks were accepted.
    """
    response = await request.respond(content_type=NDJSON)
    async with aclosing(events):
        await response.send(_encode_line(WorkerEvent(kind=EventKind.BEAT)))
        async for event in events:
            await response.send(_encode_line(event))
    await response.eof()


def _encode_line(event: WorkerEvent) -> bytes:
    return msgspec.json.encode(event) + b"\n"


def _answer_gone() -> HTTPResponse:
    return reply(Answer(reason="another_incarnation"), status=GONE)
