"""Load of an uneven deployment in virtual time, and the rival that judges runs by typical times."""

from __future__ import annotations

import asyncio
import random
import zlib
from dataclasses import dataclass, field

from tests.dispatch_world import FakeWorker, World
from zincwell.dispatch._health import WorkerHealthMonitor
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import JobRequest, Outcome, Step, TaskId, Verdict
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import SLOW_WORKER_RATIO, is_slow_run, is_slow_worker, is_stalled

WORKERS_PER_ZONE = 8
# Share of tasks that take seven times as long, for reasons of their own.
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
# Run time by the caller's estimate, largest number of tasks, and jobs per second on 24 workers, of
# the routes of docs/hard-load.md.
ROUTES = {"short": (0.05, 14, 13.0), "long": (0.83, 7, 2.5), "medium": (0.185, 3, 38.0)}


class TypicalTimesMonitor(WorkerHealthMonitor):
    """The rival: compares runs with a typical worker, and trusts a single long run."""

    def check_progress(self, session: WorkerSession, clock_ms: int) -> None:
        runs = [run for run in session.runs.values() if not run.stopping]
        stalled = [
            run
            for run in runs
            if is_stalled(stalled_s=run.stalled_s(clock_ms), expected_s=run.expected_s)
        ]
        if stalled:
            self._quarantine_slow(session, "stalled")
            for run in stalled:
                self._move(session, run, "stalled")
            return
        ratios = [self._typical_ratio(session, run) for run in runs]
        known = [ratio for ratio in ratios if ratio is not None]
        if is_slow_worker(known) and self._quarantine_slow(session, "slow"):
            self._move_slow(session, runs)

    def note_done(self, session: WorkerSession, run: Run, ratio: float) -> None:
        if not session.on_probation:
            return
        if ratio < SLOW_WORKER_RATIO:
            session.on_probation = False
        else:
            self._quarantine_slow(session, "slow")

    def _typical_ratio(self, session: WorkerSession, run: Run) -> float | None:
        total_s = run.projected_total_s()
        if total_s is None or not run.expected_s:
            return None
        ratio = total_s / run.expected_s
        return total_s / self._expected_run_s(session, run) if is_slow_run(ratio) else ratio

    def _remaining_s(self, session: WorkerSession, run: Run) -> float:
        expected_s = self._expected_run_s(session, run)
        return run.remaining_s(self._loop.time(), expected_s=expected_s)

    def _expected_elsewhere_s(self, session: WorkerSession, run: Run) -> float:
        return self._expected_run_s(session, run)


@dataclass
class Quarantines:
    """Quarantines for slowness, as time and worker, recorded at the sessions."""

    rows: list[tuple[float, str]] = field(default_factory=list)

    def since(self, at: float) -> list[tuple[float, str]]:
        return [row for row in self.rows if row[0] >= at]


def record_quarantines(monkeypatch) -> Quarantines:
    """Record each quarantine of a worker that was in none."""
    recorded = Quarantines()
    quarantine = WorkerSession.quarantine

    def record(session: WorkerSession, *, until: float) -> None:
        recorded.rows.append((asyncio.get_running_loop().time(), session.info.id))
        quarantine(session, until=until)

    monkeypatch.setattr(WorkerSession, "quarantine", record)
    return recorded


def use_rival(monkeypatch) -> None:
    """Judge by typical run times: one speed for all workers."""
    monkeypatch.setattr("zincwell.dispatch._owner.WorkerHealthMonitor", TypicalTimesMonitor)
    monkeypatch.setattr(
        "zincwell.dispatch._run_times.JobRunTimeEstimator.lasting_slowdown", lambda *_: 1.0
    )


class UnevenLoad:
    """Offers jobs of three routes to workers of two kinds.

    :param slowdown_by_kind: run time by kind of worker, against the caller's mean estimate.
    :param load: share of the load in docs/hard-load.md.
    """

    def __init__(
        self, world: World, *, seed: int, slowdown_by_kind: dict[str, float], load: float = 1.0
    ) -> None:
        self.world = world
        self.outcomes: list[tuple[str, float, Outcome]] = []
        self._rng = random.Random(seed)
        self._slowdown_by_kind = slowdown_by_kind
        self._load = load
        self._calls: list[asyncio.Task] = []

    async def open(self) -> None:
        """Open the pool; half of the workers have 16 cores and half have 24."""
        await self.world.open(workers=0)
        kinds = sorted(self._slowdown_by_kind)
        for zone in "abc":
            for number in range(WORKERS_PER_ZONE):
                kind = kinds[number % len(kinds)]
                cpu = 16_000 if number // len(kinds) % 2 else 24_000
                worker = self.world.add_worker(f"w-{zone}{number}", zone, cpu=cpu, kind=kind)
                worker.slowness = self.usual_slowness(worker)
        await asyncio.sleep(1)

    def usual_slowness(self, worker: FakeWorker) -> float:
        """Return the slowness of a worker without fault."""
        own = 1 + 0.1 * (zlib.crc32(worker.info.id.encode()) % 3 - 1)
        return self._slowdown_by_kind[worker.info.kind] * own

    async def run(self, duration_s: float) -> None:
        """Offer jobs for a time."""
        until = self.world.loop.time() + duration_s
        rate = sum(per_s for _, _, per_s in ROUTES.values()) * self._load
        while self.world.loop.time() < until:
            self._submit()
            await asyncio.sleep(self._rng.expovariate(rate))

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._calls)

    def share_in_time(self) -> float:
        """Return the share of jobs that succeeded within their objective."""
        in_time = [
            took_s <= ROUTES[route][0] * 1.6 * 1.3 + 0.063
            for route, took_s, outcome in self.outcomes
            if outcome.verdict is Verdict.SUCCEEDED
        ]
        return sum(in_time) / len(self.outcomes)

    def _submit(self) -> None:
        rng = self._rng
        route = rng.choices(list(ROUTES), [per_s for _, _, per_s in ROUTES.values()])[0]
        run_s, most_tasks, _ = ROUTES[route]
        job_id = f"job-{len(self._calls)}"
        count = rng.randint(1, most_tasks)
        cpu = rng.choice([7_000, 8_000, 9_000])
        # The error of the estimate is shared by the tasks of a job.
        self.world.run_s_by_job[job_id] = run_s
        self.world.cpu_by_job[job_id] = cpu
        for index in range(count):
            own = rng.lognormvariate(0.0, 0.15)
            if rng.random() < LONG_SHARE:
                own *= LONG_FACTOR
            self.world.run_factor_by_task[TaskId(job_id, 0, index)] = own
        estimate_ms = max(round(1000 * run_s * rng.lognormvariate(0.0, 0.35)), 1)
        request = JobRequest(
            id=job_id,
            spec="text",
            steps=[Step(count=count, cpu=cpu, memory_mb=64, estimate_ms=estimate_ms)],
            route=route,
            service="svc",
            stretch=1.6,
            objective_ms=1_000,
            attempts=3,
        )
        entry = rng.choice(sorted(self.world.nodes))
        self._calls.append(asyncio.ensure_future(self._call(entry, route, request)))

    async def _call(self, entry: str, route: str, request: JobRequest) -> None:
        began_at = self.world.loop.time()
        outcome = await self.world.run_job(entry, request)
        self.outcomes.append((route, self.world.loop.time() - began_at, outcome))
