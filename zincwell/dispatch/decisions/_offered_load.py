"""Offered load: how much work arrives, compared with what the workers can do.

Load condition: either a burst has just begun, or several jobs happen to arrive together on a busy
day. The waiting jobs look alike in both cases. In the second there is soon capacity again for
deferred jobs; during a burst there is none, and the jobs that wait for it can be refused at once.
"""

from __future__ import annotations

import math

# Time constant of the average over arrivals. Bursts last seconds; over a shorter time, chance
# arrivals would look like one.
TIME_CONSTANT_S = 1.0


class OfferedLoad:
    """Exponentially decaying average of the work that arrives per second."""

    def __init__(self) -> None:
        self._work = 0.0
        self._updated_at = 0.0

    def note_arrival(self, *, work: float, now: float) -> None:
        """Count a job that has just arrived.

        :param work: its core-seconds, in thousandths of a core.
        """
        self._work = self._decayed_work(now) + work
        self._updated_at = now

    def cores(self, now: float) -> float:
        """Return how many cores, in thousandths, the arriving work would keep busy."""
        return self._decayed_work(now) / TIME_CONSTANT_S

    def _decayed_work(self, now: float) -> float:
        return self._work * math.exp(-(now - self._updated_at) / TIME_CONSTANT_S)
