"""Lasting speeds of workers, learned from their runs."""

from __future__ import annotations

import math
import random
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from zincwell.dispatch.decisions import WorkerSpeeds, estimate_step_log
from zincwell.dispatch.decisions._worker_speeds import RUN_DEVIATION

SEED = 11


def note_runs(
    speeds: WorkerSpeeds, *, runs: int, slowdown_by_kind: dict[str, float], per_kind: int = 20
) -> None:
    """Note runs with estimates that are off by 40%, three in a hundred seven times too long."""
    rng = random.Random(SEED)
    for _ in range(runs):
        kind = rng.choice(sorted(slowdown_by_kind))
        run_s = rng.lognormvariate(0.0, 0.4) * slowdown_by_kind[kind]
        if rng.random() < 0.03:
            run_s *= 7
        worker = f"{kind}-{rng.randrange(per_kind)}"
        speeds.note_done(worker=worker, kind=kind, run_s=run_s, expected_s=1.0)


def test_the_speed_of_a_kind_is_known_after_a_second_of_runs():
    speeds = WorkerSpeeds()
    note_runs(speeds, runs=300, slowdown_by_kind={"a": 0.7, "b": 1.7})
    speeds.note_kind(worker="b-new", kind="b")
    assert_that(
        abs(math.log(speeds.slowdown("b-new") / speeds.slowdown("a-0")) - 0.89), LessThan(0.2)
    )
    assert_that(speeds.is_uneven(["a-0", "a-1", "b-0", "b-new"]), Is(True))


def test_alike_workers_are_not_uneven():
    # Noise taken for speed would send tasks to other workers on a pool where all are alike.
    speeds = WorkerSpeeds()
    note_runs(speeds, runs=3000, slowdown_by_kind={"a": 1.0, "b": 1.0})
    workers = [f"{kind}-{number}" for kind in "ab" for number in range(20)]
    assert_that(speeds.is_uneven(workers), Is(False))


def test_one_very_long_run_changes_little():
    speeds = WorkerSpeeds()
    note_runs(speeds, runs=200, slowdown_by_kind={"a": 1.0})
    before = speeds.slowdown("a-0")
    speeds.note_done(worker="a-0", kind="a", run_s=7.0, expected_s=1.0)
    assert_that(speeds.slowdown("a-0") / before, LessThan(1.15))


def test_a_forgotten_worker_has_the_speed_of_its_kind():
    speeds = WorkerSpeeds()
    note_runs(speeds, runs=200, slowdown_by_kind={"a": 1.0})
    for _ in range(30):
        speeds.note_done(worker="a-0", kind="a", run_s=3.0, expected_s=1.0)
    speeds.forget("a-0")
    speeds.note_kind(worker="a-0", kind="a")
    assert_that(speeds.slowdown("a-0"), LessThan(1.4))


def test_the_mean_over_the_workers_stays_at_one():
    # Run times by route are learned against these speeds. If their mean could move, both would
    # drift apart, and the expected run times of new jobs with them.
    speeds = WorkerSpeeds()
    note_runs(speeds, runs=20_000, slowdown_by_kind={"a": 3.0, "b": 5.0, "c": 9.0})
    speeds.note_kind(worker="b-new", kind="b")
    for number in range(10):
        speeds.forget(f"c-{number}")
    workers = [f"{kind}-{number}" for kind in "ab" for number in range(20)]
    workers += [f"c-{number}" for number in range(10, 20)] + ["b-new"]
    total = sum(math.log(speeds.slowdown(worker)) for worker in workers)
    assert_that(abs(total), LessThan(1e-6))


def test_services_have_means_of_their_own():
    speeds = WorkerSpeeds()
    for _ in range(50):
        for service, run_s in (("one", 1.0), ("two", 4.0)):
            worker = f"w-{service}"
            speeds.note_done(worker=worker, kind="a", service=service, run_s=run_s, expected_s=1.0)
    for name in ("one", "two"):
        assert_that(abs(speeds.slowdown(f"w-{name}") - 1.0), LessThan(1e-6))


@pytest.mark.parametrize("seed", range(5))
def test_many_alike_workers_are_not_uneven(seed: int):
    # The extremes of 400 values differ by six standard deviations by chance.
    speeds = WorkerSpeeds()
    rng = random.Random(seed)
    workers = tuple(f"w-{number}" for number in range(400))
    for _ in range(30_000):
        run_s = rng.lognormvariate(0.0, 0.4) * (7 if rng.random() < 0.03 else 1)
        speeds.note_done(worker=rng.choice(workers), kind="", run_s=run_s, expected_s=1.0)
    assert_that(speeds.is_uneven(workers), Is(False))


def test_workers_without_kinds_may_be_uneven():
    speeds = WorkerSpeeds()
    for _ in range(60):
        for number in range(10):
            run_s = 2.0 if number == 0 else 1.0
            speeds.note_done(worker=f"w-{number}", kind="", run_s=run_s, expected_s=1.0)
    assert_that(speeds.is_uneven([f"w-{number}" for number in range(10)]), Is(True))
    assert_that(abs(speeds.slowdown("w-0") / speeds.slowdown("w-1") - 2.0), LessThan(0.4))


def test_is_uneven_is_cheap_with_many_workers():
    # It is asked for with each start. Evaluated each time, it would take half of the owner's core.
    speeds = WorkerSpeeds()
    note_runs(speeds, runs=4_000, slowdown_by_kind={"a": 0.8, "b": 1.8}, per_kind=200)
    workers = tuple(f"{kind}-{number}" for kind in "ab" for number in range(200))
    speeds.is_uneven(workers)
    began_at = time.process_time()
    for _ in range(1_000):
        speeds.is_uneven(workers)
    assert_that(time.process_time() - began_at, LessThan(0.1))


def test_tasks_of_one_step_share_the_error_of_the_estimate():
    step_log, deviation = estimate_step_log([0.7, 0.8, 2.7])
    assert_that(abs(step_log - 0.75), LessThan(0.1))
    assert_that(deviation, LessThan(RUN_DEVIATION / 1.5))
    assert_that(estimate_step_log([]), Equals((0.0, RUN_DEVIATION)))
