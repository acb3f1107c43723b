"""Workers whose capacity shrinks or grows at run time."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._types import Verdict

pytestmark = pytest.mark.looptime

TASK_CPU = 27_000
# The worker list is read every 0.4 s, and an answer takes a few milliseconds.
KNOWN_S = 0.6


async def open_unguarded(world: World) -> None:
    """Open a pool of workers that accept start orders beyond their capacity."""
    await world.open()
    world.guarded = False


def tasks_on(world: World, worker: str) -> int:
    return len(world.workers[worker].runs)


async def keep_busy(world: World, *, jobs: int) -> list[asyncio.Task]:
    """Submit more jobs than the workers can run at the same time."""
    entry = sorted(world.nodes)[0]
    return [
        submit(world, entry, f"job-{n}", count=2, run_ms=300, objective_ms=20_000)
        for n in range(jobs)
    ]


async def test_a_worker_that_has_shrunk_gets_no_more_than_it_holds(world: World):
    # Guards against starts beyond a worker's capacity by an owner that keeps the initial value.
    await open_unguarded(world)
    jobs = await keep_busy(world, jobs=30)
    await asyncio.sleep(0.1)
    world.resize("w-a1", cpu=TASK_CPU)
    await asyncio.sleep(KNOWN_S)
    most = 0
    for _ in range(40):
        most = max(most, tasks_on(world, "w-a1"))
        await asyncio.sleep(0.02)
    await finish(jobs)
    assert_that(most, Equals(1))


async def test_a_worker_that_has_grown_is_filled(world: World):
    # Guards against unused capacity at an owner that keeps the initial value.
    await open_unguarded(world)
    world.resize("w-a1", cpu=4 * TASK_CPU)
    await asyncio.sleep(KNOWN_S)
    jobs = await keep_busy(world, jobs=30)
    await asyncio.sleep(0.1)
    assert_that(tasks_on(world, "w-a1"), Equals(4))
    await finish(jobs)


async def test_a_successor_knows_the_capacity_of_now(world: World):
    # Guards against a new owner that starts tasks by the worker's former capacity.
    await open_unguarded(world)
    await asyncio.sleep(0.1)
    world.resize("w-a1", cpu=0)
    await asyncio.sleep(1.6)
    world.kill_node(world.owners()[0])
    while not world.owners():
        await asyncio.sleep(0.001)
    jobs = [submit(world, world.owners()[0], f"job-{n}", count=2, run_ms=100) for n in range(6)]
    await finish(jobs)
    assert_that([name for _, name, _, _ in world.starts if name == "w-a1"], Equals([]))


async def test_what_runs_on_a_worker_that_has_shrunk_runs_to_its_end(world: World):
    await open_unguarded(world)
    jobs = await keep_busy(world, jobs=6)
    await asyncio.sleep(0.1)
    for worker in world.workers:
        world.resize(worker, cpu=TASK_CPU)
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(len(world.starts), Equals(12))


async def test_a_pool_that_has_shrunk_to_nothing_refuses_and_serves_again(world: World):
    # Guards against a division by zero capacity in the forecast, and against unanswered jobs.
    await open_unguarded(world)
    for worker in world.workers:
        world.resize(worker, cpu=0)
    await asyncio.sleep(KNOWN_S)
    refused = submit(world, "e-a1", "refused")
    await finish([refused], within_s=0.5)
    assert_that(refused.result().verdict, Equals(Verdict.REFUSED))
    assert_that(refused.result().retry_after_s, GreaterThan(0))
    for worker in world.workers:
        world.resize(worker, cpu=64_000)
    await asyncio.sleep(KNOWN_S)
    served = submit(world, "e-a1", "served")
    await finish([served], within_s=0.5)
    assert_that(served.result().verdict, Equals(Verdict.SUCCEEDED))


async def test_a_job_that_fitted_before_a_pool_shrank_is_told_when_to_come_back(world: World):
    # Guards against a refusal without a retry delay, since the workers may grow again.
    await open_unguarded(world)
    for worker in world.workers:
        world.resize(worker, cpu=TASK_CPU - 1)
    await asyncio.sleep(KNOWN_S)
    job = submit(world, "e-a1", "job")
    await finish([job], within_s=0.5)
    assert_that(job.result().verdict, Equals(Verdict.REFUSED))
    assert_that(job.result().retry_after_s, GreaterThan(0))


async def test_a_job_in_work_waits_for_a_pool_that_has_shrunk(world: World):
    # Guards against ending a started job although capacity for its remaining tasks may return.
    await open_unguarded(world)
    job = submit(world, "e-a1", "job", count=20, run_ms=300, objective_ms=5_000)
    await asyncio.sleep(0.1)
    for worker in world.workers:
        world.resize(worker, cpu=0)
    await asyncio.sleep(1.0)
    begun = len(world.starts)
    assert_that(begun, LessThan(20))
    for worker in world.workers:
        world.resize(worker, cpu=64_000)
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
