"""Choice of the worker for a task."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from zincwell.dispatch._jobs import Task
from zincwell.dispatch._types import Step
from zincwell.dispatch._worker_session import WorkerSession


class AvailableWorkers:
    """The workers of one service that may start tasks, sorted by free processor capacity."""

    def __init__(self, sessions: Iterable[WorkerSession]) -> None:
        self._sessions = sorted(sessions, key=_free_cpu)

    def most_free_cpu(self) -> int:
        """Return the largest free capacity of any worker, in thousandths of a core."""
        return self._sessions[-1].free_cpu if self._sessions else 0

    def count_slots(self, *, step: Step, limit: int) -> int:
        """Return for how many tasks of a step there is room now, at most ``limit``."""
        slots = 0
        first = bisect.bisect_left(self._sessions, step.cpu, key=_free_cpu)
        for session in self._sessions[first:]:
            slots += _count_slots(session, step=step, limit=limit)
            if slots >= limit:
                return limit
        return slots

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
            rank = rank_worker(session, step=step, task=task)
            if not any(rank):
                return session
            if best is None or rank < best_rank:
                best, best_rank = session, rank
        return best

    def discard_widest(self) -> None:
        """Remove the worker with the most free capacity."""
        self._sessions.pop()

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


def rank_worker(session: WorkerSession, *, step: Step, task: Task) -> tuple[bool, bool]:
    """Return the rank of a worker for a task; lower ones come first, whatever their capacity."""
    return (
        session.suspect or session.info.id in task.avoided_workers,
        bool(step.rack) and step.rack not in session.info.labels,
    )


def _count_slots(session: WorkerSession, *, step: Step, limit: int) -> int:
    if step.label and step.label not in session.info.labels:
        return 0
    slots = min(limit, step.max_per_worker or limit)
    for demand, free in (
        (step.cpu, session.free_cpu),
        (step.memory_mb, session.free_memory),
        (step.gpu, session.free_gpu),
    ):
        if demand:
            slots = min(slots, free // demand)
    return max(slots, 0)


def could_ever_fit(session: WorkerSession, *, step: Step) -> bool:
    """Return whether an empty worker would have room for a task of the step."""
    info = session.info
    if step.cpu > info.cpu or step.memory_mb > info.memory_mb or step.gpu > info.gpu:
        return False
    return not step.label or step.label in info.labels


def _free_cpu(session: WorkerSession) -> int:
    return session.free_cpu
