"""A sound worker: fencing, one lease for all its runs, and a list of ended runs."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass

from standins.http import Request, serve
from standins.record import Record
from standins.store import WORKERS, Store

HOST = "127.0.0.1"
CPU = 64_000
MAX_HOLD_MS = 1_000
MAX_WAIT_MS = 2_000
STOP_S = 0.02
BEAT_S = 1.5
CLOCK_RATE = 0.99
MAX_ENDS = 500


@dataclass(eq=False)
class ActiveRun:
    """A run at work."""

    task: str
    number: int
    cpu: int
    began_at: float
    needs_s: float


class Worker:
    """One worker, which registers itself in the store.

    :param demands: returns the processor share and the run time of a task, from its name.
    """

    def __init__(self, *, name: str, zone: str, store: Store, record: Record, demands) -> None:
        self.id = name
        self._zone = zone
        self._store = store
        self._record = record
        self._demands = demands
        self._born_ms = int(time.time() * 1000)
        self._offset_ms = 500_000 - int(time.monotonic() * 1000 * CLOCK_RATE)
        self._port = 0
        self._seq = 0
        self._beat_at = 0.0
        self._fence = 0
        self._lease_end_ms = 0
        self._highest_by_task: dict[str, int] = {}
        self._runs_by_task: dict[str, ActiveRun] = {}
        self._ended: list[list] = []
        self._ends = 0
        self._changed = asyncio.Event()

    async def open(self) -> asyncio.AbstractServer:
        """Serve, and return the server."""
        server, self._port = await serve(HOST, self.handle)
        return server

    def beat(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        self._beat_at = time.monotonic()
        entry = {
            "service": "desk",
            "addr": f"{HOST}:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": CPU, "memMb": 100_000, "gpu": 0},
            "labels": ["a", f"rack-{self._zone}"],
            "born": self._born_ms,
            "clockMs": self._clock_ms(),
            "seq": self._seq,
        }
        self._store.put(WORKERS, self.id, json.dumps(entry).encode())

    def beat_age_s(self) -> float:
        """Return the seconds since the entry was last written."""
        return time.monotonic() - self._beat_at

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000 * CLOCK_RATE) + self._offset_ms

    async def handle(self, request: Request) -> tuple[int, bytes]:
        """Answer one call."""
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, b""
        body = json.loads(request.body)
        if body.get("fence", 0) < self._fence:
            return self._refuse("fence")
        self._fence = body.get("fence", 0)
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        return await self._hold(body)

    def _start(self, body: dict) -> tuple[int, bytes]:
        task, number = body["task"], body["runId"]
        present = self._runs_by_task.get(task)
        if present is not None and present.number == number:
            return self._reply({})
        if body["deadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        self._extend(body["deadlineMs"])
        if number <= self._highest_by_task.get(task, 0):
            return self._refuse("old")
        cpu, needs_s = self._demands(task)
        used = sum(run.cpu for run in self._runs_by_task.values())
        if present is not None or used + cpu > CPU:
            return self._refuse("room")
        run = ActiveRun(task, number, cpu, time.monotonic(), needs_s)
        self._runs_by_task[task] = run
        self._highest_by_task[task] = number
        self._record.note_start(task, number, self.id)
        asyncio.get_running_loop().call_later(needs_s, self._end, run, "done")
        return self._reply({})

    def _stop(self, body: dict) -> tuple[int, bytes]:
        task, number = body["task"], body["runId"]
        self._highest_by_task[task] = max(number, self._highest_by_task.get(task, 0))
        run = self._runs_by_task.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._reply({})

    async def _hold(self, body: dict) -> tuple[int, bytes]:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self._ended = [row for row in self._ended if row[0] > body.get("lastSeen", 0)]
        wait_s = min(body.get("waitMs", 0), MAX_WAIT_MS) / 1000
        if wait_s and not self._ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass  # Nothing has ended.
        now = time.monotonic()
        running = [
            [r.task, r.number, "", min(99, int((now - r.began_at) / r.needs_s * 100)), r.cpu]
            for r in self._runs_by_task.values()
        ]
        return self._reply({"running": running, "ended": self._ended[:MAX_ENDS]})

    def _extend(self, deadline_ms: int) -> None:
        now_ms = self._clock_ms()
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, now_ms + MAX_HOLD_MS))
        left_s = (self._lease_end_ms - now_ms) / 1000 / CLOCK_RATE
        asyncio.get_running_loop().call_later(left_s + 0.001, self._lapse)

    def _lapse(self) -> None:
        if self._clock_ms() >= self._lease_end_ms:
            for run in list(self._runs_by_task.values()):
                self._end(run, "lapsed")

    def _end(self, run: ActiveRun, how: str) -> None:
        if self._runs_by_task.get(run.task) is not run:
            return
        del self._runs_by_task[run.task]
        self._record.note_end(run.task, run.number, self.id, how)
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def _reply(self, fields: dict) -> tuple[int, bytes]:
        content = {"clockMs": self._clock_ms(), "born": self._born_ms, **fields}
        return 200, json.dumps(content).encode()

    def _refuse(self, reason: str) -> tuple[int, bytes]:
        content = {"clockMs": self._clock_ms(), "born": self._born_ms, "reason": reason}
        return 409, json.dumps(content).encode()
