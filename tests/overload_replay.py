"""Replay of arrivals against the real queue, scheduler and overload control, without a network.

Workers, routes and estimates are those of docs/hard-load.md, for a quarter of its workers. Time is
simulated: runs end and jobs arrive as events, and the owner's review takes place every 20 ms.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._overload import JobRefusal, OverloadControl
from zincwell.dispatch._owner import REVIEW_INTERVAL_S
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._runs import Run
from zincwell.dispatch._scheduler import Scheduler
from zincwell.dispatch._types import JobRequest, Step, TaskId, WorkerInfo
from zincwell.dispatch.decisions import WorkerSpeeds

WORKERS = 44
# Share of the cores that is in use when the tasks that wait fit nowhere.
USABLE_SHARE = 0.85
ESTIMATE_DEVIATION = 0.4
TASK_DEVIATION = 0.15
LONG_TASK_SHARE = 0.03
LONG_TASK_FACTOR = 7.0
STRETCH = 1.6
VALUE_IN_TIME = 5
VALUE_LATE = 1
# An answer after this many objectives is worth nothing.
EXPIRY_OBJECTIVES = 3


@dataclass(frozen=True, kw_only=True)
class RouteShape:
    """Jobs of one route; ``rate`` is their number per second at the measured load."""

    name: str
    priority: int
    mean_tasks: int
    run_s: float
    objective_ms: int
    rate: float
    timeout_ms: int


ROUTES = (
    RouteShape(
        name="short",
        priority=0,
        mean_tasks=8,
        run_s=0.05,
        objective_ms=62,
        rate=95,
        timeout_ms=1500,
    ),
    RouteShape(
        name="medium",
        priority=1,
        mean_tasks=2,
        run_s=0.18,
        objective_ms=62,
        rate=282,
        timeout_ms=2000,
    ),
    RouteShape(
        name="long",
        priority=2,
        mean_tasks=4,
        run_s=0.83,
        objective_ms=63,
        rate=18,
        timeout_ms=2600,
    ),
)


class EvenSpeeds(WorkerSpeeds):
    """Speeds that are never known to differ, as before the speeds were learned."""

    def is_uneven(self, workers: Any) -> bool:
        """Return that all workers are alike."""
        return False


class ReplayLoop:
    """Simulated clock with timers, in place of the event loop."""

    def __init__(self) -> None:
        self._now = 0.0
        self._timers: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def time(self) -> float:
        """Return the simulated time."""
        return self._now

    def call_soon(self, callback: Callable, *args: Any) -> None:
        """Call after the event that is being handled."""
        self.call_at(self._now, callback, *args)

    def call_at(self, at: float, callback: Callable, *args: Any) -> None:
        """Call at a simulated time."""
        heapq.heappush(self._timers, (at, next(self._numbers), callback, args))

    def call_later(self, delay_s: float, callback: Callable, *args: Any) -> None:
        """Call after a simulated delay."""
        self.call_at(self._now + delay_s, callback, *args)

    def run(self) -> None:
        """Handle all events in the order of time."""
        while self._timers:
            self._now, _, callback, args = heapq.heappop(self._timers)
            callback(*args)


class ReplayWorker:
    """A worker that runs each task for as long as its speed and the task require."""

    def __init__(self, *, info: WorkerInfo, slowdown: float, replay: Replay) -> None:
        self.info = info
        self.true_slowdown = slowdown
        self.runs: dict[TaskId, Run] = {}
        self.free_cpu = info.cpu
        self.free_memory = info.memory_mb
        self.free_gpu = 0
        self.held, self.silent = True, False
        self.on_probation = self.suspect = False
        self.quarantined_until = self.pause_until = 0.0
        self._replay = replay

    def is_schedulable(self) -> bool:
        """Return that the worker is in use."""
        return True

    def can_start(self, now: float) -> bool:
        """Return that the worker is in use."""
        return True

    def can_serve(self, now: float) -> bool:
        """Return that the worker is in use."""
        return True

    def count_runs_of_step(self, job: str, step: int) -> int:
        """Return the number of runs of a step's tasks."""
        return sum(1 for task in self.runs if task.job == job and task.step == step)

    def start(self, run: Run, *, spec: str) -> None:
        """Run a task."""
        self.runs[run.task] = run
        self.free_cpu -= run.cpu
        self._replay.note_start(self, run)

    def end(self, run: Run) -> None:
        """Free the capacity of a run."""
        del self.runs[run.task]
        self.free_cpu += run.cpu


