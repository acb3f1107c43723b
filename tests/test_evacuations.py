"""Evacuated failure domains: no entry starts new tasks on their workers."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._evacuations import EvacuationTracker
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import Evacuation, Evacuations, Verdict
from zincwell.dispatch.ports import Topic
from zincwell.platform._store import RecordDecoder

pytestmark = pytest.mark.looptime

# No task may start in the domain later than this after the operator's record.
IN_FORCE_S = 0.5


async def submit_repeatedly(
    world: World, seconds: float, *, every_s: float = 0.02, **fields
) -> list:
    """Submit short jobs to all entries in turn for a number of seconds; return the jobs."""
    jobs, began_at = [], world.loop.time()
    while world.loop.time() - began_at < seconds:
        entries = sorted(world.nodes)
        number = len(jobs)
        name = f"offer-{world.loop.time():.3f}"
        jobs.append(submit(world, entries[number % len(entries)], name, run_ms=60, **fields))
        await asyncio.sleep(every_s)
    return jobs


async def test_an_evacuated_domain_gets_nothing_new(world: World):
    # Failure: tasks start in a domain seconds after an operator has evacuated it, because the
    # entries do not know about the evacuation.
    await world.open()
    world.evacuate("b")
    at = world.loop.time()
    jobs = await submit_repeatedly(world, 2.0)
    await finish(jobs)
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_active_runs_complete_after_an_evacuation(world: World):
    await world.open()
    jobs = [submit(world, name, f"job-{name}", run_ms=1500) for name in world.nodes]
    await asyncio.sleep(0.1)
    assert_that(len(world.starts_in("b", since=0)), GreaterThan(0))
    world.evacuate("b")
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(sum(world.done.values()), Equals(len(world.starts)))


async def test_a_domain_is_used_again_after_its_evacuation_is_revoked(world: World):
    await world.open()
    world.evacuate("b")
    await asyncio.sleep(1)
    world.restore("b")
    await asyncio.sleep(IN_FORCE_S)
    at = world.loop.time()
    await finish([submit(world, "e-a1", f"job-{n}", count=2, run_ms=500) for n in range(6)])
    assert_that(len(world.starts_in("b", since=at)), GreaterThan(0))


async def test_an_evacuation_asked_for_again_within_a_second_holds(world: World):
    await world.open()
    world.evacuate("b")
    await asyncio.sleep(0.3)
    world.restore("b")
    await asyncio.sleep(0.3)
    world.evacuate("b")
    at = world.loop.time()
    await finish(await submit_repeatedly(world, 1.0))
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))


async def test_two_domains_may_be_evacuated_at_once(world: World):
    await world.open()
    world.evacuate("a", "b", "nowhere")
    at = world.loop.time()
    jobs = await submit_repeatedly(world, 1.0, every_s=0.1)
    await finish(jobs)
    assert_that(world.starts_in("a", since=at + IN_FORCE_S), Equals([]))
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_with_all_domains_evacuated_jobs_are_refused_at_once(world: World):
    # Failure: callers wait until their objective has passed, although no worker may be used, and
    # get no reason.
    await world.open()
    world.evacuate("a", "b", "c")
    await asyncio.sleep(IN_FORCE_S)
    at = world.loop.time()
    jobs = [submit(world, name, f"job-{name}") for name in world.nodes]
    await finish(jobs)
    assert_that(world.loop.time() - at, LessThan(0.05))
    assert_that(verdicts(jobs), Equals({Verdict.REFUSED}))
    assert_that({job.result().reason for job in jobs}, Equals({"failure domain evacuated"}))
    assert_that(min(job.result().retry_after_s for job in jobs), GreaterThan(1.0))


async def test_a_begun_job_without_workers_left_is_answered_at_once(world: World):
    # Failure: the last tasks of a job wait in an evacuated pool until the caller gives up. The job
    # has more tasks than fit, and all domains are evacuated while the first ones run.
    await world.open()
    job = submit(world, "e-a1", "wide", count=20, run_ms=400)
    await asyncio.sleep(0.1)
    world.evacuate("a", "b", "c")
    at = world.loop.time()
    await finish([job])
    assert_that(world.loop.time() - at, LessThan(0.1))
    assert_that(verdicts([job]), Equals({Verdict.UNKNOWN}))


async def test_an_evacuation_outlives_the_owner(world: World):
    # Failure: the owner is killed at the time of the evacuation, and the new owner starts tasks on
    # all listed workers.
    await world.open()
    world.evacuate("b")
    world.kill_node(world.owners()[0])
    at = world.loop.time()
    await finish(await submit_repeatedly(world, 2.5))
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))


async def test_an_evacuation_outlives_the_restart_of_all(world: World):
    await world.open()
    world.evacuate("b")
    await asyncio.sleep(0.02)
    names = [(name, node.me.zone) for name, node in world.nodes.items()]
    for name, _ in names:
        world.kill_node(name)
    await asyncio.sleep(0.5)
    at = world.loop.time()
    for name, zone in names:
        world.add_node(name, zone)
    jobs = await submit_repeatedly(world, 2.5)
    await finish(jobs)
    assert_that(world.starts_in("b", since=at), Equals([]))
    assert_that(jobs[-1].result().verdict, Equals(Verdict.SUCCEEDED))


async def test_an_entry_that_starts_without_the_store_learns_evacuations(world: World):
    # Failure: an owner without access to the store uses an evacuated domain. An entry that starts
    # while it can't reach the store must learn the evacuations from other entries.
    await world.open()
    world.evacuate("b")
    await asyncio.sleep(0.2)
    entry = next(name for name in world.nodes if name not in world.owners())
    zone = world.nodes[entry].me.zone
    world.store_down_for.add(entry)
    world.kill_node(entry)
    node = world.add_node(entry, zone)
    await asyncio.sleep(0.6)
    assert_that(node.evacuations.domains, Equals(["b"]))
    world.restore("b")
    await asyncio.sleep(0.3)
    assert_that(node.evacuations.domains, Equals([]))


async def test_an_evacuated_cell_hands_its_callers_jobs_to_others(world: World):
    # Failure: callers in an evacuated domain are refused while workers of other cells are idle. The
    # entries of the domain must go on serving them.
    await world.open_cells()
    world.evacuate("b")
    at = world.loop.time()
    jobs = []
    for number in range(40):
        jobs.append(submit(world, world.entry_in("b"), f"job-{number}", run_ms=60))
        await asyncio.sleep(0.05)
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))


async def test_an_evacuated_cell_hands_its_callers_jobs_to_busy_ones(world: World):
    # Failure: callers in an evacuated domain are refused whenever all other cells have a short
    # queue. A job leaves its home cell only for a cell that can start it at once; this must not
    # apply if the home cell can't run it.
    await world.open_cells()
    world.evacuate("b")
    await asyncio.sleep(IN_FORCE_S)
    long_jobs = [
        submit(
            world, world.entry_in(zone), f"long-{zone}{n}", count=4, run_ms=250, objective_ms=900
        )
        for zone in "ac"
        for n in range(6)
    ]
    await asyncio.sleep(0.3)
    jobs = [
        submit(world, world.entry_in("b"), f"job-{n}", run_ms=60, objective_ms=900)
        for n in range(3)
    ]
    await finish(jobs + long_jobs)
    assert_that(verdicts(jobs + long_jobs), Equals({Verdict.SUCCEEDED}))


def make_tracker(calls: list) -> EvacuationTracker:
    return EvacuationTracker(on_change=lambda: calls.append(1), metrics=Metrics())


def test_an_older_state_changes_nothing():
    calls: list = []
    tracker = make_tracker(calls)
    tracker.update_from_store(["b"], offset=7)
    tracker.update_from_peer(Evacuations(place=5, domains=[]), entry="e")
    tracker.update_from_store([], offset=6)
    assert_that((tracker.domains, calls), Equals((["b"], [1])))


def test_no_state_is_shared_before_the_first_evacuation():
    tracker = make_tracker([])
    tracker.update_from_store([], offset=7)
    assert_that(tracker.state_to_share(), Is(None))
    tracker.update_from_peer(Evacuations(place=5, domains=["b"]), entry="e")
    assert_that(tracker.state_to_share(), Equals(Evacuations(place=7, domains=[])))


@pytest.mark.parametrize("value", [b"{}", b'{"zone":"x"}', b"\xff\x00no", b"7"])
def test_the_key_alone_says_which_domain_is_evacuated(value: bytes):
    record = RecordDecoder().decode(Topic.CONFIGURATION, "evacuate/b", 3, value)
    assert_that(record.value, Equals(Evacuation(domain="b")))


@pytest.mark.parametrize("key", ["evacuate/", "evacuate", "wave/1"])
def test_other_keys_evacuate_nothing(key: str):
    for value in (b"{}", b"\xff"):
        record = RecordDecoder().decode(Topic.CONFIGURATION, key, 3, value)
        assert_that(record.value, Is(None))


def test_a_dropped_key_evacuates_nothing():
    record = RecordDecoder().decode(Topic.CONFIGURATION, "evacuate/b", 3, b"")
    assert_that(record.value, Is(None))
