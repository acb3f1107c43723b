"""An entry's estimates of the clocks of workers and of other entries."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

# Clocks may run slow by up to this share, so a lease may last longer by the same share.
MAX_CLOCK_DRIFT_RATE = 0.02


class WorkerClock:
    """Lower bound of a worker's clock, from the times in its answers.

    Leases and deadlines are times on the worker's clock, so an entry needs a time that this clock
    has certainly reached.
    """

    def __init__(self) -> None:
        self._bound_ms: float | None = None
        self._bound_at = 0.0
        self._loop = asyncio.get_running_loop()

    def is_known(self) -> bool:
        """Return whether an answer has contained the worker's time."""
        return self._bound_ms is not None

    def update(self, clock_ms: int) -> None:
        """Apply the time in an answer."""
        if self._bound_ms is None or clock_ms >= self.lower_bound_ms():
            self._bound_ms = clock_ms
            self._bound_at = self._loop.time()

    def lower_bound_ms(self) -> float:
        """Return a time in milliseconds that the worker's clock has certainly reached."""
        passed_ms = (self._loop.time() - self._bound_at) * 1000
        return (self._bound_ms or 0) + passed_ms * (1 - MAX_CLOCK_DRIFT_RATE)


def floor_ms(time_s: float) -> float:
    """Return a time rounded down to milliseconds, which takes less room in a message."""
    return math.floor(time_s * 1000) / 1000


class PeerClock:
    """Lower bound of another entry's clock, from the times in its messages.

    The other entry finds out by its own clock alone how long a message can have been on its way:
    no longer than since the time that the message names.

    :param clock: clock of this entry, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._bound_s = -math.inf
        self._bound_at = 0.0
        self._updated_at = -math.inf

    def update(self, time_s: float) -> None:
        """Apply a time of the other entry's clock from one of its messages."""
        now = self._clock()
        if time_s >= self.lower_bound_s():
            self._bound_s, self._bound_at = time_s, now
        self._updated_at = now

    def lower_bound_s(self) -> float:
        """Return a time that the other clock has certainly reached, in seconds."""
        return self._bound_s + (self._clock() - self._bound_at) * (1 - MAX_CLOCK_DRIFT_RATE)

    def is_known(self) -> bool:
        """Return whether a message has contained the other entry's time."""
        return math.isfinite(self._bound_s)

    def age_s(self) -> float:
        """Return the time since the last message with the other entry's time, in seconds."""
        return self._clock() - self._updated_at
