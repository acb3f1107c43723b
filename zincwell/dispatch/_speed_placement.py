"""Placement on workers of uneven speed, by the objectives of the jobs."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from zincwell.dispatch._jobs import Job, Task
from zincwell.dispatch._placement import AvailableWorkers, rank_worker
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._types import Step
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import (
    LATE_CHANCE,
    ClassOutlook,
    RoomGauge,
    SpeedClass,
    WaitRecord,
    chance_in_time,
    choose_classes,
    group_by_speed,
)

# Speed classes are formed anew at this interval, which takes 0.5 ms with 150 workers.
SPEEDS_INTERVAL_S = 0.5
# The share of CPU in use is sampled, and the ends of runs are forecast, at most this often.
SAMPLE_INTERVAL_S = 0.02
# At most this many jobs are evaluated for waiting in one placement; the others start without. Under
# overload hundreds of jobs wait.
MAX_WAIT_EVALUATIONS = 4
# A run that was told to stop has ended after this many seconds.
STOP_DURATION_S = 0.05
# At most this share of the workers is left out for wide tasks in one placement. Otherwise narrow
# tasks take each part of a worker that becomes free, and wide ones wait until they are late.
MAX_RESERVED_SHARE = 0.08
# A job may reserve a worker once it is older than this share of its objective.
MIN_RESERVATION_AGE_SHARE = 0.2


class UnevenWorkers:
    """The workers of one service that may start tasks, by speed class and free CPU.

    :ivar placement: speeds of all workers of the service.
    """

    def __init__(self, sessions: Iterable[WorkerSession], placement: ServicePlacement) -> None:
        self.placement = placement
        groups: list[list[WorkerSession]] = [[] for _ in placement.classes]
        for session in sessions:
            groups[placement.class_by_worker[session.info.id]].append(session)
        self._workers_by_class = [AvailableWorkers(group) for group in groups]
        self._update_most_free_cpu()

    def most_free_cpu(self) -> int:
        """Return the largest free capacity of any worker, in thousandths of a core."""
        return self._most_free_cpu

    def count_slots(self, *, step: Step, limit: int) -> list[int]:
        """Return for how many tasks of a step each class has room now, at most ``limit``."""
        return [workers.count_slots(step=step, limit=limit) for workers in self._workers_by_class]

    def find(self, *, step: Step, task: Task, classes: Iterable[int]) -> WorkerSession | None:
        """Return the best fit on the first of the classes that has room, or None.

        Workers that the task should avoid come last, and those near its data first, as on alike
        workers.
        """
        best: WorkerSession | None = None
        best_rank = (True, True)
        for number in classes:
            session = self._workers_by_class[number].find(step=step, task=task)
            if session is None:
                continue
            rank = rank_worker(session, step=step, task=task)
            if not any(rank):
                return session
            if best is None or rank < best_rank:
                best, best_rank = session, rank
        return best

    def reserve_widest(self) -> None:
        """Leave out the worker with the most free CPU for the rest of this placement."""
        max(self._workers_by_class, key=AvailableWorkers.most_free_cpu).discard_widest()
        self._update_most_free_cpu()

    def note_start(self, session: WorkerSession) -> None:
        """Restore the order after a task was started on a worker."""
        number = self.placement.class_by_worker[session.info.id]
        self._workers_by_class[number].note_start(session)
        self._update_most_free_cpu()

    def _update_most_free_cpu(self) -> None:
        self._most_free_cpu = max(workers.most_free_cpu() for workers in self._workers_by_class)


class ClassChoice(NamedTuple):
    """Speed classes for the waiting tasks of a job's step.

    :param classes: those on which tasks may start now, the preferred one first.
    :param chances: by class, the probability that a task that starts now ends in time.
    """

    classes: list[int]
    chances: list[float]


class _RunEnd(NamedTuple):
    """Expected end of a run.

    :param free_cpu: free CPU of its worker after it, in thousandths of a core.
    """

    at: float
    speed_class: int
    free_cpu: int


class ServicePlacement:
    """What placement knows of the workers of one service: speeds, room, and expected ends of runs.

    All of it is soft state of the owner, derived from its sessions.

    :ivar is_uneven: whether workers differ in speed by more than noise explains. If not, placement
        is by best fit alone.
    :ivar classes: speed classes, fastest first.
    :ivar class_by_worker: index of the class of each worker.
    """

    def __init__(
        self,
        *,
        service: str,
        sessions_by_id: Mapping[str, WorkerSession],
        run_times: JobRunTimeEstimator,
    ) -> None:
        self.is_uneven = False
        self.classes: list[SpeedClass] = []
        self.class_by_worker: dict[str, int] = {}
        self._service = service
        self._sessions_by_id = sessions_by_id
        self._run_times = run_times
        self._room = RoomGauge()
        self._grouped_at = self._sampled_at = self._forecast_at = float("-inf")
        self._ends: list[_RunEnd] = []
        self._assigned_ends: set[int] = set()
        self._evaluations = self._reservations_left = 0
        self._tasks_waiting = False
        self._waits = WaitRecord()

    def sample_room(self, now: float) -> None:
        """Sample the share of CPU in use, if it matters and a sample is due."""
        if not self.is_uneven or now - self._sampled_at < SAMPLE_INTERVAL_S:
            return
        self._sampled_at = now
        usable = [session for session in self._sessions() if session.can_serve(now)]
        cpu = sum(session.info.cpu for session in usable)
        if cpu:
            used = 1 - sum(session.free_cpu for session in usable) / cpu
            self._room.note(used_share=used, waiting=self._tasks_waiting, now=now)

    def begin(self, available: Iterable[WorkerSession], now: float) -> None:
        """Start a placement, and form the speed classes anew if that is due.

        :param available: sessions with the workers that may start tasks.
        """
        self._assigned_ends.clear()
        self._evaluations = 0
        self._reservations_left = math.ceil(MAX_RESERVED_SHARE * len(self.class_by_worker))
        is_new = self.is_uneven and any(s.info.id not in self.class_by_worker for s in available)
        if not is_new and now - self._grouped_at < SPEEDS_INTERVAL_S:
            return
        self._grouped_at = now
        speeds = self._run_times.speeds
        workers = [session.info.id for session in self._sessions()]
        self.is_uneven = self._run_times.is_uneven(self._service)
        if self.is_uneven:
            self._ends = []
            self._forecast_at = float("-inf")
            self.classes, self.class_by_worker = group_by_speed(
                {
                    worker: (speeds.slowdown(worker), speeds.uncertainty(worker))
                    for worker in workers
                }
            )

    def reserve_for_wide(self, job: Job, workers: UnevenWorkers, now: float) -> None:
        """Reserve the worker with the most room for a job in time that no worker has room for.

        Narrow tasks behind it would otherwise take each part of a worker that becomes free.
        """
        if not self._reservations_left or workers.most_free_cpu() <= 0:
            return
        if now - job.arrived_at > MIN_RESERVATION_AGE_SHARE * job.slo_s:
            self._reservations_left -= 1
            workers.reserve_widest()

    def end(self, *, tasks_waiting: bool) -> None:
        """End a placement.

        :param tasks_waiting: whether tasks are left waiting for room.
        """
        self._tasks_waiting = tasks_waiting

    def choose_classes(
        self,
        job: Job,
        number: int,
        *,
        tasks: int,
        workers: UnevenWorkers,
        now: float,
    ) -> ClassChoice:
        """Choose the classes on which waiting tasks of a step may start.

        :param number: number of the step.
        :param tasks: how many of its tasks wait.
        """
        step = job.request.steps[number]
        slots = workers.count_slots(step=step, limit=tasks)
        chances = self._chances(job, number, now, classes=self.classes)
        if job.left_waiting:
            self._note_wait(job, chances, slots, now)

        def chance_of_waiting(missing: int) -> float:
            # New jobs overtake only jobs that have not started.
            success_rate = 1.0 if job.started else self._waits.success_rate(now)
            if max(chances) * success_rate < LATE_CHANCE:
                return 0.0
            chance = self._chance_of_waiting(job, number, chances, tasks=missing, now=now)
            return chance * success_rate

        outlooks = [ClassOutlook(*one) for one in zip(chances, slots, strict=True)]
        classes = choose_classes(
            outlooks, tasks=tasks, short=self._room.is_short, chance_of_waiting=chance_of_waiting
        )
        return ClassChoice(classes, chances)

    def note_start(self, job: Job, number: int, session: WorkerSession, *, now: float) -> None:
        """Record that a task of a step starts on a worker."""
        slowdown = self.classes[self.class_by_worker[session.info.id]].slowdown
        end_at = now + self._run_times.expect_task_s(job, number) * slowdown
        job.expected_end_at = max(job.expected_end_at, end_at)

    def note_waiting(self, job: Job, step: Step, choice: ClassChoice, *, tasks: int) -> None:
        """Assign the next ends of runs to tasks that wait, ahead of all jobs behind them."""
        job.left_waiting = True
        if self._evaluations <= MAX_WAIT_EVALUATIONS:
            self._assigned_ends.update(
                self._find_ends_with_room(choice.chances, cpu=step.cpu, tasks=tasks)
            )

    def _sessions(self) -> list[WorkerSession]:
        sessions = self._sessions_by_id.values()
        return [session for session in sessions if session.info.service == self._service]

    def _chances(
        self, job: Job, number: int, now: float, *, classes: Sequence[SpeedClass]
    ) -> list[float]:
        """Return by class the probability that a task of a step that starts then ends in time.

        0 for all if another task of the job is expected to end too late.
        """
        request = job.request
        objective_s = request.stretch * self._run_times.expect_job_s(job)
        objective_s += request.objective_ms / 1000
        if now < job.expected_end_at and job.expected_end_at > job.arrived_at + objective_s:
            return [0.0] * len(classes)
        run_s = self._run_times.expect_task_s(job, number)
        age_s = now - job.arrived_at + self._expect_rest_s(job, number)
        known = number in job.min_run_s_by_step
        return [
            chance_in_time(
                speed,
                run_s=run_s,
                objective_s=objective_s,
                age_s=age_s,
                stretch=request.stretch,
                known=known,
            )
            for speed in classes
        ]

    def _expect_rest_s(self, job: Job, number: int) -> float:
        """Return how long the longest chain of steps after a step should run."""
        steps = job.request.steps
        if len(steps) == 1 or not job.estimate_s:
            return 0.0
        rest_ms = [0] * len(steps)
        for later in range(len(steps) - 1, number, -1):
            for earlier in steps[later].after:
                chain_ms = steps[later].estimate_ms + rest_ms[later]
                rest_ms[earlier] = max(rest_ms[earlier], chain_ms)
        return rest_ms[number] / 1000 * self._run_times.expect_job_s(job) / job.estimate_s

    def _chance_of_waiting(
        self, job: Job, number: int, chances: Sequence[float], *, tasks: int, now: float
    ) -> float:
        """Return the chance of the last of some tasks that wait for the next ends of runs."""
        self._evaluations += 1
        if self._evaluations > MAX_WAIT_EVALUATIONS:
            return 0.0
        self._forecast_ends(now)
        claims = self._find_ends_with_room(chances, cpu=job.request.steps[number].cpu, tasks=tasks)
        if len(claims) < tasks:
            return 0.0
        ends = [self._ends[index] for index in claims]
        slowest = self.classes[max(end.speed_class for end in ends)]
        return self._chances(job, number, max(ends[-1].at, now), classes=[slowest])[0]

    def _note_wait(
        self, job: Job, chances: Sequence[float], slots: Sequence[int], now: float
    ) -> None:
        """Record whether a job that was left waiting is still in time, once that is known."""
        has_room = any(
            chance >= LATE_CHANCE and free for chance, free in zip(chances, slots, strict=True)
        )
        if has_room or max(chances) < LATE_CHANCE:
            job.left_waiting = False
            self._waits.note(succeeded=has_room, now=now)

    def _find_ends_with_room(self, chances: Sequence[float], *, cpu: int, tasks: int) -> list[int]:
        """Return the next ends of runs that make room for tasks on workers in time."""
        claims: list[int] = []
        for index, end in enumerate(self._ends):
            if end.free_cpu < cpu or chances[end.speed_class] < LATE_CHANCE:
                continue
            if index not in self._assigned_ends:
                claims.append(index)
                if len(claims) >= tasks:
                    break
        return claims

    def _forecast_ends(self, now: float) -> None:
        if now - self._forecast_at < SAMPLE_INTERVAL_S:
            return
        self._forecast_at = now
        ends: list[_RunEnd] = []
        for session in self._sessions():
            if session.can_serve(now) and session.info.id in self.class_by_worker:
                ends += self._expect_ends(session, now)
        self._ends = sorted(ends)

    def _expect_ends(self, session: WorkerSession, now: float) -> list[_RunEnd]:
        number = self.class_by_worker[session.info.id]
        runs = sorted(
            (
                (
                    STOP_DURATION_S
                    if run.stopping
                    else run.remaining_s(now, expected_s=run.expected_s)
                ),
                run.cpu,
            )
            for run in session.runs.values()
        )
        free_cpu = session.free_cpu
        ends = []
        for remaining_s, cpu in runs:
            free_cpu += cpu
            ends.append(_RunEnd(now + remaining_s, number, free_cpu))
        return ends
