"""One run of a task on a worker, and how it can end."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from zincwell.dispatch._types import TaskId
from zincwell.dispatch.decisions import MIN_PROGRESS_PERCENT

if TYPE_CHECKING:
    from zincwell.dispatch._worker_session import WorkerSession

# A run that has taken longer than expected goes on for this share of the expected time, as far as
# anybody knows.
OVERRUN_SHARE = 0.1


class RunOutcome(enum.Enum):
    """How a run left a worker.

    ``NOT_STARTED``: the worker never began it. ``LOST``: it ended without a result, by a lapsed
    lease or with its worker. ``FAILED`` counts as an attempt, the others do not.
    """

    DONE = enum.auto()
    FAILED = enum.auto()
    STOPPED = enum.auto()
    LOST = enum.auto()
    NOT_STARTED = enum.auto()


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task on a worker.

    Times that end in ``_ms`` are on the worker's clock: what is told late, over a slow connection
    or by a worker that stood still, then says nothing wrong about how fast the run is.

    :param expected_s: how long it runs on a usual worker.
    :param adopted: an earlier owner ordered it.
    :param confirmed_at: when an answer of the worker showed it, or None while in doubt.
    :param start_deadline_ms: time after which the order is void.
    :param answered: whether the call that ordered it has ended.
    :param voided_at: when the worker was told to refuse it, or None.
    :param begun_ms: when it was first known to be at work, or None.
    :param first_percent: how far it was then.
    :param progress_ms: when it was first seen at its latest percent.
    """

    task: TaskId
    number: int
    cpu: int
    memory_mb: int
    gpu: int
    ordered_at: float
    expected_s: float = 0.0
    adopted: bool = False
    confirmed_at: float | None = None
    start_deadline_ms: int = 0
    answered: bool = False
    voided_at: float | None = None
    stopping: bool = False
    stop_sent_at: float = 0.0
    begun_ms: int | None = None
    first_percent: float = 0.0
    percent: float = 0.0
    progress_ms: int = 0

    def note_started(self, clock_ms: int, *, percent: float = 0.0) -> None:
        """Take note of the first sign that the run is at work."""
        if self.begun_ms is None:
            self.begun_ms = self.progress_ms = clock_ms
            self.first_percent = self.percent = percent

    def note_progress(self, clock_ms: int, *, percent: float) -> None:
        """Take note of how far the run is."""
        self.note_started(clock_ms, percent=percent)
        if percent > self.percent:
            self.percent = percent
            self.progress_ms = clock_ms

    def stalled_s(self, clock_ms: int) -> float:
        """Return for how long the run has shown no progress; 0 if it is not known to be at work."""
        return (clock_ms - self.progress_ms) / 1000 if self.begun_ms is not None else 0.0

    def projected_total_s(self) -> float | None:
        """Return how long the whole task takes on this worker, or None if that can't be told yet.

        It can be told once the run has shown a few percent.
        """
        gained = self.percent - self.first_percent
        if self.begun_ms is None or gained < MIN_PROGRESS_PERCENT:
            return None
        return (self.progress_ms - self.begun_ms) / 1000 * 100 / gained

    def left_s(self, now: float, *, expected_s: float) -> float:
        """Return for how much longer it will run, by its progress or else by what is expected."""
        total_s = self.projected_total_s() or expected_s
        if self.adopted:
            return total_s * (100 - self.percent) / 100
        return max(self.ordered_at + total_s - now, OVERRUN_SHARE * total_s)


class RunIndex:
    """Finds the runs of a job.

    Looking through the runs of all workers at the beginning and end of each job took half a
    millisecond with 175 workers.
    """

    def __init__(self) -> None:
        self._session_by_run: dict[str, dict[Run, WorkerSession]] = {}

    def add(self, session: WorkerSession, run: Run) -> None:
        """Note that a worker has a run."""
        self._session_by_run.setdefault(run.task.job, {})[run] = session

    def discard(self, run: Run) -> None:
        """Note that a run has left its worker."""
        sessions = self._session_by_run.get(run.task.job, {})
        sessions.pop(run, None)
        if not sessions:
            self._session_by_run.pop(run.task.job, None)

    def of_job(self, job: str) -> Iterator[tuple[WorkerSession, Run]]:
        """Iterate over the runs of a job and the sessions with their workers."""
        sessions = self._session_by_run.get(job, {})
        return iter([(session, run) for run, session in sessions.items()])
