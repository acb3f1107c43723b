"""Time until a stand-in is active after a partition, and what it must not start by then."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._types import Verdict

pytestmark = pytest.mark.looptime


async def open_shared_cells(world: World) -> str:
    """Open two cells over four domains; return a domain whose owner is in another one."""
    await world.open(zones="abcd", entries=3, workers=8, cores=16 / 50)
    await asyncio.sleep(5)
    assert_that(world.owners(), HasLength(2))
    return zone_without_owner(world)


def zone_without_owner(world: World) -> str:
    owner_zones = {world.nodes[name].me.zone for name in world.owners()}
    zones = sorted({node.me.zone for node in world.nodes.values()} - owner_zones)
    return zones[0]


async def time_until_active(world: World, zone: str) -> float:
    """Return the time in seconds until a domain has a stand-in."""
    began_at = world.loop.time()
    async with asyncio.timeout(5):
        while not any(world.nodes[name].me.zone == zone for name in world.owners()):
            await asyncio.sleep(0.005)
    return world.loop.time() - began_at


@pytest.mark.parametrize("phase_s", [0.0, 0.03, 0.06, 0.09])
async def test_a_stand_in_is_active_soon_in_a_cell_of_two_domains(world: World, phase_s: float):
    # Failure: half of the cell's entries answer each other, count as a majority and wait for two
    # calls to the store, one after the other, while their receipts become stale.
    zone = await open_shared_cells(world)
    await asyncio.sleep(phase_s)
    world.cut_zone(zone)
    began_at = world.loop.time()
    jobs = []
    for number in range(10):
        jobs.append(submit(world, f"e-{zone}1", f"job-{number}", run_ms=60, objective_ms=1000))
        await asyncio.sleep(0.05)
    assert_that(await time_until_active(world, zone), LessThan(0.2))
    await finish(jobs)
    first = min(at for at, worker, _, _ in world.starts if worker.startswith(f"w-{zone}"))
    assert_that(first - began_at, LessThan(0.72))
    # The first delivery to the lost owner may have arrived.
    assert_that([job.result().verdict for job in jobs].count(Verdict.SUCCEEDED), GreaterThan(8))


@pytest.mark.parametrize("phase_s", [0.0, 0.03, 0.06, 0.09])
async def test_a_stand_in_of_a_single_cell_takes_as_long_as_the_owner_may_run(
    world: World, phase_s: float
):
    # In a single cell, the owner stops the runs of a lost entry's jobs only 0.9 s after the start
    # of the partition. A caller may retry such a job at a stand-in.
    await world.open()
    zone = zone_without_owner(world)
    await asyncio.sleep(phase_s)
    world.cut_zone(zone)
    active_s = await time_until_active(world, zone)
    assert_that(active_s, GreaterThan(0.8))
    assert_that(active_s, LessThan(1.0))


@pytest.mark.parametrize("cells", [False, True])
@pytest.mark.parametrize("lost_before_s", [0.6, 0.8, 1.0, 1.2])
@pytest.mark.parametrize("restart_after_s", [None, 0.2, 0.8])
async def test_the_retry_of_a_lost_entry_runs_on_one_side_only(
    world: World, cells: bool, lost_before_s: float, restart_after_s: float | None
):
    # Failure: two concurrent runs of one task. An entry is lost before the partition, and the
    # owner runs its job on. The caller retries 1.3 s after the loss at another entry of its domain,
    # whose stand-in has never heard of the job.
    zone = await open_shared_cells(world) if cells else ""
    if not cells:
        await world.open(entries=3)
        zone = zone_without_owner(world)
    entries = [f"e-{zone}{number}" for number in (1, 2, 3)]
    # Loads the workers of the domain, so that the job runs elsewhere.
    fill = [
        submit(world, entries[0], f"fill-{n}", count=2, run_ms=1500)
        for n in range(sum(worker.info.zone == zone for worker in world.workers.values()))
    ]
    submit(world, entries[2], "job", count=4, run_ms=6000)
    await asyncio.sleep(0.3)
    world.kill_node(entries[2])
    lost_at = world.loop.time()
    if restart_after_s is not None:
        await asyncio.sleep(restart_after_s)
        world.add_node(entries[2], zone)
    await asyncio.sleep(max(lost_at + lost_before_s - world.loop.time(), 0))
    world.cut_zone(zone)
    await asyncio.sleep(lost_at + 1.3 - world.loop.time())
    again = submit(world, entries[1], "job", count=4, run_ms=6000, objective_ms=20_000)
    await asyncio.sleep(6)
    # Violations are checked by the fixture.
    world.heal()
    await finish([again, *fill], within_s=30)


@pytest.mark.parametrize("cells", [False, True])
@pytest.mark.parametrize("run_ms", [1000, 5000])
async def test_a_job_that_callers_on_both_sides_wait_for(world: World, cells: bool, run_ms: int):
    # Failure: two concurrent runs of one task. A caller's retry has brought its job to entries on
    # both sides of a partition. The owner continues the job for the entry on its side, and the
    # stand-in adopts a run or starts the job again for the other one.
    if cells:
        zone = await open_shared_cells(world)
    else:
        await world.open()
        zone = zone_without_owner(world)
    inside = f"e-{zone}1"
    owner_zones = [
        world.nodes[name].me.zone
        for name in world.owners()
        if world.nodes[inside].election.owner.name == name
    ]
    outside = next(
        name
        for name, node in world.nodes.items()
        if node.me.zone == owner_zones[0] and name not in world.owners()
    )
    fields = {"count": 4, "run_ms": run_ms, "objective_ms": 20_000}
    jobs = [submit(world, entry, "job", **fields) for entry in (inside, outside)]
    await asyncio.sleep(0.2)
    world.cut_zone(zone)
    await asyncio.sleep(8)
    world.heal()
    await finish(jobs, within_s=30)


@pytest.mark.parametrize("cells", [False, True])
async def test_a_job_that_was_sent_starts_only_when_the_owner_has_stopped_it(
    world: World, cells: bool
):
    # Failure: the stand-in is active sooner, and starts jobs that the owner may have started
    # sooner as well.
    if cells:
        zone = await open_shared_cells(world)
    else:
        await world.open()
        zone = zone_without_owner(world)
    entry = f"e-{zone}1"
    fill = [submit(world, entry, f"fill-{n}", count=2, run_ms=400) for n in range(4)]
    job = submit(world, entry, "job", count=2, run_ms=3000, objective_ms=20_000)
    await asyncio.sleep(0.05)
    starts = len(world.starts)
    cut_at = world.loop.time()
    world.cut_zone(zone)
    await finish([job, *fill], within_s=20)
    again = [at for at, worker, task, _ in world.starts[starts:] if worker[2] == zone]
    for at in again:
        # 1.0 s after the last contact plus a lease of 1.35 s.
        assert_that(at - cut_at, GreaterThan(2.2))
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


async def test_an_early_stand_in_needs_a_fresh_failure_of_the_store(world: World):
    # Failure: an outage of the store some time ago counts as a sign of a partition, and an entry
    # that is cut off from the owner only takes over its domain.
    zone = await open_shared_cells(world)
    inside = [name for name, node in world.nodes.items() if node.me.zone == zone]
    world.store_down_for = set(inside)
    owner = world.nodes[inside[0]].election.owner.name
    for name in inside:
        world.cut(name, owner)
    await asyncio.sleep(0.5)
    world.store_down_for.clear()
    world.heal()
    await asyncio.sleep(2)
    owners = set(world.owners())
    for other in {node.me.zone for node in world.nodes.values()} - {zone}:
        world.cut(zone, other)
    await asyncio.sleep(1.0)
    assert_that([world.nodes[name].election.domain for name in world.owners()], Equals([""] * 2))
    assert_that(owners, Contains(owner))


async def test_domains_serve_themselves_when_owner_and_store_are_lost(world: World):
    # Failure: the entries of both domains of a cell answer each other, so none is cut off, and
    # nobody stands in for the lost owner while the store is down.
    zone = await open_shared_cells(world)
    owner = world.nodes[f"e-{zone}1"].election.owner.name
    world.store_down_for = set(world.nodes)
    world.kill_node(owner)
    await asyncio.sleep(1.5)
    jobs = [submit(world, f"e-{zone}1", f"job-{n}", run_ms=60) for n in range(2)]
    await finish(jobs, within_s=0.5)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    domains = {world.nodes[name].election.domain for name in world.owners()}
    assert_that(domains, Contains(zone))
    world.store_down_for.clear()
    await asyncio.sleep(4)
    assert_that(world.owners(), HasLength(2))
    assert_that([world.nodes[name].election.domain for name in world.owners()], Equals([""] * 2))


async def test_jobs_go_only_to_owners_that_answer_while_the_home_owner_is_silent(world: World):
    # Failure: the owner of another cell is behind the same partition. All jobs of the first half
    # second are sent to it and count as possibly started under the stand-in.
    zone = await open_shared_cells(world)
    world.cut_zone(zone)
    jobs = []
    for number in range(8):
        jobs.append(submit(world, f"e-{zone}1", f"job-{number}", run_ms=60, objective_ms=300))
        await asyncio.sleep(0.05)
    await finish(jobs, within_s=3)
    outcomes = [job.result().verdict for job in jobs]
    assert_that(outcomes.count(Verdict.UNKNOWN), LessThan(2))
