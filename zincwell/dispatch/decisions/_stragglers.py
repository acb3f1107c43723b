"""Straggler detection: which workers are slow, which runs have stalled, and whether to move them.

Load condition: for some seconds a sixth of the workers stall everything that runs there, or run it
five times slower. Jobs have several tasks each, so most jobs have one on such a worker. At the same
time, without any fault, the workers of one kind take twice as long as others for everything, and
three tasks in a hundred take seven times as long as expected.

So a run is compared with what its worker takes in the long run, and with its own earlier speed, and
one long run is never enough to exclude a worker. Long tasks occupy a worker for longer than others:
18% of the tasks that are running are long ones.

A run that is moved is stopped first, and starts elsewhere only when the worker shows that it has
ended, so a task never runs twice at a time. The work that it has done is lost. So a run is moved
only if that pays off clearly, and at most twice, because a task that is slow everywhere would be
moved for ever.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

# Progress is reported in whole percent. Below this many, the run time can't be extrapolated.
MIN_PROGRESS_PERCENT = 2.0
# A run that shows no progress for this share of its expected time has stalled; the bounds apply to
# the resulting time. A run on a worker that is ten times slower would have reached 2% by then.
# Workers are polled every 0.25 s, so a time below half of that would say nothing.
STALL_SHARE = 0.25
MIN_STALL_S = 0.12
MAX_STALL_S = 0.6
# A worker is slow if all its runs take this many times longer than expected. Estimates are off by
# 40%; taken as the standard deviation of their logarithm, they are off by a factor of 1.5 for one
# job in three, and too short by 2.5 for one in a hundred.
SLOW_RUNS_RATIO = 2.5
# A run that takes less than this many times as long as expected shows that its worker is well. A
# run that was expected to take longer than it does may come near to the limit on a slow worker.
ON_TIME_RATIO = 2.0
# The same as `SLOW_RUNS_RATIO` with a single run to judge by.
SINGLE_SLOW_RUN_RATIO = 3.5
# Stopping a run takes up to 0.05 s; detecting its end and starting it elsewhere takes some 0.02 s
# more.
MOVE_COST_S = 0.07
# A move must save this many times the run time elsewhere, because estimates are off by 40%.
MIN_MOVE_GAIN = 1.5
MAX_MOVES = 2


class RunEvidence(enum.Enum):
    """What a run says about its worker.

    ``LONG``: it takes long, for reasons of the task or of the worker. ``SLOWED``: it has become
    slower while it ran, which is not the task's doing. ``NONE``: nothing; it is long by itself, or
    its speed is not known yet.
    """

    ON_TIME = enum.auto()
    LONG = enum.auto()
    SLOWED = enum.auto()
    NONE = enum.auto()


class WorkerCondition(enum.Enum):
    """Condition of a worker, judged by its runs.

    ``SUSPECT``: one long run is the only evidence. New tasks go to other workers first.
    """

    WELL = enum.auto()
    SUSPECT = enum.auto()
    SLOW = enum.auto()


def is_stalled(*, stalled_s: float, expected_s: float) -> bool:
    """Return whether a run has stalled.

    :param stalled_s: for how long its worker has shown no progress of it.
    :param expected_s: how long it takes on its worker in the long run.
    """
    return stalled_s >= min(max(STALL_SHARE * expected_s, MIN_STALL_S), MAX_STALL_S)


def is_on_time(ratio: float) -> bool:
    """Return whether a run shows that its worker is well.

    :param ratio: run time divided by the expected one.
    """
    return ratio < ON_TIME_RATIO


def is_slow_run(ratio: float) -> bool:
    """Return whether a run is so much slower than expected that its worker may be slow.

    :param ratio: run time divided by the expected one.
    """
    return ratio >= SLOW_RUNS_RATIO


def is_slow_worker(ratios: Sequence[float]) -> bool:
    """Return whether a worker is slow.

    :param ratios: run time divided by the expected one, for each of its runs. If one of them is
        not slow, the estimates of the others are wrong.
    """
    if not ratios:
        return False
    return min(ratios) >= (SLOW_RUNS_RATIO if len(ratios) > 1 else SINGLE_SLOW_RUN_RATIO)


def classify_run(*, ratio: float | None, slowed_by: float | None, excused: bool) -> RunEvidence:
    """Return what an active run says about its worker.

    :param ratio: run time at its latest speed, divided by the expected one on this worker. None if
        it is not known, or if the other tasks of the job are as long.
    :param slowed_by: by which factor it has become slower while it ran, or None if not known.
    :param excused: whether it was as slow while other runs on its worker were on time.
    """
    if ratio is None:
        return RunEvidence.NONE
    if is_on_time(ratio):
        return RunEvidence.ON_TIME
    if not is_slow_run(ratio):
        return RunEvidence.NONE
    if slowed_by is not None and slowed_by >= SLOW_RUNS_RATIO:
        return RunEvidence.SLOWED
    return RunEvidence.NONE if excused else RunEvidence.LONG


def judge_worker(
    active: Sequence[tuple[RunEvidence, float]],
    *,
    late_ratios: Sequence[float],
    on_probation: bool,
) -> WorkerCondition:
    """Return the condition of a worker.

    :param active: what each of its runs says, with its ratio; see `classify_run`.
    :param late_ratios: the same ratios of runs that ended late since the last one that ended on
        time.
    :param on_probation: whether the worker was slow and has not shown yet that it has recovered.
    """
    if any(evidence is RunEvidence.ON_TIME for evidence, _ in active):
        return WorkerCondition.WELL
    ratios = [ratio for evidence, ratio in active if evidence is not RunEvidence.NONE]
    ratios += late_ratios
    if not ratios:
        return WorkerCondition.WELL
    is_conclusive = (
        len(ratios) > 1
        or on_probation
        or any(evidence is RunEvidence.SLOWED for evidence, _ in active)
    )
    # Two runs with estimates that are too short reach the lower limit by chance, but rarely both.
    if is_conclusive and is_slow_worker(ratios) and is_slow_worker([max(ratios)]):
        return WorkerCondition.SLOW
    return WorkerCondition.SUSPECT


def is_move_worthwhile(*, remaining_s: float, expected_s: float, moves: int) -> bool:
    """Return whether a run ends clearly sooner if it is restarted on another worker.

    :param remaining_s: how long it would still run where it is.
    :param expected_s: how long it takes on a typical worker. If the run is long by itself, it is
        as long there.
    :param moves: how often the task was moved already.
    """
    return moves < MAX_MOVES and remaining_s > MIN_MOVE_GAIN * expected_s + MOVE_COST_S
