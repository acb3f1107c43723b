"""Slow and stalled workers, moves of their runs, and detection of lost answers."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.decisions import (
    AnswerLossDetector,
    RunTimeEstimator,
    choose_long_poll_wait_s,
    is_move_worthwhile,
    is_slow_worker,
    is_stalled,
)


def make_run(**fields) -> Run:
    task = TaskId("job", 0, 0)
    return Run(task=task, number=1, cpu=1, memory_mb=1, gpu=0, ordered_at=0.0, **fields)


def test_progress_predicts_the_run_time():
    run = make_run(expected_s=0.2)
    run.note_started(1_000)
    assert_that(run.projected_total_s(), Is(None))
    run.note_progress(1_250, percent=25.0)
    assert_that(run.projected_total_s(), Equals(1.0))
    assert_that(run.remaining_s(0.25, expected_s=0.2), Equals(0.75))
    assert_that(run.stalled_s(1_400), Equals(0.15))


def test_an_adopted_run_is_judged_from_where_it_was_first_seen():
    run = make_run(expected_s=1.0, adopted=True)
    run.note_progress(1_000, percent=50.0)
    run.note_progress(1_100, percent=60.0)
    assert_that(run.projected_total_s(), Equals(1.0))
    assert_that(run.remaining_s(99.0, expected_s=1.0), Equals(0.4))


@pytest.mark.parametrize(
    ("ratios", "slow"),
    [([], False), ([3.0], False), ([4.0], True), ([3.0, 3.0], True), ([9.0, 1.1], False)],
)
def test_a_worker_is_slow_if_all_its_runs_are(ratios: list[float], slow: bool):
    assert_that(is_slow_worker(ratios), Is(slow))


def test_a_long_task_stalls_after_a_longer_time():
    assert_that(is_stalled(stalled_s=0.2, expected_s=0.06), Is(True))
    assert_that(is_stalled(stalled_s=0.2, expected_s=0.9), Is(False))
    assert_that(is_stalled(stalled_s=0.6, expected_s=30.0), Is(True))


def test_a_task_is_moved_twice_at_most():
    assert_that(is_move_worthwhile(remaining_s=4.0, expected_s=0.9, moves=1), Is(True))
    assert_that(is_move_worthwhile(remaining_s=4.0, expected_s=0.9, moves=2), Is(False))
    assert_that(is_move_worthwhile(remaining_s=1.3, expected_s=0.9, moves=0), Is(False))


def test_slow_workers_do_not_spoil_the_estimates_of_a_route():
    estimator = RunTimeEstimator()
    for _ in range(100):
        estimator.note_done(route="r", worker="well", estimate_s=0.1, run_s=0.15)
        estimator.note_done(route="r", worker="slow", estimate_s=0.1, run_s=0.75)
    assert_that(estimator.slowdown("slow"), GreaterThan(3.0))
    assert_that(abs(estimator.expect_s(route="r", estimate_s=0.1) - 0.15) < 0.03, Is(True))


@pytest.mark.looptime
async def test_jobs_don_t_wait_for_slow_workers(world: World):
    # A few workers are five times slower, and each job has a task on one of them. If the owner did
    # not derive the speed of workers from progress and move runs, most jobs would be late.
    await world.open()
    for worker_id in ("w-a1", "w-b1"):
        world.workers[worker_id].slowness = 6.0
    entry = other_than(world)
    late = 0
    for number in range(20):
        began_at = world.loop.time()
        job = submit(world, entry, f"job-{number}", count=6, run_ms=300)
        await finish([job])
        late += world.loop.time() - began_at > 0.9
        assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(late, LessThan(4))
    assert_that(world.violations, Equals([]))


@pytest.mark.looptime
async def test_a_stalled_run_is_moved_in_time(world: World):
    # A stalled worker answers and lists its run, but the run makes no progress. If every run had
    # 0.6 s to show progress, however short it is, a job of 0.2 s would be answered after 0.9 s.
    await world.open()
    world.workers["w-a1"].hangs = True
    jobs = [submit(world, other_than(world), f"job-{n}", count=3, run_ms=200) for n in range(4)]
    began_at = world.loop.time()
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.loop.time() - began_at, LessThan(0.8))
    assert_that(world.violations, Equals([]))


def test_answers_are_lossy_only_after_several_losses_without_own_lag():
    # An owner of many workers that lags reads answers late. If it counted them as lost, it would
    # poll more often, which adds to its lag: its core would be fully used, and no job in time.
    detector = AnswerLossDetector()
    for at in (1.0, 1.1, 1.2):
        detector.note_timeout(at, late_s=0.02, answer_timeout_s=0.02, next_answer_s=0.004)
    assert_that(detector.is_lossy(1.2), Is(False))
    for at in (2.0, 2.1):
        detector.note_timeout(at, late_s=0.0, answer_timeout_s=0.02, next_answer_s=0.004)
    assert_that(detector.is_lossy(2.1), Is(False))
    detector.note_timeout(2.2, late_s=0.0, answer_timeout_s=0.02, next_answer_s=0.004)
    assert_that(detector.is_lossy(2.2), Is(True))
    assert_that(detector.is_lossy(9.0), Is(False))


def test_polls_are_short_only_while_answers_get_lost():
    assert_that(
        choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=0.05, lossy=False), Equals(0.25)
    )
    assert_that(choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=0.04, lossy=True), Equals(0.05))
    assert_that(choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=0.0, lossy=True), Equals(0.03))
    assert_that(choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=None, lossy=True), Equals(0.06))


@pytest.mark.looptime
async def test_run_ends_are_seen_though_answers_get_lost(world: World):
    # One answer in fifteen gets lost. If a long poll gets no answer, the run ends on its worker are
    # seen only by the next poll. If each poll lasted 0.25 s, four times the run time of the tasks,
    # a quarter of the short jobs would be answered 0.3 s late.
    await world.open()
    world.lose_every_nth_hold = 15
    entry = other_than(world)
    late = 0
    for number in range(60):
        began_at = world.loop.time()
        await finish([submit(world, entry, f"job-{number}", count=6, run_ms=60)])
        late += world.loop.time() - began_at > 0.2
        await asyncio.sleep(0.02)
    assert_that(late, LessThan(5))
