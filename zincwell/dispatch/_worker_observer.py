"""What a session with a worker tells and asks its owner."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

from zincwell.dispatch._runs import EndCause, Run, RunOutcome
from zincwell.dispatch._types import TaskId
from zincwell.dispatch.ports import EndKind

if TYPE_CHECKING:
    from zincwell.dispatch._worker_session import WorkerSession


class WorkerObserver(abc.ABC):
    """Callbacks and queries of a session to the owner."""

    @abc.abstractmethod
    def on_held(self, session: WorkerSession) -> None:
        """Handle a worker that has accepted the fencing token and reported its runs."""

    @abc.abstractmethod
    def on_capacity_available(self) -> None:
        """Handle capacity that may have become available on a worker."""

    @abc.abstractmethod
    def on_run_added(self, session: WorkerSession, run: Run) -> None:
        """Record a run that was ordered or adopted."""

    @abc.abstractmethod
    def on_run_ended(
        self, session: WorkerSession, run: Run, outcome: RunOutcome, cause: EndCause
    ) -> None:
        """Handle the end of a run on the worker."""

    @abc.abstractmethod
    def on_run_missing(self) -> None:
        """Count a run that a worker does not list and has not reported as ended."""

    @abc.abstractmethod
    def may_order_again(self, session: WorkerSession, task: TaskId) -> bool:
        """Return whether a start order may be sent again, also after a restart of the worker."""

    @abc.abstractmethod
    def min_poll_interval_s(self) -> float:
        """Return the shortest interval in seconds between polls of one worker."""

    @abc.abstractmethod
    def on_progress_reported(self, session: WorkerSession, clock_ms: int) -> None:
        """Handle a progress report of the worker.

        :param clock_ms: time of the report on the worker's clock.
        """

    @abc.abstractmethod
    def on_orphaned_run(self, session: WorkerSession, task: TaskId, number: int) -> Run | None:
        """Return the run to adopt for a task that a previous owner started, or None."""

    @abc.abstractmethod
    def on_orphaned_run_ended(self, task: TaskId, kind: EndKind) -> None:
        """Record the end of a run that this owner did not order."""

    @abc.abstractmethod
    def call_when_end_is_known(self, task: TaskId, listener: Callable[[], None]) -> bool:
        """Call a listener once the waiting entries know that a task is done.

        Returns False if they know it already, so that the end may be acknowledged.
        """

    @abc.abstractmethod
    def on_fenced(self, session: WorkerSession) -> None:
        """Handle a worker that has accepted a higher fencing token of another owner."""

    @abc.abstractmethod
    def on_replaced(self, session: WorkerSession) -> None:
        """Handle another process that answers at the worker's address."""

    @abc.abstractmethod
    def on_newer_incarnation(self, session: WorkerSession, born_ms: int) -> None:
        """Replace the session, since a newer incarnation of the worker has answered."""
