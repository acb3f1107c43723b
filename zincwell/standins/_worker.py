"""Stand-in for a worker: simulates tasks by sleeping and records their starts in a ledger."""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass, field

import msgspec
from aiohttp import web
from msgspec import Raw, Struct

from zincwell.adapters._worker import LeaseCall, StartCall, StopCall, WatchCall
from zincwell.models import NO_VALUE
from zincwell.ports import EventKind, Start, WorkerEvent, WorkerLease
from zincwell.standins._server import StandinServer, reply

HEARTBEAT_S = 0.3
MAX_REMEMBERED_TASKS = 200_000


class Work(Struct, frozen=True):
    """Payload of a simulated task: sleep, then return the echo.

    :param sleep_ms: run time.
    :param echo: output of the task.
    :param fail: fail the task at once with ``task_error``.
    """

    sleep_ms: float = 0
    echo: Raw = Raw(b"null")
    fail: bool = False


class LedgerRecord(Struct, frozen=True):
    """One record of the ledger: the start of a task.

    :param entry: entry that started it.
    :param at: Unix time of the start in seconds.
    """

    id: str
    entry: str
    at: float


@dataclass
class _Run:
    """State of one task id at the worker.

    :param final: last event of the task, None while it runs.
    """

    final: WorkerEvent | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)
    simulation: asyncio.Task | None = None

    def end(self, event: WorkerEvent) -> None:
        if self.final is None:
            self.final = event
            self.done.set()


