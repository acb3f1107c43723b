"""What an entry knows of a worker's clock."""

from __future__ import annotations

import asyncio

# Worker clocks may run slow by this share, so a lease may last longer by it.
MAX_CLOCK_DRIFT_RATE = 0.02


class WorkerClock:
    """A worker's clock, by the times that its answers tell.

    Leases and deadlines are times on the worker's clock, so an entry has to know one that the
    worker has surely reached.
    """

    def __init__(self) -> None:
        self._read_ms: float | None = None
        self._read_at = 0.0
        self._newest_ms = 0
        self._loop = asyncio.get_running_loop()

    def is_known(self) -> bool:
        """Return whether the worker has told its time."""
        return self._read_ms is not None

    def update(self, clock_ms: int) -> bool:
        """Take note of the time in an answer; return whether no later answer was seen before."""
        if self._read_ms is None or clock_ms >= self.lower_bound_ms():
            self._read_ms = clock_ms
            self._read_at = self._loop.time()
        is_newest = clock_ms >= self._newest_ms
        self._newest_ms = max(self._newest_ms, clock_ms)
        return is_newest

    def lower_bound_ms(self) -> float:
        """Return a time in milliseconds that the worker's clock has surely reached."""
        passed_ms = (self._loop.time() - self._read_at) * 1000
        return (self._read_ms or 0) + passed_ms * (1 - MAX_CLOCK_DRIFT_RATE)
