"""Orphaned runs of an owner's workers, and when they are stopped."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from zincwell.dispatch._types import TaskId
from zincwell.dispatch._worker_session import WorkerSession

log = logging.getLogger("zincwell.owner")

# Orphaned runs that no job claims within this time are stopped. Entries resubmit their jobs within
# about 10 ms of a new owner's first heartbeat. The value must stay well below 1.3 s, the earliest
# time after its last lease renewal at which a partitioned owner counts its runs as expired.
ORPHAN_GRACE_S = 0.3
# A stop order is repeated if the worker still reports the run after this time.
STOP_RETRY_S = 0.15


@dataclass(slots=True, kw_only=True, eq=False)
class OrphanedRun:
    """A run that belongs to no open job.

    :param stop_at: event loop time of the next stop order.
    """

    session: WorkerSession
    task: TaskId
    number: int
    stop_at: float


class OrphanedRunStopper:
    """Stops orphaned runs: those of cancelled jobs at once, any other after `ORPHAN_GRACE_S`.

    The time counts from the first report of each run, so that a run that appears later than others
    on its worker gets the whole time to be claimed.

    :param sessions_by_id: sessions with the owner's workers.
    :param is_cancelled: returns whether a job was cancelled recently.
    """

    def __init__(
        self,
        *,
        sessions_by_id: Mapping[str, WorkerSession],
        is_cancelled: Callable[[str], bool],
    ) -> None:
        self._sessions_by_id = sessions_by_id
        self._is_cancelled = is_cancelled
        self._runs_by_place: dict[tuple[WorkerSession, TaskId], OrphanedRun] = {}
        self._loop = asyncio.get_running_loop()

    def note(self, session: WorkerSession, task: TaskId, number: int) -> None:
        """Record that a worker has reported an orphaned run."""
        run = self._runs_by_place.get((session, task))
        if run is not None and run.number == number:
            return
        run = OrphanedRun(
            session=session,
            task=task,
            number=number,
            stop_at=self._loop.time() + ORPHAN_GRACE_S,
        )
        self._runs_by_place[session, task] = run
        if self._is_cancelled(task.job):
            self._stop(run, reason="cancelled")

    def stop_job(self, job_id: str) -> None:
        """Stop the orphaned runs of a job that was cancelled."""
        for run in self._runs_by_place.values():
            if run.task.job == job_id and self._is_reported(run):
                self._stop(run, reason="cancelled")

    def stop_due(self, now: float) -> None:
        """Stop the runs that no job has claimed in time, and repeat unanswered stop orders."""
        for place, run in list(self._runs_by_place.items()):
            if not self._is_reported(run):
                del self._runs_by_place[place]
            elif now >= run.stop_at:
                self._stop(run, reason="unclaimed")

    def _is_reported(self, run: OrphanedRun) -> bool:
        """Return whether the worker still reports the run, and no job has claimed it."""
        is_open = self._sessions_by_id.get(run.session.info.id) is run.session
        return is_open and run.session.orphaned_runs.get(run.task) == run.number

    def _stop(self, run: OrphanedRun, *, reason: str) -> None:
        log.info(
            "orphaned_run_stopped worker=%s task=%s run=%d reason=%s",
            run.session.info.id,
            run.task,
            run.number,
            reason,
        )
        run.stop_at = self._loop.time() + STOP_RETRY_S
        run.session.stop_orphaned_run(run.task, run.number)
