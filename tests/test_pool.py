"""Pool with one owner: jobs, take-overs, partitions and orders without an answer."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch import _placement, _worker_set
from zincwell.dispatch._types import Verdict
from zincwell.dispatch._worker_session import WorkerSession

pytestmark = pytest.mark.looptime


def count_calls(monkeypatch: pytest.MonkeyPatch, container, name: str, calls: list[str]) -> None:
    """Append to ``calls`` on each call of a function or method."""
    original = getattr(container, name)

    def note(*arguments, **fields):
        calls.append(name)
        return original(*arguments, **fields)

    monkeypatch.setattr(container, name, note)


async def test_one_owner_serves_all_entries(world: World):
    await world.open()
    assert_that(world.owners(), HasLength(1))
    jobs = [submit(world, name, f"job-{name}") for name in world.nodes]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_the_entry_with_the_most_cores_takes_over(world: World):
    # Guards against choosing successors by start time alone. After the owner's VM fails, a VM with
    # half a core could own a pool that needs a whole core, and jobs would be late from then on.
    await world.open()
    world.add_node("e-strong", "b", cores=2.0)
    world.add_node("e-newest", "c")
    await asyncio.sleep(1)
    world.kill_node(world.owners()[0])
    await asyncio.sleep(1)
    assert_that(world.owners(), Equals(["e-strong"]))


async def test_runs_survive_the_loss_of_the_owner(world: World):
    # Guards against a successor that starts tasks again instead of adopting their runs. The owner
    # fails while tasks run under leases of up to 1 s; started again, the job takes twice as long.
    await world.open()
    owner = world.owners()[0]
    job = submit(world, other_than(world, owner), "job", run_ms=1500)
    await asyncio.sleep(0.4)
    world.kill_node(owner)
    outcome = await job
    assert_that(outcome.verdict, Equals(Verdict.SUCCEEDED))
    assert_that(world.starts, HasLength(2))


async def test_owner_that_leaves_hands_the_pool_over_at_once(world: World):
    # Guards against a planned restart that is treated like a failure. The owner gets SIGTERM; if it
    # stopped without a hand-over, no task would start for half a second until the failure detector
    # of its successor fires.
    await world.open()
    owner = world.owners()[0]
    drain = asyncio.ensure_future(world.nodes[owner].drain())
    await asyncio.sleep(0.3)
    assert_that(world.owners(), HasLength(1))
    assert world.owners() != [owner]
    started_at = world.loop.time()
    job = submit(world, owner, "job", run_ms=100)
    assert_that((await job).verdict, Equals(Verdict.SUCCEEDED))
    assert_that(world.loop.time() - started_at, LessThan(0.2))
    await drain


async def test_a_domain_serves_itself_though_the_owner_had_said_it_would_leave(world: World):
    # The store is down, and the owner gets SIGTERM, announces its leave and ends. Guards against
    # successors that retry their claims at the store for ever instead of standing in, so that
    # nothing is served until the store is back.
    await world.open()
    owner = world.owners()[0]
    world.store_down_for = set(world.nodes)
    await world.nodes[owner].drain()
    world.kill_node(owner)
    await asyncio.sleep(2.5)
    job = submit(world, other_than(world, owner), "job")
    await finish([job], within_s=1)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


async def test_a_second_stand_in_takes_over_from_the_first(world: World):
    # In a partitioned failure domain a stand-in dies, and another entry stands in with a lower
    # fencing token, which the workers refuse. Guards against a domain that serves nothing until the
    # partition heals: with one reserved token for each member the second stand-in steps down, and
    # if any message counts as a heartbeat, the third entry still follows it.
    await world.open(entries=3)
    owner = world.owners()[0]
    zone = next(z for z in "abc" if z != world.nodes[owner].me.zone)
    world.cut_zone(zone)
    await asyncio.sleep(2)
    first = next(n for n in world.owners() if world.nodes[n].me.zone == zone)
    world.kill_node(first)
    await asyncio.sleep(4)
    second = next(name for name, node in world.nodes.items() if node.me.zone == zone)
    job = submit(world, second, "job")
    await finish([job], within_s=1)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


async def test_a_restarted_entry_gets_its_answers(world: World):
    # The owner sends heartbeats to a restarted entry over its old link until it learns of the new
    # process and opens a new link, whose deliveries are numbered from 1 again. Guards against an
    # entry that has seen the higher numbers of the old link and drops the answers as duplicates.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    zone = world.nodes[entry].me.zone
    await asyncio.sleep(10)
    world.kill_node(entry)
    world.add_node(entry, zone)
    await asyncio.sleep(1)
    job = submit(world, entry, "job")
    await finish([job], within_s=1.0)


async def test_a_domain_without_owner_and_store_serves_itself_soon(world: World):
    # A partition separates a failure domain from both the owner and the store. Its entries suspect
    # the owner, but only the store could confirm that it is gone. Guards against noticing that the
    # store is unreachable only after that wait, which leaves callers without an answer for 2.6 s.
    await world.open()
    owner = world.owners()[0]
    zone = next(node.me.zone for node in world.nodes.values() if owner[2] != node.me.zone)
    world.cut_zone(zone)
    await asyncio.sleep(1.3)
    job = submit(world, f"e-{zone}1", "job")
    await finish([job], within_s=0.5)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("late_s", [0.0, 0.3])
async def test_workers_that_left_the_list_behind_a_partition_are_not_forgotten(
    world: World, late_s: float
):
    # The owner's domain is cut off until its workers' list entries expire. When the partition
    # heals, the domain's jobs reach the new owner before the workers are listed again. Guards
    # against an owner that counts unlisted workers as gone and runs a task twice at the same time.
    await world.open()
    owner = world.owners()[0]
    zone = world.nodes[owner].me.zone
    world.cut_zone(zone)
    await asyncio.sleep(3)
    world.unlist_zone(zone)
    await asyncio.sleep(2 + late_s)
    job = submit(world, owner, "job", run_ms=1500)
    await asyncio.sleep(0.3)
    await world.heal_and_relist(zone)
    await finish([job])
    await asyncio.sleep(2)


async def test_jobs_of_a_domain_that_is_back_wait_for_workers_that_are_not_listed(world: World):
    # The workers of the owner's domain are unlisted when it is cut off, and another entry becomes
    # owner without ever having known them. When the partition heals, the domain's jobs reach the
    # new owner before those workers are listed. Guards against an owner that takes the list as
    # complete and runs a task twice at the same time.
    await world.open()
    owner = world.owners()[0]
    zone = world.nodes[owner].me.zone
    world.unlist_zone(zone)
    await asyncio.sleep(2)
    world.cut_zone(zone)
    await asyncio.sleep(4)
    job = submit(world, owner, "job", run_ms=1500)
    await asyncio.sleep(0.3)
    await world.heal_and_relist(zone)
    await finish([job])
    await asyncio.sleep(2)


async def cut_zone_off(world: World) -> tuple[str, str]:
    """Partition a failure domain, unlist its workers; return its stand-in and another entry."""
    home = world.nodes[world.owners()[0]].me.zone
    zone = next(node.me.zone for node in world.nodes.values() if node.me.zone != home)
    world.cut_zone(zone)
    world.unlist_zone(zone)
    await asyncio.sleep(2)
    inside = [name for name, node in world.nodes.items() if node.me.zone == zone]
    stand_in = next(name for name in inside if name in world.owners())
    return stand_in, next(name for name in inside if name != stand_in)


@pytest.mark.parametrize(
    ("killed_s", "leaves_s"), [(0.55, 1.0), (1.0, 1.0), (1.0, 1.2), (1.0, 1.8), (1.3, 1.2)]
)
async def test_an_entry_that_was_cut_off_distrusts_the_list_when_it_becomes_owner(
    world: World, killed_s: float, leaves_s: float
):
    # A domain is cut off, and its workers' list entries expire. About when the partition heals, the
    # owner is killed and the domain's stand-in drained, and another entry of the domain becomes
    # owner. It reaches all domains and holds all listed workers. Guards against a new owner that
    # ignores partitions before its term, also of its own domain, and runs a task twice.
    await world.open()
    owner = world.owners()[0]
    stand_in, entry = await cut_zone_off(world)
    job = submit(world, entry, "job", run_ms=4000)
    world.loop.call_later(killed_s, world.kill_node, owner)
    world.loop.call_later(1.0, world.heal)
    await asyncio.sleep(leaves_s)
    leaving = asyncio.ensure_future(world.nodes[stand_in].drain())
    await finish([job])
    await leaving


async def test_a_new_owner_asks_workers_that_have_just_lapsed_in_the_list(world: World):
    # List entries of live workers expire while the store is down, and the owner is killed before
    # they are back. Guards against a new owner that knows only listed workers, and so starts their
    # tasks from the beginning and runs them twice at the same time.
    await world.open()
    job = submit(world, other_than(world, *world.owners()), "job", count=8, run_ms=3000)
    await asyncio.sleep(0.2)
    for zone in "ab":
        world.unlist_zone(zone)
    await asyncio.sleep(1.7)
    world.kill_node(world.owners()[0])
    await finish([job])
    assert_that(world.starts, HasLength(8))


async def test_a_stand_in_that_becomes_owner_keeps_its_runs(world: World):
    # The owner dies while a domain is cut off; the partition heals, and the domain's stand-in
    # becomes owner. Guards against dropping its sessions on promotion: its runs would expire, since
    # their workers are not listed yet, and the jobs would start from the beginning.
    await world.open()
    _, entry = await cut_zone_off(world)
    job = submit(world, entry, "job", run_ms=4000)
    await asyncio.sleep(1)
    for owner in world.owners():
        if world.nodes[owner].me.zone != world.nodes[entry].me.zone:
            world.kill_node(owner)
    world.heal()
    await finish([job])
    assert_that(world.starts, HasLength(2))


@pytest.mark.parametrize("late_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
async def test_healed_partition_starts_nothing_twice(world: World, late_s: float):
    # The owner's domain is cut off; the owner continues there, and another entry owns the rest.
    # When the partition heals, entries of the domain submit their jobs to the new owner before it
    # has reached the domain's workers. Guards against an owner that starts such a job although
    # workers that it does not hold are running its tasks, so that a task runs twice.
    await world.open()
    owner = world.owners()[0]
    zone = world.nodes[owner].me.zone
    other_entry = next(
        name for name, node in world.nodes.items() if node.me.zone == zone and name != owner
    )
    world.cut_zone(zone)
    await asyncio.sleep(4 + late_s)
    jobs = [submit(world, name, f"job-{name}", run_ms=1500) for name in (owner, other_entry)]
    await asyncio.sleep(0.3)
    world.heal()
    await finish(jobs)
    await asyncio.sleep(2)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.owners(), HasLength(1))


@pytest.mark.parametrize("stand_in_has_it", [True, False])
async def test_a_job_of_a_lost_entry_is_not_run_on_both_sides_of_a_partition(
    world: World, stand_in_has_it: bool
):
    # During a partition an entry on one side submits a job and dies. Its caller sees the connection
    # break and resubmits the job 1.3 s later to an entry on the other side. Guards against an owner
    # that continues a job that no live entry on its side waits for, so that a task runs twice.
    await world.open(entries=3)
    owner = world.owners()[0]
    zone = next(z for z in "abc" if z != world.nodes[owner].me.zone)
    world.cut_zone(zone)
    await asyncio.sleep(2)
    inside = [n for n, node in world.nodes.items() if node.me.zone == zone]
    outside = [n for n in world.nodes if n not in inside]
    here, there = (inside, outside) if stand_in_has_it else (outside, inside)
    lost = next(name for name in here if name not in world.owners())
    submit(world, lost, "job", run_ms=4000)
    await asyncio.sleep(0.5)
    world.kill_node(lost)
    await asyncio.sleep(1.3)
    again = submit(world, there[0], "job", run_ms=4000)
    await finish([again], within_s=8)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


async def test_a_job_that_has_begun_is_not_starved_by_more_urgent_ones(world: World):
    # Some tasks of a job have run when more urgent jobs start to exceed the capacity. Guards
    # against starvation: the started job can't be refused any more, and if its remaining tasks were
    # always queued behind urgent ones, the caller would time out after half a minute.
    await world.open()
    low = submit(world, other_than(world), "low", count=16, run_ms=900, priority=2)
    await asyncio.sleep(0.1)
    urgent = []
    for number in range(100):
        urgent.append(submit(world, other_than(world), f"urgent-{number}", count=4))
        await asyncio.sleep(0.05)
        if low.done():
            break
    assert_that(low.done(), Equals(True))
    assert_that(low.result().verdict, Equals(Verdict.SUCCEEDED))
    await finish(urgent)


async def test_a_configuration_reaches_entries_that_the_store_does_not(world: World):
    # The store is unavailable to some entries while the configuration changes. Guards against
    # entries that read it only from the store and keep serving removed routes.
    await world.open()
    away = [name for name in sorted(world.nodes) if name not in world.owners()][:2]
    world.store_down_for.update(away)
    world.publish(2)
    await asyncio.sleep(1.5)
    versions = {node.configuration_version() for node in world.nodes.values()}
    assert_that(versions, Equals({2}))


async def test_a_configuration_is_copied_once(world: World):
    # After a restart of all entries, those without a configuration need a copy of a large one. The
    # transfer takes longer than the timeout of a message. Guards against all other entries sending
    # copies again and again: the links are saturated, heartbeats are lost, and a quarter of the
    # jobs find no owner.
    await world.open(entries=3)
    away = next(name for name in sorted(world.nodes) if name not in world.owners())
    world.store_down_for.add(away)
    world.publish(2)
    await asyncio.sleep(2)
    assert_that(world.nodes[away].configuration_version(), Equals(2))
    assert_that(world.copies, Equals({away: 1}))


async def test_entries_without_an_owner_probe_each_other_at_a_bounded_rate(world: World):
    # Without an owner each entry asks all others whether they hear one. Guards against an unbounded
    # rate, where they ask again after each answer and entries with little CPU serve nothing for
    # seconds.
    await world.open(entries=3)
    world.store_down_for.update(world.nodes)
    world.kill_node(world.owners()[0])
    world.deliveries.clear()
    await asyncio.sleep(1)
    pairs = len(world.nodes) * len(world.nodes)
    assert_that(sum(world.deliveries.values()), LessThan(9 * pairs))


async def test_a_configuration_is_never_replaced_by_an_older_one(world: World):
    # An entry gets a newer configuration from another entry, then an older one from the store.
    # Guards against applying whatever arrived last, which would serve a removed route again.
    await world.open()
    world.publish(3)
    await asyncio.sleep(1)
    world.publish(2)
    await asyncio.sleep(2)
    versions = {node.configuration_version() for node in world.nodes.values()}
    assert_that(versions, Equals({3}))


async def test_all_entries_are_lost_at_once_and_serve_again(world: World):
    # All entries fail at once, as in a power loss, and start again. Guards against waiting for the
    # former owner, whose claim is still in the store.
    await world.open()
    zones_by_name = {name: node.me.zone for name, node in world.nodes.items()}
    for name in zones_by_name:
        world.kill_node(name)
    for name, zone in zones_by_name.items():
        world.add_node(name, zone)
    await asyncio.sleep(4)
    jobs = [submit(world, name, f"job-{name}") for name in world.nodes]
    await finish(jobs, within_s=3)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_waiting_jobs_do_not_each_scan_all_workers(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Hundreds of jobs wait while hundreds of workers are full. Guards against a scan of all workers
    # for each waiting job on each event, which saturates the owner's core and stops the service.
    await world.open()
    entry = other_than(world)
    fields = {"count": 4, "run_ms": 5000, "stretch": 1000}
    jobs = [submit(world, entry, f"job-{n}", **fields) for n in range(60)]
    await asyncio.sleep(0.3)
    scans: list[str] = []
    count_calls(monkeypatch, WorkerSession, "can_start", scans)
    count_calls(monkeypatch, _placement, "fits_now", scans)
    count_calls(monkeypatch, _worker_set, "could_ever_fit", scans)
    owner = world.nodes[world.owners()[0]]._owner
    owner._scheduler.place()
    owner._unservable_jobs.end_due(asyncio.get_running_loop().time())
    assert_that(len(owner._scheduler.queue), GreaterThan(50))
    assert_that(len(scans), LessThan(len(world.workers) + 1))
    for job in jobs:
        job.cancel()