class StandinWorker(StandinServer):
    """Worker with a number of slots.

    Switches: ``fail_all`` fails every task at once, ``slow`` multiplies run times, ``leaving``
    refuses starts, ``truncate`` closes the stream in the middle of that many result lines,
    ``short`` drops the last byte of that many outputs in otherwise complete lines, ``cross`` sends
    that many results with the id of another task, ``break_after_start`` closes that many streams
    right after the start, ``delay_s`` delays results, ``slots`` is the number of slots.
    """

    switches = frozenset(
        {
            "fail_all",
            "slow",
            "leaving",
            "truncate",
            "short",
            "cross",
            "break_after_start",
            "delay_s",
            "slots",
        }
    )

    def __init__(self, *, slots: int = 8) -> None:
        super().__init__()
        self.slots = slots
        self.fail_all = False
        self.slow = 1.0
        self.leaving = False
        self.truncate = 0
        self.short = 0
        self.cross = 0
        self.break_after_start = 0
        self.delay_s = 0.0
        self.run = uuid.uuid4().hex
        self.running = 0
        self.ledger: list[LedgerRecord] = []
        self.calls_by_kind: dict[str, int] = {}
        self._runs_by_id: dict[str, _Run] = {}
        self._expiry_by_lease: dict[str, float] = {}
        routes = self.app.router
        routes.add_post("/leases", self._lease)
        routes.add_post("/starts", self._start)
        routes.add_post("/watches", self._watch)
        routes.add_post("/stops", self._stop)
        routes.add_get("/ledger", self._show_ledger)
        routes.add_get("/calls", self._show_calls)

    async def _lease(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=LeaseCall)
        self._count("lease")
        lease = uuid.uuid4().hex
        now = time.monotonic()
        self._expiry_by_lease = {k: at for k, at in self._expiry_by_lease.items() if at > now}
        self._expiry_by_lease[lease] = now + call.ttl_s
        return reply(
            WorkerLease(
                lease=lease,
                ttl_s=call.ttl_s,
                slots=self.slots,
                run=self.run,
                running=self.running,
                leaving=self.leaving,
            )
        )

    async def _start(self, request: web.Request) -> web.StreamResponse:
        call = msgspec.json.decode(await request.read(), type=StartCall)
        self._count("start")
        response = await _open_stream(request)
        watched = []
        for task in call.tasks:
            event = self._admit(task, call)
            await _send(response, event)
            if event.kind is EventKind.ACCEPTED:
                watched.append(task.id)
        if self.break_after_start > 0:
            self.break_after_start -= 1
            request.transport.close()
            return response
        await self._stream_results(response, watched)
        return response

    def _admit(self, task: Start, call: StartCall) -> WorkerEvent:
        reason = self._refusal_reason(task.id, call.lease)
        if reason:
            self._count("refused")
            self._count(f"refused_{reason}")
            return WorkerEvent(
                kind=EventKind.REFUSED, id=task.id, reason=reason, running=self.running
            )
        run = _Run()
        self._remember(task.id, run)
        self.running += 1
        self.ledger.append(LedgerRecord(id=task.id, entry=call.entry, at=time.time()))
        run.simulation = asyncio.create_task(self._work(task, run))
        run.simulation.add_done_callback(self._release_slot)
        return WorkerEvent(kind=EventKind.ACCEPTED, id=task.id, running=self.running)

    def _refusal_reason(self, task_id: str, lease: str) -> str:
        if task_id in self._runs_by_id:
            return "seen"
        if self._expiry_by_lease.get(lease, 0) <= time.monotonic():
            return "lease"
        if self.leaving:
            return "leaving"
        return "full" if self.running >= self.slots else ""

    async def _work(self, task: Start, run: _Run) -> None:
        try:
            work = msgspec.json.decode(task.payload, type=Work)
            if self.fail_all or work.fail:
                run.end(self._event(EventKind.FAILED, task.id, reason="task_error"))
                return
            await asyncio.sleep(work.sleep_ms * self.slow / 1000)
            output = bytes(work.echo)
            run.end(self._event(EventKind.COMPLETED, task.id, output=output))
        except msgspec.MsgspecError as error:
            run.end(self._event(EventKind.FAILED, task.id, reason=str(error)))
        except asyncio.CancelledError:
            run.end(self._event(EventKind.STOPPED, task.id, reason="stopped"))

    def _release_slot(self, _: asyncio.Task) -> None:
        self.running -= 1

    def _event(
        self, kind: EventKind, task_id: str, *, reason: str = "", output: bytes | None = None
    ) -> WorkerEvent:
        raw = NO_VALUE if output is None else Raw(output)
        return WorkerEvent(
            kind=kind, id=task_id, reason=reason, output=raw, length=len(output or b"")
        )

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        call = msgspec.json.decode(await request.read(), type=WatchCall)
        self._count("watch")
        response = await _open_stream(request)
        watched = []
        for task_id in call.ids:
            if task_id not in self._runs_by_id and call.run not in ("", self.run):
                await _send(response, self._event(EventKind.LOST, task_id, reason="restarted"))
                continue
            if task_id not in self._runs_by_id and call.fence:
                self._fence(task_id)
            watched.append(task_id)
            run = self._runs_by_id.get(task_id)
            if run is None or run.final is None:
                await _send(response, self._event(EventKind.RUNNING, task_id))
        await self._stream_results(response, watched)
        return response

    def _fence(self, task_id: str) -> WorkerEvent:
        """Record a tombstone for a task id, so that a start that arrives later is refused."""
        run = _Run()
        run.end(self._event(EventKind.FENCED, task_id, reason="never seen"))
        self._remember(task_id, run)
        return run.final

    async def _stream_results(self, response: web.StreamResponse, ids: list[str]) -> None:
        waits = {
            asyncio.create_task(self._runs_by_id[task_id].done.wait()): task_id
            for task_id in ids
            if task_id in self._runs_by_id
        }
        try:
            while waits:
                done, _ = await asyncio.wait(
                    waits, timeout=HEARTBEAT_S, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    await _send(response, WorkerEvent(kind=EventKind.BEAT, running=self.running))
                for wait in done:
                    await self._send_result(response, waits.pop(wait))
            await response.write_eof()
        except ConnectionError:
            return
        finally:
            for wait in waits:
                wait.cancel()

    async def _send_result(self, response: web.StreamResponse, task_id: str) -> None:
        event = self._runs_by_id[task_id].final
        await asyncio.sleep(self.delay_s)
        event = msgspec.structs.replace(event, running=self.running)
        if self.short > 0 and event.kind is EventKind.COMPLETED:
            self.short -= 1
            event = msgspec.structs.replace(event, output=Raw(bytes(event.output)[:-1] or b"0"))
        if self.cross > 0:
            self.cross -= 1
            event = msgspec.structs.replace(event, id="another#0.1")
        line = msgspec.json.encode(event)
        if self.truncate > 0:
            self.truncate -= 1
            await response.write(line[: len(line) // 2])
            response._req.transport.close()
            return
        await response.write(line + b"\n")

    async def _stop(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=StopCall)
        self._count("stop")
        events = []
        for task_id in call.ids:
            run = self._runs_by_id.get(task_id)
            if run is None:
                events.append(self._fence(task_id))
                continue
            if run.final is None and run.simulation is not None:
                run.simulation.cancel()
                run.end(self._event(EventKind.STOPPED, task_id, reason="stopped"))
            else:
                self._count("stop_of_finished")
            events.append(run.final)
        return reply(events)

    async def _show_ledger(self, _: web.Request) -> web.Response:
        return reply(self.ledger)

    async def _show_calls(self, _: web.Request) -> web.Response:
        return reply(self.calls_by_kind)

    def _remember(self, task_id: str, run: _Run) -> None:
        self._runs_by_id[task_id] = run
        while len(self._runs_by_id) > MAX_REMEMBERED_TASKS:
            self._runs_by_id.pop(next(iter(self._runs_by_id)))

    def _count(self, kind: str) -> None:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1


async def _open_stream(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    return response


async def _send(response: web.StreamResponse, event: WorkerEvent) -> None:
    await response.write(msgspec.json.encode(event) + b"\n")
