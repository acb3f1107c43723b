"""The system's clock."""

import time

from zincwell.ports import Clock


class SystemClock(Clock):
    """Clock of the operating system.

    CLOCK_BOOTTIME also counts while the VM is suspended. CLOCK_MONOTONIC does not, and a
    lease that lapsed during a suspension would look fresh.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()
