"""How fast each worker is in the long run, compared with the typical worker of its service.

Load condition: the workers of one kind run every task 2.4 times as long as those of another, and
there is too little capacity. A long task on a slow worker misses its objective although the worker
is healthy, and a worker that is always slow must not count as one that has just become slow.

Callers' estimates are off by 40% and a few tasks run seven times as long as others, so a few runs
say little about one worker. All workers of its kind together tell its speed within a second, and
its own runs then correct it.

All values are taken over logarithms, so that half and double weigh the same. Their mean over the
workers of a service is kept at 0. Run times by route are learned from the same runs, and without a
fixed mean both would drift in opposite directions.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Standard deviation of the logarithm of a run time, divided by the caller's estimate.
RUN_DEVIATION = 0.45
# The part of it that the tasks of one step share, the error of the caller's estimate.
SHARED_DEVIATION = 0.4
# The part that differs between tasks of one step: 15%, and an allowance for the few long ones.
STEP_TASK_DEVIATION = 0.2
# The same of the speeds of the workers of one kind, and of the speeds of kinds.
WORKER_DEVIATION = 0.15
KIND_DEVIATION = 0.5
# A residual counts as at most this many standard deviations, so that one very long run changes
# little.
MAX_RESIDUAL_DEVIATIONS = 2.0
# Means follow about the last runs in this number, so that a lasting change is learned in the end.
MAX_RUNS_OF_WORKER = 50
MAX_RUNS_OF_KIND = 400
# Workers, or kinds, are uneven if two of them differ by this factor and by this many standard
# deviations more than the extremes of so many values differ by chance.
UNEVEN_RATIO = 1.3
UNEVEN_DEVIATIONS = 3.0
# Whether workers are uneven is evaluated again after a tenth more runs, at most this many. It is
# asked for with each start, and takes about 0.5 ms with 400 workers.
MAX_UNEVEN_VALID_RUNS = 100
MAX_CACHED_WORKER_SETS = 16


@dataclass(slots=True, kw_only=True)
class _Mean:
    """Mean of logarithms over about the last ``max_runs`` values.

    :param prior_deviation: standard deviation of the mean before the first value, around 0.
    :param runs: weight of the values so far, in values with a deviation of ``RUN_DEVIATION``.
    """

    prior_deviation: float
    max_runs: float
    log: float = 0.0
    runs: float = 0.0

    def note(self, residual: float, *, deviation: float) -> float:
        """Move the mean by a new value's difference from it; return the change."""
        limit = MAX_RESIDUAL_DEVIATIONS * deviation
        weight = (RUN_DEVIATION / deviation) ** 2
        self.runs = min(self.runs + weight, self.max_runs)
        prior_runs = (RUN_DEVIATION / self.prior_deviation) ** 2
        change = min(max(residual, -limit), limit) * weight / (self.runs + prior_runs)
        self.log += change
        return change

    def deviation(self) -> float:
        """Return the standard deviation of the mean."""
        return (self.prior_deviation**-2 + self.runs * RUN_DEVIATION**-2) ** -0.5


@dataclass(slots=True, kw_only=True)
class _Service:
    """Sum of the logarithms of a service's workers, which are relative to its mean."""

    kinds_by_name: dict[str, _Kind] = field(default_factory=dict)
    workers: int = 0
    total_log: float = 0.0

    def mean_log(self) -> float:
        """Return the mean over the workers; 0 without any."""
        return self.total_log / self.workers if self.workers else 0.0


@dataclass(slots=True, kw_only=True)
class _Kind:
    """Mean speed of the workers of one kind, and their number."""

    mean: _Mean
    workers: int = 0


@dataclass(slots=True, kw_only=True)
class _Worker:
    """A worker's difference from its kind."""

    service: _Service
    kind_name: str
    kind: _Kind
    mean: _Mean = field(
        default_factory=lambda: _Mean(prior_deviation=WORKER_DEVIATION, max_runs=MAX_RUNS_OF_WORKER)
    )

    def log(self) -> float:
        """Return the logarithm of the slowdown against the mean of the service."""
        return self.kind.mean.log + self.mean.log - self.service.mean_log()

    def deviation(self) -> float:
        """Return the standard deviation of the logarithm."""
        return math.hypot(self.kind.mean.deviation(), self.mean.deviation())


