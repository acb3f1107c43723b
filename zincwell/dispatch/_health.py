"""Workers that fail what others do, or let runs stand still."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._runs import Run, RunOutcome
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import (
    SLOW_WORKER,
    is_slow_run,
    is_slow_worker,
    is_stalled,
    pays_to_move,
)

log = logging.getLogger("zincwell.health")

# A worker that failed tasks of this many jobs in a row, while others succeed, is set aside.
FAILURES_TO_SET_ASIDE = 2
SET_ASIDE_S = 2.0
# At most this share of the workers is set aside, so that bad jobs don't empty the pool.
MAX_SHARE_ASIDE = 0.34
# A worker that is slow, or lets a run stand still, gets nothing for this long, and then one run
# at a time until one shows that it is well again. Such workers are ill for seconds.
SLOW_ASIDE_S = 1.0
# At most this share of the workers is set aside for it: if most are slow, that is how it is.
MAX_SHARE_SLOW = 0.5


class WorkerHealthMonitor:
    """Sets workers aside by what becomes of their runs.

    :param sessions_by_id: the owner's workers.
    :param on_capacity_available: called when a worker that was set aside may be tried again.
    :param expect_s: returns how long the task of a run takes on a usual worker.
    :param moves_of: returns how often the task of a run was moved already.
    """

    def __init__(
        self,
        *,
        sessions_by_id: dict[str, WorkerSession],
        on_capacity_available: Callable[[], None],
        expect_s: Callable[[WorkerSession, Run], float],
        moves_of: Callable[[Run], int],
        metrics: Metrics,
    ) -> None:
        self._sessions_by_id = sessions_by_id
        self._on_room = on_capacity_available
        self._expect_s = expect_s
        self._moves_of = moves_of
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def note_end(self, session: WorkerSession, run: Run, outcome: RunOutcome) -> None:
        """Set a worker aside that fails what others do.

        A worker that fails everything at once looks idle and would draw the whole queue. Failures
        of one job count once, so that a job that can't be done does not set workers aside.
        """
        if outcome is RunOutcome.DONE:
            session.failed_jobs.clear()
            return
        if outcome is not RunOutcome.FAILED:
            return
        session.failed_jobs.add(run.task.job)
        if len(session.failed_jobs) < FAILURES_TO_SET_ASIDE:
            return
        now = self._loop.time()
        aside = sum(1 for other in self._sessions_by_id.values() if other.quarantined_until > now)
        if aside + 1 > MAX_SHARE_ASIDE * len(self._sessions_by_id):
            return
        self._metrics.count("workers_set_aside", 'reason="failing"')
        log.warning("worker_set_aside worker=%s reason=failing", session.info.id)
        session.quarantined_until = now + SET_ASIDE_S
        self._loop.call_later(SET_ASIDE_S, self._on_room)

    def check_progress(self, session: WorkerSession, clock_ms: int) -> None:
        """Set a worker aside that is slow or stands still, and move what pays to be moved.

        :param clock_ms: when it showed its runs, on its own clock.
        """
        runs = [run for run in session.runs.values() if not run.stopping]
        stalled = [
            run
            for run in runs
            if is_stalled(stalled_s=run.stalled_s(clock_ms), expected_s=run.expected_s)
        ]
        if stalled:
            self._set_slow_aside(session, "stalled")
            for run in stalled:
                self._move(session, run, "stalled")
            return
        ratios = [self._ratio_of(session, run) for run in runs]
        known = [ratio for ratio in ratios if ratio is not None]
        if is_slow_worker(known) and self._set_slow_aside(session, "slow"):
            self._move_slow(session, runs)

    def note_done(self, session: WorkerSession, ratio: float) -> None:
        """Take note of how many times longer than expected a run took that ended well."""
        if not session.on_probation:
            return
        if ratio < SLOW_WORKER:
            session.on_probation = False
            log.info("worker_well worker=%s ratio=%.1f", session.info.id, ratio)
        else:
            self._set_slow_aside(session, "slow")

    def _ratio_of(self, session: WorkerSession, run: Run) -> float | None:
        total_s = run.projected_total_s()
        if total_s is None or not run.expected_s:
            return None
        ratio = total_s / run.expected_s
        # Most runs are as quick as expected; the others are compared to the rest of their job.
        return total_s / self._expect_s(session, run) if is_slow_run(ratio) else ratio

    def _move_slow(self, session: WorkerSession, runs: list[Run]) -> None:
        now = self._loop.time()
        for run in runs:
            expected_s = self._expect_s(session, run)
            left_s = run.left_s(now, expected_s=expected_s)
            if pays_to_move(left_s=left_s, expected_s=expected_s, moves=self._moves_of(run)):
                self._move(session, run, "slow")

    def _move(self, session: WorkerSession, run: Run, reason: str) -> None:
        self._metrics.count("runs_moved", f'reason="{reason}"')
        log.warning(
            "run_moved task=%s worker=%s reason=%s percent=%d expected_ms=%d",
            run.task,
            session.info.id,
            reason,
            run.percent,
            run.expected_s * 1000,
        )
        session.stop(run)

    def _set_slow_aside(self, session: WorkerSession, reason: str) -> bool:
        now = self._loop.time()
        if session.quarantined_until > now:
            return True
        slow = sum(1 for other in self._sessions_by_id.values() if other.on_probation)
        if not session.on_probation and slow + 1 > MAX_SHARE_SLOW * len(self._sessions_by_id):
            return False
        self._metrics.count("workers_set_aside", f'reason="{reason}"')
        log.warning("worker_set_aside worker=%s reason=%s", session.info.id, reason)
        session.quarantine(until=now + SLOW_ASIDE_S)
        self._loop.call_later(SLOW_ASIDE_S, self._on_room)
        return True
