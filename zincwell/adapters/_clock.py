"""System clock."""

import time

from zincwell.ports import Clock


class SystemClock(Clock):
    """Clock of the operating system.

    CLOCK_BOOTTIME advances while the VM is suspended. CLOCK_MONOTONIC does not, so a lease that
    expired during a suspension would still look valid.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch (1970)."""
        return time.time()
