"""Arrivals of a run, made from a seed before it begins."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from zincwell.models import MAX_TASKS

SHORTEST_MS = 50.0
LONGEST_MS = 1_000.0
SEVERAL_SECONDS_MS = (2_000.0, 4_000.0)
SEVERAL_SECONDS_SHARE = 0.01
#: Jobs are mostly small and a few are large: sizes by weight.
JOB_SIZES = ((1, 40), (4, 25), (10, 20), (30, 10), (100, 4), (200, 1))
DECLARED_ERROR = 4.0


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One job, at a time that does not depend on any answer.

    :ivar at_s: seconds after the beginning of the run.
    :ivar run_ms: true run time of each task.
    :ivar declared_ms: what the caller declares for each; far off.
    """

    number: int
    at_s: float
    tenant: str
    run_ms: list[float]
    declared_ms: int

    @property
    def work_ms(self) -> float:
        """Sum of the run times."""
        return sum(self.run_ms)


@dataclass(frozen=True, kw_only=True)
class Stream:
    """Jobs of one tenant.

    :ivar share: part of all slots that its work takes on average.
    :ivar rate: returns the relative rate at a time; 1 throughout if not given.
    :ivar sizes: job sizes with their weights.
    """

    tenant: str
    share: float
    rate: Callable[[float], float] = field(default=lambda _: 1.0)
    sizes: tuple[tuple[int, int], ...] = JOB_SIZES


def make_arrivals(
    *, streams: list[Stream], slots: int, duration_s: float, seed: int
) -> list[Arrival]:
    """Make all arrivals of a run: Poisson, open loop."""
    arrivals = []
    for index, stream in enumerate(streams):
        source = random.Random(f"{seed}/{index}")
        arrivals += _make_stream(stream, slots, duration_s, source)
    arrivals.sort(key=lambda arrival: arrival[0])
    return [
        Arrival(
            number=number,
            at_s=at_s,
            tenant=tenant,
            run_ms=run_ms,
            declared_ms=declared_ms,
        )
        for number, (at_s, tenant, run_ms, declared_ms) in enumerate(arrivals)
    ]


def _make_stream(
    stream: Stream, slots: int, duration_s: float, source: random.Random
) -> list[tuple[float, str, list[float], int]]:
    jobs_per_s = stream.share * slots / (_mean_size(stream) * _mean_run_ms() / 1000)
    arrivals = []
    at_s = 0.0
    while True:
        rate = jobs_per_s * max(stream.rate(at_s), 1e-6)
        at_s += source.expovariate(rate)
        if at_s >= duration_s:
            return arrivals
        size = _draw_size(stream, source)
        run_ms = [_draw_run_ms(source) for _ in range(size)]
        error = math.exp(source.uniform(-1, 1) * math.log(DECLARED_ERROR))
        arrivals.append((at_s, stream.tenant, run_ms, round(run_ms[0] * error)))


def _draw_size(stream: Stream, source: random.Random) -> int:
    sizes, weights = zip(*stream.sizes, strict=True)
    return min(source.choices(sizes, weights)[0], MAX_TASKS)


def _draw_run_ms(source: random.Random) -> float:
    if source.random() < SEVERAL_SECONDS_SHARE:
        return source.uniform(*SEVERAL_SECONDS_MS)
    # Uniform in the logarithm: as many tasks between 50 and 100 ms as between 500 ms and 1 s.
    span = math.log(LONGEST_MS / SHORTEST_MS)
    return SHORTEST_MS * math.exp(source.random() * span)


def _mean_size(stream: Stream) -> float:
    total = sum(weight for _, weight in stream.sizes)
    return sum(size * weight for size, weight in stream.sizes) / total


def _mean_run_ms() -> float:
    common = (LONGEST_MS - SHORTEST_MS) / math.log(LONGEST_MS / SHORTEST_MS)
    rare = sum(SEVERAL_SECONDS_MS) / 2
    return (1 - SEVERAL_SECONDS_SHARE) * common + SEVERAL_SECONDS_SHARE * rare
