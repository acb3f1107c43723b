"""Runs of tasks on workers, and their possible outcomes."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from zincwell.dispatch._types import TaskId
from zincwell.dispatch.decisions import MIN_PROGRESS_PERCENT

if TYPE_CHECKING:
    from zincwell.dispatch._worker_session import WorkerSession

# Estimated remaining time of a run that has exceeded its expected time, as a share of that time.
OVERRUN_REMAINING_SHARE = 0.1
# The speed of a run is measured over windows of at least this time and progress. Progress is
# reported in whole percent, so that a change by a factor of 2.5 shows from 4% on.
RATE_WINDOW_MS = 100
RATE_WINDOW_PERCENT = 4.0
PERCENT_ERROR = 1.0


class RunOutcome(enum.Enum):
    """How a run ended.

    ``NOT_STARTED``: the worker never started it. ``LOST``: it ended without a result, since its
    lease expired or its worker failed. Only ``FAILED`` counts as an attempt of the task.
    """

    DONE = enum.auto()
    FAILED = enum.auto()
    STOPPED = enum.auto()
    LOST = enum.auto()
    NOT_STARTED = enum.auto()


class EndCause(enum.Enum):
    """From what an owner knows that a run has ended, or never begins.

    ``REPORTED``: the worker has listed its end. ``REFUSED``: the worker has refused its start
    order. ``FENCED``: the same, under a fencing token that is too low. ``NOT_LISTED``: it was
    confirmed, the worker does not list it, and has refused it for longer than a stop takes.
    ``NEVER_LISTED``: the same, but it was never confirmed. ``RESTARTED``: the worker has restarted
    since it was confirmed. ``LEASES_EXPIRED``: the worker is silent, and no lease can be in force.
    ``REPLACED``: another process answers at the worker's address and is listed there.
    """

    REPORTED = enum.auto()
    REFUSED = enum.auto()
    FENCED = enum.auto()
    NOT_LISTED = enum.auto()
    NEVER_LISTED = enum.auto()
    RESTARTED = enum.auto()
    LEASES_EXPIRED = enum.auto()
    REPLACED = enum.auto()


@dataclass(slots=True, frozen=True, kw_only=True)
class RunEnd:
    """How a run of a task ended.

    :param number: number of the run.
    :param worker_id: worker to which it was ordered.
    """

    number: int
    worker_id: str
    outcome: RunOutcome
    cause: EndCause


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task on a worker.

    Attributes that end in ``_ms`` are times on the worker's clock, so that late reports, caused by
    a slow connection or a suspended worker, don't distort the measured speed.

    :param expected_s: expected run time on its worker in the long run.
    :param adopted: whether a previous owner ordered it.
    :param confirmed_at: when the worker first confirmed it, or None while the start is unconfirmed.
    :param start_deadline_ms: time after which the worker refuses the start order.
    :param spec: what the task has to do, as its caller described it.
    :param orders_sent: how often its start order was sent.
    :param answered: whether the start call has returned or failed.
    :param refused_since: when the worker first answered a stop order of it, or None.
    :param listed: whether the present incarnation of the worker has listed it.
    :param missing: whether the worker's newest list leaves it out.
    :param carried: whether it was ordered to an earlier incarnation of the worker, so that the
        present one may neither know the order nor refuse it past its deadline.
    :param ended_with_incarnation: whether an earlier incarnation of the worker has listed it, and
        the present one has not. An answer to a start order does not tell the incarnation.
    :param started_ms: when it was first known to be active, or None.
    :param first_percent: its progress at ``started_ms``.
    :param last_progress_ms: when its latest progress was first reported.
    :param excused: whether it was slow while other runs on its worker were on time, so that the
        reason is the task and not the worker.
    :param window_ms: start of the current window over which its speed is measured.
    :param recent_rate: upper bound of its latest speed in percent per ms, or None.
    :param best_rate: lower bound of its highest speed in any full window, or None.
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
    spec: str = ""
    orders_sent: int = 0
    answered: bool = False
    refused_since: float | None = None
    listed: bool = False
    missing: bool = False
    stopping: bool = False
    stop_sent_at: float = 0.0
    carried: bool = False
    ended_with_incarnation: bool = False
    started_ms: int | None = None
    first_percent: float = 0.0
    percent: float = 0.0
    last_progress_ms: int = 0
    excused: bool = False
    window_ms: int = 0
    window_percent: float = 0.0
    recent_rate: float | None = None
    best_rate: float | None = None

    def note_started(self, clock_ms: int, *, percent: float = 0.0) -> None:
        """Record the first report that the run is active."""
        if self.started_ms is None:
            self.started_ms = self.last_progress_ms = clock_ms
            self.first_percent = self.percent = percent
            self.window_ms, self.window_percent = clock_ms, percent

    def carry_over(self) -> None:
        """Forget what depends on the worker's earlier incarnation: its clock and its refusals."""
        self.carried = True
        self.ended_with_incarnation = self.listed
        self.listed = False
        self.refused_since = None
        self.missing = False
        self.started_ms = None
        self.first_percent = self.percent = 0.0
        self.recent_rate = self.best_rate = None
        self.excused = False

    def note_progress(self, clock_ms: int, *, percent: float) -> None:
        """Record the progress of the run."""
        self.note_started(clock_ms, percent=percent)
        if percent > self.percent:
            self.percent = percent
            self.last_progress_ms = clock_ms
        self._note_rate(clock_ms)

    def _note_rate(self, clock_ms: int) -> None:
        elapsed_ms = clock_ms - self.window_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        gained = self.percent - self.window_percent
        rate = (gained + PERCENT_ERROR) / elapsed_ms
        if gained < RATE_WINDOW_PERCENT:
            # Progress within a percent is unknown, so a part of a window shows only a lower speed.
            if self.recent_rate is not None:
                self.recent_rate = min(self.recent_rate, rate)
            return
        self.recent_rate = rate
        self.best_rate = max(self.best_rate or 0.0, (gained - PERCENT_ERROR) / elapsed_ms)
        self.window_ms, self.window_percent = clock_ms, self.percent

    def slowed_by(self) -> float | None:
        """Return by which factor it is slower now than it was at its fastest.

        None until it was measured over one full window.
        """
        if self.best_rate is None or self.recent_rate is None:
            return None
        return self.best_rate / self.recent_rate

    def recent_total_s(self) -> float | None:
        """Return its total run time in seconds at its latest speed; None until that is known."""
        if self.recent_rate is None:
            return self.projected_total_s()
        return 0.1 / self.recent_rate

    def best_total_s(self) -> float | None:
        """Return its total run time in seconds at its highest speed, or None."""
        return 0.1 / self.best_rate if self.best_rate else None

    def stalled_s(self, clock_ms: int) -> float:
        """Return the time in seconds without progress; 0 if the run is not known to be active."""
        return (clock_ms - self.last_progress_ms) / 1000 if self.started_ms is not None else 0.0

    def projected_total_s(self) -> float | None:
        """Return the extrapolated total run time in seconds.

        None until the run has made progress of a few percent.
        """
        gained_percent = self.percent - self.first_percent
        if self.started_ms is None or gained_percent < MIN_PROGRESS_PERCENT:
            return None
        return (self.last_progress_ms - self.started_ms) / 1000 * 100 / gained_percent

    def remaining_s(self, now: float, *, expected_s: float) -> float:
        """Return the estimated remaining time in seconds, by progress or by the expected time."""
        total_s = self.projected_total_s() or expected_s
        if self.adopted:
            return total_s * (100 - self.percent) / 100
        return max(self.ordered_at + total_s - now, OVERRUN_REMAINING_SHARE * total_s)


class RunIndex:
    """Index of runs by job.

    Searching the runs of all workers at the start and end of each job would take half a
    millisecond with 175 workers.
    """

    def __init__(self) -> None:
        self._sessions_by_job: dict[str, dict[Run, WorkerSession]] = {}

    def add(self, session: WorkerSession, run: Run) -> None:
        """Add a run."""
        self._sessions_by_job.setdefault(run.task.job, {})[run] = session

    def discard(self, run: Run) -> None:
        """Remove a run."""
        sessions = self._sessions_by_job.get(run.task.job, {})
        sessions.pop(run, None)
        if not sessions:
            self._sessions_by_job.pop(run.task.job, None)

    def job_ids(self) -> Iterable[str]:
        """Return the ids of the jobs that have runs."""
        return self._sessions_by_job.keys()

    def of_job(self, job: str) -> Iterator[tuple[WorkerSession, Run]]:
        """Iterate over the runs of a job, each with the session of its worker."""
        sessions = self._sessions_by_job.get(job, {})
        return iter([(session, run) for run, session in sessions.items()])
