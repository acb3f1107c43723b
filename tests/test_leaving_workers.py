"""Draining workers, and owners whose worker list is stale."""

from __future__ import annotations

import asyncio
import logging

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan

from tests.dispatch_world import LEAVE_NOTICE_S, World
from tests.pool_jobs import finish, submit
from tests.test_large_pools import open_parts
from zincwell.dispatch._worker_list import ListVersion

pytestmark = pytest.mark.looptime


async def wait_for_owner(world: World) -> str:
    while not world.owners():
        await asyncio.sleep(0.001)
    return world.owners()[0]


def owners_of_parts(world: World, zone: str) -> list[str]:
    """Return the owners of the cells of a failure domain; the first one reads the worker list."""
    owners = [name for name in world.owners() if world.nodes[name].me.zone == zone]
    return sorted(owners, key=lambda name: world.nodes[name]._cell_directory.home.part)


def worker_of(world: World, owner: str) -> str:
    """Return the id of a worker in an owner's cell."""
    cell = world.nodes[owner]._cell_directory.home
    return next(w.info.id for w in world.workers.values() if cell.covers(w.info.zone, w.info.id))


@pytest.mark.parametrize("killed_after_s", [1.5, 1.6, 1.7])
@pytest.mark.parametrize("leaves_after_s", [0.0, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75])
async def test_a_successor_starts_nothing_on_a_worker_that_said_it_leaves(
    world: World, leaves_after_s: float, killed_after_s: float
):
    # Guards against a new owner that starts tasks from the stale worker list of its predecessor.
    await world.open()
    await asyncio.sleep(leaves_after_s)
    world.leave("w-a1")
    await asyncio.sleep(killed_after_s)
    world.kill_node(world.owners()[0])
    successor = await wait_for_owner(world)
    await finish([submit(world, successor, f"job-{n}", count=4) for n in range(8)])
    assert_that(len(world.starts), GreaterThan(0))


async def test_an_owner_that_was_no_successor_for_long_reads_the_list_first(world: World):
    # Guards against using a list of any age. An entry receives no more updates of the list once
    # enough other entries rank before it as successors.
    await world.open(zones="a", workers=3)
    for number in range(3, 7):
        world.add_node(f"e-a{number}", "a")
    await asyncio.sleep(4)
    last = world.entry_in("a")
    world.leave("w-a1")
    await asyncio.sleep(5)
    for name in [name for name in world.nodes if name != last]:
        world.kill_node(name)
    successor = await wait_for_owner(world)
    assert_that(successor, Equals(last))
    await finish([submit(world, successor, f"job-{n}", count=4) for n in range(8)])
    assert_that(len(world.starts), GreaterThan(0))


async def test_a_new_owner_serves_by_an_old_list_while_the_store_gives_no_answer(world: World):
    # Guards against waiting for a worker list that the store can't deliver.
    await world.open()
    await asyncio.sleep(1.9)
    world.kill_node(world.owners()[0])
    successor = await wait_for_owner(world)
    world.store_down_for.update(world.nodes)
    await asyncio.sleep(1)
    await finish([submit(world, successor, "job", run_ms=60)], within_s=0.2)


async def test_a_new_owner_does_not_wait_long_for_a_slow_list(world: World):
    # Guards against serving nothing while a slow store delivers all pages of the worker list.
    await world.open()
    world.listing_s = 5.0
    await asyncio.sleep(1.9)
    world.kill_node(world.owners()[0])
    successor = await wait_for_owner(world)
    await finish([submit(world, successor, "job", run_ms=60)], within_s=1.2)


@pytest.mark.parametrize("slow_after_s", [0.2, 0.3])
@pytest.mark.parametrize("arrives_after_s", [5.1, 5.2])
async def test_late_list_snapshots_do_not_replace_a_newer_read(
    world: World, arrives_after_s: float, slow_after_s: float
):
    # Guards against a list snapshot that seems fresh because its transit time is not counted.
    await open_parts(world)
    first, second = owners_of_parts(world, "a")
    await asyncio.sleep(slow_after_s)
    world.delayed_links.add((first, second))
    await asyncio.sleep(0.5)
    world.leave(worker_of(world, second))
    await asyncio.sleep(arrives_after_s)
    assert_that(world.owners(), Contains(second))
    world.deliver_late()
    jobs = [submit(world, second, f"job-{n}", count=8) for n in range(8)]
    await finish(jobs)
    assert_that(len(world.starts), GreaterThan(0))


@pytest.mark.parametrize("read_before_s", [0.0, 0.1, 0.2, 0.3])
async def test_an_owner_that_was_suspended_reads_the_list_before_it_starts_anything(
    world: World, read_before_s: float
):
    # Guards against a list that seems fresh because the event loop's clock stops during suspension.
    await world.open()
    await asyncio.sleep(read_before_s)
    owner = world.owners()[0]
    world.leave("w-a1")
    world.leaving_since_by_worker["w-a1"] -= 3
    world.suspended_s[owner] += 3
    await finish([submit(world, owner, f"job-{n}", count=4) for n in range(8)])
    assert_that(len(world.starts), GreaterThan(0))


async def test_an_owner_without_snapshots_starts_nothing_from_a_stale_list(world: World):
    # Guards against an owner that reads the list too late once it receives no more snapshots.
    await open_parts(world)
    first, second = owners_of_parts(world, "a")
    world.listing_s = 0.8
    world.cut(first, second)
    jobs, ages = [], []
    for number in range(100):
        jobs.append(submit(world, second, f"job-{number}", count=4, run_ms=100))
        started = len(world.starts)
        await asyncio.sleep(0.03)
        if len(world.starts) > started:
            ages.append(world.nodes[second].worker_list_age_s())
    await finish(jobs)
    assert_that(max(ages), LessThan(LEAVE_NOTICE_S))


async def test_an_entry_sends_snapshots_only_of_cells_it_knows(world: World):
    # Guards against a snapshot for another cell made from a list of the own cell's workers only,
    # which would show that cell without workers.
    await open_parts(world)
    first, _ = owners_of_parts(world, "a")
    await asyncio.sleep(2.5)
    successor = world.nodes[world.nodes[first]._directory.successors()[0]]
    other = next(c for c in successor._cell_directory.other_cells() if c.domains == ["a"])
    assert_that(successor._worker_list.source, Equals(first))
    assert_that(
        len(successor._worker_list.make_snapshot(successor._cell_directory.home).workers),
        GreaterThan(0),
    )
    assert_that(successor._worker_list.make_snapshot(other), Is(None))


async def test_an_owner_that_has_read_no_list_logs_an_age_all_the_same(
    world: World, caplog: pytest.LogCaptureFixture
):
    # Guards against a start that fails at its log line, since an unread list has an infinite age.
    await world.open()
    owner = world.owners()[0]
    worker_list = world.nodes[owner]._worker_list
    worker_list._version = ListVersion(offset=10**9, cell="another")
    worker_list._feed._failures = 1
    caplog.set_level(logging.INFO)
    await finish([submit(world, owner, "job")])
    started = [r.getMessage() for r in caplog.records if r.msg.startswith("job_started")]
    assert_that(started[0], Contains("list_age_ms=3600000"))
