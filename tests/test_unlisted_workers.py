"""Workers that lose the path to the store alone, leave the worker list and run on."""

from __future__ import annotations

import asyncio
import os
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._types import Verdict

pytestmark = pytest.mark.looptime

# Three report intervals without a report, after which the store drops a worker's entry.
ENTRY_EXPIRY_S = 4.5
# Longer than a successor remembers a worker that has left the list.
LAPSED_LONG_AGO_S = 6.0


def unlist(world: World, *worker_ids: str) -> None:
    """Let the list entries of workers expire that don't reach the store any more."""
    for worker_id in worker_ids:
        world.list_worker(None, worker_id=worker_id)


def relist(world: World, *worker_ids: str) -> None:
    """Let workers report to the store again."""
    for worker_id in worker_ids:
        world.list_worker(world.workers[worker_id].info)


async def replace_entry(world: World, name: str) -> None:
    """Restart an entry that is not the owner; it becomes the first successor."""
    zone = world.nodes[name].me.zone
    world.kill_node(name)
    await asyncio.sleep(0.1)
    world.add_node(name, zone)


async def end_owner(world: World, how: str) -> None:
    """End the process of the owner, and wait for the next owner."""
    owner = world.owners()[0]
    if how == "leaves":
        await world.nodes[owner].drain()
    world.kill_node(owner)
    while not world.owners():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("how", ["leaves", "killed"])
@pytest.mark.parametrize("unlisted", [1, 4])
@pytest.mark.parametrize("successor_age_s", [0.8, 1.5, 4.0])
async def test_tasks_on_unlisted_workers_run_once_after_a_take_over(
    world: World, how: str, unlisted: int, successor_age_s: float
):
    # Guards against an owner that starts tasks again which run on workers that it never saw listed.
    await world.open(zones="ab", entries=3, workers=3)
    lost = sorted(world.workers)[:unlisted]
    unlist(world, *lost)
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    successor = next(name for name in sorted(world.nodes) if name not in world.owners())
    await replace_entry(world, successor)
    await asyncio.sleep(successor_age_s)
    caller = next(n for n in sorted(world.nodes) if n not in (successor, *world.owners()))
    jobs = [submit(world, caller, f"job-{n}", count=2, run_ms=1800) for n in range(3)]
    await asyncio.sleep(0.4)
    await end_owner(world, how)
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.repeated_runs, Equals([]))


async def test_a_second_take_over_still_knows_the_unlisted_workers(world: World):
    # Guards against a report that is lost between two owners, of which the second never had it.
    await world.open(zones="ab", entries=3, workers=3)
    unlist(world, *sorted(world.workers)[:2])
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    caller = next(n for n in sorted(world.nodes) if n not in world.owners())
    job = submit(world, caller, "job", count=4, run_ms=4000)
    for _ in range(2):
        await asyncio.sleep(0.4)
        world.kill_node(world.owners()[0])
        while not world.owners():
            await asyncio.sleep(0.01)
    await finish([job])
    assert_that(world.starts, HasLength(4))


async def test_an_owner_that_nobody_informed_waits_for_the_leases(world: World):
    # Guards against a second run if the caller of a lost entry comes to an owner that can't know
    # all workers: its successor was elected before the previous owner could report to it.
    await world.open(zones="ab", entries=3, workers=3)
    unlist(world, *sorted(world.workers)[:2])
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    world.nodes[world.owners()[0]]._worker_reports.send_due = lambda *args, **kwargs: None
    successor, caller, lost = [n for n in sorted(world.nodes) if n not in world.owners()][:3]
    submit(world, lost, "job", count=2, run_ms=3500)
    await asyncio.sleep(0.2)
    world.kill_node(lost)
    await replace_entry(world, successor)
    await asyncio.sleep(0.8)
    world.kill_node(world.owners()[0])
    while not world.owners():
        await asyncio.sleep(0.01)
    assert_that(world.owners(), Equals([successor]))
    again = submit(world, caller, "job", count=2, run_ms=3500)
    await finish([again])