@dataclass(kw_only=True)
class ReplayResult:
    """Answers of one replay, by route.

    :param refused_shares: ages of the refused jobs at their refusals, as shares of the age until
        which an answer is useful, as far as the owner can know it.
    :param return_times: suggested times of return of the refused jobs, in the order of refusals.
    :param after_timeout: answers that came after the caller's timeout.
    """

    arrived: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    late: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    refused_shares: list[float] = field(default_factory=list)
    return_times: list[float] = field(default_factory=list)
    after_timeout: int = 0

    def value(self) -> float:
        """Return the value of all answers as a share of the value if all were in time."""
        gained = VALUE_IN_TIME * self.in_time.total() + VALUE_LATE * self.late.total()
        return gained / (VALUE_IN_TIME * self.arrived.total())

    def value_of(self, route: str) -> int:
        """Return the value of the answers to the jobs of a route."""
        return VALUE_IN_TIME * self.in_time[route] + VALUE_LATE * self.late[route]

    def served(self) -> int:
        """Return the number of useful answers."""
        return self.in_time.total() + self.late.total()


class Replay:
    """One replay of ``for_s`` seconds of arrivals.

    :param load: arriving work as a share of the capacity of the workers.
    :param slowdown_by_kind: range of the true slowdowns of each kind of workers.
    :param with_timeouts: whether callers state their timeouts.
    :param knows_speeds: whether the lasting speeds of workers are learned.
    :param clock: clock that measures the duration of forecasts; they take no time by default.
    """

    def __init__(
        self,
        *,
        load: float,
        seed: int,
        for_s: float = 6.0,
        slowdown_by_kind: dict[str, tuple[float, float]] | None = None,
        with_timeouts: bool = True,
        knows_speeds: bool = True,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._loop = ReplayLoop()
        self._with_timeouts = with_timeouts
        self._jobs: dict[str, Job] = {}
        self._routes: dict[str, RouteShape] = {}
        self._run_s: dict[TaskId, float] = {}
        self._starts_by_job: dict[str, float] = {}
        self._objectives_s: dict[str, float] = {}
        self._for_s = for_s
        self.result = ReplayResult()
        self.metrics = Metrics()
        self.run_times = JobRunTimeEstimator()
        if not knows_speeds:
            self.run_times.speeds = EvenSpeeds()
        kinds = slowdown_by_kind or {"a": (0.7, 0.9), "b": (1.5, 2.1)}
        self.workers = {
            worker.info.id: worker
            for worker in (self._make_worker(n, kinds) for n in range(WORKERS))
        }
        self.run_times.set_workers({name: worker.info for name, worker in self.workers.items()})
        with mock.patch("asyncio.get_running_loop", return_value=self._loop):
            self.scheduler = Scheduler(
                sessions_by_id=self.workers,
                may_start_tasks=lambda now: True,
                may_run_already=lambda job, now: False,
                may_run_unseen=lambda task: False,
                next_run_number=lambda task: 1,
                run_times=self.run_times,
                worker_list_age_s=lambda: 0.0,
                metrics=self.metrics,
            )
        self.control = OverloadControl(
            queue=self.scheduler.queue,
            sessions_by_id=self.workers,
            run_times=self.run_times,
            start_delay_s=lambda job, now: 0.0,
            clock=clock or self._loop.time,
        )
        self._scale = load * self._capacity() / self._offered_work()

    def play(self) -> ReplayResult:
        """Replay all arrivals until every job has ended."""
        for shape in ROUTES:
            self._schedule_arrival(shape)
        self._loop.call_at(REVIEW_INTERVAL_S, self._review)
        self._loop.run()
        return self.result

    def set_run_times(self, job: Job, *, run_s: float) -> None:
        """Set how long the tasks of a job run on a typical worker."""
        self._run_s |= {task.id: run_s for step in job.tasks for task in step}

    def first_starts(self, jobs: list[Job]) -> list[float]:
        """Run queued jobs without arrivals or refusals; return when each started."""
        self._jobs |= {job.request.id: job for job in jobs}
        self.scheduler.request_placement()
        self._loop.run()
        return [self._starts_by_job[job.request.id] for job in jobs]

    def note_start(self, worker: ReplayWorker, run: Run) -> None:
        """Schedule the end of a run."""
        self._starts_by_job.setdefault(run.task.job, self._loop.time())
        run_s = self._run_s[run.task] * worker.true_slowdown
        self._loop.call_at(self._loop.time() + run_s, self._end_run, worker, run)

    def _make_worker(self, number: int, kinds: dict[str, tuple[float, float]]) -> ReplayWorker:
        kind = sorted(kinds)[number % len(kinds)]
        cores = 16 if number // len(kinds) % 2 else 24
        info = WorkerInfo(
            id=f"{kind}-{number}",
            service="s",
            address="",
            zone="z",
            cpu=cores * 1000,
            memory_mb=32_000,
            kind=kind,
        )
        return ReplayWorker(info=info, slowdown=self._rng.uniform(*kinds[kind]), replay=self)

    def _capacity(self) -> float:
        workers = self.workers.values()
        return USABLE_SHARE * sum(w.info.cpu / w.true_slowdown for w in workers)

    def _offered_work(self) -> float:
        long_tails = 1 + LONG_TASK_SHARE * (LONG_TASK_FACTOR - 1)
        return sum(r.rate * r.mean_tasks * 8000 * r.run_s * long_tails for r in ROUTES)

    def _schedule_arrival(self, shape: RouteShape) -> None:
        at = self._loop.time() + self._rng.expovariate(shape.rate * self._scale)
        if at < self._for_s:
            self._loop.call_at(at, self._arrive, shape)

    def _arrive(self, shape: RouteShape) -> None:
        self._schedule_arrival(shape)
        rng, now = self._rng, self._loop.time()
        tasks = min(1 + int(rng.expovariate(1 / (shape.mean_tasks - 0.5))), 4 * shape.mean_tasks)
        true_s = shape.run_s * rng.lognormvariate(-(ESTIMATE_DEVIATION**2) / 2, ESTIMATE_DEVIATION)
        cpu = round(rng.uniform(6400, 9600))
        step = Step(count=tasks, cpu=cpu, estimate_ms=round(shape.run_s * 1000))
        request = JobRequest(
            id=f"{shape.name}-{self.result.arrived.total()}",
            spec="x",
            steps=[step],
            route=shape.name,
            service="s",
            priority=shape.priority,
            stretch=STRETCH,
            objective_ms=shape.objective_ms,
            timeout_ms=shape.timeout_ms if self._with_timeouts else 0,
        )
        self._objectives_s[request.id] = STRETCH * true_s + shape.objective_ms / 1000
        for index in range(tasks):
            run_s = true_s * rng.lognormvariate(0, TASK_DEVIATION)
            run_s *= LONG_TASK_FACTOR if rng.random() < LONG_TASK_SHARE else 1.0
            self._run_s[TaskId(request.id, 0, index)] = run_s
        job = Job(request=request, arrived_at=now, possibly_started=False, accepted_at=now)
        self._jobs[request.id] = job
        self._routes[request.id] = shape
        self.result.arrived[shape.name] += 1
        self.control.note_arrival(job, now)
        self.scheduler.queue.add(job, now=now)
        self.scheduler.request_placement()

    def _end_run(self, worker: ReplayWorker, run: Run) -> None:
        worker.end(run)
        job = self._jobs[run.task.job]
        self.run_times.note_done(job, run, worker=worker.info, now=self._loop.time())
        job.mark_done(job.tasks[0][run.task.index])
        if job.is_complete():
            self._count_answer(self._jobs.pop(run.task.job))
        self.scheduler.request_placement()

    def _count_answer(self, job: Job) -> None:
        """Count an answer; objectives depend on the true run time on a typical worker."""
        shape = self._routes.get(job.request.id)
        if shape is None:
            return
        age_s = self._loop.time() - job.arrived_at
        objective_s = self._objectives_s[job.request.id]
        if age_s <= objective_s:
            self.result.in_time[shape.name] += 1
        elif age_s <= EXPIRY_OBJECTIVES * objective_s and age_s <= shape.timeout_ms / 1000:
            self.result.late[shape.name] += 1
        if age_s > shape.timeout_ms / 1000:
            self.result.after_timeout += 1

    def _review(self) -> None:
        now = self._loop.time()
        for refusal in self.control.find_jobs_to_refuse(now):
            self._refuse(refusal, now)
        if self._jobs or now < self._for_s:
            self._loop.call_at(now + REVIEW_INTERVAL_S, self._review)

    def _refuse(self, refusal: JobRefusal, now: float) -> None:
        job = refusal.job
        self.scheduler.queue.discard(job)
        del self._jobs[job.request.id]
        self.result.refused[job.request.route] += 1
        shape = self._routes[job.request.id]
        useful_s = min(EXPIRY_OBJECTIVES * job.slo_s, shape.timeout_ms / 1000)
        self.result.refused_shares.append((now - job.arrived_at) / useful_s)
        self.result.return_times.append(now + refusal.retry_after_s)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(math.floor(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0
