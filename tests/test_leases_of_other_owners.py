"""Runs that go on under leases which another owner, or an earlier one, has requested."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._types import TaskId, Verdict

pytestmark = pytest.mark.looptime

# A caller that has lost its entry sends its job again after this time.
RESEND_AFTER_S = 1.3
# Longer than an owner remembers a worker that has left the list.
LAPSED_LONG_AGO_S = 6.0
# Time to start a process again that was killed.
RESTART_S = 0.05
JOB = {"count": 1, "run_ms": 5000, "objective_ms": 20_000}


def worker_of(world: World, job_id: str) -> str:
    """Return the worker that runs the only task of a job."""
    return next(w.info.id for w in world.workers.values() if TaskId(job_id, 0, 0) in w.runs)


async def sleep_until(world: World, at: float) -> None:
    """Wait until a time of the event loop's clock."""
    await asyncio.sleep(at - world.loop.time())


@pytest.mark.parametrize("silent_s", [0.1, 10.0])
@pytest.mark.parametrize("owner_lost_after_s", [0.4, 0.6, 0.8, 1.0])
async def test_a_resent_job_does_not_start_beside_its_run_on_a_worker_silent_to_the_new_owner(
    world: World, owner_lost_after_s: float, silent_s: float
):
    # Guards against a second run: the owner renews leases after the caller's entry is lost, up to
    # its own end, and its successor starts the resent job as soon as a worker is slow to answer.
    await world.open(zones="ab", entries=3, workers=3)
    owner = world.owners()[0]
    successor = world.nodes[owner]._directory.successors()[0]
    lost, caller = [n for n in sorted(world.nodes) if n not in (owner, successor)][:2]
    submit(world, lost, "job", **JOB)
    await asyncio.sleep(0.3)
    lost_at = world.loop.time()
    world.kill_node(lost)
    await asyncio.sleep(owner_lost_after_s)
    worker_id = worker_of(world, "job")
    world.kill_node(owner)
    world.cut(successor, worker_id)
    world.loop.call_at(lost_at + RESEND_AFTER_S + silent_s, world.heal)
    await sleep_until(world, lost_at + RESEND_AFTER_S)
    again = submit(world, caller, "job", **JOB)
    await finish([again], within_s=20)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("others", ["none", "without store"])
@pytest.mark.parametrize("worker", ["silent", "not listed"])
@pytest.mark.parametrize("owner_lost_after_s", [0.0, 0.3, 0.5, 0.7, 0.9])
async def test_an_owner_that_follows_itself_starts_no_resent_job_beside_its_run(
    world: World, worker: str, others: str, owner_lost_after_s: float
):
    # Guards against two runs ordered by one VM: it is started again, elected again before the
    # leases of its earlier process have expired, and does not see all runs.
    entries = 2 if others == "none" else 3
    await world.open(zones="a" if others == "none" else "ab", entries=entries, workers=3)
    owner = world.owners()[0]
    zone = world.nodes[owner].me.zone
    lost = next(n for n in sorted(world.nodes) if n != owner and world.nodes[n].me.zone == zone)
    if worker == "not listed":
        for worker_id in sorted(world.workers)[:2]:
            world.list_worker(None, worker_id=worker_id)
        await asyncio.sleep(LAPSED_LONG_AGO_S)
    submit(world, lost, "job", **JOB)
    await asyncio.sleep(0.3)
    lost_at = world.loop.time()
    world.kill_node(lost)
    world.store_down_for = set(world.nodes) - {owner}
    await asyncio.sleep(owner_lost_after_s)
    worker_id = worker_of(world, "job")
    world.kill_node(owner)
    if worker == "silent":
        world.cut(owner, worker_id)
    await asyncio.sleep(RESTART_S)
    world.add_node(owner, zone)
    await sleep_until(world, lost_at + RESEND_AFTER_S)
    again = submit(world, owner, "job", **JOB)
    await asyncio.sleep(2.0)
    world.store_down_for.clear()
    await finish([again], within_s=20)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))
