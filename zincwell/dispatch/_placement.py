"""Which worker takes a task."""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from zincwell.dispatch._jobs import Task
from zincwell.dispatch._types import Step
from zincwell.dispatch._worker_session import WorkerSession


class AvailableWorkers:
    """The workers of one service that may start tasks, by how much processor they have free."""

    def __init__(self, sessions: Iterable[WorkerSession]) -> None:
        self._sessions = sorted(sessions, key=_free_cpu)

    def most_free_cpu(self) -> int:
        """Return the processor that is free on the emptiest worker, in thousandths of a core."""
        return self._sessions[-1].free_cpu

    def find(self, *, step: Step, task: Task) -> WorkerSession | None:
        """Return the worker that a task fits best, or None if it fits nowhere now.

        The one that keeps the least room wins, so that large tasks find room on others. A worker
        on which the task has failed comes last, one near the task's data first.
        """
        best: WorkerSession | None = None
        best_rank = (True, True)
        first = bisect.bisect_left(self._sessions, step.cpu, key=_free_cpu)
        for session in self._sessions[first:]:
            if not fits_now(session, step=step, task=task):
                continue
            rank = (
                session.info.id in task.avoided_workers,
                bool(step.rack) and step.rack not in session.info.labels,
            )
            if not any(rank):
                return session
            if best is None or rank < best_rank:
                best, best_rank = session, rank
        return best

    def note_start(self, session: WorkerSession) -> None:
        """Take note that a worker has less room than before."""
        self._sessions.remove(session)
        bisect.insort(self._sessions, session, key=_free_cpu)


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


def _free_cpu(session: WorkerSession) -> int:
    return session.free_cpu
