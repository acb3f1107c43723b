"""Health of a worker, judged against the other workers of its pool."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

MIN_RESULTS = 4
FAILURE_DECAY = 0.8
SPEED_DECAY = 0.9
FAILURE_LIMIT = 0.5
FAILURE_RATIO = 3.0
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
SLOWEST = 8.0


@dataclass
class Health:
    """What a worker's late results say of it.

    :ivar failure_rate: share of failures, the late ones weighing more.
    :ivar slowness: run time over what is usual for the service; 1 is usual.
    :ivar ejected_until: monotonic time until which it gets nothing; then it is on probation.
    """

    results: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0
    ejected_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    on_probation: bool = False

    def note_success(self, *, ratio: float, now: float) -> None:
        """Note a completed task and its run time over the usual one.

        What ends while it is ejected was started before that, and is no try on probation.
        """
        self.results += 1
        self.failure_rate *= FAILURE_DECAY
        self.slowness += (1 - SPEED_DECAY) * (min(ratio, SLOWEST) - self.slowness)
        if self.on_probation and not self.is_ejected(now=now):
            self.on_probation = False
            self.failure_rate = 0.0
            self.ejection_s = FIRST_EJECTION_S

    def note_failure(self, *, now: float) -> None:
        """Note a failed task."""
        self.results += 1
        self.failure_rate = 1 - (1 - self.failure_rate) * FAILURE_DECAY
        if self.on_probation and not self.is_ejected(now=now):
            self.eject(now=now)

    def eject(self, *, now: float) -> None:
        """Give it nothing for a while, longer each time."""
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(2 * self.ejection_s, LONGEST_EJECTION_S)
        self.on_probation = True

    def is_ejected(self, *, now: float) -> bool:
        """Tell whether it gets nothing now."""
        return now < self.ejected_until

    def concurrency(self, slots: int) -> int:
        """Return how many tasks it may run: one on probation, fewer after failures."""
        if self.on_probation:
            return 1
        return max(1, round(slots * (1 - self.failure_rate)))


def should_eject(health: Health, peers: Iterable[Health]) -> bool:
    """Tell whether a worker fails much more than the others of its pool.

    A poison job fails wherever it runs and raises the rate of all; only a worker that
    stands out is at fault itself.
    """
    if health.results < MIN_RESULTS or health.failure_rate < FAILURE_LIMIT:
        return False
    usual = statistics.median([peer.failure_rate for peer in peers] or [0.0])
    return health.failure_rate > FAILURE_RATIO * usual


def may_eject_more(*, ejected: int, workers: int, share: float) -> bool:
    """Tell whether one more worker of a pool may be ejected."""
    return ejected + 1 <= share * workers
