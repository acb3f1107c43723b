"""Finds out which waiting jobs can still be served in time, late, or not at all."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._queue import JobQueue
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import (
    Demand,
    FreeCores,
    OfferedLoad,
    Projection,
    Prospect,
    Replay,
    choose_retry_s,
    count_waves,
    judge_late_job,
    meets_objective,
)

# A run that was told to stop is gone after this many seconds.
STOP_S = 0.05
# A worker that does not answer, or has not yet, is back after this long, as far as anybody knows.
BACK_S = 0.3
# A forecast is made again after this many times what the last one took, so that it never takes
# more than a twentieth of the owner's processor.
REST_FACTOR = 20
# A job that is older than this when the owner gets it comes from another owner, and says nothing
# of how many arrive now.
NEW_JOB_S = 0.1
# Share of the cores that is in use when nothing that waits fits anywhere, before it was seen.
USUAL_PACKING = 0.85
# Weight of the newest look in the mean of that share.
PACKING_WEIGHT = 1 / 32


@dataclass(frozen=True, kw_only=True)
class JobRefusal:
    """A job that can't be served while that is of use.

    :param wait_s: how long its last task would still wait for room.
    """

    job: Job
    wait_s: float
    retry_after_s: float


class OverloadControl:
    """Forecasts when each waiting job would end, and puts those behind that will be late.

    :param sessions_by_id: the owner's workers.
    :param start_delay_s: returns for how long a job must not start, since it may run unseen.
    :param clock: a clock for the time that forecasts take.
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
        self._rests_until = 0.0
        self._load_by_service: dict[str, OfferedLoad] = {}
        self._packing = USUAL_PACKING

    def note_arrival(self, job: Job, now: float) -> None:
        """Take note of a job that has arrived."""
        if now - job.arrived_at > NEW_JOB_S:
            return
        load = self._load_by_service.setdefault(job.request.service, OfferedLoad())
        load.note_arrival(work=job.request.work(), now=now)

    def find_jobs_to_refuse(self, now: float) -> list[JobRefusal]:
        """Return the waiting jobs that have not begun and can't end while that is of use.

        Those that will be late wait behind the others from now on.
        """
        began = self._clock()
        if not len(self._queue) or began < self._rests_until:
            return []
        jobs_by_service: dict[str, list[Job]] = {}
        for job in self._queue:
            jobs_by_service.setdefault(job.request.service, []).append(job)
        refusals = [
            entry
            for service, jobs in jobs_by_service.items()
            for entry in self._judge(service, jobs, now)
        ]
        taken_s = self._clock() - began
        self._rests_until = began + taken_s * REST_FACTOR
        return refusals

    def _judge(self, service: str, jobs: list[Job], now: float) -> list[JobRefusal]:
        sessions = [s for s in self._sessions_by_id.values() if s.info.service == service]
        pool = _Pool(sessions=sessions, load=self._load_by_service.get(service))
        least_cpu = min(job.smallest_cpu for job in jobs)
        replay = Replay(self._list_free(sessions, least_cpu, now))
        self._note_packing(sessions, now)
        behind: list[Job] = []
        for job in jobs:
            projection = replay.place(self._demand_of(job, now))
            if job.started:
                self._queue.add(job, now=now)
            elif not self._is_in_time(job, projection, pool, now):
                replay.undo()
                behind.append(job)
        return self._judge_behind(behind, replay, pool, now)

    def _judge_behind(
        self, jobs: list[Job], replay: Replay, pool: _Pool, now: float
    ) -> list[JobRefusal]:
        refusals = []
        load = pool.load_share(self._packing, now)
        for job in jobs:
            projection = replay.place(self._demand_of(job, now)) or Projection(0.0, 0.0)
            wait_s = projection.last_start_s
            if self._start_delay_s(job, now):
                wait_s = 0.0
            prospect = judge_late_job(
                end_age_s=self._end_age_s(job, wait_s, now),
                objective_s=self._objective_s(job, pool),
                load=load,
            )
            if prospect is Prospect.LATE:
                self._queue.put_behind(job)
                continue
            replay.undo()
            retry_s = choose_retry_s(drained_s=wait_s, job_id=job.request.id)
            refusals.append(JobRefusal(job=job, wait_s=wait_s, retry_after_s=retry_s))
        return refusals

    def _is_in_time(self, job: Job, projection: Projection | None, pool: _Pool, now: float) -> bool:
        wait_s = 0.0
        if projection is not None and not self._start_delay_s(job, now):
            wait_s = projection.last_start_s
        return meets_objective(
            end_age_s=self._end_age_s(job, wait_s, now), objective_s=self._objective_s(job, pool)
        )

    def _end_age_s(self, job: Job, wait_s: float, now: float) -> float:
        """Return how old a job is at its end if its last task waits so long.

        A job that may run where it can't be seen may end at any moment.
        """
        run_s = 0.0 if self._start_delay_s(job, now) else self._run_times.expect_job_s(job)
        return now - job.arrived_at + wait_s + run_s

    def _objective_s(self, job: Job, pool: _Pool) -> float:
        waves = max(
            count_waves(tasks=step.count, cpu=step.cpu, pool_cpu=pool.cpu)
            for step in job.request.steps
        )
        run_s = self._run_times.expect_job_s(job) * waves
        return job.request.stretch * run_s + job.request.objective_ms / 1000

    def _demand_of(self, job: Job, now: float) -> Demand:
        return Demand(
            tasks=job.waiting,
            cpu=max(step.cpu for _, step in job.ready_steps()),
            run_s=self._run_times.expect_job_s(job),
            not_before_s=self._start_delay_s(job, now),
        )

    def _list_free(
        self, sessions: list[WorkerSession], least_cpu: int, now: float
    ) -> Iterator[FreeCores]:
        """Yield the cores of all workers by when they become free.

        What is free on a worker now but too little for any waiting task is left out: it is not
        added to what becomes free elsewhere.
        """
        for session in sessions:
            if not session.is_schedulable():
                continue
            usable_s = max(session.quarantined_until, session.pause_until) - now
            if session.silent or not session.held:
                usable_s = max(usable_s, BACK_S)
            if session.free_cpu >= least_cpu:
                yield FreeCores(max(usable_s, 0.0), session.free_cpu)
            for left_s, cpu in self._list_ends(session, now):
                yield FreeCores(max(usable_s, left_s), cpu)

    def _list_ends(self, session: WorkerSession, now: float) -> Iterator[tuple[float, int]]:
        """Yield when runs of a worker end, and the cores that become free by each end.

        Where the capacity has shrunk below what runs, the first ends free nothing.
        """
        slowness = self._run_times.slowness(session.info.id)
        ends = [
            (
                STOP_S if run.stopping else run.left_s(now, expected_s=run.expected_s * slowness),
                run.cpu,
            )
            for run in session.runs.values()
        ]
        excess = max(-session.free_cpu, 0)
        if excess:
            ends.sort()
        for left_s, cpu in ends:
            taken = min(cpu, excess)
            excess -= taken
            if cpu > taken:
                yield left_s, cpu - taken

    def _note_packing(self, sessions: list[WorkerSession], now: float) -> None:
        """Learn which share of the cores is in use while jobs wait."""
        usable = [session for session in sessions if session.can_start(now)]
        cpu = sum(session.info.cpu for session in usable)
        if cpu:
            used = 1 - sum(session.free_cpu for session in usable) / cpu
            self._packing += PACKING_WEIGHT * (used - self._packing)


class _Pool:
    """The workers of one service, and what arrives for them."""

    def __init__(self, *, sessions: list[WorkerSession], load: OfferedLoad | None) -> None:
        self.cpu = sum(session.info.cpu for session in sessions)
        self._sessions = sessions
        self._load = load

    def load_share(self, packing: float, now: float) -> float:
        """Return the arriving work as a share of what the workers can do."""
        usable = sum(s.info.cpu for s in self._sessions if s.can_serve(now))
        if self._load is None or not usable:
            return 0.0
        return self._load.cores(now) / (packing * usable)
