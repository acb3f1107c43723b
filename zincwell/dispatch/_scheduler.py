"""Placement of waiting tasks on workers with free capacity."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator, Mapping, Sequence

from zincwell.dispatch._jobs import Job, Task, TaskState
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._placement import AvailableWorkers
from zincwell.dispatch._queue import JobQueue
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._runs import Run
from zincwell.dispatch._speed_placement import (
    SAMPLE_INTERVAL_S,
    ServicePlacement,
    UnevenWorkers,
)
from zincwell.dispatch._types import Step, TaskId
from zincwell.dispatch._worker_session import WorkerSession

log = logging.getLogger("zincwell.owner")

# Longest list of runs in one line of the log.
MAX_LOGGED_RUNS = 32


class Scheduler:
    """Starts tasks in queue order on workers with free capacity.

    :param sessions_by_id: sessions with the owner's workers.
    :param may_start_tasks: returns whether the owner may start any task yet.
    :param may_run_already: returns whether a job may have runs that the owner does not see, so
        that none of its tasks may start yet.
    :param may_run_unseen: returns whether a task may be started by an order without an answer.
    :param next_run_number: returns the number of the next run of a task.
    :param run_times: estimates of run times.
    :param worker_list_age_s: returns the age of the list of workers that placement uses, in
        seconds.
    :param loop: event loop; the running one by default.
    """

    def __init__(
        self,
        *,
        sessions_by_id: Mapping[str, WorkerSession],
        may_start_tasks: Callable[[float], bool],
        may_run_already: Callable[[Job, float], bool],
        may_run_unseen: Callable[[TaskId], bool],
        next_run_number: Callable[[Task], int],
        run_times: JobRunTimeEstimator,
        worker_list_age_s: Callable[[], float],
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        self.queue = JobQueue()
        self.suspended = False
        # Whether the last attempt placed nothing because no task may start yet.
        self.starts_blocked = False
        self._sessions_by_id = sessions_by_id
        self._may_start_tasks = may_start_tasks
        self._may_run_already = may_run_already
        self._may_run_unseen = may_run_unseen
        self._next_run_number = next_run_number
        self._run_times = run_times
        self._worker_list_age_s = worker_list_age_s
        self._metrics = metrics
        self._placement_requested = False
        self._retry_scheduled = False
        self._placement_by_service: dict[str, ServicePlacement] = {}
        # Runs of the present job that this placement has started, as worker id and run.
        self._started: list[tuple[str, Run]] = []
        self._loop = loop or asyncio.get_running_loop()

    def request_placement(self) -> None:
        """Schedule a placement, once for all events of this event loop iteration."""
        if not self._placement_requested:
            self._placement_requested = True
            self._loop.call_soon(self.place)

    def place(self) -> None:
        """Start all waiting tasks that can start now."""
        self._placement_requested = self.starts_blocked = False
        now = self._loop.time()
        for placement in self._placement_by_service.values():
            placement.sample_room(now)
        if self.suspended or not len(self.queue):
            return
        self.starts_blocked = not self._may_start_tasks(now)
        if self.starts_blocked:
            return
        least_cpu = self.queue.smallest_cpu()
        workers_by_service = self._find_available_workers(least_cpu, now)
        if not workers_by_service:
            for placement in self._placement_by_service.values():
                placement.end(tasks_waiting=True)
            return
        short_services: set[str] = set()
        for job in self.queue:
            service = job.request.service
            workers = workers_by_service.get(service)
            if workers is None or job.smallest_cpu > workers.most_free_cpu():
                short_services.add(service)
                if isinstance(workers, UnevenWorkers) and not self.queue.is_deferred(job):
                    workers.placement.reserve_for_wide(job, workers, now)
                if workers is not None and workers.most_free_cpu() < least_cpu:
                    del workers_by_service[service]
                    if not workers_by_service:
                        break
                continue
            if self._may_run_already(job, now):
                continue
            if isinstance(workers, UnevenWorkers):
                self._place_job_by_objective(job, workers, now)
            else:
                self._place_job(job, workers, now)
            self._log_starts(job)
            if not job.waiting:
                self.queue.discard(job)
            else:
                short_services.add(service)
                if job.started:
                    self.queue.add(job, now=now)
        for service, placement in self._placement_by_service.items():
            placement.end(tasks_waiting=service in short_services)

    def _find_available_workers(
        self, least_cpu: int, now: float
    ) -> dict[str, AvailableWorkers | UnevenWorkers]:
        sessions_by_service: dict[str, list[WorkerSession]] = {}
        for session in self._sessions_by_id.values():
            if session.free_cpu >= least_cpu and session.can_start(now):
                sessions_by_service.setdefault(session.info.service, []).append(session)
        return {
            name: self._order_workers(name, sessions, now)
            for name, sessions in sessions_by_service.items()
        }

    def _order_workers(
        self, service: str, sessions: Sequence[WorkerSession], now: float
    ) -> AvailableWorkers | UnevenWorkers:
        placement = self._placement_by_service.get(service)
        if placement is None:
            placement = self._placement_by_service[service] = ServicePlacement(
                service=service, sessions_by_id=self._sessions_by_id, run_times=self._run_times
            )
        placement.begin(sessions, now)
        if not placement.is_uneven:
            return AvailableWorkers(sessions)
        return UnevenWorkers(sessions, placement)

    def _place_job(self, job: Job, workers: AvailableWorkers, now: float) -> None:
        for number, step in job.ready_steps():
            for task in self._startable_tasks(job, number):
                session = workers.find(step=step, task=task)
                if session is None:
                    if task.avoided_workers:
                        # There may be room that only this task must not use.
                        continue
                    break
                self._start(job, step, task, session, now)
                workers.note_start(session)

    def _place_job_by_objective(self, job: Job, workers: UnevenWorkers, now: float) -> None:
        """Start tasks on the speed classes that `choose_classes` allows.

        Tasks that wait although workers are free are reconsidered soon, also if no run ends.
        """
        placement = workers.placement
        for number, step in job.ready_steps():
            waiting = list(self._startable_tasks(job, number))
            if not waiting:
                continue
            choice = placement.choose_classes(
                job, number, tasks=len(waiting), workers=workers, now=now
            )
            left = 0
            for index, task in enumerate(waiting):
                session = workers.find(step=step, task=task, classes=choice.classes)
                if session is None:
                    if task.avoided_workers:
                        # There may be room that only this task must not use.
                        left += 1
                        continue
                    left += len(waiting) - index
                    break
                placement.note_start(job, number, session, now=now)
                self._start(job, step, task, session, now)
                workers.note_start(session)
            if left:
                placement.note_waiting(job, step, choice, tasks=left)
                self._schedule_retry()

    def _startable_tasks(self, job: Job, step: int) -> Iterator[Task]:
        """Iterate over the waiting tasks of a step that no order without an answer may start."""
        for task in job.tasks[step]:
            if task.state is not TaskState.WAITING:
                continue
            if self._may_run_unseen(task.id):
                self._schedule_retry()
            else:
                yield task

    def _schedule_retry(self) -> None:
        if not self._retry_scheduled:
            self._retry_scheduled = True
            self._loop.call_later(SAMPLE_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._retry_scheduled = False
        self.request_placement()

    def _start(self, job: Job, step: Step, task: Task, session: WorkerSession, now: float) -> None:
        run = Run(
            task=task.id,
            number=self._next_run_number(task),
            cpu=step.cpu,
            memory_mb=step.memory_mb,
            gpu=step.gpu,
            ordered_at=now,
            expected_s=self._run_times.expect_run_s(job, task.id.step, session.info),
        )
        worker_list_age_s = self._worker_list_age_s()
        self._metrics.record("start_list_age", worker_list_age_s)
        if not job.started:
            labels = f'route="{job.request.route}"'
            self._metrics.record("job_queueing", now - job.arrived_at, labels)
            if job.forecast_start_at is not None:
                error_s = now - job.forecast_start_at
                direction = "late" if error_s > 0 else "early"
                deferred = "yes" if self.queue.is_deferred(job) else "no"
                labels = f'direction="{direction}",deferred="{deferred}"'
                self._metrics.record("start_forecast_error", abs(error_s), labels)
            log.info(
                "job_started job=%s wait_ms=%d worker=%s list_age_ms=%d deferred=%s",
                job.request.id,
                (now - job.arrived_at) * 1000,
                session.info.id,
                worker_list_age_s * 1000,
                self.queue.is_deferred(job),
            )
        if task.previous is not None:
            log.info(
                "run_repeated job=%s task=%s run=%d worker=%s previous_run=%d previous_worker=%s"
                " previous_fate=%s previous_cause=%s",
                job.request.id,
                task.id,
                run.number,
                session.info.id,
                task.previous.number,
                task.previous.worker_id,
                task.previous.outcome.name,
                task.previous.cause.name,
            )
        self._started.append((session.info.id, run))
        job.mark_running(task)
        session.start(run, spec=job.request.spec)

    def _log_starts(self, job: Job) -> None:
        """Log the runs that were started for a job in one line, so that large jobs fit the log."""
        started, self._started = self._started, []
        if not started:
            return
        shown = started[:MAX_LOGGED_RUNS]
        log.info(
            "runs_started job=%s runs=%s more=%d",
            job.request.id,
            ",".join(f"{run.task.step}.{run.task.index}/{run.number}@{id}" for id, run in shown),
            len(started) - len(shown),
        )
