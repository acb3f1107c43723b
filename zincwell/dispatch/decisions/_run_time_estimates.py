"""Run times of tasks by route, relative to the callers' estimates, and by worker.

Load condition: callers' estimates are off by 40%, healthy workers differ by a factor of 1.5, and
for some seconds a sixth or more of the workers run everything five times slower. A job with one
task on such a worker is late, whatever else goes well, and only run times reveal the worker: it
answers quickly and reports itself as healthy.

All means are taken over logarithms, so that half and double weigh the same.
"""

from __future__ import annotations

import math

# Weight of the newest run in the mean of its route: about the last 30 runs count.
ROUTE_WEIGHT = 1 / 32
# Weight of the newest run in the mean of its worker: after two runs that took five times as long
# as expected, the worker counts as at least twice as slow. A single run may have a wrong estimate.
WORKER_WEIGHT = 0.3
# One run counts as at most this many times slower or faster than expected.
MAX_RATIO = 10.0
# Runs on a worker that is this many times slower than the others say nothing about their route.
# Healthy workers are within 1.25.
SLOW_WORKER_RATIO = 2.0


class RunTimeEstimator:
    """Estimates run times from the runs that succeeded."""

    def __init__(self) -> None:
        self._log_by_route: dict[str, float] = {}
        self._log_by_worker: dict[str, float] = {}

    def expect_s(self, *, route: str, estimate_s: float) -> float:
        """Return how long a task of a route should run on a typical worker.

        :param estimate_s: the caller's estimate.
        """
        return estimate_s * math.exp(self._log_by_route.get(route, 0.0))

    def slowdown(self, worker: str) -> float:
        """Return how many times longer than on a typical worker tasks run on this one."""
        return math.exp(self._log_by_worker.get(worker, 0.0))

    def forget(self, worker: str) -> None:
        """Forget the speed of a worker whose id belongs to a new process."""
        self._log_by_worker.pop(worker, None)

    def note_done(self, *, route: str, worker: str, estimate_s: float, run_s: float) -> None:
        """Update the means of route and worker with a run that succeeded."""
        if estimate_s <= 0 or run_s <= 0:
            return
        ratio = min(max(run_s / estimate_s, 1 / MAX_RATIO), MAX_RATIO)
        by_route = self._log_by_route.get(route, 0.0)
        by_worker = self._log_by_worker.get(worker, 0.0)
        excess = math.log(ratio) - by_route
        self._log_by_worker[worker] = by_worker + WORKER_WEIGHT * (excess - by_worker)
        if self.slowdown(worker) < SLOW_WORKER_RATIO:
            self._log_by_route[route] = by_route + ROUTE_WEIGHT * excess
