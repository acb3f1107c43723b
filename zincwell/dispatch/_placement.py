"""Which task is next and which worker takes it."""

from __future__ import annotations

from collections.abc import Iterable

from zincwell.dispatch._jobs import Job, Task
from zincwell.dispatch._types import Step
from zincwell.dispatch._worker import WorkerSession


def queue_key(job: Job, now: float) -> tuple[bool, int, float, float]:
    """Return the place of a job in the queue: urgent first, then short, then old.

    A job that has begun and is past its objective goes before all others. It can't be refused any
    more, and behind jobs that are more urgent its last tasks would wait for as long as these come.
    """
    overdue = job.started and now - job.arrived_at > job.request.slo_s()
    return (not overdue, job.request.priority, job.estimate_s, job.arrived_at)


def choose_worker(
    sessions: Iterable[WorkerSession], *, step: Step, task: Task
) -> WorkerSession | None:
    """Return the worker that a task fits best, or None if it fits nowhere now.

    The one that keeps the least room wins, so that large tasks find room on others. A worker on
    which the task has failed comes last, one near the task's data first.
    """
    best: WorkerSession | None = None
    best_rank: tuple[bool, bool, int] | None = None
    for session in sessions:
        if not fits_now(session, step=step, task=task):
            continue
        rank = (
            session.info.id in task.avoid,
            bool(step.rack) and step.rack not in session.info.labels,
            session.free_cpu - step.cpu,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = session, rank
    return best


def fits_now(session: WorkerSession, *, step: Step, task: Task) -> bool:
    """Return whether a worker has room for a task and may run it."""
    if step.cpu > session.free_cpu or step.memory_mb > session.free_memory:
        return False
    if step.gpu > session.free_gpu:
        return False
    if step.label and step.label not in session.info.labels:
        return False
    if not step.max_per_worker:
        return True
    return session.count_of_step(task.id.job, task.id.step) < step.max_per_worker


def could_ever_fit(session: WorkerSession, *, step: Step) -> bool:
    """Return whether an empty worker would have room for a task of the step."""
    info = session.info
    if step.cpu > info.cpu or step.memory_mb > info.memory_mb or step.gpu > info.gpu:
        return False
    return not step.label or step.label in info.labels
