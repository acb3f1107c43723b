"""Straggler detection: which runs have stalled or are far too slow, and whether to move them.

Load condition: for some seconds a sixth of the workers stall everything that runs there, or run it
five times slower. Jobs have several tasks each, so most jobs have one on such a worker.

A run that is moved is stopped first, and starts elsewhere only when the worker shows that it has
ended, so a task never runs twice at a time. The work that it has done is lost. So a run is moved
only if that pays off clearly, and at most twice, because a task that is slow everywhere would be
moved for ever.
"""

from __future__ import annotations

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
# The same with a single run to judge by.
SINGLE_SLOW_RUN_RATIO = 3.5
# Stopping a run takes up to 0.05 s; detecting its end and starting it elsewhere takes some 0.02 s
# more.
MOVE_COST_S = 0.07
# A move must save this many times the run time elsewhere, because estimates are off by 40%.
MIN_MOVE_GAIN = 1.5
MAX_MOVES = 2


def is_stalled(*, stalled_s: float, expected_s: float) -> bool:
    """Return whether a run has stalled.

    :param stalled_s: for how long its worker has shown no progress of it.
    :param expected_s: how long it takes on a typical worker.
    """
    return stalled_s >= min(max(STALL_SHARE * expected_s, MIN_STALL_S), MAX_STALL_S)


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


def is_move_worthwhile(*, remaining_s: float, expected_s: float, moves: int) -> bool:
    """Return whether a run ends clearly sooner if it is restarted on another worker.

    :param remaining_s: how long it would still run where it is.
    :param expected_s: how long it takes on a typical worker.
    :param moves: how often the task was moved already.
    """
    return moves < MAX_MOVES and remaining_s > MIN_MOVE_GAIN * expected_s + MOVE_COST_S
