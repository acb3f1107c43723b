"""Replay of a pool under load on the real scheduler, with simulated time, workers and callers.

The workers, routes, run times and errors of estimates are those of `docs/hard-load.md`, for one
failure domain. Admission is that of the owner.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from zincwell.dispatch._jobs import Job, TaskState
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._overload import OverloadControl
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._runs import Run
from zincwell.dispatch._scheduler import Scheduler
from zincwell.dispatch._types import JobRequest, Step, TaskId, WorkerInfo
from zincwell.dispatch.decisions import WorkerSpeeds

WORKERS = 44
WARM_UP_S = 2.0
DURATION_S = 6.0
# Share of the cores that tasks of unequal size can use.
USABLE_SHARE = 0.85
ORDER_DELAY_S = 0.003
REPORT_DELAY_S = 0.005
ADMISSION_INTERVAL_S = 0.02
TASK_DEVIATION = 0.15
ESTIMATE_DEVIATION = 0.4
LONG_TASK_SHARE = 0.03
LONG_TASK_RATIO = 7
ANSWER_EXPIRY_OBJECTIVES = 3


@dataclass(frozen=True, kw_only=True)
class ReplayRoute:
    """One row of the table of routes."""

    name: str
    priority: int
    mean_tasks: float
    max_tasks: int
    run_s: tuple[float, float]
    cpu: tuple[int, int]
    objective_ms: int
    weight: float

    def mean_work(self) -> float:
        """Return the mean work of a job, in core-seconds on a typical worker."""
        long_tasks = 1 + LONG_TASK_SHARE * (LONG_TASK_RATIO - 1)
        return self.mean_tasks * sum(self.run_s) / 2 * sum(self.cpu) / 2000 * long_tasks


ROUTES = [
    ReplayRoute(
        name="short",
        priority=0,
        mean_tasks=8,
        max_tasks=32,
        run_s=(0.05, 0.05),
        cpu=(4000, 12000),
        objective_ms=62,
        weight=95,
    ),
    ReplayRoute(
        name="long",
        priority=2,
        mean_tasks=4,
        max_tasks=16,
        run_s=(0.76, 0.9),
        cpu=(6400, 9600),
        objective_ms=63,
        weight=18,
    ),
    ReplayRoute(
        name="medium",
        priority=1,
        mean_tasks=2,
        max_tasks=8,
        run_s=(0.17, 0.2),
        cpu=(6400, 9600),
        objective_ms=62,
        weight=282,
    ),
]
FIRST_DEPLOYMENT = {"a": (0.7, 0.9), "b": (1.5, 2.1)}
SECOND_DEPLOYMENT = {"a": (0.83, 1.24), "b": (1.27, 1.5)}
STRETCH = 1.6
WIDE_CPU = 9600


class ReplayLoop:
    """Event loop with simulated time, as far as the scheduler uses it."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def time(self) -> float:
        """Return the simulated time."""
        return self._now

    def call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        """Call back at the current time, after all earlier calls."""
        self.call_at(self._now, callback, *args)

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Call back after a delay."""
        self.call_at(self._now + delay_s, callback, *args)

    def call_at(self, at: float, callback: Callable[..., None], *args: Any) -> None:
        """Call back at a time."""
        self._count += 1
        heapq.heappush(self._events, (at, self._count, callback, args))

    def run_until(self, end: float) -> None:
        """Call back all that is due by a time."""
        while self._events and self._events[0][0] <= end:
            self._now, _, callback, args = heapq.heappop(self._events)
            callback(*args)


class ReplaySession:
    """Stands for the session with a worker."""

    def __init__(self, info: WorkerInfo, slowdown: float, replay: Replay) -> None:
        self.info = info
        self.slowdown = slowdown
        self.runs: dict[TaskId, Run] = {}
        self.free_cpu = info.cpu
        self.free_memory = info.memory_mb
        self.free_gpu = 0
        self.quarantined_until = self.pause_until = 0.0
        self.silent = self.suspect = self.on_probation = False
        self.held = True
        self._replay = replay

    def can_start(self, now: float) -> bool:
        """All workers of the replay are healthy."""
        return True

    def is_schedulable(self) -> bool:
        """All workers of the replay are healthy."""
        return True

    def can_serve(self, now: float) -> bool:
        """All workers of the replay are healthy."""
        return True

    def count_runs_of_step(self, job: str, step: int) -> int:
        """Return the number of runs of a step's tasks."""
        return sum(1 for task in self.runs if task.job == job and task.step == step)

    def start(self, run: Run, *, spec: str) -> None:
        """Run a task and report its end."""
        self.runs[run.task] = run
        self.free_cpu -= run.cpu
        self._replay.note_start(self, run)

    def end(self, run: Run) -> None:
        """Free the capacity of a run."""
        del self.runs[run.task]
        self.free_cpu += run.cpu


