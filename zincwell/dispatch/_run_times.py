"""Estimates of the run times of jobs and tasks, learned from their runs."""

from __future__ import annotations

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch.decisions import RunTimeEstimator, WorkerSpeeds


class JobRunTimeEstimator:
    """Estimates run times from the runs of the same job, of its route and of its worker.

    :ivar speeds: lasting speeds of the workers.
    """

    def __init__(self) -> None:
        self.speeds = WorkerSpeeds()
        self._estimator = RunTimeEstimator()

    def slowdown(self, worker: str) -> float:
        """Return how many times longer than on a typical worker tasks run on this one."""
        return self._estimator.slowdown(worker)

    def expect_task_s(self, job: Job, step: int) -> float:
        """Return how long a task of a step should run on a typical worker.

        A completed task of the same step predicts it better than the caller's estimate.
        """
        known_s = job.min_run_s_by_step.get(step)
        if known_s is not None:
            return known_s
        estimate_s = job.request.steps[step].estimate_ms / 1000
        return self._estimator.expect_s(route=job.request.route, estimate_s=estimate_s)

    def expect_job_s(self, job: Job) -> float:
        """Return how long the longest chain of a job's steps should run."""
        return self._estimator.expect_s(route=job.request.route, estimate_s=job.estimate_s)

    def forget_worker(self, worker: str) -> None:
        """Forget the speed of a worker that has restarted under its id."""
        self.speeds.forget(worker)
        self._estimator.forget(worker)

    def note_done(self, job: Job, run: Run, *, worker: WorkerInfo, now: float) -> float:
        """Learn from a run that succeeded; return its run time divided by the expected one."""
        if run.adopted or run.carried:
            # The time at which the worker started it is unknown.
            return 1.0
        step = run.task.step
        run_s = now - run.ordered_at
        expected_s = self.expect_task_s(job, step)
        estimate_s = job.request.steps[step].estimate_ms / 1000
        route = job.request.route
        self.speeds.note_done(
            worker=worker.id,
            kind=worker.kind,
            run_s=run_s,
            expected_s=self._estimator.expect_s(route=route, estimate_s=estimate_s),
        )
        self._estimator.note_done(route=route, worker=worker.id, estimate_s=estimate_s, run_s=run_s)
        job.min_run_s_by_step[step] = min(run_s, job.min_run_s_by_step.get(step, run_s))
        return run_s / expected_s if expected_s else 1.0
