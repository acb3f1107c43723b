"""Records of the workers in use in the store, for an owner that no entry can inform."""

from __future__ import annotations

import asyncio
import zlib

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan, Not

from tests.dispatch_world import FakeStore, World
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._stored_reports import WorkerRecord
from zincwell.dispatch._types import Verdict
from zincwell.dispatch.ports import StoreUnavailableError, Topic

pytestmark = pytest.mark.looptime

# A caller that has lost its entry sends its job again after this time.
RESEND_AFTER_S = 1.3
# Longer than an entry remembers a worker that has left the list.
LAPSED_LONG_AGO_S = 6.0
RUN_MS = 4000


def unlist(world: World, *worker_ids: str) -> None:
    """Let the list entries of workers expire that don't reach the store any more."""
    for worker_id in worker_ids:
        world.list_worker(None, worker_id=worker_id)


def refuse_records(monkeypatch: pytest.MonkeyPatch, *, late_s: float | None = None) -> None:
    """Let the store answer no write of a record of workers.

    :param late_s: time after which it carries the write out nevertheless, if its condition holds.
    """
    append = FakeStore.append

    async def append_unanswered(store, topic, *, key, value, at=None):
        if topic is not Topic.WORKER_RECORDS:
            return await append(store, topic, key=key, value=value, at=at)
        if late_s is not None:
            world = store._world

            def append_late():
                if at == len(world.topics[topic]):
                    world._append(topic, key, value)

            world.loop.call_later(late_s, append_late)
        raise StoreUnavailableError("no answer")

    monkeypatch.setattr(FakeStore, "append", append_unanswered)


def named_workers(world: World) -> list[str]:
    """Return the ids of the workers that the newest record names."""
    _, value = world.topics[Topic.WORKER_RECORDS][-1]
    record = msgspec.json.decode(zlib.decompress(value), type=WorkerRecord)
    return [info.id for info in record.workers]


async def lose_all_entries(world: World, *, lost: str, between_s: float) -> None:
    """Kill one entry, and later all others, which start again at once but for that one."""
    zones_by_name = {name: node.me.zone for name, node in world.nodes.items() if name != lost}
    world.kill_node(lost)
    await asyncio.sleep(between_s)
    for name in zones_by_name:
        world.kill_node(name)
    await asyncio.sleep(0.05)
    for name, zone in zones_by_name.items():
        world.add_node(name, zone)
    async with asyncio.timeout(3):
        while not world.owners():
            await asyncio.sleep(0.005)


async def open_with_jobs_of_an_entry(world: World) -> tuple[str, str]:
    """Open a pool; return an entry that is no owner and another one, to which callers turn."""
    await world.open(zones="ab", entries=3, workers=3)
    lost, caller = [name for name in sorted(world.nodes) if name not in world.owners()][:2]
    return lost, caller


def submit_jobs(world: World, entry: str) -> list[asyncio.Task]:
    return [submit(world, entry, f"job-{n}", count=2, run_ms=RUN_MS) for n in range(4)]


@pytest.mark.parametrize("lapsed_s", [0.01, 0.2, 0.6, LAPSED_LONG_AGO_S])
@pytest.mark.parametrize("between_s", [0.8, 1.1])
async def test_tasks_run_once_if_all_entries_end_after_some_workers_have_left_the_list(
    world: World, between_s: float, lapsed_s: float
):
    # Guards against a second run: nobody can tell the next owner of the workers that have left the
    # list, and the callers of an entry that was lost before send their jobs again.
    lost, caller = await open_with_jobs_of_an_entry(world)
    submit_jobs(world, lost)
    await asyncio.sleep(0.4)
    hidden = sorted({worker for _, worker, _, _ in world.starts})[:3]
    world.loop.call_later(max(between_s - lapsed_s, 0.0), unlist, world, *hidden)
    lost_at = world.loop.time()
    await lose_all_entries(world, lost=lost, between_s=between_s)
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    jobs = submit_jobs(world, caller)
    await finish(jobs, within_s=20)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("between_s", [0.8, 1.1])
