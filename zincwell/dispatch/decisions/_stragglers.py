"""Which runs stand still or take far too long, and whether they are moved.

Load that it answers: a sixth of the workers let everything stand still, or run it five times
slower, for some seconds. Jobs need several tasks each, so most jobs have one there.

A run that is moved is stopped first and starts elsewhere only when the worker shows that it has
ended, so it never runs twice. What it has done is lost; so a run is moved only if that pays well,
and at most twice, since a task that is slow everywhere would go round for ever.
"""

from __future__ import annotations

from collections.abc import Sequence

# Progress is told in whole percent. Below this many, how long a run takes can't be told.
MIN_PROGRESS_PERCENT = 2.0
# A run shows no progress for this share of its expected time, within these bounds: it stands
# still. One on a worker that is ten times slower would have shown 2% by then. Workers are looked
# at every 0.25 s, which is why less than half of that would say nothing.
STALL_SHARE = 0.25
MIN_STALL_S = 0.12
MAX_STALL_S = 0.6
# A worker is slow if all its runs take this many times longer than expected. Estimates are
# said to be off by 40%: read as the spread of their logarithm, by a factor of 1.5 for one job in
# three, and too short by 2.5 for one in a hundred.
SLOW_RUNS = 2.5
# With one run to judge by, it has to be this many times.
SLOW_RUN = 3.5
# Stopping a run takes up to 0.05 s, and finding out that it has ended and starting it elsewhere
# some 0.02 s more.
MOVE_COST_S = 0.07
# A move must save this many times what the task takes elsewhere: estimates are off by 40%.
MOVE_GAIN = 1.5
MAX_MOVES = 2


def is_stalled(*, stalled_s: float, expected_s: float) -> bool:
    """Return whether a run stands still.

    :param stalled_s: for how long its worker has shown no progress of it.
    """
    return stalled_s >= min(max(STALL_SHARE * expected_s, MIN_STALL_S), MAX_STALL_S)


def is_slow_run(ratio: float) -> bool:
    """Return whether a run takes so much longer than expected that its worker is looked at."""
    return ratio >= SLOW_RUNS


def is_slow_worker(ratios: Sequence[float]) -> bool:
    """Return whether a worker is slow.

    :param ratios: by how much each of its runs takes longer than expected. If one of them does
        not, the others have wrong estimates.
    """
    if not ratios:
        return False
    return min(ratios) >= (SLOW_RUNS if len(ratios) > 1 else SLOW_RUN)


def pays_to_move(*, left_s: float, expected_s: float, moves: int) -> bool:
    """Return whether a run ends sooner if it starts anew elsewhere.

    :param left_s: how long it would still run where it is.
    :param expected_s: how long it takes on a usual worker.
    :param moves: how often the task was moved already.
    """
    return moves < MAX_MOVES and left_s > MOVE_GAIN * expected_s + MOVE_COST_S
