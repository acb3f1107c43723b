"""Runs that another owner has renewed, moved or started again before this one claimed again."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.dispatch_world import FakeWorkerClient, World
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.ports import EndKind, WorkerCallError

pytestmark = pytest.mark.looptime

JOB = {"count": 1, "run_ms": 5000, "objective_ms": 20_000}


@pytest.mark.parametrize("heal_after_s", [0.1, 0.3, 0.5])
@pytest.mark.parametrize("callers", ["one", "two"])
async def test_an_owner_that_claims_again_starts_no_task_that_a_stand_in_has_moved(
    world: World, callers: str, heal_after_s: float
):
    # Guards against a second run: the first run has failed under a stand-in, which has started the
    # task again elsewhere, on a worker that does not answer the owner.
    await world.open(zones="abc", entries=3, workers=2)
    owner = world.owners()[0]
    zone = next(zone for zone in "bca" if zone != world.nodes[owner].me.zone)
    apart = [f"e-{zone}1", f"e-{zone}3"]
    other_zones = {"a", "b", "c"} - {zone}
    world.evacuate(*other_zones)
    await asyncio.sleep(0.5)
    entries = apart[:1] if callers == "one" else [apart[0], f"e-{zone}2"]
    jobs = [submit(world, entry, "job", **{**JOB, "run_ms": 9000}) for entry in entries]
    await asyncio.sleep(0.5)
    (first,) = world.starts_in(zone, since=0.0)
    world.restore(*other_zones)
    await asyncio.sleep(0.5)
    world.store_down_for = set(world.nodes)
    for name in apart:
        for other in set(world.nodes) - set(apart):
            world.cut(name, other)
    while len(world.owners()) < 2:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    failed_at = world.loop.time()
    for run in list(world.workers[first].runs.values()):
        world.workers[first].end(run, EndKind.FAILED)
    async with asyncio.timeout(3):
        while not world.starts_in(zone, since=failed_at):
            await asyncio.sleep(0.01)
    (second,) = world.starts_in(zone, since=failed_at)
    await asyncio.sleep(heal_after_s)
    world.store_down_for.clear()
    world.cuts = {frozenset((owner, second))}
    await asyncio.sleep(2.0)
    world.heal()
    await finish(jobs, within_s=30)


@pytest.mark.parametrize("lost_stops", [0, 2, 12])
@pytest.mark.parametrize("callers", ["one", "two"])
async def test_a_stand_in_starts_no_task_whose_run_another_owner_has_renewed(
    world: World, monkeypatch: pytest.MonkeyPatch, callers: str, lost_stops: int
):
    # Guards against a second run by a stand-in whose leases have expired: the owner has claimed
    # again, reaches the worker, and renews its run until it has stopped it.
    await world.open(zones="abc", entries=3, workers=3)
    owner = world.owners()[0]
    zone = next(zone for zone in "bca" if zone != world.nodes[owner].me.zone)
    apart = [f"e-{zone}1", f"e-{zone}3"]
    other_zones = {"a", "b", "c"} - {zone}
    world.evacuate(*other_zones)
    await asyncio.sleep(0.5)
    entries = apart[:1] if callers == "one" else [apart[0], f"e-{zone}2"]
    jobs = [submit(world, entry, "job", **{**JOB, "run_ms": 9000}) for entry in entries]
    await asyncio.sleep(0.5)
    (first,) = world.starts_in(zone, since=0.0)
    others = [n for n, w in world.workers.items() if w.info.zone == zone and n != first]
    world.store_down_for = set(world.nodes)
    for name in apart:
        for other in set(world.nodes) - set(apart):
            world.cut(name, other)
    while len(world.owners()) < 2:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    stand_in = next(name for name in world.owners() if name != owner)
    stop = FakeWorkerClient.stop
    calls_by_task: Counter[TaskId] = Counter()

    async def lose_stops(client, worker, *, task, timeout_s, **arguments):
        calls_by_task[task] += 1
        if calls_by_task[task] <= lost_stops:
            await asyncio.sleep(timeout_s)
            raise WorkerCallError("no answer")
        await stop(client, worker, task=task, timeout_s=timeout_s, **arguments)

    monkeypatch.setattr(FakeWorkerClient, "stop", lose_stops)
    for worker_id in others:
        world.cut(owner, worker_id)
    world.cut(stand_in, first)
    world.store_down_for = set(apart)
    await asyncio.sleep(4.0)
    world.heal()
    world.store_down_for.clear()
    await finish(jobs, within_s=30)


@pytest.mark.parametrize("with_domain", [False, True])
async def test_a_job_is_not_blocked_by_one_of_its_entries_that_is_gone(
    world: World, with_domain: bool
):
    # Guards against a job that waits for ever: its worker and its first entry fail at once, its
    # caller has sent it again to another one, and the lost entry never confirms the owner's term.
    await world.open(zones="abc", entries=3, workers=2)
    owner = world.owners()[0]
    zone = next(zone for zone in "bca" if zone != world.nodes[owner].me.zone)
    other_zones = {"a", "b", "c"} - {zone}
    world.evacuate(*other_zones)
    await asyncio.sleep(0.5)
    lost = f"e-{zone}1"
    submit(world, lost, "job", **{**JOB, "run_ms": 3000})
    await asyncio.sleep(0.5)
    (worker_id,) = world.starts_in(zone, since=0.0)
    world.restore(*other_zones)
    await asyncio.sleep(0.5)
    for name in [n for n in world.nodes if n == lost or (with_domain and n[2] == zone)]:
        world.kill_node(name)
    for name in [n for n, w in world.workers.items() if w.info.zone == zone]:
        if with_domain or name == worker_id:
            world.list_worker(None, worker_id=name)
            world.workers[name].crash()
    await asyncio.sleep(1.3)
    caller = next(n for n in sorted(world.nodes) if n[2] != zone and n != owner)
    again = submit(world, caller, "job", **{**JOB, "run_ms": 3000})
    await finish([again], within_s=20)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("lost_stops", [0, 3, 12])
@pytest.mark.parametrize("worker_cut_s", [2.0, 2.2, 2.4])
async def test_an_owner_with_a_majority_starts_no_task_that_a_lonely_owner_has_renewed(
    world: World, monkeypatch: pytest.MonkeyPatch, worker_cut_s: float, lost_stops: int
):
    # Guards against a second run while the store is away: an entry without a majority claims the
    # cell since the owner writes no liveness, and renews a run until it has stopped it.
    await world.open(zones="abc", entries=2, workers=2)
    owner = world.owners()[0]
    lonely = world.nodes[owner]._directory.successors()[0]
    caller = next(n for n in sorted(world.nodes) if n not in (owner, lonely))
    job = submit(world, caller, "job", **{**JOB, "run_ms": 9000})
    await asyncio.sleep(0.3)
    worker_id = worker_of(world, "job")
    stop = FakeWorkerClient.stop
    calls_by_task: Counter[TaskId] = Counter()

    async def lose_stops(client, worker, *, task, timeout_s, **arguments):
        calls_by_task[task] += 1
        if calls_by_task[task] <= lost_stops:
            await asyncio.sleep(timeout_s)
            raise WorkerCallError("no answer")
        await stop(client, worker, task=task, timeout_s=timeout_s, **arguments)

    monkeypatch.setattr(FakeWorkerClient, "stop", lose_stops)
    world.store_down_for = set(world.nodes) - {lonely}
    for name in [*world.nodes, *world.workers]:
        if name not in (lonely, worker_id):
            world.cut(lonely, name)
    await asyncio.sleep(worker_cut_s)
    world.cut(owner, worker_id)
    await asyncio.sleep(5.0)
    world.heal()
    world.store_down_for.clear()
    await finish([job], within_s=30)


def worker_of(world: World, job_id: str) -> str:
    """Return the worker that runs the only task of a job."""
    return next(w.info.id for w in world.workers.values() if TaskId(job_id, 0, 0) in w.runs)


@pytest.mark.parametrize("entries", [1, 2, 3])
async def test_a_task_of_a_failed_worker_starts_again_without_the_store(world: World, entries: int):
    # Guards against a job that waits for as long as the store is away, since entries that have
    # failed still count for the majority that confirms the term.
    await world.open(zones="a", entries=entries, workers=3)
    owner = world.owners()[0]
    job = submit(world, owner, "job", **{**JOB, "run_ms": 1000})
    await asyncio.sleep(0.3)
    worker_id = worker_of(world, "job")
    world.store_down_for = set(world.nodes)
    for name in [n for n in world.nodes if n != owner]:
        world.kill_node(name)
    world.workers[worker_id].crash()
    await finish([job], within_s=20)
