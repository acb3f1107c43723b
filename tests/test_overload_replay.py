"""Replays of overload: order, refusals, retry times and forecasts against those of before.

The rival decides as for callers that state no timeout and for workers that are alike.
"""

from __future__ import annotations

import itertools
from collections import Counter
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan, MatchesRegex

from tests.overload_replay import ROUTES, EvenSpeeds, Replay, ReplayResult, percentile
from zincwell.dispatch._jobs import Job
from zincwell.dispatch._types import JobRequest, Step
from zincwell.dispatch.decisions import WorkerSpeeds

SEEDS = (1, 2, 3)
ALIKE = {"a": (1.0, 1.0), "b": (1.0, 1.0)}


class UnknownSpeeds(WorkerSpeeds):
    """Speeds of which nothing is ever learned."""

    def note_done(self, **fields: Any) -> None:
        """Ignore a run."""


class TrueSpeeds(WorkerSpeeds):
    """The true speeds of uneven workers."""

    def __init__(self, replay: Replay) -> None:
        super().__init__()
        self._workers = replay.workers

    def is_uneven(self, workers: Any) -> bool:
        """Return that workers differ."""
        return True

    def slowdown(self, worker: str) -> float:
        """Return the true slowdown."""
        return self._workers[worker].true_slowdown


def play(*, load: float, seed: int, **fields) -> ReplayResult:
    return Replay(load=load, seed=seed, **fields).play()


def play_rival(*, load: float, seed: int, **fields) -> ReplayResult:
    return play(load=load, seed=seed, with_timeouts=False, knows_speeds=False, **fields)


def add_job(
    replay: Replay, job_id: str, *, tasks: int, timeout_ms: int = 1500, objective_ms: int = 62
) -> Job:
    """Queue a job of one step whose tasks need 8 cores each."""
    step = Step(count=tasks, cpu=8000, estimate_ms=100)
    request = JobRequest(
        id=job_id,
        spec="x",
        steps=[step],
        route="r",
        service="s",
        stretch=1.6,
        objective_ms=objective_ms,
        timeout_ms=timeout_ms,
    )
    job = Job(request=request, arrived_at=0.0, possibly_started=False, accepted_at=0.0)
    replay.set_run_times(job, run_s=0.1)
    replay.scheduler.queue.add(job, now=0.0)
    return job


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [1.2, 1.5, 2.0])
def test_more_callers_are_served_under_overload(load: float, seed: int):
    # Jobs that would end a little late were refused at once at loads over 1.1, and deferred jobs
    # that had started piece by piece took capacity ahead of jobs in time.
    result, rival = play(load=load, seed=seed), play_rival(load=load, seed=seed)
    assert_that(result.value(), GreaterThan(rival.value()))
    assert_that(result.served(), GreaterThan(rival.served()))


@pytest.mark.parametrize("kinds", [None, ALIKE], ids=["uneven", "alike"])
def test_nothing_is_lost_at_low_load(kinds: dict | None):
    # Deferral at low load would take jobs that only chance arrivals make late out of their order.
    fields = {"load": 0.8, "slowdown_by_kind": kinds}
    # Three seeds differ by more than this from ten, in either direction.
    seeds = range(1, 11)
    value = sum(play(seed=seed, **fields).value() for seed in seeds)
    rival = sum(play_rival(seed=seed, **fields).value() for seed in seeds)
    assert_that(value, GreaterThan(rival - 0.003 * len(seeds)))


@pytest.mark.parametrize("load", [1.2, 1.5, 2.0])
def test_no_route_starves(load: float):
    # Long jobs have the lowest priority. If late jobs of other routes took the capacity that they
    # need, hardly any of them would be served.
    results = [play(load=load, seed=seed) for seed in SEEDS]
    rivals = [play_rival(load=load, seed=seed) for seed in SEEDS]
    for route in (shape.name for shape in ROUTES):
        value = sum(result.value_of(route) for result in results)
        assert_that(value, GreaterThan(0.95 * sum(rival.value_of(route) for rival in rivals)))
        served = sum(result.in_time[route] + result.late[route] for result in results)
        assert_that(served / sum(r.arrived[route] for r in results), GreaterThan(0.35))


