"""Lasting speeds of workers, learned from their runs."""

from __future__ import annotations

import math
import random

from testtools.assertions import assert_that
from testtools.matchers import Is, LessThan

from zincwell.dispatch.decisions import WorkerSpeeds

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
