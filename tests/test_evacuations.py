"""Evacuated failure domains: their workers get nothing new, wherever the order comes from."""

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

# Half a second after the operator's record nothing may start there any more.
IN_FORCE_S = 0.5


async def offer(world: World, seconds: float, *, every_s: float = 0.02, **fields) -> list:
    """Hand short jobs in at all entries in turn for a while."""
    jobs, began_at = [], world.loop.time()
    while world.loop.time() - began_at < seconds:
        entries = sorted(world.nodes)
        number = len(jobs)
        name = f"offer-{world.loop.time():.3f}"
        jobs.append(submit(world, entries[number % len(entries)], name, run_ms=60, **fields))
        await asyncio.sleep(every_s)
    return jobs


async def test_an_evacuated_domain_gets_nothing_new(world: World):
    # Symptom: tasks start in a domain seconds after an operator evacuated it. Sequence: evacuation,
    # then jobs at all entries. Cause: nothing knew of evacuations.
    await world.open()
    world.evacuate("b")
    at = world.loop.time()
    jobs = await offer(world, 2.0)
    await finish(jobs)
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_what_runs_when_a_domain_is_evacuated_ends_by_itself(world: World):
    await world.open()
    jobs = [submit(world, name, f"job-{name}", run_ms=1500) for name in world.nodes]
    await asyncio.sleep(0.1)
    assert_that(len(world.starts_in("b", since=0)), GreaterThan(0))
    world.evacuate("b")
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(sum(world.done.values()), Equals(len(world.starts)))


async def test_a_domain_that_was_taken_back_serves_again(world: World):
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
    await finish(await offer(world, 1.0))
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))


async def test_two_domains_may_be_evacuated_at_once(world: World):
    await world.open()
    world.evacuate("a", "b", "nowhere")
    at = world.loop.time()
    jobs = await offer(world, 1.0, every_s=0.1)
    await finish(jobs)
    assert_that(world.starts_in("a", since=at + IN_FORCE_S), Equals([]))
    assert_that(world.starts_in("b", since=at + IN_FORCE_S), Equals([]))
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_with_all_domains_evacuated_jobs_are_refused_at_once(world: World):
    # Symptom it guards against: callers wait for their whole objective for workers that nobody may
    # use, and learn nothing.
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
    # Symptom it guards against: the last tasks of a job wait in an evacuated pool until its caller
    # gives up. Sequence: more tasks than fit; all domains are evacuated while the first ones run.
    await world.open()
    job = submit(world, "e-a1", "wide", count=20, run_ms=400)
    await asyncio.sleep(0.1)
    world.evacuate("a", "b", "c")
    at = world.loop.time()
    await finish([job])
    assert_that(world.loop.time() - at, LessThan(0.1))
    assert_that(verdicts([job]), Equals({Verdict.UNKNOWN}))


async def test_an_evacuation_outlives_the_owner(world: World):
    # Symptom it guards against: a new owner begins with all workers of the list. Sequence: the
    # owner is killed in the moment of the evacuation.
    await world.open()
    world.evacuate("b")
    world.kill_node(world.owners()[0])
    at = world.loop.time()
    await finish(await offer(world, 2.5))
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
    jobs = await offer(world, 2.5)
    await finish(jobs)
    assert_that(world.starts_in("b", since=at), Equals([]))
    assert_that(jobs[-1].result().verdict, Equals(Verdict.SUCCEEDED))


async def test_an_entry_that_starts_without_the_store_learns_evacuations(world: World):
    # Symptom it guards against: an owner that the store turns away uses an evacuated domain.
    # Sequence: an entry starts while the store turns it away; others tell it what is in force.
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
    # Symptom it guards against: callers in an evacuated domain are refused while the workers of
    # other cells stand empty. Its entries go on serving them.
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
    # Symptom: callers in an evacuated domain are refused in the moments in which no other cell can
    # begin a job at once. Sequence: short queues in all other cells. Cause: a job leaves home only
    # for a place where it need not wait, also when it can't stay at home.
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


def keep(calls: list) -> EvacuationTracker:
    return EvacuationTracker(on_change=lambda: calls.append(1), metrics=Metrics())


def test_an_older_account_changes_nothing():
    calls: list = []
    keeper = keep(calls)
    keeper.update_from_store(["b"], offset=7)
    keeper.update_from_peer(Evacuations(place=5, domains=[]), entry="e")
    keeper.update_from_store([], offset=6)
    assert_that((keeper.domains, calls), Equals((["b"], [1])))


def test_nothing_is_told_where_nobody_has_heard_of_an_evacuation():
    keeper = keep([])
    keeper.update_from_store([], offset=7)
    assert_that(keeper.state_to_share(), Is(None))
    keeper.update_from_peer(Evacuations(place=5, domains=["b"]), entry="e")
    assert_that(keeper.state_to_share(), Equals(Evacuations(place=7, domains=[])))


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
