"""Timeouts of worker calls: slow answers do not count as lost ones."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._types import Verdict
from zincwell.dispatch._unanswered_orders import MAX_ORDER_DELAY_S
from zincwell.dispatch.decisions import (
    AnswerLossDetector,
    AnswerTimeoutEstimator,
    choose_long_poll_wait_s,
    choose_order_retry_s,
    leaves_orders_unanswered,
    min_poll_interval_s,
)

ANSWER_TIMEOUT_S = 0.02


def test_the_timeout_follows_answer_times():
    estimator = AnswerTimeoutEstimator()
    assert_that(estimator.answer_timeout_s(), Equals(0.25))
    for _ in range(20):
        estimator.note_answer(0.003)
    assert_that(estimator.answer_timeout_s(), Equals(0.02))
    for _ in range(5):
        estimator.note_answer(0.065)
    assert_that(estimator.answer_timeout_s(), GreaterThan(0.065))
    for _ in range(60):
        estimator.note_answer(0.003)
    assert_that(estimator.answer_timeout_s(), Equals(0.02))


def test_the_timeout_doubles_with_each_call_that_times_out():
    estimator = AnswerTimeoutEstimator()
    estimator.note_answer(0.003)
    estimator.note_timeout()
    assert_that(estimator.answer_timeout_s(), Equals(0.04))
    for _ in range(9):
        estimator.note_timeout()
    assert_that(estimator.answer_timeout_s(), Equals(0.25))
    estimator.note_answer(0.003)
    assert_that(estimator.answer_timeout_s(), Equals(0.02))


def test_a_slow_answer_does_not_count_as_lost():
    detector = AnswerLossDetector()
    for at in (1.0, 1.1, 1.2, 1.3):
        detector.note_timeout(at, late_s=0.0, answer_timeout_s=0.02, next_answer_s=0.065)
    assert_that(detector.is_lossy(1.3), Equals(False))


def test_polling_takes_a_bounded_share_of_the_processor():
    # 48 workers polled with an eighth of a core: 62 polls a second take a quarter of it.
    min_wait_s = min_poll_interval_s(workers=48, cores=0.125)
    assert_that(48 / min_wait_s * 0.0005, LessThan(0.25 * 0.125 + 1e-9))
    wait_s = choose_long_poll_wait_s(
        max_wait_s=2.0, next_end_s=0.01, lossy=True, min_wait_s=min_wait_s
    )
    assert_that(wait_s, Equals(min_wait_s))
    assert_that(min_poll_interval_s(workers=6, cores=1.0), Equals(0.03))


@pytest.mark.looptime
async def test_a_narrow_link_recovers_after_a_short_saturation(world: World):
    # Other traffic fills the owner's link for a third of a second, and calls to workers queue up
    # behind it. If calls that time out after 20 ms counted as lost, each worker would be polled
    # four to eight times as often from then on. The link can't carry that, so answers would stay
    # slow and no job would be in time for as long as the load lasts.
    await world.open(workers=8)
    world.link_busy_s_per_call = 0.003
    owner = world.owners()[0]
    await asyncio.sleep(2)
    world.link_free_at[owner] = world.loop.time() + 0.3
    await asyncio.sleep(3)
    polls_before = world.holds
    await asyncio.sleep(2)
    # 24 workers, each polled again after 0.25 s.
    assert_that((world.holds - polls_before) / 2, LessThan(120))
    began_at = world.loop.time()
    jobs = [submit(world, other_than(world, owner), f"job-{n}", run_ms=60) for n in range(4)]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.loop.time() - began_at, LessThan(0.2))


def test_a_worker_that_answers_no_order_gets_few_copies():
    # Guards against an owner that spends its processor, and the connections to a worker, on copies
    # of orders that are not answered.
    sent_at, copies = 0.0, 0
    while sent_at < MAX_ORDER_DELAY_S:
        copies += 1
        sent_at += choose_order_retry_s(copies=copies, answer_timeout_s=ANSWER_TIMEOUT_S)
    assert_that(copies, LessThan(24))


def test_most_lost_orders_are_sent_again_at_once():
    # Guards against jobs of 60 ms that wait for the copies of orders that are lost at random.
    within_s = sum(
        choose_order_retry_s(copies=copies, answer_timeout_s=ANSWER_TIMEOUT_S) for copies in (1, 2)
    )
    assert_that(within_s, LessThan(0.06))
    assert_that(leaves_orders_unanswered(copies=2), Equals(False))