@pytest.mark.parametrize("back_s", [0.3, 1.0, 2.2])
async def test_tasks_run_once_if_the_owner_ends_just_after_the_workers_are_back(
    world: World, back_s: float
):
    # Guards against a second run on workers that reach the store again and are not listed yet.
    await world.open(zones="ab", entries=3, workers=3)
    lost = sorted(world.workers)[:4]
    unlist(world, *lost)
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    successor = next(name for name in sorted(world.nodes) if name not in world.owners())
    await replace_entry(world, successor)
    await asyncio.sleep(1.0)
    world.loop.call_later(back_s, relist, world, *lost)
    caller = next(n for n in sorted(world.nodes) if n not in (successor, *world.owners()))
    jobs = [submit(world, caller, f"job-{n}", count=2, run_ms=1800) for n in range(3)]
    await asyncio.sleep(0.3)
    await end_owner(world, "killed")
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_unlisted_workers_serve_on_under_the_next_owner(world: World):
    # Guards against a loss of capacity: workers that don't reach the store can still be used.
    await world.open(zones="a", entries=3, workers=2)
    unlist(world, *world.workers)
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    await end_owner(world, "killed")
    await asyncio.sleep(0.1)
    started_at = world.loop.time()
    job = submit(world, other_than(world, *world.owners()), "job", count=4, run_ms=200)
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.loop.time() - started_at, LessThan(0.5))


@pytest.mark.parametrize("how", ["leaves", "killed"])
async def test_an_ordinary_take_over_waits_for_no_lease(world: World, how: str):
    # Guards against an owner that waits for leases although it was told of all workers.
    await world.open(zones="ab", entries=3, workers=3)
    successor = next(name for name in sorted(world.nodes) if name not in world.owners())
    await replace_entry(world, successor)
    await asyncio.sleep(4.0)
    caller = next(n for n in sorted(world.nodes) if n not in (successor, *world.owners()))
    blocking = [submit(world, caller, f"long-{n}", count=2, run_ms=1000) for n in range(6)]
    waiting = submit(world, caller, "waiting", count=2, run_ms=100, timeout_ms=0)
    await asyncio.sleep(0.8)
    await end_owner(world, how)
    elected_at = world.loop.time()
    await finish([*blocking, waiting])
    started_at = min(at for at, _, task, _ in world.starts if task.job == "waiting")
    assert_that(started_at - elected_at, LessThan(0.3))


@pytest.mark.parametrize("seed", [int(n) for n in os.environ.get("SEEDS", "1 2 3").split()])
async def test_random_restarts_beside_unlisted_workers_start_nothing_twice(world: World, seed: int):
    # Guards against second runs when workers leave and return to the list while entries end.
    draw = random.Random(seed)
    await world.open(zones="abc", entries=2, workers=3)
    jobs = []
    unlisted: set[str] = set()
    for number in range(40):
        await asyncio.sleep(draw.uniform(0.1, 0.9))
        fault = draw.choice(["unlist", "unlist", "relist", "kill", "restart", "none", "none"])
        if fault == "unlist" and len(unlisted) < 6:
            unlisted.add(draw.choice(sorted(set(world.workers) - unlisted)))
            unlist(world, *sorted(unlisted))
        elif fault == "relist" and unlisted:
            relist(world, *sorted(unlisted))
            unlisted.clear()
        elif fault in ("kill", "restart") and len(world.nodes) == 6:
            owner = world.owners()[:1] if draw.random() < 0.5 else []
            name = (owner or [draw.choice(sorted(world.nodes))])[0]
            zone = world.nodes[name].me.zone
            world.kill_node(name)
            delay_s = draw.uniform(0.1, 1.5)
            world.loop.call_later(delay_s, world.add_node, name, zone)
        entry = draw.choice(sorted(world.nodes))
        run_ms = draw.choice([60, 200, 900, 1800])
        jobs.append(submit(world, entry, f"job-{number}", count=draw.randint(1, 3), run_ms=run_ms))
    await finish(jobs, within_s=30)
    # Until the last process has been started again.
    await asyncio.sleep(2)
    assert_that(len(world.starts), GreaterThan(20))
