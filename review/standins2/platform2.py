"""Stand-ins of the platform: its store and its workers, as the pages describe them."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

from http11 import Answer, Request, serve

OPERATOR = "keyed.op"
SERVERS = "keyed.servers"
STORE_ANSWER_S = 0.004
MAX_LONG_POLL_S = 30.0
MAX_HOLD_MS = 1_000
MAX_HOLD_WAIT_MS = 2_000
STOP_S = 0.03
WORKER_CPU = 64_000
WORKER_MEMORY_MB = 131_072
BEAT_S = 1.5
# The store drops the entry of a worker after this many intervals of silence.
MAX_SILENT_BEATS = 3

Note = Callable[..., None]


class Store:
    """A log of keyed records in memory; it loses nothing and is never down."""

    def __init__(self) -> None:
        self.port = 0
        self._records_by_topic: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    async def open(self) -> asyncio.AbstractServer:
        """Listen at a free port."""
        server, self.port = await serve(self._handle)
        return server

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self._records_by_topic.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(STORE_ANSWER_S)
        if request.path == "/v1/log-append":
            return self._append(request)
        if request.path == "/v1/log-read":
            return await self._read(request)
        if request.path == "/v1/log-newest":
            return self._newest(request)
        return Answer(404)

    def _append(self, request: Request) -> Answer:
        topic = request.query["topic"]
        if topic in (OPERATOR, SERVERS):
            return Answer(403)
        end = len(self._records_by_topic.get(topic, []))
        if "at" in request.query and int(request.query["at"]) != end:
            return Answer(412, {"end": end})
        length = request.body[4]
        key = request.body[5 : 5 + length].decode()
        offset = self.put(topic, key, request.body[5 + length :])
        return Answer(200, {"offset": offset, "end": offset + 1})

    async def _read(self, request: Request) -> Answer:
        topic, start = request.query["topic"], int(request.query["from"])
        wait_s = min(int(request.query.get("waitMs", "0")) / 1000, MAX_LONG_POLL_S)
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records_by_topic.get(topic, [])) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass  # No record came.
        records = self._records_by_topic.get(topic, [])
        raw = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            raw += struct.pack(">I", len(content)) + content
        return Answer(200, raw)

    def _newest(self, request: Request) -> Answer:
        records = self._records_by_topic.get(request.query["topic"], [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        return Answer(200, {"items": items, "morePages": False, "end": len(records)})


@dataclass(eq=False)
class Run:
    """A run at work on a worker."""

    task: str
    number: int
    cpu: int
    needs_s: float
    share: float
    since: float
    timer: asyncio.TimerHandle | None = None


class Worker:
    """One life of a worker that takes orders by push.

    :param spec_of: returns cpu and run time in seconds of a task.
    :param note: records what happens here.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        rack: str,
        spec_of: Callable[[str], tuple[int, float]],
        note: Note,
        guards: bool = True,
        cpu: int = WORKER_CPU,
    ) -> None:
        self.id = f"i-{random.getrandbits(32):08x}"
        self.name = name
        self.port = 0
        self.runs_by_task: dict[str, Run] = {}
        self.cpu = cpu
        self._service, self._zone, self._rack = service, zone, rack
        self._spec_of = spec_of
        self._note = note
        self._guards = guards
        self._rate = random.uniform(0.99, 1.0)
        self._offset_ms = random.randint(1_000, 900_000)
        self._fence = 0
        self._lease_end_ms = 0
        self._slowness = 1.0
        self._highest_by_task: dict[str, int] = {}
        self._ended: list[list] = []
        self._ends = 0
        self._beats = 0
        self.cut_from_store = False
        self.last_beat_at = 0.0
        self._changed = asyncio.Event()

    async def open(self) -> asyncio.AbstractServer:
        """Listen at a free port."""
        server, self.port = await serve(self._handle)
        return server

    def document(self) -> bytes:
        """Return the worker's next entry in the platform's list."""
        self._beats += 1
        entry = {
            "service": self._service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._beats,
            "capacity": {"cpu": self.cpu, "memMb": WORKER_MEMORY_MB, "gpu": 0},
            "labels": ["a", self._rack],
        }
        return json.dumps(entry).encode()

    async def beat(self, store: Store) -> None:
        """Report to the store until cancelled, as far as it can be reached."""
        listed = False
        while True:
            if not self.cut_from_store:
                store.put(SERVERS, self.id, self.document())
                listed, self.last_beat_at = True, time.monotonic()
            elif listed and time.monotonic() - self.last_beat_at >= MAX_SILENT_BEATS * BEAT_S:
                store.put(SERVERS, self.id, b"")
                listed = False
                self._note("unlisted", worker=self.name)
            await asyncio.sleep(BEAT_S)

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000 * self._rate) + self._offset_ms

    async def _handle(self, request: Request) -> Answer:
        if request.headers.get("expect-instance", self.id) != self.id:
            return Answer(421)
        body = json.loads(request.body or b"{}")
        fence = body.get("fence", 0)
        if fence < self._fence:
            return self._refuse("fence")
        self._fence = fence
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        return Answer(404)

    def _start(self, body: dict) -> Answer:
        task, number = body["task"], body["runId"]
        present = self.runs_by_task.get(task)
        if present is not None and present.number == number:
            return self._reply({})
        if number <= self._highest_by_task.get(task, 0):
            self._extend(body["deadlineMs"])
            return self._refuse("old")
        if body["deadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        cpu, needs_s = self._spec_of(task)
        used = sum(run.cpu for run in self.runs_by_task.values())
        if present is not None or (self._guards and used + cpu > self.cpu):
            self._extend(body["deadlineMs"])
            return self._refuse("room")
        self._extend(body["deadlineMs"])
        self._highest_by_task[task] = number
        run = Run(task, number, cpu, needs_s, 0.0, time.monotonic())
        self.runs_by_task[task] = run
        self._note("start", worker=self.name, task=task, run=number, fence=body["fence"])
        self._work_on(run)
        return self._reply({})

    def _work_on(self, run: Run) -> None:
        """Let a run end when it has done the rest of its work at the present speed."""
        left_s = run.needs_s * (1.0 - run.share) * self._slowness
        run.timer = asyncio.get_running_loop().call_later(left_s, self._end, run, "done")

    def _share_done(self, run: Run) -> float:
        worked_s = (time.monotonic() - run.since) / self._slowness
        return min(run.share + worked_s / run.needs_s, 1.0)

    def slow_down(self, slowness: float) -> None:
        """Let all work here take so many times as long, from now on."""
        runs = list(self.runs_by_task.values())
        for run in runs:
            run.share, run.since = self._share_done(run), time.monotonic()
            run.timer.cancel()
        self._slowness = slowness
        for run in runs:
            self._work_on(run)

    def _stop(self, body: dict) -> Answer:
        task, number = body["task"], body["runId"]
        self._highest_by_task[task] = max(number, self._highest_by_task.get(task, 0))
        run = self.runs_by_task.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._reply({})

    async def _hold(self, body: dict) -> Answer:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self._ended = [row for row in self._ended if row[0] > body["lastSeen"]]
        wait_s = min(body.get("waitMs", 0), MAX_HOLD_WAIT_MS) / 1000
        if not self._ended and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass  # No run has ended meanwhile.
        running = [
            [run.task, run.number, "", min(99, int(self._share_done(run) * 100)), run.cpu]
            for run in self.runs_by_task.values()
        ]
        return self._reply({"running": running, "ended": self._ended[:500]})

    def _extend(self, deadline_ms: int) -> None:
        now_ms = self._clock_ms()
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, now_ms + MAX_HOLD_MS))
        left_s = (self._lease_end_ms - now_ms) / 1000 / self._rate
        asyncio.get_running_loop().call_later(left_s + 0.002, self._lapse)

    def _lapse(self) -> None:
        if self._clock_ms() >= self._lease_end_ms:
            for run in list(self.runs_by_task.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs_by_task.get(run.task) is not run:
            return
        del self.runs_by_task[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._note("end", worker=self.name, task=run.task, run=run.number, how=how)
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def _reply(self, fields: dict) -> Answer:
        return Answer(200, {"clockMs": self._clock_ms(), **fields})

    def _refuse(self, reason: str) -> Answer:
        return Answer(409, {"clockMs": self._clock_ms(), "reason": reason})
