"""Admission control under overload: which waiting jobs are deferred or refused."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._queue import JobQueue
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import (
    Demand,
    FreeCores,
    LateJobDecision,
    OfferedLoad,
    QueueSimulation,
    RetrySchedule,
    StartForecast,
    choose_retry_after_s,
    count_waves,
    judge_late_job,
    latest_useful_age_s,
    meets_objective,
)

# A run that was told to stop has ended after this many seconds.
STOP_DURATION_S = 0.05
# Assumed time until a worker that does not answer, or has not answered yet, can start tasks.
RECOVERY_S = 0.3
# The next forecast starts after this many times the duration of the last one, so that forecasts
# take at most a twentieth of the owner's processor.
FORECAST_PAUSE_FACTOR = 20
# A job that is older than this when the owner gets it was handed over by another owner, and is not
# part of the current offered load.
MAX_NEW_JOB_AGE_S = 0.1
# Initial value of the share of cores that is in use when no waiting task fits on any worker.
INITIAL_UTILIZATION = 0.85
# Weight of the newest sample in the mean of that share.
UTILIZATION_WEIGHT = 1 / 32
# Lasting speeds of workers are read again after this time. They change over seconds, and reading
# those of 176 workers takes as long as a forecast of 60 waiting tasks.
SPEEDS_MAX_AGE_S = 0.5


class RefusalCause(enum.StrEnum):
    """Why a job is refused.

    ``expired``: it would end too late even if it started now. ``no_capacity``: it would end too
    late because it waits.
    """

    EXPIRED = "expired"
    NO_CAPACITY = "no_capacity"


@dataclass(frozen=True, kw_only=True)
class JobRefusal:
    """A job to refuse, because its answer would come too late to be useful.

    :param wait_s: how long its last task would still wait for capacity.
    :param retry_after_s: when its caller should retry, in seconds from now.
    :param cause: whether the job would be late even without waiting.
    """

    job: Job
    wait_s: float
    retry_after_s: float
    cause: RefusalCause


class OverloadControl:
    """Forecasts when each waiting job would end, and defers those that will be late.

    :param sessions_by_id: sessions with the owner's workers.
    :param start_delay_s: returns for how many seconds a job must not start, because runs of
        it may exist that the owner does not see.
    :param clock: clock that measures the duration of forecasts.
    """

    def __init__(
        self,
        *,
        queue: JobQueue,
        sessions_by_id: Mapping[str, WorkerSession],
        run_times: JobRunTimeEstimator,
        start_delay_s: Callable[[Job, float], float],
        clock: Callable[[], float],
    ) -> None:
        self._queue = queue
        self._sessions_by_id = sessions_by_id
        self._run_times = run_times
        self._start_delay_s = start_delay_s
        self._clock = clock
        self._next_forecast_at = 0.0
        self._load_by_service: dict[str, OfferedLoad] = {}
        self._max_utilization = INITIAL_UTILIZATION
        self._retries_by_service: dict[str, RetrySchedule] = {}
        self._speeds_by_service: dict[str, _SpeedSnapshot] = {}

    def note_arrival(self, job: Job, now: float) -> None:
        """Count a job that has arrived towards the offered load."""
        if now - job.arrived_at > MAX_NEW_JOB_AGE_S:
            return
        load = self._load_by_service.setdefault(job.request.service, OfferedLoad())
        load.note_arrival(work=job.request.work(), now=now)

    def find_jobs_to_refuse(self, now: float) -> list[JobRefusal]:
        """Return the waiting jobs that have not started and can't end while an answer is useful.

        Jobs that will be late, but not too late, are deferred behind the others.
        """
        started_at = self._clock()
        if not len(self._queue) or started_at < self._next_forecast_at:
            return []
        jobs_by_service: dict[str, list[Job]] = {}
        for job in self._queue:
            jobs_by_service.setdefault(job.request.service, []).append(job)
        refusals = [
            refusal
            for service, jobs in jobs_by_service.items()
            for refusal in self._evaluate_service(service, jobs, now)
        ]
        duration_s = self._clock() - started_at
        self._next_forecast_at = started_at + duration_s * FORECAST_PAUSE_FACTOR
        return refusals

    def _evaluate_service(self, service: str, jobs: list[Job], now: float) -> list[JobRefusal]:
        sessions = [s for s in self._sessions_by_id.values() if s.info.service == service]
        workers = _ServiceWorkers(
            sessions=sessions,
            load=self._load_by_service.get(service),
            slowdowns_by_id=self._read_speeds(service, sessions, now),
        )
        least_cpu = min(job.smallest_cpu for job in jobs)
        simulation = QueueSimulation(self._iter_free_cores(workers, least_cpu, now))
        self._note_utilization(sessions, now)
        load = workers.offered_load(self._max_utilization, now)
        late_jobs: list[Job] = []
        for job in jobs:
            forecast = simulation.place(self._make_demand(job, now))
            if job.started:
                self._queue.add(job, now=now)
            elif self._is_in_time(job, forecast, workers, now):
                self._note_forecast(job, forecast, now)
            else:
                simulation.undo()
                late_jobs.append(job)
        return self._evaluate_late_jobs(late_jobs, simulation, workers, load, now)

    def _evaluate_late_jobs(
        self,
        jobs: list[Job],
        simulation: QueueSimulation,
        workers: _ServiceWorkers,
        load: float,
        now: float,
    ) -> list[JobRefusal]:
        refused: list[tuple[Job, float, RefusalCause]] = []
        for job in jobs:
            forecast = simulation.place(self._make_demand(job, now))
            wait_s = 0.0
            if forecast is not None and not self._start_delay_s(job, now):
                wait_s = forecast.last_start_s
            end_age_s = self._end_age_s(job, forecast, now)
            objective_s = self._objective_s(job, workers)
            timeout_s = job.request.timeout_ms / 1000
            decision = judge_late_job(
                end_age_s=end_age_s, objective_s=objective_s, timeout_s=timeout_s, load=load
            )
            if decision is LateJobDecision.DEFER:
                self._queue.defer(job)
                self._note_forecast(job, forecast, now)
                continue
            simulation.undo()
            latest_s = latest_useful_age_s(objective_s=objective_s, timeout_s=timeout_s)
            expired = end_age_s - wait_s > latest_s
            cause = RefusalCause.EXPIRED if expired else RefusalCause.NO_CAPACITY
            refused.append((job, wait_s, cause))
        return self._make_refusals(refused, workers, now)

    def _make_refusals(
        self,
        refused: list[tuple[Job, float, RefusalCause]],
        workers: _ServiceWorkers,
        now: float,
    ) -> list[JobRefusal]:
        """Choose the retry times of refused jobs, given with wait and cause."""
        capacity = workers.capacity(self._max_utilization, now)
        refusals = []
        for job, wait_s, cause in sorted(refused, key=lambda item: item[0].arrived_at):
            if job.request.timeout_ms:
                schedule = self._retries_by_service.setdefault(job.request.service, RetrySchedule())
                work_s = job.request.work() / capacity if capacity else 0.0
                retry_s = schedule.reserve(now=now, queue_drain_s=wait_s, work_s=work_s)
            else:
                retry_s = choose_retry_after_s(queue_drain_s=wait_s, job_id=job.request.id)
            refusals.append(JobRefusal(job=job, wait_s=wait_s, retry_after_s=retry_s, cause=cause))
        return refusals

    def _is_in_time(
        self,
        job: Job,
        forecast: StartForecast | None,
        workers: _ServiceWorkers,
        now: float,
    ) -> bool:
        return meets_objective(
            end_age_s=self._end_age_s(job, forecast, now),
            objective_s=self._objective_s(job, workers),
            uneven=workers.are_uneven(),
        )

    def _end_age_s(self, job: Job, forecast: StartForecast | None, now: float) -> float:
        """Return the age of a job at its end by the forecast.

        Its own run time is that on a typical worker, because placement chooses one that is fast
        enough. A job that may have runs that the owner does not see may end at any moment.
        """
        wait_s = run_s = 0.0
        if not self._start_delay_s(job, now):
            wait_s = forecast.last_start_s if forecast is not None else 0.0
            run_s = self._run_times.expect_job_s(job)
        return now - job.arrived_at + wait_s + run_s

    def _note_forecast(self, job: Job, forecast: StartForecast | None, now: float) -> None:
        """Record the first forecast after a job's arrival, which its start is compared with."""
        if forecast is not None and job.forecast_start_at is None:
            job.forecast_start_at = now + forecast.first_start_s

    def _objective_s(self, job: Job, workers: _ServiceWorkers) -> float:
        waves = max(
            count_waves(tasks=step.count, cpu=step.cpu, pool_cpu=workers.cpu)
            for step in job.request.steps
        )
        run_s = self._run_times.expect_job_s(job) * waves
        return job.request.stretch * run_s + job.request.objective_ms / 1000

    def _make_demand(self, job: Job, now: float) -> Demand:
        return Demand(
            tasks=job.waiting,
            cpu=max(step.cpu for _, step in job.ready_steps()),
            run_s=self._run_times.expect_job_s(job),
            not_before_s=self._start_delay_s(job, now),
        )

    def _read_speeds(
        self, service: str, sessions: list[WorkerSession], now: float
    ) -> dict[str, float]:
        """Return the slowdowns of workers by id; empty if they are alike."""
        snapshot = self._speeds_by_service.get(service)
        if snapshot is None or now - snapshot.read_at > SPEEDS_MAX_AGE_S:
            slowdowns = {}
            if self._run_times.is_uneven(service):
                ids = [session.info.id for session in sessions]
                slowdowns = {i: self._run_times.speeds.slowdown(i) for i in ids}
            snapshot = _SpeedSnapshot(read_at=now, slowdowns_by_id=slowdowns)
            self._speeds_by_service[service] = snapshot
        return snapshot.slowdowns_by_id

    def _iter_free_cores(
        self, workers: _ServiceWorkers, least_cpu: int, now: float
    ) -> Iterator[FreeCores]:
        """Yield the cores of all workers with the time when they become free.

        Cores that are free on a worker now but too few for any waiting task are left out, because
        they can't be combined with cores that become free elsewhere.
        """
        for session in workers.sessions:
            if not session.is_schedulable():
                continue
            slowdown = workers.slowdown(session)
            usable_in_s = max(session.quarantined_until, session.pause_until) - now
            if session.silent or not session.held:
                usable_in_s = max(usable_in_s, RECOVERY_S)
            if session.free_cpu >= least_cpu:
                yield FreeCores(max(usable_in_s, 0.0), session.free_cpu, slowdown)
            for remaining_s, cpu in self._iter_run_ends(session, now):
                yield FreeCores(max(usable_in_s, remaining_s), cpu, slowdown)

    def _iter_run_ends(self, session: WorkerSession, now: float) -> Iterator[tuple[float, int]]:
        """Yield the time until each run of a worker ends, and the cores that it frees.

        If the worker's capacity has shrunk below its use, the first ends free nothing.
        """
        slowdown = self._run_times.slowdown(session.info.id)
        ends = [
            (
                (
                    STOP_DURATION_S
                    if run.stopping
                    else run.remaining_s(now, expected_s=run.expected_s * slowdown)
                ),
                run.cpu,
            )
            for run in session.runs.values()
        ]
        excess = max(-session.free_cpu, 0)
        if excess:
            ends.sort()
        for remaining_s, cpu in ends:
            taken = min(cpu, excess)
            excess -= taken
            if cpu > taken:
                yield remaining_s, cpu - taken

    def _note_utilization(self, sessions: list[WorkerSession], now: float) -> None:
        """Update the mean share of cores that is in use while jobs wait."""
        usable = [session for session in sessions if session.can_start(now)]
        cpu = sum(session.info.cpu for session in usable)
        if cpu:
            used = 1 - sum(session.free_cpu for session in usable) / cpu
            self._max_utilization += UTILIZATION_WEIGHT * (used - self._max_utilization)


