"""Owners that follow a process of their own VM, or themselves, beside workers that they can't see."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit

pytestmark = pytest.mark.looptime

# Longer than a successor remembers a worker that has left the list.
LAPSED_LONG_AGO_S = 6.0
# Callers that lose their entry send their jobs again after this time.
RESEND_AFTER_S = 1.3


def hide_workers(world: World, how: str, *worker_ids: str) -> None:
    """Let workers run on, but out of sight of an owner that starts now.

    :param how: ``unlisted`` or ``silent``.
    """
    for worker_id in worker_ids:
        if how == "unlisted":
            world.list_worker(None, worker_id=worker_id)
        else:
            for name in world.lives:
                world.cut(name, worker_id)


async def restart_owner(world: World, *, after_s: float, with_others: bool) -> str:
    """Kill the owner and start it again; return its name once it is elected again.

    :param with_others: kill all other entries as well, which start later. Else the others don't
        reach the store, so that they can't claim the cell.
    """
    owner = world.owners()[0]
    zones_by_name = {name: node.me.zone for name, node in world.nodes.items()}
    others = sorted(set(zones_by_name) - {owner})
    if with_others:
        for name in others:
            world.kill_node(name)
            world.loop.call_later(after_s + 0.6, world.add_node, name, zones_by_name[name])
    else:
        world.store_down_for.update(others)
    world.kill_node(owner)
    await asyncio.sleep(after_s)
    world.add_node(owner, zones_by_name[owner])
    async with asyncio.timeout(3):
        while not world.owners():
            await asyncio.sleep(0.005)
    assert_that(world.owners(), Equals([owner]))
    world.store_down_for.clear()
    return owner


def tasks_twice_from_one_vm(world: World) -> list[str]:
    """Return the tasks with concurrent runs that two orders of one VM have started."""
    return [
        str(overlap.first.task)
        for overlap in world.overlaps
        if overlap.first.sender.entry == overlap.second.sender.entry
    ]


@pytest.mark.parametrize("sends_born", [False, True])
@pytest.mark.parametrize("how", ["unlisted", "silent"])
@pytest.mark.parametrize("with_others", [False, True])
@pytest.mark.parametrize("lost_before_s", [0.2, 0.5, 0.8, 1.1])
@pytest.mark.parametrize("after_s", [0.02, 0.3])
async def test_a_job_sent_again_runs_once_after_its_owner_has_restarted(
    world: World,
    after_s: float,
    lost_before_s: float,
    with_others: bool,
    how: str,
    sends_born: bool,
):
    # Guards against a second run: an entry is lost, the owner's process restarts and is elected
    # again, and the caller's resend comes while workers that it can't see still have their leases.
    world.sends_born = sends_born
    await world.open(zones="ab", entries=3, workers=3)
    hidden = sorted(world.workers)[:3]
    if how == "unlisted":
        hide_workers(world, how, *hidden)
        await asyncio.sleep(LAPSED_LONG_AGO_S)
    lost = next(name for name in sorted(world.nodes) if name not in world.owners())
    for number in range(4):
        submit(world, lost, f"job-{number}", count=2, run_ms=4000)
    await asyncio.sleep(0.4)
    world.kill_node(lost)
    lost_at = world.loop.time()
    await asyncio.sleep(lost_before_s)
    if how == "silent":
        hide_workers(world, how, *hidden)
    owner = await restart_owner(world, after_s=after_s, with_others=with_others)
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    jobs = [submit(world, owner, f"job-{n}", count=2, run_ms=4000) for n in range(4)]
    await asyncio.sleep(2.0)
    world.heal()
    await finish(jobs, within_s=30)
    assert_that(tasks_twice_from_one_vm(world), Equals([]))
    assert_that({start.sender.entry for start in world.recorded_starts}, Contains(owner))
