"""Admission control: which waiting jobs are refused, which are deferred, and when to retry.

Load condition: for some seconds, the arriving work exceeds the workers' capacity by half. Without
refusals every job waits until nearly all of them are late, and the jobs that are refused in the
end have waited in vain. Each waiting job is therefore re-evaluated repeatedly:

* A job that can still end within its objective keeps its place in the queue.
* A job that can't is deferred behind all that can: a late answer is worth less to its caller than
  one in time, and the capacity that the job would take first would make others late.
* A job that can't end while a late answer is still useful, even on the capacity that the others
  leave, is refused at once, with a retry time.

Where callers state how long they wait, a job that would end after its caller has stopped waiting is
refused at once as well.
"""

from __future__ import annotations

import enum
import math
import zlib

# A late answer is useful until this many objectives have passed. A deferred job must be forecast to
# end by then, and earlier at higher load, because all new jobs may overtake it.
ANSWER_EXPIRY_OBJECTIVES = 2.5
# Offered load as a share of the workers' capacity. Below LOW_LOAD, deferred jobs soon get their
# turn; above HIGH_LOAD they get none before the burst is over. The thresholds lie a tenth below
# and above full load because a second of arrivals does not give a more precise load.
LOW_LOAD = 0.9
HIGH_LOAD = 1.1
# Where workers differ in speed, a job must be forecast to end within this share of its objective to
# keep its place. The forecast does not know which workers its tasks will get, and a job that ends
# late has taken capacity that another could have used in time.
UNEVEN_OBJECTIVE_SHARE = 0.85
# A job must be forecast to end within this share of its caller's timeout, since the answer takes
# time to reach the caller and run times differ from their estimates.
MAX_TIMEOUT_SHARE = 0.9
# A step that needs more than this share of all cores runs in waves, and its objective counts them.
MAX_WAVE_SHARE = 0.25
# A caller that retries sooner finds the same queue.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0
# The retry times of callers that are refused together are spread over half the wait itself, so
# that they don't return as one burst.
RETRY_JITTER = 0.5


class LateJobDecision(enum.Enum):
    """What to do with a job that can't meet its objective."""

    DEFER = enum.auto()
    REFUSE = enum.auto()


def count_waves(*, tasks: int, cpu: int, pool_cpu: int) -> int:
    """Return in how many waves a step runs; more than 1 if it is wide for the workers.

    :param cpu: thousandths of a core that each task needs.
    :param pool_cpu: thousandths of a core that all workers have.
    """
    if not pool_cpu:
        return 1
    return max(1, math.ceil(tasks * cpu / (MAX_WAVE_SHARE * pool_cpu)))


def meets_objective(*, end_age_s: float, objective_s: float, uneven: bool = False) -> bool:
    """Return whether a job that ends at the given age keeps its place in the queue.

    :param uneven: whether the workers differ in speed.
    """
    return end_age_s <= objective_s * (UNEVEN_OBJECTIVE_SHARE if uneven else 1.0)


def judge_late_job(
    *, end_age_s: float, objective_s: float, load: float, timeout_s: float = 0.0
) -> LateJobDecision:
    """Decide whether a job that waits behind all jobs in time is deferred or refused.

    :param load: offered load as a share of the workers' capacity.
    :param timeout_s: how long the caller waits; 0 if unknown.
    """
    headroom = min(max((HIGH_LOAD - load) / (HIGH_LOAD - LOW_LOAD), 0.0), 1.0)
    latest_s = objective_s * (1 + headroom * (ANSWER_EXPIRY_OBJECTIVES - 1))
    latest_s = min(latest_s, latest_useful_age_s(objective_s=objective_s, timeout_s=timeout_s))
    return LateJobDecision.DEFER if end_age_s <= latest_s else LateJobDecision.REFUSE


def latest_useful_age_s(*, objective_s: float, timeout_s: float) -> float:
    """Return the age up to which a job should be forecast to end.

    :param timeout_s: how long the caller waits; 0 if unknown.
    """
    expiry_s = objective_s * ANSWER_EXPIRY_OBJECTIVES
    return min(expiry_s, timeout_s * MAX_TIMEOUT_SHARE) if timeout_s else expiry_s


class RetrySchedule:
    """Assigns retry times in the order of refusals, for callers that state their timeouts.

    Each time leaves room for the work that was refused before, so that callers don't return as one
    burst and who was refused first finds capacity first.
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def reserve(self, *, now: float, queue_drain_s: float, work_s: float) -> float:
        """Reserve time for refused work and return the delay until its retry, in seconds.

        A delay longer than `MAX_RETRY_AFTER_S` is cut to that, so these callers return as far apart
        as they were refused.

        :param queue_drain_s: time until the last job that waits now would start.
        :param work_s: time that the work takes on all workers.
        """
        retry_at = max(now + max(queue_drain_s, MIN_RETRY_AFTER_S), self._next_at)
        retry_at = min(retry_at, now + MAX_RETRY_AFTER_S)
        self._next_at = retry_at + work_s
        return retry_at - now


def choose_retry_after_s(*, queue_drain_s: float, job_id: str) -> float:
    """Return after how many seconds a refused caller should retry.

    :param queue_drain_s: time until the last job that waits now would start.
    """
    share = zlib.crc32(job_id.encode()) / 2**32
    retry_s = max(queue_drain_s, MIN_RETRY_AFTER_S) * (1 + RETRY_JITTER * share)
    return min(retry_s, MAX_RETRY_AFTER_S)
