"""How much work arrives, against what the workers can do.

Load that it answers: a burst has just begun, or it is just one of the moments of a busy day in
which many jobs come together. The jobs that wait look alike in both. After the moment there is room
again for what has waited behind the others; during the burst there is none, and those that wait
for it can be told so at once.
"""

from __future__ import annotations

import math

# Arrivals are averaged over this many seconds: bursts last seconds, and over a shorter time chance
# would look like one. A choice; other times were not measured.
WINDOW_S = 1.0


class OfferedLoad:
    """The work that arrives each second."""

    def __init__(self) -> None:
        self._work = 0.0
        self._at = 0.0

    def note_arrival(self, *, work: float, now: float) -> None:
        """Take note of a job that has just arrived.

        :param work: its core-seconds, in thousandths of a core.
        """
        self._work = self._faded(now) + work
        self._at = now

    def cores(self, now: float) -> float:
        """Return the cores, in thousandths, that what arrives would keep at work."""
        return self._faded(now) / WINDOW_S

    def _faded(self, now: float) -> float:
        return self._work * math.exp(-(now - self._at) / WINDOW_S)
