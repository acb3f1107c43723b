"""Callers: they send jobs at a steady rate, and again after no response, 502 or 504."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass

from standins.entries import Entry
from standins.http import call
from standins.record import Record

HOST = "desk.example"
PREFIX = "/desk/"
RESEND_S = 1.3
TIMEOUT_S = 1.5
MAX_SENDINGS = 3


@dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of job: its tasks, and their size and run time."""

    count: int
    cpu: int
    run_s: float


class Callers:
    """Sends jobs to the entries in turn."""

    def __init__(self, *, entries: list[Entry], record: Record, kinds: list[Kind]) -> None:
        self.entries = entries
        self.sent = 0
        self.served = 0
        self.answers: dict[str, int] = {}
        self._record = record
        self._kinds = kinds
        self._kind_by_id: dict[str, Kind] = {}
        self._random = random.Random(56)
        self._calls: set[asyncio.Task] = set()

    def expect(self, job: str, kind: Kind) -> None:
        """Note the kind of a job that is sent otherwise."""
        self._kind_by_id[job] = kind

    def demands(self, task: str) -> tuple[int, float]:
        """Return the processor share and the run time of a task."""
        kind = self._kind_by_id[task.split(".")[0]]
        return kind.cpu, kind.run_s

    async def send_for(self, duration_s: float, *, per_s: float) -> None:
        """Send jobs for a time, and wait for the last answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            task = asyncio.create_task(self._call())
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(1 / per_s)
        if self._calls:
            await asyncio.wait(self._calls)

    async def _call(self) -> None:
        job = f"{self._random.getrandbits(64):016x}"
        kind = self._kind_by_id[job] = self._kinds[self.sent % len(self._kinds)]
        self.sent += 1
        for sending in range(MAX_SENDINGS):
            running = [entry for entry in self.entries if entry.is_running()]
            answer = await self._send(job, kind, self._random.choice(running), sending)
            self.answers[answer] = self.answers.get(answer, 0) + 1
            if answer not in ("none", "502", "504"):
                return
            await asyncio.sleep(RESEND_S)

    async def _send(self, job: str, kind: Kind, entry: Entry, sending: int) -> str:
        step = {"count": kind.count, "cpu": kind.cpu, "memMb": 64, "estimateMs": kind.run_s * 1000}
        body = {"spec": f"spec of {job}", "bestEffort": True, "steps": [step]}
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Timeout-Ms": str(int(TIMEOUT_S * 1000)),
        }
        self._record.note(f"send job={job} entry={entry.name} sending={sending + 1}")
        try:
            status, raw = await call(
                "POST",
                entry.address,
                f"{PREFIX}{job}",
                headers=headers,
                body=json.dumps(body).encode(),
                timeout_s=TIMEOUT_S + 0.2,
            )
        except OSError as error:
            self._record.note(f'answer job={job} status=none error="{error}"')
            return "none"
        self._record.note(f"answer job={job} status={status} body={raw.decode()}")
        if status == 200 and json.loads(raw)["state"] == "succeeded":
            self.served += 1
        return str(status)


def configuration() -> bytes:
    """Return the operator's first configuration."""
    route = {
        "name": "desk-route",
        "host": HOST,
        "pathPrefix": PREFIX,
        "type": "unsafe",
        "timeoutMs": int(TIMEOUT_S * 1000),
        "sloMs": 60,
        "priority": 0,
        "service": "desk",
        "attempts": 3,
        "stretch": 1.6,
    }
    service = {"name": "desk", "admissionCheck": True}
    return json.dumps({"version": 1, "routes": [route], "services": [service]}).encode()