@dataclass(frozen=True, kw_only=True)
class _SpeedSnapshot:
    """The slowdowns of a service's workers by id at one time; empty if they are alike."""

    read_at: float
    slowdowns_by_id: dict[str, float]


class _ServiceWorkers:
    """The workers of one service and the load offered to them."""

    def __init__(
        self,
        *,
        sessions: list[WorkerSession],
        load: OfferedLoad | None,
        slowdowns_by_id: dict[str, float],
    ) -> None:
        self.cpu = sum(session.info.cpu for session in sessions)
        self.sessions = sessions
        self._load = load
        self._slowdowns_by_id = slowdowns_by_id

    def are_uneven(self) -> bool:
        """Return whether the workers are known to differ in speed."""
        return bool(self._slowdowns_by_id)

    def slowdown(self, session: WorkerSession) -> float:
        """Return how many times as long as on a typical worker tasks run on this one."""
        return self._slowdowns_by_id.get(session.info.id, 1.0)

    def offered_load(self, max_utilization: float, now: float) -> float:
        """Return the offered load as a share of the workers' usable capacity.

        :param max_utilization: share of the cores that is in use when no waiting task fits.
        """
        capacity = self.capacity(max_utilization, now)
        if self._load is None or not capacity:
            return 0.0
        return self._load.cores(now) / capacity

    def capacity(self, max_utilization: float, now: float) -> float:
        """Return the usable capacity in thousandths of a core."""
        usable = sum(session.info.cpu for session in self.sessions if session.can_serve(now))
        return max_utilization * usable
