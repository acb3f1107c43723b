"""Health of workers, judged by their runs: failing, stalled and slow workers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._runs import Run, RunOutcome
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import (
    SLOW_WORKER_RATIO,
    is_move_worthwhile,
    is_slow_run,
    is_slow_worker,
    is_stalled,
)

log = logging.getLogger("zincwell.health")

# A worker that failed tasks of this many jobs without a success in between is quarantined.
FAILED_JOBS_TO_QUARANTINE = 2
FAILURE_QUARANTINE_S = 2.0
# Failures quarantine no worker if more than this share of all would then be in quarantine, so that
# jobs that always fail don't empty the pool.
MAX_QUARANTINED_SHARE = 0.34
# A slow or stalled worker gets no runs for this many seconds, and then one at a time until one
# shows that it has recovered. Such a state lasts for seconds.
SLOW_QUARANTINE_S = 1.0
# At most this share of the workers counts as slow: if most are slow, their speed is the norm.
MAX_SLOW_SHARE = 0.5


class WorkerHealthMonitor:
    """Quarantines unhealthy workers and moves runs away from them.

    :param sessions_by_id: sessions with the owner's workers.
    :param on_capacity_available: called when the quarantine of a worker has ended.
    :param expected_run_s: returns how long the task of a run takes on a typical worker.
    :param moves_of: returns how often the task of a run was moved already.
    """

    def __init__(
        self,
        *,
        sessions_by_id: dict[str, WorkerSession],
        on_capacity_available: Callable[[], None],
        expected_run_s: Callable[[WorkerSession, Run], float],
        moves_of: Callable[[Run], int],
        metrics: Metrics,
    ) -> None:
        self._sessions_by_id = sessions_by_id
        self._on_capacity_available = on_capacity_available
        self._expected_run_s = expected_run_s
        self._moves_of = moves_of
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def note_end(self, session: WorkerSession, run: Run, outcome: RunOutcome) -> None:
        """Record the end of a run, and quarantine a worker that fails tasks of several jobs.

        A worker that fails every run immediately looks idle and would attract the whole queue.
        Failures of one job count once, so that a job that always fails quarantines no worker.
        """
        if outcome is RunOutcome.DONE:
            session.failed_jobs.clear()
            return
        if outcome is not RunOutcome.FAILED:
            return
        session.failed_jobs.add(run.task.job)
        if len(session.failed_jobs) < FAILED_JOBS_TO_QUARANTINE:
            return
        now = self._loop.time()
        quarantined = sum(
            1 for other in self._sessions_by_id.values() if other.quarantined_until > now
        )
        if quarantined + 1 > MAX_QUARANTINED_SHARE * len(self._sessions_by_id):
            return
        self._metrics.count("workers_set_aside", 'reason="failing"')
        log.warning("worker_set_aside worker=%s reason=failing", session.info.id)
        session.quarantined_until = now + FAILURE_QUARANTINE_S
        self._loop.call_later(FAILURE_QUARANTINE_S, self._on_capacity_available)

    def check_progress(self, session: WorkerSession, clock_ms: int) -> None:
        """Quarantine a stalled or slow worker; move its stalled runs, or slow ones if worthwhile.

        :param clock_ms: when the worker reported its runs, on its own clock.
        """
        runs = [run for run in session.runs.values() if not run.stopping]
        stalled = [
            run
            for run in runs
            if is_stalled(stalled_s=run.stalled_s(clock_ms), expected_s=run.expected_s)
        ]
        if stalled:
            self._quarantine_slow(session, "stalled")
            for run in stalled:
                self._move(session, run, "stalled")
            return
        ratios = [self._slowdown_of(session, run) for run in runs]
        known = [ratio for ratio in ratios if ratio is not None]
        if is_slow_worker(known) and self._quarantine_slow(session, "slow"):
            self._move_slow(session, runs)

    def note_done(self, session: WorkerSession, ratio: float) -> None:
        """Record a successful run: a fast one ends probation, a slow one renews the quarantine.

        :param ratio: its run time divided by the expected one.
        """
        if not session.on_probation:
            return
        if ratio < SLOW_WORKER_RATIO:
            session.on_probation = False
            log.info("worker_well worker=%s ratio=%.1f", session.info.id, ratio)
        else:
            self._quarantine_slow(session, "slow")

    def _slowdown_of(self, session: WorkerSession, run: Run) -> float | None:
        total_s = run.projected_total_s()
        if total_s is None or not run.expected_s:
            return None
        ratio = total_s / run.expected_s
        # Most runs are as fast as expected; only others are compared with the rest of their job.
        return total_s / self._expected_run_s(session, run) if is_slow_run(ratio) else ratio

    def _move_slow(self, session: WorkerSession, runs: list[Run]) -> None:
        now = self._loop.time()
        for run in runs:
            expected_s = self._expected_run_s(session, run)
            remaining_s = run.remaining_s(now, expected_s=expected_s)
            if is_move_worthwhile(
                remaining_s=remaining_s, expected_s=expected_s, moves=self._moves_of(run)
            ):
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

    def _quarantine_slow(self, session: WorkerSession, reason: str) -> bool:
        now = self._loop.time()
        if session.quarantined_until > now:
            return True
        slow = sum(1 for other in self._sessions_by_id.values() if other.on_probation)
        if not session.on_probation and slow + 1 > MAX_SLOW_SHARE * len(self._sessions_by_id):
            return False
        self._metrics.count("workers_set_aside", f'reason="{reason}"')
        log.warning("worker_set_aside worker=%s reason=%s", session.info.id, reason)
        session.quarantine(until=now + SLOW_QUARANTINE_S)
        self._loop.call_later(SLOW_QUARANTINE_S, self._on_capacity_available)
        return True
