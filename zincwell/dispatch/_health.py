"""Workers that fail what others do, or let runs stand still."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._runs import Run, RunFate
from zincwell.dispatch._worker import WorkerSession

log = logging.getLogger("zincwell.health")

# A worker that failed tasks of this many jobs in a row, while others succeed, is set aside.
FAILURES_TO_SET_ASIDE = 2
SET_ASIDE_S = 2.0
# At most this share of the workers is set aside, so that bad jobs don't empty the pool.
MAX_SHARE_ASIDE = 0.34
# A run whose progress stands still for this long is started elsewhere. Progress comes in
# percent: a task of 3.6 s, the longest seen, gains one every 36 ms.
STALL_S = 0.6


class WorkerJudge:
    """Sets workers aside by what becomes of their runs.

    :param sessions_by_id: the owner's workers.
    :param on_room: called when a worker that was set aside may be tried again.
    """

    def __init__(
        self,
        *,
        sessions_by_id: dict[str, WorkerSession],
        on_room: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._sessions_by_id = sessions_by_id
        self._on_room = on_room
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def note_end(self, session: WorkerSession, run: Run, fate: RunFate) -> None:
        """Set a worker aside that fails what others do.

        A worker that fails everything at once looks idle and would draw the whole queue. Failures
        of one job count once, so that a job that can't be done does not set workers aside.
        """
        if fate is RunFate.DONE:
            session.failed_jobs.clear()
            return
        if fate is not RunFate.FAILED:
            return
        session.failed_jobs.add(run.task.job)
        if len(session.failed_jobs) < FAILURES_TO_SET_ASIDE:
            return
        now = self._loop.time()
        aside = sum(1 for other in self._sessions_by_id.values() if other.aside_until > now)
        if aside + 1 > MAX_SHARE_ASIDE * len(self._sessions_by_id):
            return
        self._metrics.count("workers_set_aside")
        log.warning("worker_set_aside worker=%s for_s=%s", session.info.id, SET_ASIDE_S)
        session.aside_until = now + SET_ASIDE_S
        self._loop.call_later(SET_ASIDE_S, self._on_room)

    def move_stalled(self) -> None:
        """Stop runs that stand still, so that they start elsewhere."""
        now = self._loop.time()
        for session in self._sessions_by_id.values():
            if session.silent:
                continue
            for run in session.runs.values():
                if _is_stalled(session, run, now):
                    log.warning(
                        "run_stalled task=%s worker=%s percent=%s",
                        run.task,
                        session.info.id,
                        run.percent,
                    )
                    session.stop(run)
                    session.aside_until = now + SET_ASIDE_S


def _is_stalled(session: WorkerSession, run: Run, now: float) -> bool:
    if run.stopping or not run.progress_at:
        return False
    # A worker that did not answer lately may have moved on unseen.
    return min(now, session.last_answer_at) - run.progress_at >= STALL_S
