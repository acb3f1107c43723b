"""Health of workers, judged by their runs: failing, stalled and slow workers.

A worker's speed in the long run is no question of health; see `_run_times`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import weakref
from collections.abc import Callable
from dataclasses import dataclass, field

from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._runs import Run, RunOutcome
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import (
    SLOW_WORKER_RATIO,
    RunEvidence,
    WorkerCondition,
    classify_run,
    is_move_worthwhile,
    is_on_time,
    is_slow_run,
    is_stalled,
    judge_worker,
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
# A run that ended late says nothing about its worker's condition after this time.
LATE_END_VALID_S = 2.0
# A run is excused if it was already long while this share of a run that ended on time.
MIN_OVERLAP_SHARE = 0.5


@dataclass(slots=True, kw_only=True)
class _EndedRuns:
    """The last runs that ended on a worker.

    :param on_time_from: start of the last run that ended on time, and ``on_time_until`` its end.
    :param is_on_time_new: whether active runs have not been compared with that run yet.
    :param late: end and ratio of each run that has ended late since then.
    """

    on_time_from: float = 0.0
    on_time_until: float = 0.0
    is_on_time_new: bool = False
    late: list[tuple[float, float]] = field(default_factory=list)

    def was_on_time_during(self, run: Run) -> bool:
        """Return whether the last run that was on time ran mostly while this one did."""
        overlap_s = self.on_time_until - max(self.on_time_from, run.ordered_at)
        return overlap_s > MIN_OVERLAP_SHARE * (self.on_time_until - self.on_time_from)


class WorkerHealthMonitor:
    """Quarantines unhealthy workers and moves runs away from them.

    :param sessions_by_id: sessions with the owner's workers.
    :param on_capacity_available: called when the quarantine of a worker has ended.
    :param expected_run_s: returns how long the task of a run takes on a typical worker.
    :param run_times: lasting speeds of the workers.
    :param moves_of: returns how often the task of a run was moved already.
    """

    def __init__(
        self,
        *,
        sessions_by_id: dict[str, WorkerSession],
        on_capacity_available: Callable[[], None],
        expected_run_s: Callable[[WorkerSession, Run], float],
        run_times: JobRunTimeEstimator,
        moves_of: Callable[[Run], int],
        metrics: Metrics,
    ) -> None:
        self._sessions_by_id = sessions_by_id
        self._on_capacity_available = on_capacity_available
        self._expected_run_s = expected_run_s
        self._run_times = run_times
        self._moves_of = moves_of
        self._ended_by_session: weakref.WeakKeyDictionary[WorkerSession, _EndedRuns] = (
            weakref.WeakKeyDictionary()
        )
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
        self._record_quarantine(session, "failing")
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
        condition = self._judge(session, runs)
        session.suspect = condition is WorkerCondition.SUSPECT
        if condition is WorkerCondition.SLOW and self._quarantine_slow(session, "slow"):
            self._move_slow(session, runs)

    def note_done(self, session: WorkerSession, run: Run, ratio: float) -> None:
        """Record a successful run: a fast one ends probation, a slow one renews the quarantine.

        :param ratio: its run time divided by the expected one on this worker.
        """
        self._note_ended(session, run, ratio)
        if not session.on_probation:
            return
        if ratio < SLOW_WORKER_RATIO:
            session.on_probation = False
            log.info("worker_well worker=%s ratio=%.1f", session.info.id, ratio)
        else:
            self._quarantine_slow(session, "slow")

    def gauges(self) -> dict[str, float]:
        """Return the number of workers that are slow or suspect, by metric name."""
        sessions = self._sessions_by_id.values()
        return {
            "workers_slow": sum(1 for session in sessions if session.on_probation),
            "workers_suspect": sum(1 for session in sessions if session.suspect),
        }

    def _note_ended(self, session: WorkerSession, run: Run, ratio: float) -> None:
        ended = self._ended_by_session.setdefault(session, _EndedRuns())
        if run.adopted:
            # It was ordered at an unknown time.
            return
        now = self._loop.time()
        ratio /= self._tolerance(session)
        # As with active runs, one that is late like the rest of its job shows nothing.
        was_on_time = run.expected_s and is_on_time((now - run.ordered_at) / run.expected_s)
        if was_on_time and is_on_time(ratio):
            ended.on_time_from, ended.on_time_until = run.ordered_at, now
            ended.is_on_time_new = True
            ended.late.clear()
            session.suspect = False
        elif is_slow_run(ratio) and not run.excused and not ended.was_on_time_during(run):
            ended.late.append((now, ratio))

    def _judge(self, session: WorkerSession, runs: list[Run]) -> WorkerCondition:
        ratios_by_run = {run: self._slowdown_of(session, run) for run in runs}
        ended = self._ended_by_session.setdefault(session, _EndedRuns())
        if ended.is_on_time_new:
            ended.is_on_time_new = False
            for run, ratio in ratios_by_run.items():
                if ratio is not None and is_slow_run(ratio) and ended.was_on_time_during(run):
                    run.excused = True
        active = [
            (
                classify_run(ratio=ratio, slowed_by=run.slowed_by(), excused=run.excused),
                ratio or 0.0,
            )
            for run, ratio in ratios_by_run.items()
        ]
        oldest = self._loop.time() - LATE_END_VALID_S
        late_ratios = [ratio for at, ratio in ended.late if at > oldest]
        if not late_ratios and all(
            evidence in (RunEvidence.ON_TIME, RunEvidence.NONE) for evidence, _ in active
        ):
            return WorkerCondition.WELL
        return judge_worker(
            active,
            late_ratios=late_ratios,
            on_probation=session.on_probation,
        )

    def _slowdown_of(self, session: WorkerSession, run: Run) -> float | None:
        total_s = run.recent_total_s()
        if total_s is None or not run.expected_s:
            return None
        ratio = total_s / run.expected_s
        # Most runs are as fast as expected; only others are compared with the rest of their job.
        if is_on_time(ratio):
            return ratio
        ratio = total_s / (self._expected_here_s(session, run) * self._tolerance(session))
        # The other tasks of the job may be on slow workers as well, so a run that is as long as
        # they are does not show that its worker is well.
        return ratio if is_slow_run(ratio) else None

    def _tolerance(self, session: WorkerSession) -> float:
        """Return the factor by which a worker's lasting slowdown may exceed its estimate.

        A new owner does not know the kinds of workers. In its first second, most workers of a slow
        kind would be quarantined.
        """
        return math.exp(self._run_times.speeds.uncertainty(session.info.id))

    def _expected_here_s(self, session: WorkerSession, run: Run) -> float:
        lasting_slowdown = self._run_times.lasting_slowdown(session.info)
        return self._expected_run_s(session, run) * lasting_slowdown

    def _move_slow(self, session: WorkerSession, runs: list[Run]) -> None:
        for run in runs:
            if session.may_move(run) and is_move_worthwhile(
                remaining_s=self._remaining_s(session, run),
                expected_s=self._expected_elsewhere_s(session, run),
                moves=self._moves_of(run),
            ):
                self._move(session, run, "slow")

    def _remaining_s(self, session: WorkerSession, run: Run) -> float:
        total_s = run.recent_total_s()
        if total_s is not None:
            return total_s * (100 - run.percent) / 100
        here_s = self._expected_here_s(session, run)
        return run.remaining_s(self._loop.time(), expected_s=here_s)

    def _expected_elsewhere_s(self, session: WorkerSession, run: Run) -> float:
        """Return how long a run would take on a typical worker.

        A run that was measured while its worker was well takes as long elsewhere, also if that is
        longer than expected.
        """
        expected_s = self._expected_run_s(session, run)
        best_total_s = run.best_total_s()
        if best_total_s is None or not (run.excused or is_slow_run(run.slowed_by() or 0.0)):
            return expected_s
        lasting_slowdown = self._run_times.lasting_slowdown(session.info)
        return max(expected_s, best_total_s / lasting_slowdown)

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
        self._record_quarantine(session, reason)
        self._ended_by_session.pop(session, None)
        session.quarantine(until=now + SLOW_QUARANTINE_S)
        self._loop.call_later(SLOW_QUARANTINE_S, self._on_capacity_available)
        return True

    def _record_quarantine(self, session: WorkerSession, reason: str) -> None:
        self._metrics.count("workers_set_aside", f'reason="{reason}"')
        log.warning(
            'worker_set_aside worker=%s reason=%s kind="%s" slowdown=%.2f uncertainty=%.2f runs=%d',
            session.info.id,
            reason,
            session.info.kind,
            self._run_times.speeds.slowdown(session.info.id),
            self._run_times.speeds.uncertainty(session.info.id),
            len(session.runs),
        )
