"""Estimates of the run times of jobs and tasks, learned from their runs."""

from __future__ import annotations

import math
from collections.abc import Mapping

from zincwell.dispatch._jobs import DoneRun, Job
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch.decisions import RunTimeEstimator, WorkerSpeeds, estimate_step_log

# Bounds of the gauge of slowdowns if no worker is known.
NO_SLOWDOWN = 1.0


class JobRunTimeEstimator:
    """Estimates run times from the runs of the same job, of its route and of its worker.

    :ivar speeds: lasting speeds of the workers.
    """

    def __init__(self) -> None:
        self.speeds = WorkerSpeeds()
        self._estimator = RunTimeEstimator()
        self._infos_by_id: dict[str, WorkerInfo] = {}
        # Kept as tuples, so that `WorkerSpeeds.is_uneven` finds its cached result.
        self._ids_by_service: dict[str, tuple[str, ...]] = {}

    # -- workers ----------------------------------------------------------------------------

    def set_workers(self, infos: Mapping[str, WorkerInfo]) -> None:
        """Record the kinds of the workers, and forget those that left or were started anew."""
        for worker_id, known in list(self._infos_by_id.items()):
            info = infos.get(worker_id)
            if info is None or info.born_ms > known.born_ms:
                self.forget(worker_id)
        for worker_id, info in infos.items():
            self._infos_by_id[worker_id] = info
            self.speeds.note_kind(worker=worker_id, kind=info.kind, service=info.service)
        ids_by_service: dict[str, list[str]] = {}
        for worker_id, info in infos.items():
            ids_by_service.setdefault(info.service, []).append(worker_id)
        self._ids_by_service = {name: tuple(ids) for name, ids in ids_by_service.items()}

    def forget(self, worker: str) -> None:
        """Forget what was learned of a worker."""
        self._infos_by_id.pop(worker, None)
        self.speeds.forget(worker)
        self._estimator.forget(worker)

    def is_uneven(self, service: str) -> bool:
        """Return whether the workers of a service differ by more than chance explains."""
        return self.speeds.is_uneven(self._ids_by_service.get(service, ()))

    def lasting_slowdown(self, worker: WorkerInfo) -> float:
        """Return how many times as long as on the typical worker tasks run here in the long run.

        1 where the workers of the service are alike.
        """
        return self.speeds.slowdown(worker.id) if self.is_uneven(worker.service) else 1.0

    def slowdown(self, worker: str) -> float:
        """Return how many times longer than in the long run tasks now take on this worker."""
        return self._estimator.slowdown(worker)

    def gauges(self) -> dict[str, float]:
        """Return gauges of the workers' lasting speeds by metric name."""
        slowdowns = [self.speeds.slowdown(worker) for worker in self._infos_by_id]
        return {
            "services_uneven": sum(1 for name in self._ids_by_service if self.is_uneven(name)),
            "worker_slowdown_min": min(slowdowns, default=NO_SLOWDOWN),
            "worker_slowdown_max": max(slowdowns, default=NO_SLOWDOWN),
        }

    # -- jobs -------------------------------------------------------------------------------

    def expect_task_s(self, job: Job, step: int) -> float:
        """Return how long a task of a step should run on a typical worker.

        A completed task of the same step predicts it better than the caller's estimate.
        """
        known_s = job.min_run_s_by_step.get(step)
        if known_s is not None:
            return known_s
        return self._expect_by_route_s(job, step)

    def expect_run_s(self, job: Job, step: int, worker: WorkerInfo) -> float:
        """Return how long a task of a step should run on a worker."""
        return self.expect_task_s(job, step) * self.lasting_slowdown(worker)

    def expect_job_s(self, job: Job) -> float:
        """Return how long the longest chain of a job's steps should run on typical workers."""
        return self._estimator.expect_s(route=job.request.route, estimate_s=job.estimate_s)

    def note_done(self, job: Job, run: Run, *, worker: WorkerInfo, now: float) -> float:
        """Learn from a run that succeeded; return its run time divided by the expected one."""
        if run.adopted or run.carried or run.orders_sent > 1:
            # The time at which the worker started it is unknown.
            return 1.0
        step = run.task.step
        run_s = now - run.ordered_at
        lasting_slowdown = self.lasting_slowdown(worker)
        expected_s = self.expect_task_s(job, step) * lasting_slowdown
        self._note_speed(job, step, run_s=run_s, worker=worker)
        self._estimator.note_done(
            route=job.request.route,
            worker=worker.id,
            estimate_s=job.request.steps[step].estimate_ms / 1000,
            run_s=run_s,
            lasting_slowdown=lasting_slowdown,
        )
        typical_s = run_s / lasting_slowdown
        job.min_run_s_by_step[step] = min(typical_s, job.min_run_s_by_step.get(step, typical_s))
        return run_s / expected_s if expected_s else 1.0

    def _expect_by_route_s(self, job: Job, step: int) -> float:
        estimate_s = job.request.steps[step].estimate_ms / 1000
        return self._estimator.expect_s(route=job.request.route, estimate_s=estimate_s)

    def _note_speed(self, job: Job, step: int, *, run_s: float, worker: WorkerInfo) -> None:
        """Learn the workers' lasting speeds from the runs of a step once all its tasks are done.

        The tasks of a step share the error of the caller's estimate, so the others tell it better
        than the route does. Those that are done first are the quick ones: compared with only them,
        each later run would look slow, most of all on the workers that have more of the later runs.
        """
        expected_s = self._expect_by_route_s(job, step)
        if run_s <= 0 or expected_s <= 0:
            return
        runs = job.done_runs_by_step.setdefault(step, [])
        runs.append(DoneRun(worker=worker, run_s=run_s, expected_s=expected_s))
        if job.unfinished_by_step[step] > 1:
            return
        del job.done_runs_by_step[step]
        logs = [
            math.log(run.run_s / run.expected_s / self.speeds.slowdown(run.worker.id))
            for run in runs
        ]
        for index, run in enumerate(runs):
            step_log, deviation = estimate_step_log(logs[:index] + logs[index + 1 :])
            self.speeds.note_done(
                worker=run.worker.id,
                kind=run.worker.kind,
                service=run.worker.service,
                run_s=run.run_s,
                expected_s=run.expected_s * math.exp(step_log),
                deviation=deviation,
            )
