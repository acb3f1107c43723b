"""Passive health checks: outlier ejection of workers by their task results."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

MIN_RESULTS = 4
FAILURE_DECAY = 0.8
SLOWNESS_DECAY = 0.9
MIN_EJECTION_FAILURE_RATE = 0.5
OUTLIER_RATIO = 3.0
MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MAX_SLOWNESS = 8.0


@dataclass
class Health:
    """Health of a worker, estimated from its recent task results.

    :ivar results: number of results so far.
    :ivar failure_rate: exponentially weighted share of failures.
    :ivar slowness: exponentially weighted ratio of run time to expected run time; 1 is normal.
    :ivar ejected_until: monotonic time until which the worker gets no tasks.
    :ivar ejection_s: duration of the next ejection in seconds.
    :ivar on_probation: whether the worker has not completed a task since its last ejection.
    """

    results: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0
    ejected_until: float = 0.0
    ejection_s: float = MIN_EJECTION_S
    on_probation: bool = False

    def note_success(self, *, ratio: float, now: float) -> None:
        """Record a completed task.

        A task that ends during an ejection was started before it and does not end the
        probation.

        :param ratio: run time divided by the expected run time.
        :param now: monotonic time, in seconds.
        """
        self.results += 1
        self.failure_rate *= FAILURE_DECAY
        self.slowness += (1 - SLOWNESS_DECAY) * (min(ratio, MAX_SLOWNESS) - self.slowness)
        if self.on_probation and not self.is_ejected(now=now):
            self.on_probation = False
            self.failure_rate = 0.0
            self.ejection_s = MIN_EJECTION_S

    def note_failure(self, *, now: float) -> None:
        """Record a failed task.

        On probation, a failure after the end of the ejection ejects the worker again.
        """
        self.results += 1
        self.failure_rate = 1 - (1 - self.failure_rate) * FAILURE_DECAY
        if self.on_probation and not self.is_ejected(now=now):
            self.eject(now=now)

    def eject(self, *, now: float) -> None:
        """Eject the worker, for twice as long as the last time up to a limit."""
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(2 * self.ejection_s, MAX_EJECTION_S)
        self.on_probation = True

    def is_ejected(self, *, now: float) -> bool:
        """Return whether the worker is ejected."""
        return now < self.ejected_until

    def concurrency(self, slots: int) -> int:
        """Return how many tasks the worker may run: one on probation, fewer after failures."""
        if self.on_probation:
            return 1
        return max(1, round(slots * (1 - self.failure_rate)))


def should_eject(health: Health, peers: Iterable[Health]) -> bool:
    """Return whether a worker's failure rate is an outlier among its pool.

    A poison job fails on every worker and raises the rates of all; only a worker whose rate
    is well above the median of its peers is itself at fault.
    """
    if health.results < MIN_RESULTS or health.failure_rate < MIN_EJECTION_FAILURE_RATE:
        return False
    median_rate = statistics.median([peer.failure_rate for peer in peers] or [0.0])
    return health.failure_rate > OUTLIER_RATIO * median_rate


def may_eject_more(*, ejected: int, workers: int, share: float) -> bool:
    """Return whether one more worker of a pool may be ejected.

    :param share: largest share of the workers that may be ejected at a time.
    """
    return ejected + 1 <= share * workers
