"""Which waiting jobs are refused, which have to wait behind others, and when to come back.

Load that it answers: a burst of half as much work again as the workers have room for, for some
seconds. Without a refusal all jobs wait until nearly all of them are late, and those that are
refused in the end have waited for nothing. So each waiting job is looked at again and again:

* One that can still end within its objective keeps its place.
* One that can't goes behind all that can: an answer that is late is worth less to its caller than
  one in time, and the room that it would take first would make others late.
* One that can't end while a late answer is still of use, even with the room that the others leave,
  is refused at once, with a time to come back.
"""

from __future__ import annotations

import enum
import math
import zlib

# A late answer is of use until this many objectives have passed. A job is kept only if by the
# forecast it ends a little before: while it waits behind, every job that comes may go first.
ANSWER_EXPIRY_OBJECTIVES = 2.5
# With less work arriving than this share of what the workers can do, what waits behind gets its
# turn soon; with more than the other, it does not before the burst is over. A choice: a tenth on
# either side of full, for what a second of arrivals can't tell.
CALM_LOAD = 0.9
FULL_LOAD = 1.1
# A step that needs more than this share of all cores runs in waves, and its objective counts them.
WAVE_SHARE = 0.25
# Coming back sooner than this many seconds finds the same queue.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 10.0
# Callers refused together come back over half as long again as the wait itself, so that they
# don't return as one burst.
RETRY_SPREAD = 0.5


class Prospect(enum.Enum):
    """What a job can hope for that can't be in time: a late answer, or none."""

    LATE = enum.auto()
    NONE = enum.auto()


def count_waves(*, tasks: int, cpu: int, pool_cpu: int) -> int:
    """Return in how many waves a step runs that is wide for the workers."""
    if not pool_cpu:
        return 1
    return max(1, math.ceil(tasks * cpu / (WAVE_SHARE * pool_cpu)))


def meets_objective(*, end_age_s: float, objective_s: float) -> bool:
    """Return whether a job that ends at an age keeps its place."""
    return end_age_s <= objective_s


def judge_late_job(*, end_age_s: float, objective_s: float, load: float) -> Prospect:
    """Return what a job can hope for that waits behind all that can be in time.

    :param load: the work that arrives as a share of what the workers can do.
    """
    calm = min(max((FULL_LOAD - load) / (FULL_LOAD - CALM_LOAD), 0.0), 1.0)
    latest_s = objective_s * (1 + calm * (ANSWER_EXPIRY_OBJECTIVES - 1))
    return Prospect.LATE if end_age_s <= latest_s else Prospect.NONE


def choose_retry_s(*, drained_s: float, job_id: str) -> float:
    """Return after how many seconds a refused caller finds room.

    :param drained_s: when the last job that waits now would start.
    """
    share = zlib.crc32(job_id.encode()) / 2**32
    retry_s = max(drained_s, MIN_RETRY_S) * (1 + RETRY_SPREAD * share)
    return min(retry_s, MAX_RETRY_S)
