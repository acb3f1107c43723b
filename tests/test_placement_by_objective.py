"""Placement by objective against best fit, on replays of a pool under load."""

from __future__ import annotations

import hashlib
from functools import cache

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from tests.placement_replay import FIRST_DEPLOYMENT, SECOND_DEPLOYMENT, Replay, ReplayScore
from zincwell.dispatch import _speed_placement
from zincwell.dispatch._types import JobRequest, Step, TaskId

SEEDS = (1, 2, 3)
ALIKE = {"a": (0.95, 1.05), "b": (0.95, 1.05)}
DEPLOYMENTS = {"first": FIRST_DEPLOYMENT, "second": SECOND_DEPLOYMENT}
# Digest of the starts on alike workers, recorded with the scheduler before placement by objective.
STARTS = 1891
STARTS_DIGEST = "bc172d7af419b25630ea59b0503d521b59277583cedc269a1b5ab5b7da0fdc3a"


@cache
def play(deployment: str, load: float, seed: int, by_objective: bool) -> ReplayScore:
    """Return the score of a replay."""
    return Replay(
        load=load, seed=seed, by_objective=by_objective, deployment=DEPLOYMENTS[deployment]
    ).run()


def mean_value(deployment: str, load: float, *, by_objective: bool) -> float:
    """Return the mean value of a job over all seeds."""
    return sum(play(deployment, load, seed, by_objective).value() for seed in SEEDS) / len(SEEDS)


def test_alike_workers_get_the_recorded_sequence_of_starts():
    # Deployments with alike workers are served as before.
    replay = Replay(load=0.9, seed=1, by_objective=True, deployment=ALIKE, admission=False)
    replay.run(until=4.0)
    lines = "".join(f"{worker} {task}\n" for worker, task in replay.starts)
    assert_that(len(replay.starts), Equals(STARTS))
    assert_that(hashlib.sha256(lines.encode()).hexdigest(), Equals(STARTS_DIGEST))


@pytest.mark.parametrize("load", [0.7, 1.0])
def test_more_is_in_time_on_very_uneven_workers(load: float):
    # By best fit a long task is late on a slow worker while fast ones run short tasks.
    best_fit = mean_value("first", load, by_objective=False)
    assert_that(mean_value("first", load, by_objective=True), GreaterThan(best_fit))


@pytest.mark.parametrize("load", [1.5, 2.0])
def test_more_is_in_time_under_overload(load: float):
    # Waits that fail, because urgent jobs overtake, made placement by objective lose to best fit.
    values = {
        by_objective: sum(mean_value(name, load, by_objective=by_objective) for name in DEPLOYMENTS)
        for by_objective in (False, True)
    }
    assert_that(values[True], GreaterThan(values[False]))


@pytest.mark.parametrize("load", [0.4, 0.7, 1.0, 1.5, 2.0])
@pytest.mark.parametrize("deployment", sorted(DEPLOYMENTS))
def test_no_load_is_served_worse_than_by_best_fit(deployment: str, load: float):
    # Waiting for faster workers in vain costs capacity under overload.
    best_fit = mean_value(deployment, load, by_objective=False)
    assert_that(mean_value(deployment, load, by_objective=True), GreaterThan(best_fit - 0.015))


def test_wide_tasks_are_not_passed_by_narrow_ones_for_ever(monkeypatch: pytest.MonkeyPatch):
    # Narrow tasks take each part of a worker that becomes free, so that none is ever wide enough.
    def share_in_time() -> float:
        scores = [Replay(load=1.5, seed=seed, by_objective=True).run() for seed in SEEDS]
        return sum(score.wide_in_time for score in scores) / sum(score.wide for score in scores)

    with_reservations = share_in_time()
    monkeypatch.setattr(_speed_placement, "MAX_RESERVED_SHARE", 0)
    assert_that(with_reservations, GreaterThan(1.3 * share_in_time()))


def make_replay_with_known_speeds() -> Replay:
    """Return a replay without arrivals: a fast worker w0 and a slow one w1, of 16 cores each."""
    replay = Replay(load=0.0001, seed=1, by_objective=True, workers=2, admission=False)
    for _ in range(200):
        for worker, kind, run_s in (("w0", "a", 0.8), ("w1", "b", 2.4)):
            replay.run_times.speeds.note_done(worker=worker, kind=kind, run_s=run_s, expected_s=1)
    return replay


def submit(
    replay: Replay, name: str, *, at: float, cpu: int, run_s: float, actual_s: float = 0.0
) -> None:
    """Submit a job of one task at a time.

    :param actual_s: run time of the task, if it differs from the estimate.
    """
    step = Step(count=1, cpu=cpu, memory_mb=100, estimate_ms=round(run_s * 1000))
    request = JobRequest(
        id=name, spec="", steps=[step], route="long", service="s", stretch=1.6, objective_ms=63
    )
    task = TaskId(name, 0, 0)
    replay.loop.call_at(at, replay.submit, request, run_s, {task: actual_s or run_s})


def workers_of_starts(replay: Replay) -> dict[str, str]:
    """Return the worker on which each job started."""
    return {task.job: worker for worker, task in replay.starts}


def test_a_job_waits_for_a_fast_worker_that_is_free_in_time():
    # On the slow worker, which is free, it takes three times as long and is late.
    replay = make_replay_with_known_speeds()
    submit(replay, "first", at=0.1, cpu=16_000, run_s=0.2)
    submit(replay, "second", at=0.2, cpu=16_000, run_s=0.8)
    replay.loop.run_until(5.0)
    assert_that(workers_of_starts(replay), Equals({"first": "w0", "second": "w0"}))


def test_a_job_does_not_wait_if_the_fast_worker_is_free_too_late():
    # It is late either way, and the slow worker must not stay idle for it.
    replay = make_replay_with_known_speeds()
    submit(replay, "first", at=0.1, cpu=16_000, run_s=4.0)
    submit(replay, "second", at=0.2, cpu=16_000, run_s=0.8)
    replay.loop.run_until(0.25)
    assert_that(workers_of_starts(replay), Equals({"first": "w0", "second": "w1"}))


def test_a_job_that_waits_starts_on_a_slow_worker_once_it_is_late():
    # The run on the fast worker takes ten times as long as expected, and no run ends meanwhile.
    replay = make_replay_with_known_speeds()
    submit(replay, "first", at=0.1, cpu=16_000, run_s=0.2, actual_s=20.0)
    submit(replay, "second", at=0.2, cpu=16_000, run_s=0.8)
    replay.loop.run_until(3.0)
    assert_that(workers_of_starts(replay), Equals({"first": "w0", "second": "w1"}))
