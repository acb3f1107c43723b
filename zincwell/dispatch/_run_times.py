"""How long the tasks of jobs take, as far as their runs have shown."""

from __future__ import annotations

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._runs import Run
from zincwell.dispatch.decisions import RunTimes


class JobRunTimeEstimator:
    """Learns from runs, and tells what to expect of tasks and of runs."""

    def __init__(self) -> None:
        self._learned = RunTimes()

    def slowness(self, worker: str) -> float:
        """Return how many times longer than usual tasks run on a worker."""
        return self._learned.slowness(worker)

    def expect_task_s(self, job: Job, step: int) -> float:
        """Return how long a task of a step will run on a usual worker.

        Another task of the step that is done tells it better than the caller's estimate.
        """
        known_s = job.min_run_s_by_step.get(step)
        if known_s is not None:
            return known_s
        estimate_s = job.request.steps[step].estimate_ms / 1000
        return self._learned.expect_s(route=job.request.route, estimate_s=estimate_s)

    def expect_job_s(self, job: Job) -> float:
        """Return how long the longest chain of a job's steps will run."""
        return self._learned.expect_s(route=job.request.route, estimate_s=job.estimate_s)

    def note_done(self, job: Job, run: Run, *, worker: str, now: float) -> float:
        """Learn from a run that ended well; return how many times longer than expected it took."""
        if run.adopted:
            return 1.0
        step = run.task.step
        run_s = now - run.ordered_at
        expected_s = self.expect_task_s(job, step)
        self._learned.note_done(
            route=job.request.route,
            worker=worker,
            estimate_s=job.request.steps[step].estimate_ms / 1000,
            run_s=run_s,
        )
        job.min_run_s_by_step[step] = min(run_s, job.min_run_s_by_step.get(step, run_s))
        return run_s / expected_s if expected_s else 1.0
