"""Choice of the worker for a task."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from zincwell.dispatch._jobs import Job, Task
from zincwell.dispatch._types import Step
from zincwell.dispatch._worker_session import WorkerSession


class AvailableWorkers:
    """The workers of one service that may start tasks, sorted by free processor capacity."""

    def __init__(self, sessions: Iterable[WorkerSession]) -> None:
        self._sessions = sorted(sessions, key=_free_cpu)

    def most_free_cpu(self) -> int:
        """Return the largest free capacity of any worker, in thousandths of a core."""
        return self._sessions[-1].free_cpu

    def find(self, *, step: Step, task: Task) -> WorkerSession | None:
        """Return the best fit for a task, or None if no worker has room for it now.

        Best fit is the worker with the least free processor capacity, so that large tasks still
        find room on others. Workers near the task's data are preferred; workers that the task
        should avoid, such as one on which it has failed, come last, as do workers that may be slow.
        """
        best: WorkerSession | None = None
        best_rank = (True, True)
        first = bisect.bisect_left(self._sessions, step.cpu, key=_free_cpu)
        for session in self._sessions[first:]:
            if not fits_now(session, step=step, task=task):
                continue
            rank = (
                session.suspect or session.info.id in task.avoided_workers,
                bool(step.rack) and step.rack not in session.info.labels,
            )
            if not any(rank):
                return session
            if best is None or rank < best_rank:
                best, best_rank = session, rank
        return best

    def have_room_for(self, job: Job, *, tasks: int) -> bool:
        """Return whether this many tasks of a job have room at once, as far as cores decide."""
        if tasks <= 1:
            return True
        cpu = max(step.cpu for _, step in job.ready_steps())
        missing = tasks
        for session in reversed(self._sessions):
            if missing <= 0 or session.free_cpu < cpu:
                break
            missing -= session.free_cpu // max(cpu, 1)
        return missing <= 0

    def note_start(self, session: WorkerSession) -> None:
        """Restore the order after a task was started on a worker."""
        self._sessions.remove(session)
        bisect.insort(self._sessions, session, key=_free_cpu)


def fits_now(session: WorkerSession, *, step: Step, task: Task) -> bool:
    """Return whether a worker may run a task and has room for it now."""
    if step.cpu > session.free_cpu or step.memory_mb > session.free_memory:
        return False
    if step.gpu > session.free_gpu:
        return False
    if step.label and step.label not in session.info.labels:
        return False
    if not step.max_per_worker:
        return True
    return session.count_runs_of_step(task.id.job, task.id.step) < step.max_per_worker


def could_ever_fit(session: WorkerSession, *, step: Step) -> bool:
    """Return whether an empty worker would have room for a task of the step."""
    info = session.info
    if step.cpu > info.cpu or step.memory_mb > info.memory_mb or step.gpu > info.gpu:
        return False
    return not step.label or step.label in info.labels


def _free_cpu(session: WorkerSession) -> int:
    return session.free_cpu
