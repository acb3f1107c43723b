"""How long tasks really take: by route, against the callers' estimates, and by worker.

Load that it answers: callers' estimates are off by 40%, healthy workers differ by a factor of
1.5, and for some seconds a sixth or more of the workers run everything five times slower. A job
of which one task runs there is late, whatever else goes well, and nothing but the time that runs
take shows it: such a worker answers quickly and calls itself healthy.

All means are of logarithms, so that half and double weigh the same.
"""

from __future__ import annotations

import math

# Weight of the newest run in the mean of its route: the last 30 or so count.
ROUTE_WEIGHT = 1 / 32
# Weight of the newest run in the mean of its worker: two runs that took five times as long as
# expected show a worker that is twice as slow at least. One alone may have a wrong estimate.
WORKER_WEIGHT = 0.3
# One run counts as at most this many times slower or faster than expected.
MAX_RATIO = 10.0
# Runs on a worker that is this many times slower than the others say nothing of their route.
# Healthy workers are within 1.25.
SLOW_WORKER = 2.0


class RunTimes:
    """Learns run times from the runs that ended well."""

    def __init__(self) -> None:
        self._log_by_route: dict[str, float] = {}
        self._log_by_worker: dict[str, float] = {}

    def expect_s(self, *, route: str, estimate_s: float) -> float:
        """Return how long a task of a route will run on a usual worker."""
        return estimate_s * math.exp(self._log_by_route.get(route, 0.0))

    def slowness(self, worker: str) -> float:
        """Return how many times longer than usual tasks run on a worker."""
        return math.exp(self._log_by_worker.get(worker, 0.0))

    def note_done(self, *, route: str, worker: str, estimate_s: float, run_s: float) -> None:
        """Learn from a run that ended well."""
        if estimate_s <= 0 or run_s <= 0:
            return
        ratio = min(max(run_s / estimate_s, 1 / MAX_RATIO), MAX_RATIO)
        by_route = self._log_by_route.get(route, 0.0)
        by_worker = self._log_by_worker.get(worker, 0.0)
        excess = math.log(ratio) - by_route
        self._log_by_worker[worker] = by_worker + WORKER_WEIGHT * (excess - by_worker)
        if self.slowness(worker) < SLOW_WORKER:
            self._log_by_route[route] = by_route + ROUTE_WEIGHT * excess
