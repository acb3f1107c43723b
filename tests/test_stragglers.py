"""Workers that are slow or stand still, and the runs that are moved away from them."""

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
    RunTimes,
    choose_long_poll_wait_s,
    is_slow_worker,
    is_stalled,
    pays_to_move,
)


def make_run(**fields) -> Run:
    task = TaskId("job", 0, 0)
    return Run(task=task, number=1, cpu=1, memory_mb=1, gpu=0, ordered_at=0.0, **fields)


def test_progress_tells_how_long_a_run_takes():
    run = make_run(expected_s=0.2)
    run.note_started(1_000)
    assert_that(run.projected_total_s(), Is(None))
    run.note_progress(1_250, percent=25.0)
    assert_that(run.projected_total_s(), Equals(1.0))
    assert_that(run.left_s(0.25, expected_s=0.2), Equals(0.75))
    assert_that(run.stalled_s(1_400), Equals(0.15))


def test_an_adopted_run_is_judged_from_where_it_was_first_seen():
    run = make_run(expected_s=1.0, adopted=True)
    run.note_progress(1_000, percent=50.0)
    run.note_progress(1_100, percent=60.0)
    assert_that(run.projected_total_s(), Equals(1.0))
    assert_that(run.left_s(99.0, expected_s=1.0), Equals(0.4))


@pytest.mark.parametrize(
    ("ratios", "slow"),
    [([], False), ([3.0], False), ([4.0], True), ([3.0, 3.0], True), ([9.0, 1.1], False)],
)
def test_a_worker_is_slow_if_all_its_runs_are(ratios: list[float], slow: bool):
    assert_that(is_slow_worker(ratios), Is(slow))


def test_a_long_task_may_stand_still_for_longer():
    assert_that(is_stalled(stalled_s=0.2, expected_s=0.06), Is(True))
    assert_that(is_stalled(stalled_s=0.2, expected_s=0.9), Is(False))
    assert_that(is_stalled(stalled_s=0.6, expected_s=30.0), Is(True))


def test_a_task_is_moved_twice_at_most():
    assert_that(pays_to_move(left_s=4.0, expected_s=0.9, moves=1), Is(True))
    assert_that(pays_to_move(left_s=4.0, expected_s=0.9, moves=2), Is(False))
    assert_that(pays_to_move(left_s=1.3, expected_s=0.9, moves=0), Is(False))


def test_slow_workers_do_not_spoil_the_estimates_of_a_route():
    times = RunTimes()
    for _ in range(100):
        times.note_done(route="r", worker="well", estimate_s=0.1, run_s=0.15)
        times.note_done(route="r", worker="slow", estimate_s=0.1, run_s=0.75)
    assert_that(times.slowness("slow"), GreaterThan(3.0))
    assert_that(abs(times.expect_s(route="r", estimate_s=0.1) - 0.15) < 0.03, Is(True))


@pytest.mark.looptime
async def test_jobs_don_t_wait_for_slow_workers(world: World):
    # Symptom: for as long as a few workers are five times slower, most jobs are late. Sequence:
    # each job has a task on one of them, and the next jobs get one, too. Cause: nothing learns
    # from progress how fast a worker is, and what runs there stays there.
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
async def test_a_run_that_stands_still_is_moved_in_time(world: World):
    # Symptom: a job of 0.2 s with a task on a worker that lets everything stand still is answered
    # after 0.9 s. Sequence: the worker answers, lists the run, and its progress stays at nothing.
    # Cause: every run is given 0.6 s to show progress, however short it is.
    await world.open()
    world.workers["w-a1"].hangs = True
    jobs = [submit(world, other_than(world), f"job-{n}", count=3, run_ms=200) for n in range(4)]
    began_at = world.loop.time()
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.loop.time() - began_at, LessThan(0.8))
    assert_that(world.violations, Equals([]))


def test_answers_get_lost_only_if_several_do_and_the_owner_was_in_time():
    # Symptom: the core of an owner of many workers is full and nothing is served in time.
    # Sequence: it reads answers late, takes them for lost, asks again and waits for shorter times.
    # Cause: more calls in reply to its own lateness.
    losses = AnswerLossDetector()
    for at in (1.0, 1.1, 1.2):
        losses.note_timeout(at, late_s=0.02, answer_timeout_s=0.02, next_answer_s=0.004)
    assert_that(losses.is_lossy(1.2), Is(False))
    for at in (2.0, 2.1):
        losses.note_timeout(at, late_s=0.0, answer_timeout_s=0.02, next_answer_s=0.004)
    assert_that(losses.is_lossy(2.1), Is(False))
    losses.note_timeout(2.2, late_s=0.0, answer_timeout_s=0.02, next_answer_s=0.004)
    assert_that(losses.is_lossy(2.2), Is(True))
    assert_that(losses.is_lossy(9.0), Is(False))


def test_calls_are_short_only_while_answers_get_lost():
    assert_that(
        choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=0.05, lossy=False), Equals(0.25)
    )
    assert_that(choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=0.04, lossy=True), Equals(0.05))
    assert_that(choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=0.0, lossy=True), Equals(0.03))
    assert_that(choose_long_poll_wait_s(max_wait_s=0.25, next_end_s=None, lossy=True), Equals(0.06))


@pytest.mark.looptime
async def test_ends_are_heard_though_answers_get_lost(world: World):
    # Symptom: while one answer in fifteen gets lost, a quarter of the short jobs is answered
    # 0.3 s late. Sequence: a call that waits for an end gets no answer, and all ends on that
    # worker are heard when the next one is sent. Cause: the call may last 0.25 s, four times as
    # long as the tasks run.
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
