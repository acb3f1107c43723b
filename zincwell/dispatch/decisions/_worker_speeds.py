"""How fast each worker is in the long run, compared with the typical worker.

Load condition: the workers of one kind run every task 2.4 times as long as those of another, and
there is too little capacity. A long task on a slow worker misses its objective although the worker
is healthy, and a worker that is always slow must not count as one that has just become slow.

Callers' estimates are off by 40% and a few tasks run seven times as long as others, so a few runs
say little about one worker. All workers of its kind together tell its speed within a second, and
its own runs then correct it.

All values are taken over logarithms, so that half and double weigh the same.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Standard deviation of the logarithm of a run time, divided by its estimate.
RUN_DEVIATION = 0.45
# The same of the speeds of the workers of one kind, and of the speeds of kinds.
WORKER_DEVIATION = 0.15
KIND_DEVIATION = 0.5
# A residual counts as at most this many standard deviations, so that one very long run changes
# little.
MAX_RESIDUAL_DEVIATIONS = 2.0
# Means follow about the last runs in this number, so that a lasting change is learned in the end.
MAX_RUNS_OF_WORKER = 50
MAX_RUNS_OF_KIND = 400
# Workers are uneven if two of them differ by this factor and by this many standard deviations.
UNEVEN_RATIO = 1.3
UNEVEN_DEVIATIONS = 3.0


@dataclass(slots=True, kw_only=True)
class _Mean:
    """Mean of logarithms over about the last ``max_runs`` values.

    :param prior_deviation: standard deviation of the mean before the first value, around 0.
    """

    prior_deviation: float
    max_runs: int
    log: float = 0.0
    runs: int = 0

    def note(self, residual: float) -> None:
        """Move the mean by a new value's difference from it."""
        limit = MAX_RESIDUAL_DEVIATIONS * RUN_DEVIATION
        self.runs = min(self.runs + 1, self.max_runs)
        prior_runs = (RUN_DEVIATION / self.prior_deviation) ** 2
        self.log += min(max(residual, -limit), limit) / (self.runs + prior_runs)

    def deviation(self) -> float:
        """Return the standard deviation of the mean."""
        return (self.prior_deviation**-2 + self.runs * RUN_DEVIATION**-2) ** -0.5


class WorkerSpeeds:
    """Estimates the lasting speeds of workers from their successful runs."""

    def __init__(self) -> None:
        self._means_by_kind: dict[str, _Mean] = {}
        self._means_by_worker: dict[str, _Mean] = {}
        self._kind_by_worker: dict[str, str] = {}

    def note_done(self, *, worker: str, kind: str, run_s: float, expected_s: float) -> None:
        """Learn from a run that succeeded.

        :param expected_s: how long it should run on a typical worker.
        """
        if run_s <= 0 or expected_s <= 0:
            return
        self._kind_by_worker[worker] = kind
        kind_mean = self._means_by_kind.setdefault(
            kind, _Mean(prior_deviation=KIND_DEVIATION, max_runs=MAX_RUNS_OF_KIND)
        )
        worker_mean = self._means_by_worker.setdefault(
            worker, _Mean(prior_deviation=WORKER_DEVIATION, max_runs=MAX_RUNS_OF_WORKER)
        )
        residual = math.log(run_s / expected_s) - kind_mean.log - worker_mean.log
        worker_mean.note(residual)
        kind_mean.note(residual)

    def note_kind(self, *, worker: str, kind: str) -> None:
        """Record the kind of a worker, whose speed is expected until it has runs of its own."""
        self._kind_by_worker[worker] = kind

    def slowdown(self, worker: str) -> float:
        """Return how many times as long as on the typical worker tasks run on this one."""
        return math.exp(self._log(worker))

    def uncertainty(self, worker: str) -> float:
        """Return the standard deviation of the logarithm of a worker's slowdown."""
        kind = self._means_by_kind.get(self._kind_by_worker.get(worker, ""))
        kind_deviation = kind.deviation() if kind is not None else KIND_DEVIATION
        mean = self._means_by_worker.get(worker)
        worker_deviation = mean.deviation() if mean is not None else WORKER_DEVIATION
        return math.hypot(kind_deviation, worker_deviation)

    def forget(self, worker: str) -> None:
        """Forget a worker that has left, or whose id belongs to a new process."""
        self._means_by_worker.pop(worker, None)
        self._kind_by_worker.pop(worker, None)

    def is_uneven(self, workers: Iterable[str]) -> bool:
        """Return whether the speeds of workers differ by more than chance explains."""
        logs = [(self._log(worker), self.uncertainty(worker)) for worker in workers]
        if not logs:
            return False
        low, low_deviation = min(logs)
        high, high_deviation = max(logs)
        chance = UNEVEN_DEVIATIONS * math.hypot(low_deviation, high_deviation)
        return high - low > max(math.log(UNEVEN_RATIO), chance)

    def _log(self, worker: str) -> float:
        kind = self._means_by_kind.get(self._kind_by_worker.get(worker, ""))
        mean = self._means_by_worker.get(worker)
        return (kind.log if kind is not None else 0.0) + (mean.log if mean is not None else 0.0)