async def test_tasks_run_once_if_all_entries_end_when_the_store_is_back_with_an_empty_list(
    world: World, between_s: float
):
    # Guards against a second run: workers lapse with an outage of the store, in which no entry can
    # write of them, and all entries end before the workers are listed again.
    lost, caller = await open_with_jobs_of_an_entry(world)
    submit_jobs(world, lost)
    await asyncio.sleep(0.4)
    world.store_down_for = set(world.nodes)
    await asyncio.sleep(1.0)
    unlist(world, *world.workers)
    world.loop.call_later(between_s, world.store_down_for.clear)
    lost_at = world.loop.time()
    await lose_all_entries(world, lost=lost, between_s=between_s)
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    for worker in world.workers.values():
        if not worker.runs:
            world.list_worker(worker.info)
    jobs = submit_jobs(world, caller)
    await finish(jobs, within_s=20)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("late_s", [None, 0.05])
@pytest.mark.parametrize("between_s", [0.8, 1.1])
async def test_a_job_sent_again_waits_for_the_leases_where_no_record_is_known(
    world: World, monkeypatch: pytest.MonkeyPatch, between_s: float, late_s: float | None
):
    # Guards against a second run at an owner that takes a missing record for one without names, or
    # that of an earlier owner for that of the one before.
    lost, caller = await open_with_jobs_of_an_entry(world)
    refuse_records(monkeypatch, late_s=late_s)
    world.kill_node(world.owners()[0])
    async with asyncio.timeout(3):
        while not world.owners():
            await asyncio.sleep(0.005)
    if lost in world.owners():
        lost, caller = caller, next(n for n in world.nodes if n not in (lost, caller))
    await asyncio.sleep(0.2)
    submit_jobs(world, lost)
    await asyncio.sleep(0.4)
    unlist(world, *{worker for _, worker, _, _ in world.starts})
    lost_at = world.loop.time()
    await lose_all_entries(world, lost=lost, between_s=between_s)
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    jobs = submit_jobs(world, next(iter(world.nodes)))
    await finish(jobs, within_s=20)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


async def test_a_restart_of_all_entries_beside_unlisted_workers_delays_no_job(world: World):
    # Guards against an owner that waits for leases although the store names all workers.
    lost, caller = await open_with_jobs_of_an_entry(world)
    unlist(world, *sorted(world.workers)[:3])
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    await lose_all_entries(world, lost=lost, between_s=0.5)
    began_at = world.loop.time()
    jobs = [submit(world, caller, f"job-{n}", count=2, run_ms=100) for n in range(6)]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.loop.time() - began_at, LessThan(0.5))


async def test_a_worker_that_joins_gets_tasks_only_once_a_record_names_it(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against runs on a worker that the store does not name, if it leaves the list again.
    await world.open(zones="a", entries=2, workers=1)
    with monkeypatch.context() as patch:
        refuse_records(patch)
        world.add_worker("w-new", "a")
        await asyncio.sleep(2.0)
        jobs = [submit(world, world.owners()[0], f"job-{n}", count=2, run_ms=300) for n in range(3)]
        await asyncio.sleep(0.2)
        assert_that({worker for _, worker, _, _ in world.starts}, Equals({"w-a1"}))
        assert_that(named_workers(world), Not(Contains("w-new")))
    await finish(jobs)
    await asyncio.sleep(0.5)
    assert_that(named_workers(world), Contains("w-new"))
    jobs = [submit(world, world.owners()[0], f"more-{n}", count=2, run_ms=300) for n in range(3)]
    await finish(jobs)
    assert_that({worker for _, worker, _, _ in world.starts}, Contains("w-new"))


async def test_a_record_that_is_written_late_replaces_no_newer_one(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a record that leaves a worker out, since it was written before that joined and
    # carried out after the one that names it.
    await world.open(zones="a", entries=2, workers=1)
    with monkeypatch.context() as patch:
        refuse_records(patch, late_s=1.0)
        world.add_worker("w-new-1", "a")
        await asyncio.sleep(0.9)
    world.add_worker("w-new-2", "a")
    await asyncio.sleep(3.0)
    assert_that(named_workers(world), Equals(["w-a1", "w-new-1", "w-new-2"]))


async def test_a_pool_that_does_not_change_writes_one_record(world: World):
    # Guards against writes that grow with the time: calls to the store are limited.
    await world.open(zones="ab", entries=3, workers=3)
    assert_that(world.topics[Topic.WORKER_RECORDS], HasLength(1))
    await asyncio.sleep(10)
    assert_that(world.topics[Topic.WORKER_RECORDS], HasLength(1))
    world.add_worker("w-new", "a")
    await asyncio.sleep(2)
    assert_that(len(world.topics[Topic.WORKER_RECORDS]), GreaterThan(1))
    assert_that(named_workers(world), HasLength(7))
