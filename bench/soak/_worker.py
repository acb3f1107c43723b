"""A stand-in for a worker: fencing, leases, runs and their ends."""

from __future__ import annotations

import asyncio
import math
import random
import time
from dataclasses import dataclass

from aiohttp import web

from bench.soak._checks import Checks

CPU = 64_000
MAX_LEASE_MS = 1_000
STOP_S = 0.04
MAX_HOLD_WAIT_MS = 2_000
# How long the connection of a call that got lost stays open.
LOST_CALL_S = 5.0
# An answer has room for this many ends; later ones come with the next answers.
MAX_LISTED_ENDS = 500


@dataclass(frozen=True, kw_only=True)
class ListDelays:
    """How far the lists of workers are behind their work, as the platform's page allows it.

    :param start_ms: runs are listed this long after their starts are answered.
    :param end_ms: runs leave the list of active ones this long before they end and that is listed.
    :param hides_stopping: runs that are being stopped are in neither list until they have ended.
    :param share: to which share of the runs this applies.
    """

    start_ms: int = 0
    end_ms: int = 0
    hides_stopping: bool = False
    share: float = 1.0

    def lists(self, run: StandInRun, now: float) -> bool:
        """Return whether a run whose listing is late is listed as active."""
        if self.hides_stopping and run.stopping:
            return False
        listed_from = run.began_at + self.start_ms / 1000
        return listed_from <= now <= run.ends_at - self.end_ms / 1000


@dataclass(eq=False)
class StandInRun:
    """A run at work.

    :ivar ends_at: when it will be done, on the steady clock; infinite if it hangs.
    :ivar is_listed_late: whether the delays of the lists apply to it.
    """

    task: str
    number: int
    cpu: int
    began_at: float
    needs_s: float
    timer: asyncio.TimerHandle | None = None
    ends_at: float = math.inf
    is_listed_late: bool = False
    stopping: bool = False


