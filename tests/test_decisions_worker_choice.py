"""Choice among workers of uneven speed."""

from __future__ import annotations

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from zincwell.dispatch.decisions import (
    ClassOutlook,
    RoomGauge,
    SpeedClass,
    WaitRecord,
    chance_in_time,
    choose_classes,
    group_by_speed,
)

FAST, MIDDLE, SLOW = 0, 1, 2


def choose(*outlooks: tuple[float, int], tasks: int = 1, short: bool = False, wait: float = 0.0):
    """Choose among classes, given as chance and slots, with a fixed chance of waiting."""
    return choose_classes(
        [ClassOutlook(*outlook) for outlook in outlooks],
        tasks=tasks,
        short=short,
        chance_of_waiting=lambda missing: wait,
    )


def test_the_fastest_class_comes_first_while_there_is_room():
    # Slow workers use up the slack that absorbs errors of the estimates.
    assert_that(choose((0.99, 5), (0.9, 5), (0.1, 5)), Equals([FAST, MIDDLE, SLOW]))


def test_the_slowest_class_in_time_comes_first_while_room_is_short():
    # Short tasks on fast workers leave only slow ones, on which long tasks are late.
    assert_that(choose((0.99, 5), (0.9, 5), (0.1, 5), short=True), Equals([MIDDLE, FAST, SLOW]))


def test_a_task_waits_for_a_faster_worker_that_makes_it_in_time():
    assert_that(choose((0.95, 0), (0.1, 5), wait=0.9), Equals([FAST]))


def test_a_task_starts_late_if_nothing_better_is_expected():
    # A worker must not stay idle for a job that is late either way.
    assert_that(choose((0.95, 0), (0.1, 5), wait=0.2), Equals([FAST, MIDDLE]))
    assert_that(choose((0.95, 0), (0.5, 5), wait=0.6), Equals([FAST, MIDDLE]))


def test_the_last_task_of_a_job_decides():
    # Five tasks on fast workers are wasted if the sixth, on a slow one, makes the job late.
    late_job = choose((0.99, 5), (0.1, 5), tasks=6, short=True, wait=0.0)
    assert_that(late_job, Equals([MIDDLE, FAST]))
    waiting_job = choose((0.99, 5), (0.1, 5), tasks=6, short=True, wait=0.9)
    assert_that(waiting_job, Equals([FAST]))


def test_many_tasks_need_a_higher_chance_each():
    assert_that(choose((0.99, 40), (0.85, 40), short=True, tasks=1)[0], Equals(MIDDLE))
    assert_that(choose((0.99, 40), (0.85, 40), short=True, tasks=8)[0], Equals(FAST))


def chance(slowdown: float, *, run_s: float, age_s: float = 0.0, known: bool = False) -> float:
    """Return the chance of a task under an objective of 1.6 times its run time plus 62 ms."""
    return chance_in_time(
        SpeedClass(slowdown, 0.1),
        run_s=run_s,
        objective_s=1.6 * run_s + 0.062,
        age_s=age_s,
        stretch=1.6,
        known=known,
    )


def test_a_long_task_is_late_on_a_slow_worker_and_a_short_one_in_time():
    # These are the run times of the routes long and short on a worker of the slow kind.
    assert_that(chance(1.7, run_s=0.76), LessThan(0.5))
    assert_that(chance(1.7, run_s=0.05), GreaterThan(0.8))
    assert_that(chance(0.8, run_s=0.76), GreaterThan(0.95))


def test_the_margin_shrinks_when_the_run_time_is_known():
    assert_that(
        chance(1.0, run_s=0.1, age_s=0.06, known=True),
        GreaterThan(chance(1.0, run_s=0.1, age_s=0.06)),
    )


def test_no_task_is_in_time_after_the_objective():
    assert_that(chance(0.8, run_s=0.1, age_s=1.0), Equals(0.0))


def test_noise_within_a_kind_forms_no_classes():
    # If each worker were its own class, noise in the estimates would outweigh the fit.
    speeds = {f"a{n}": (0.7 + 0.02 * n, 0.06) for n in range(11)}
    speeds |= {f"b{n}": (1.5 + 0.04 * n, 0.06) for n in range(11)}
    classes, class_by_worker = group_by_speed(speeds)
    assert_that(len(classes), Equals(2))
    assert_that({class_by_worker[f"a{n}"] for n in range(11)}, Equals({0}))
    assert_that(classes[0].slowdown, LessThan(classes[1].slowdown))


@pytest.mark.parametrize("start", [0.0, 1.0])
def test_room_near_one_threshold_does_not_flip(start: float):
    # A flip between the fastest and the slowest class with each sample would mix both orders.
    gauge = RoomGauge()
    now = 0.0
    for _ in range(100):
        gauge.note(used_share=start, waiting=False, now=now)
        now += 0.02
    states = set()
    for number in range(200):
        gauge.note(used_share=0.82 + 0.15 * (-1) ** number, waiting=False, now=now)
        now += 0.02
        states.add(gauge.is_short)
    assert_that(states, Equals({bool(start)}))


def test_tasks_that_wait_without_room_count_as_full_use():
    # Tasks of unequal size leave cores unusable, so the share in use alone stays below the limit.
    gauge = RoomGauge()
    for number in range(100):
        gauge.note(used_share=0.7, waiting=True, now=number * 0.02)
    assert_that(gauge.is_short, Is(True))


def test_failed_waits_lower_the_success_rate_for_a_while():
    record = WaitRecord()
    for number in range(100):
        record.note(succeeded=False, now=number * 0.01)
    assert_that(record.success_rate(1.0), LessThan(0.1))
    assert_that(record.success_rate(30.0), GreaterThan(0.95))