class AlikeSpeeds(WorkerSpeeds):
    """Speeds of workers that are always taken for alike, as before placement by objective."""

    def is_uneven(self, workers: Any) -> bool:
        """Return False, so that placement is by best fit alone."""
        return False


def is_wide(request: JobRequest) -> bool:
    """Return whether a job has tasks of which only one fits into a worker of 16 cores."""
    return request.route == "short" and request.steps[0].cpu >= WIDE_CPU


@dataclass
class ReplayScore:
    """Counts of jobs by route and outcome."""

    jobs: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    wide: int = 0
    wide_in_time: int = 0

    def value(self) -> float:
        """Return the mean value of the jobs: 1 in time, a fifth late, 0 after that."""
        return (self.in_time.total() + self.late.total() / 5) / self.jobs.total()

    def share_in_time(self, route: str) -> float:
        """Return the share of a route's jobs that ended within their objective."""
        return self.in_time[route] / max(self.jobs[route], 1)


class Replay:
    """One replay.

    :param load: arriving work as a share of the usable capacity.
    :param by_objective: whether placement may take speeds into account.
    :param admission: whether jobs are deferred and refused under overload.
    :ivar starts: worker and task of each start, in order.
    """

    def __init__(
        self,
        *,
        load: float,
        seed: int,
        by_objective: bool,
        deployment: dict[str, tuple[float, float]] = FIRST_DEPLOYMENT,
        workers: int = WORKERS,
        admission: bool = True,
    ) -> None:
        self._admission = admission
        self.loop = ReplayLoop()
        self.score = ReplayScore()
        self.starts: list[tuple[str, TaskId]] = []
        self._rng = random.Random(f"{seed}-arrivals")
        self._run_s_by_task: dict[TaskId, float] = {}
        self._objective_s_by_job: dict[str, float] = {}
        self._jobs: dict[str, Job] = {}
        self.sessions = {}
        rng = random.Random(f"{seed}-workers")
        for number in range(workers):
            kind = "ab"[number % 2]
            info = WorkerInfo(
                id=f"w{number}",
                service="s",
                address="",
                zone="z",
                cpu=(16_000, 24_000)[number // 2 % 2],
                memory_mb=32_000,
                labels=[kind],
                kind=kind,
            )
            self.sessions[info.id] = ReplaySession(info, rng.uniform(*deployment[kind]), self)
        self.run_times = JobRunTimeEstimator()
        if not by_objective:
            self.run_times.speeds = AlikeSpeeds()
        self.run_times.set_workers({name: s.info for name, s in self.sessions.items()})
        self.scheduler = Scheduler(
            sessions_by_id=self.sessions,
            may_start_tasks=lambda now: True,
            may_run_already=lambda job, now: False,
            may_run_unseen=lambda task: False,
            next_run_number=lambda task: 1,
            run_times=self.run_times,
            worker_list_age_s=lambda: 0.0,
            metrics=Metrics(),
            loop=self.loop,
        )
        capacity = sum(s.info.cpu / 1000 / s.slowdown for s in self.sessions.values())
        weight = sum(route.weight for route in ROUTES)
        work_per_job = sum(route.weight * route.mean_work() for route in ROUTES) / weight
        self._rate = load * USABLE_SHARE * capacity / work_per_job
        self._job_count = 0
        self._overload = OverloadControl(
            queue=self.scheduler.queue,
            sessions_by_id=self.sessions,
            run_times=self.run_times,
            start_delay_s=lambda job, now: 0.0,
            clock=lambda: 0.0,
        )

    def run(self, *, until: float = WARM_UP_S + DURATION_S) -> ReplayScore:
        """Play arrivals until a time, and wait for the jobs that have arrived."""
        self.loop.call_later(0.0, self._arrive, until)
        if self._admission:
            self.loop.call_later(0.0, self._admit)
        self.loop.run_until(until + 8.0)
        return self.score

    def _arrive(self, until: float) -> None:
        now = self.loop.time()
        if now > until:
            return
        self.loop.call_later(self._rng.expovariate(self._rate), self._arrive, until)
        route = self._rng.choices(ROUTES, [route.weight for route in ROUTES])[0]
        self._job_count += 1
        job_id = f"{route.name}-{self._job_count}"
        run_s = self._rng.uniform(*route.run_s)
        estimate_s = run_s * self._rng.lognormvariate(0.0, ESTIMATE_DEVIATION)
        tasks = min(1 + int(self._rng.expovariate(1 / (route.mean_tasks - 0.5))), route.max_tasks)
        step = Step(
            count=tasks,
            cpu=self._rng.randrange(*route.cpu, 100),
            memory_mb=100,
            estimate_ms=max(round(estimate_s * 1000), 1),
        )
        request = JobRequest(
            id=job_id,
            spec="",
            steps=[step],
            route=route.name,
            service="s",
            priority=route.priority,
            stretch=STRETCH,
            objective_ms=route.objective_ms,
        )
        run_s_by_task = {}
        for index in range(tasks):
            task_s = run_s * self._rng.lognormvariate(0.0, TASK_DEVIATION)
            if self._rng.random() < LONG_TASK_SHARE:
                task_s *= LONG_TASK_RATIO
            run_s_by_task[TaskId(job_id, 0, index)] = task_s
        if now >= WARM_UP_S:
            self.score.jobs[route.name] += 1
            self.score.wide += is_wide(request)
        self.submit(request, run_s, run_s_by_task)

    def submit(self, request: JobRequest, run_s: float, run_s_by_task: dict[TaskId, float]) -> None:
        """Submit a job now.

        :param run_s: run time on which its objective is based.
        :param run_s_by_task: run times of its tasks on a typical worker.
        """
        now = self.loop.time()
        job = Job(request=request, arrived_at=now, possibly_started=False, accepted_at=now)
        self._run_s_by_task.update(run_s_by_task)
        self._objective_s_by_job[request.id] = STRETCH * run_s + request.objective_ms / 1000
        self._jobs[request.id] = job
        self._overload.note_arrival(job, now)
        self.scheduler.queue.add(job, now=now)
        self.scheduler.request_placement()

    def note_start(self, session: ReplaySession, run: Run) -> None:
        """Schedule the end of a run."""
        self.starts.append((session.info.id, run.task))
        run_s = self._run_s_by_task[run.task] * session.slowdown
        self.loop.call_later(ORDER_DELAY_S + run_s + REPORT_DELAY_S, self._end, session, run)

    def _end(self, session: ReplaySession, run: Run) -> None:
        session.end(run)
        now = self.loop.time()
        job = self._jobs[run.task.job]
        task = job.task(run.task)
        assert task is not None
        assert task.state is TaskState.RUNNING
        job.mark_done(task)
        self.run_times.note_done(job, run, worker=session.info, now=now)
        self.scheduler.request_placement()
        if job.is_complete() and job.arrived_at >= WARM_UP_S:
            objectives = (now - job.arrived_at) / self._objective_s_by_job[run.task.job]
            if objectives <= 1:
                self.score.in_time[job.request.route] += 1
                self.score.wide_in_time += is_wide(job.request)
            elif objectives <= ANSWER_EXPIRY_OBJECTIVES:
                self.score.late[job.request.route] += 1

    def _admit(self) -> None:
        now = self.loop.time()
        self.loop.call_later(ADMISSION_INTERVAL_S, self._admit)
        for refusal in self._overload.find_jobs_to_refuse(now):
            self.scheduler.queue.discard(refusal.job)