class StandInWorker:
    """One incarnation after the other of a worker at one address.

    After a crash it gets another id. After a restart it keeps the id, and only its start time
    tells the incarnations apart.

    :param tells_born: whether its records and answers have its start time.
    :param list_delays: how far its lists are behind what it does; None if they never are.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        checks: Checks,
        random_numbers: random.Random,
        tells_born: bool = True,
        list_delays: ListDelays | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.port = 0
        self.lives = 0
        self.ids = 0
        self.born_ms = 0
        self.fails_all = False
        self.hangs = False
        self.lost_start_share = 0.0
        self.lost_call_share = 0.0
        self.late_start_s = 0.0
        self._tells_born = tells_born
        self._list_delays = list_delays
        self._checks = checks
        self._random = random_numbers
        self.be_born()

    @property
    def id(self) -> str:
        """Return the id, which a restart does not change."""
        return f"{self.name}-{self.ids}"

    def be_born(self, *, keeps_id: bool = False) -> None:
        """Begin a life that runs nothing and has seen no fencing token."""
        self.lives += 1
        self.ids += not keeps_id
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.draining_since: float | None = None
        self.evacuated_since: float | None = None
        self.shrunk_since = 0.0
        self.cpu = CPU
        self.guards = True
        self._rate = self._random.uniform(0.98, 1.0)
        self._offset_ms = self._random.randint(1_000, 900_000)
        self._fence = 0
        self._lease_end_ms = 0
        self._highest_by_task: dict[str, int] = {}
        self._runs_by_task: dict[str, StandInRun] = {}
        self._ended: list[list] = []
        self._ends = 0
        self._changed = asyncio.Event()

    def crash(self) -> None:
        """End this life and everything that runs in it."""
        for run in list(self._runs_by_task.values()):
            self._end(run, "lapsed")
        self.be_born()

    def restart(self, *, cpu: int) -> None:
        """End this life and everything that runs in it, and begin another under the same id."""
        for run in list(self._runs_by_task.values()):
            self._end(run, "lapsed")
        evacuated_since = self.evacuated_since
        self.be_born(keeps_id=True)
        self.evacuated_since = evacuated_since
        self.cpu = cpu

    def resize(self, cpu: int) -> None:
        """Take another capacity, and start from now on whatever this worker is told to."""
        self.cpu = cpu
        self.guards = False
        self.shrunk_since = time.monotonic()

    def is_over_capacity(self) -> bool:
        """Return whether more runs here than the worker holds."""
        return sum(run.cpu for run in self._runs_by_task.values()) > self.cpu

    def document(self) -> dict:
        """Return the entry in the platform's list."""
        return {
            "service": "svc",
            "addr": self.name,
            "zone": self.zone,
            "state": "draining" if self.draining_since else "ready",
            "capacity": {"cpu": self.cpu, "memMb": 100_000, "gpu": 0},
            "labels": ["a", f"rack-{self.zone}"],
            **self._incarnation(),
        }

    def _incarnation(self) -> dict[str, int]:
        return {"born": self.born_ms} if self._tells_born else {}

    def clock_ms(self) -> int:
        """Return the time on this worker's clock, which may be slow."""
        return int(time.monotonic() * 1000 * self._rate) + self._offset_ms

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call, unless the call or the answer gets lost."""
        if not self.lost_call_share or self._random.random() >= self.lost_call_share:
            return await self._answer(request)
        response = web.Response(status=500)
        if self._random.random() < 0.5:
            response = await self._answer(request)
        await asyncio.sleep(LOST_CALL_S)
        _break_off(request)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        if request.headers.get("Expect-Instance") not in (None, self.id):
            return web.Response(status=421)
        if request.path == "/v1/run-start":
            return await self._receive_start(request, body)
        if body.get("fence", 0) < self._fence:
            return self._refuse("fence")
        self._fence = body.get("fence", 0)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        return await self._hold(request, body)

    async def _receive_start(self, request: web.BaseRequest, body: dict) -> web.StreamResponse:
        if self.late_start_s:
            asyncio.get_running_loop().call_later(self.late_start_s, self._start, body, self.id)
            await asyncio.sleep(self.late_start_s)
            _break_off(request)
            return web.Response(status=500)
        response = self._start(body, self.id)
        if self._random.random() < self.lost_start_share:
            _break_off(request)
        return response

    def _start(self, body: dict, expected_id: str) -> web.Response:
        if expected_id != self.id:
            return web.Response(status=421)
        if body.get("fence", 0) < self._fence:
            return self._refuse("fence")
        self._fence = body.get("fence", 0)
        task, number = body["task"], body["runId"]
        present = self._runs_by_task.get(task)
        if present is not None and present.number == number:
            return self._reply({})
        if number <= self._highest_by_task.get(task, 0):
            return self._refuse("old")
        if body["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        cpu, needs_s = self._checks.demands_of(task)
        free_cpu = self.cpu - sum(run.cpu for run in self._runs_by_task.values())
        if present is not None or (self.guards and cpu > free_cpu):
            return self._refuse("room")
        self._extend(body["deadlineMs"])
        self._highest_by_task[task] = number
        run = StandInRun(task, number, cpu, time.monotonic(), needs_s)
        if self._list_delays is not None:
            run.is_listed_late = self._random.random() < self._list_delays.share
        self._runs_by_task[task] = run
        self._checks.note_start(self, task, number, body["spec"], fence=self._fence)
        if self.fails_all:
            self._end(run, "failed")
        elif not self.hangs:
            loop = asyncio.get_running_loop()
            run.ends_at = run.began_at + needs_s
            run.timer = loop.call_later(needs_s, self._end, run, "done")
        return self._reply({})

    def _stop(self, body: dict) -> web.Response:
        task, number = body["task"], body["runId"]
        self._highest_by_task[task] = max(number, self._highest_by_task.get(task, 0))
        run = self._runs_by_task.get(task)
        if run is not None and run.number <= number:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._reply({})

    async def _hold(self, request: web.BaseRequest, body: dict) -> web.Response:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self._ended = [row for row in self._ended if row[0] > body["lastSeen"]]
        wait_s = min(body.get("waitMs", 0), MAX_HOLD_WAIT_MS) / 1000
        life = self.lives
        if not self._ended and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass  # Nothing ended meanwhile.
        if life != self.lives:
            _break_off(request)
            return web.Response(status=500)
        now = time.monotonic()
        running = []
        for run in self._runs_by_task.values():
            if run.is_listed_late and not self._list_delays.lists(run, now):
                continue
            share = 0.0 if self.hangs else min(0.99, (now - run.began_at) / run.needs_s)
            running.append([run.task, run.number, "", int(share * 100)])
        ended = self._ended[:MAX_LISTED_ENDS]
        return self._reply({"running": running, "ended": ended, **self._incarnation()})

    def _extend(self, deadline_ms: int) -> None:
        now_ms = self.clock_ms()
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, now_ms + MAX_LEASE_MS))
        delay_s = (self._lease_end_ms - now_ms) / 1000 / self._rate
        asyncio.get_running_loop().call_later(delay_s, self._lapse, self.lives)

    def _lapse(self, life: int) -> None:
        if life != self.lives or self.clock_ms() < self._lease_end_ms:
            return
        for run in list(self._runs_by_task.values()):
            self._end(run, "lapsed")

    def _end(self, run: StandInRun, how: str) -> None:
        if self._runs_by_task.get(run.task) is not run:
            return
        del self._runs_by_task[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._checks.note_end(self, run.task, run.number, how)
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def _reply(self, fields: dict) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms(), **fields})

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms(), "reason": reason}, status=409)


def _break_off(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
