"""Callers: they send jobs, wait for whole answers, and send again what got none."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from bench.soak._checks import Checks, SoakJob
from bench.soak._entries import EntryProcess

HOST = "soak.example"
ROUTES = ("urgent", "usual", "late")
# Callers send a job again this long after they got no answer, as the platform's do.
RESEND_S = 1.3
MAX_SENDINGS = 3
# A caller that has no answer after this many seconds calls the job unanswered.
PATIENCE_S = 30.0
# A channel that ends sooner after the request may have crossed with it.
CROSSING_S = 0.2
# Time budget of the users' callers, which they state, and after which they are gone.
BUDGET_S = 1.548
# This share of the callers has it; the others wait for as long as it takes.
BUDGET_SHARE = 0.7
# Seconds that tasks take, and those of this share of the jobs.
RUN_S = (0.06, 0.2, 0.9)
LONG_RUN_S = (1.0, 3.5)
LONG_SHARE = 0.15
# Seconds between jobs, which ask for a good half of the workers.
PAUSE_S = (0.02, 0.2)
# This share of the callers leaves within 0.3 s.
LEAVING_SHARE = 0.03


class Callers:
    """A crowd of callers that use entries until their processes are gone."""

    def __init__(
        self, *, entries: list[EntryProcess], checks: Checks, random_numbers: random.Random
    ) -> None:
        self._entries = entries
        self._checks = checks
        self._random = random_numbers
        self._calls: set[asyncio.Task] = set()
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def feed(self) -> None:
        """Send jobs until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            call = asyncio.create_task(self.call(self._make_job()))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def finish(self) -> None:
        """Wait for all open calls."""
        if self._calls:
            await asyncio.wait(self._calls)
        await self._session.close()

    async def probe(self, entry: EntryProcess, *, patience_s: float) -> bool:
        """Return whether an entry serves a job within a time, trying again meanwhile."""
        deadline = time.monotonic() + patience_s
        while time.monotonic() < deadline:
            status = await self._send(self._make_job(run_s=0.05), entry)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    def _make_job(self, run_s: float | None = None) -> SoakJob:
        job_id = f"{self._random.getrandbits(64):016x}"
        job = SoakJob(
            id=job_id,
            spec=f"spec of {job_id}",
            count=self._random.randint(1, 4),
            cpu=self._random.choice([9_000, 27_000]),
            run_s=run_s or self._draw_run_s(),
            budget_s=BUDGET_S if not run_s and self._random.random() < BUDGET_SHARE else None,
        )
        self._checks.jobs_by_id[job_id] = job
        return job

    def _draw_run_s(self) -> float:
        if self._random.random() < LONG_SHARE:
            return self._random.uniform(*LONG_RUN_S)
        return self._random.choice(RUN_S)

    async def call(self, job: SoakJob) -> None:
        """Send a job until it has an answer that says what became of it."""
        for _ in range(MAX_SENDINGS):
            status = await self._send(job, self._random.choice(self._entries))
            if status not in (0, 502, 504):
                return
            await asyncio.sleep(RESEND_S)

    async def _send(self, job: SoakJob, entry: EntryProcess) -> int:
        """Send a job once; return the status, 0 without an answer."""
        job.sendings += 1
        life, sent_at = entry.life, time.monotonic()
        route = ROUTES[int(job.id[0], 16) % len(ROUTES)]
        url = f"http://{entry.ip}:{entry.callers_port}/{route}/{job.id}"
        step = {"count": job.count, "cpu": job.cpu, "memMb": 64, "estimateMs": job.run_s * 1000}
        body = {"spec": job.spec, "bestEffort": True, "steps": [step]}
        headers = {"Host": HOST}
        if job.budget_s is not None:
            headers["Timeout-Ms"] = str(round(job.budget_s * 1000))
        timeout = aiohttp.ClientTimeout(total=job.budget_s or PATIENCE_S, sock_connect=1.0)
        if self._random.random() < LEAVING_SHARE:
            timeout = aiohttp.ClientTimeout(total=self._random.uniform(0.05, 0.3))
        try:
            async with self._session.post(
                url, json=body, headers=headers, timeout=timeout
            ) as response:
                answer = await response.json()
        except TimeoutError:
            if timeout.total == PATIENCE_S and time.monotonic() - sent_at > PATIENCE_S - 1:
                self._judge_silence(job, entry, life)
            return 0
        except aiohttp.ClientConnectorError:
            return 0  # No process listens there now.
        except (aiohttp.ClientError, OSError):
            after_s = time.monotonic() - sent_at
            sound = entry.life == life and not entry.killed
            if sound and (after_s > CROSSING_S or self._checks.has_started(job, since=sent_at)):
                self._checks.note_broken_off(job, entry.name, after_s)
            return 0
        self._checks.note_answer(job, response.status, answer.get("state", ""))
        return response.status

    def _judge_silence(self, job: SoakJob, entry: EntryProcess, life: int) -> None:
        if entry.life == life and not entry.killed:
            self._checks.fail("SILENCE", f"{job.id} at {entry.name}: no answer in {PATIENCE_S} s")
