"""Detection of a slow owner, which hands the pool over."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._owner_lag import COOLDOWN_S, LAG_SAMPLES, MIN_TERM_S, OwnerLagDetector
from zincwell.dispatch._types import Verdict


def make_detector_in_term(now: float = 100.0) -> OwnerLagDetector:
    """Return a detector whose entry has been owner for long enough to be evaluated."""
    detector = OwnerLagDetector()
    detector.begin_term(now - MIN_TERM_S)
    return detector


def test_a_single_pause_does_not_hand_the_pool_over():
    detector = make_detector_in_term()
    for lag_s in [0.001, 0.001, 5.0, 0.002, 0.001, 0.001, 0.001, 0.001]:
        detector.note_heartbeat(lag_s, 100.0)
    assert_that(detector.should_hand_over, Is(False))


def test_persistent_lag_hands_the_pool_over():
    detector = make_detector_in_term()
    for _ in range(LAG_SAMPLES):
        detector.note_heartbeat(0.2, 100.0)
    assert_that(detector.should_hand_over, Is(True))


def test_a_new_owner_is_not_evaluated_at_first():
    detector = OwnerLagDetector()
    detector.begin_term(100.0)
    for _ in range(LAG_SAMPLES):
        detector.note_heartbeat(0.2, 100.5)
    assert_that(detector.should_hand_over, Is(False))


def test_an_entry_that_handed_the_pool_over_has_a_cooldown():
    detector = make_detector_in_term()
    for _ in range(LAG_SAMPLES):
        detector.note_heartbeat(0.2, 100.0)
    detector.end_term(100.0)
    assert_that(detector.is_ineligible(100.0 + COOLDOWN_S / 2), Is(True))
    assert_that(detector.is_ineligible(100.1 + COOLDOWN_S), Is(False))


@pytest.mark.looptime
async def test_a_slow_owner_hands_the_pool_over_with_its_runs(world: World):
    # The owner's VM runs seven times slower: its heartbeats still arrive, its answers are a second
    # late. If only silence caused a take-over, hardly any job would be served meanwhile.
    await world.open()
    await asyncio.sleep(MIN_TERM_S)
    slow_owner = world.owners()[0]
    job = submit(world, other_than(world, slow_owner), "job", count=4, run_ms=900)
    await asyncio.sleep(0.2)
    for _ in range(LAG_SAMPLES):
        world.nodes[slow_owner]._owner_lag.note_heartbeat(0.2, asyncio.get_running_loop().time())
    await asyncio.sleep(0.3)
    assert_that(world.owners(), HasLength(1))
    assert_that(world.owners() == [slow_owner], Is(False))
    await finish([job], within_s=0.6)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(4))
    world.kill_node(world.owners()[0])
    await asyncio.sleep(1)
    assert_that(world.owners() == [slow_owner], Is(False))