class WorkerSpeeds:
    """Estimates the lasting speeds of workers from their successful runs."""

    def __init__(self) -> None:
        self._services_by_name: dict[str, _Service] = {}
        self._workers_by_id: dict[str, _Worker] = {}
        self._runs = 0
        # For each set of workers the number of runs at the time of the result, and the result.
        self._uneven_by_workers: dict[tuple[str, ...], tuple[int, bool]] = {}

    def note_done(
        self,
        *,
        worker: str,
        kind: str,
        run_s: float,
        expected_s: float,
        service: str = "",
        deviation: float = RUN_DEVIATION,
    ) -> None:
        """Learn from a run that succeeded.

        :param expected_s: how long it should run on a typical worker.
        :param deviation: standard deviation of the logarithm of ``run_s / expected_s``. It is
            smaller where other tasks of the same step have shown the error of the estimate.
        """
        if run_s <= 0 or expected_s <= 0:
            return
        known = self._note(worker, kind, service)
        residual = math.log(run_s / expected_s) - known.log()
        known.service.total_log += known.mean.note(residual, deviation=deviation)
        change = known.kind.mean.note(residual, deviation=deviation)
        known.service.total_log += change * known.kind.workers
        self._runs += 1

    def note_kind(self, *, worker: str, kind: str, service: str = "") -> None:
        """Record the kind of a worker, whose speed is expected until it has runs of its own."""
        self._note(worker, kind, service)

    def slowdown(self, worker: str) -> float:
        """Return how many times as long as on the typical worker tasks run on this one."""
        known = self._workers_by_id.get(worker)
        return math.exp(known.log()) if known is not None else 1.0

    def uncertainty(self, worker: str) -> float:
        """Return the standard deviation of the logarithm of a worker's slowdown."""
        known = self._workers_by_id.get(worker)
        if known is None:
            return math.hypot(KIND_DEVIATION, WORKER_DEVIATION)
        return known.deviation()

    def forget(self, worker: str) -> None:
        """Forget a worker that has left, or whose id belongs to a new process."""
        known = self._workers_by_id.pop(worker, None)
        if known is None:
            return
        known.kind.workers -= 1
        known.service.workers -= 1
        known.service.total_log -= known.kind.mean.log + known.mean.log
        self._uneven_by_workers.clear()

    def is_uneven(self, workers: Iterable[str]) -> bool:
        """Return whether the speeds of workers differ by more than chance explains.

        The result is cached; a caller that passes the same tuple each time avoids a copy.
        """
        key = workers if isinstance(workers, tuple) else tuple(workers)
        cached = self._uneven_by_workers.get(key)
        if cached is not None:
            at_runs, uneven = cached
            if self._runs - at_runs <= min(at_runs // 10, MAX_UNEVEN_VALID_RUNS):
                return uneven
        if len(self._uneven_by_workers) >= MAX_CACHED_WORKER_SETS:
            self._uneven_by_workers.clear()
        known = [self._workers_by_id[worker] for worker in key if worker in self._workers_by_id]
        kinds = {id(one.kind): one.kind.mean for one in known}
        uneven = _differ([(mean.log, mean.deviation()) for mean in kinds.values()]) or _differ(
            [(one.log(), one.deviation()) for one in known]
        )
        self._uneven_by_workers[key] = (self._runs, uneven)
        return uneven

    def _note(self, worker: str, kind: str, service: str) -> _Worker:
        known = self._workers_by_id.get(worker)
        group = self._services_by_name.setdefault(service, _Service())
        if known is not None:
            if known.kind_name == kind and known.service is group:
                return known
            self.forget(worker)
        of_kind = group.kinds_by_name.get(kind)
        if of_kind is None:
            mean = _Mean(prior_deviation=KIND_DEVIATION, max_runs=MAX_RUNS_OF_KIND)
            mean.log = group.mean_log()
            of_kind = group.kinds_by_name[kind] = _Kind(mean=mean)
        of_kind.workers += 1
        group.workers += 1
        group.total_log += of_kind.mean.log
        known = _Worker(service=group, kind_name=kind, kind=of_kind)
        self._workers_by_id[worker] = known
        self._uneven_by_workers.clear()
        return known


def _differ(values: list[tuple[float, float]]) -> bool:
    """Return whether the extremes of means with their deviations differ by more than chance."""
    if len(values) < 2:
        return False
    low, low_deviation = min(values)
    high, high_deviation = max(values)
    # The extremes of n normal values are about sqrt(2 ln n) deviations from their mean.
    deviations = UNEVEN_DEVIATIONS / math.sqrt(2) + math.sqrt(2 * math.log(len(values)))
    chance = deviations * (low_deviation + high_deviation)
    return high - low > max(math.log(UNEVEN_RATIO), chance)


def estimate_step_log(logs: Sequence[float]) -> tuple[float, float]:
    """Return what the tasks of a step have in common, and the deviation of the next one from it.

    The lower median is used, because tasks that differ much from their step take longer, not
    shorter.

    :param logs: for each task that is done, the logarithm of its run time on a typical worker,
        divided by the expected one.
    """
    if not logs:
        return 0.0, RUN_DEVIATION
    precision = SHARED_DEVIATION**-2 + len(logs) * STEP_TASK_DEVIATION**-2
    weight = 1 - SHARED_DEVIATION**-2 / precision
    return weight * statistics.median_low(logs), math.hypot(precision**-0.5, STEP_TASK_DEVIATION)