@pytest.mark.parametrize("load", [1.5, 2.0])
def test_no_job_waits_in_vain_until_its_limit(load: float):
    # A deferred job that newer jobs overtake must be refused while its caller can still go
    # elsewhere, not when its time is up.
    shares = [s for seed in SEEDS for s in play(load=load, seed=seed).refused_shares]
    assert_that(percentile(shares, 0.5), LessThan(0.7))
    assert_that(max(shares), LessThan(1.0))


@pytest.mark.parametrize("load", [0.8, 1.5])
@pytest.mark.parametrize("seed", SEEDS)
def test_noise_in_learned_speeds_changes_nothing_where_workers_are_alike(load: float, seed: int):
    # Learned speeds differ by chance. Decisions must not follow them unless they differ by more
    # than that, or deployments with alike workers are served differently from before.
    def outcomes(speeds: WorkerSpeeds) -> tuple[Counter, Counter, Counter]:
        replay = Replay(load=load, seed=seed, slowdown_by_kind=ALIKE, with_timeouts=False)
        replay.run_times.speeds = speeds
        result = replay.play()
        return result.in_time, result.late, result.refused

    assert_that(outcomes(EvenSpeeds()), Equals(outcomes(UnknownSpeeds())))


def test_callers_return_in_the_order_of_refusals_and_not_as_a_burst():
    # Callers that are all told the time at which the queue will have drained return together and
    # are nearly all refused again.
    result = play(load=2.0, seed=1, for_s=4.0)
    times = result.return_times
    assert_that(len(times), GreaterThan(200))
    assert_that(times, Equals(sorted(times)))
    busiest = max(Counter(int(at / 0.1) for at in times).values())
    assert_that(busiest / len(times), LessThan(0.1))


def test_forecasts_take_a_twentieth_of_the_processor_at_most():
    # Forecasts that take as long as the queue is long must become rarer, or the owner is late for
    # its workers under overload.
    clock_values = itertools.count(0.0, 0.01)
    replay = Replay(load=1.0, seed=1, clock=lambda: next(clock_values))
    forecasts = 0
    for number in range(200):
        job = add_job(replay, f"job-{number}", tasks=1)
        replay.control.find_jobs_to_refuse(0.0)
        forecasts += job.forecast_start_at is not None
    # A skipped forecast reads the clock once, one that is made reads it twice.
    assert_that(forecasts, LessThan(200 / 19 + 2))


def test_the_error_of_forecasts_is_recorded():
    replay = Replay(load=2.0, seed=1)
    replay.play()
    text = replay.metrics.render({})
    pattern = r'(?s).*start_forecast_error_seconds_count\{direction="late",deferred="yes"\} [1-9]'
    assert_that(text, MatchesRegex(pattern))


def test_the_forecast_counts_the_cores_of_slow_workers_as_fewer():
    # A forecast that takes the cores of slow workers for typical ones is too early, and jobs wait
    # in vain. Without later arrivals, jobs start about when they are forecast to.
    def start_errors_s(*, knows_speeds: bool) -> list[float]:
        kinds = {"a": (0.8, 0.8), "b": (2.0, 2.0)}
        replay = Replay(load=1.0, seed=1, slowdown_by_kind=kinds)
        replay.run_times.speeds = TrueSpeeds(replay) if knows_speeds else EvenSpeeds()
        jobs = [add_job(replay, f"job-{n}", tasks=4, objective_ms=60_000) for n in range(100)]
        replay.control.find_jobs_to_refuse(0.0)
        forecasts = [job.forecast_start_at for job in jobs]
        return [
            start - forecast
            for start, forecast in zip(replay.first_starts(jobs), forecasts, strict=True)
        ]

    informed, uninformed = start_errors_s(knows_speeds=True), start_errors_s(knows_speeds=False)
    assert_that(abs(sum(informed)), LessThan(abs(sum(uninformed)) / 2))
