"""Ways by which a task may start again while its earlier run is at work.

The table is in `docs/design/repeated-starts.md`.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from tests.dispatch_world import FakeWorker, FakeWorkerClient, World, make_job
from tests.pool_jobs import finish, other_than, submit, verdicts
from tests.test_late_orders import restart_as_order_arrives
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.ports import PeerCallError, WorkerCallError

pytestmark = pytest.mark.looptime

# A caller sends its job again this long after its connection broke.
RETRANSMIT_S = 1.3
# Longer than an entry remembers a worker that has left the list.
LAPSED_LONG_AGO_S = 6.0
RUN_MS = 4000


async def open_pool(world: World, *, entries: int = 6) -> tuple[str, str]:
    """Open a pool with spare room; return its owner and another entry.

    :param entries: number of entries, at least two.
    """
    zones = "ab" if entries > 2 else "a"
    await world.open(zones=zones, entries=entries // len(zones), workers=6 // len(zones))
    owner = world.owners()[0]
    return owner, next(name for name in sorted(world.nodes) if name != owner)


async def run_for_an_entry_that_is_lost(world: World, entry: str) -> str:
    """Run a job of an entry and end that entry; return a worker that runs tasks of it."""
    submit(world, entry, "job", count=4, run_ms=RUN_MS)
    await asyncio.sleep(0.3)
    world.kill_node(entry)
    return world.starts[0][1]


async def next_owner(world: World, *, within_s: float = 3) -> str:
    """Return the name of the owner as soon as there is one."""
    async with asyncio.timeout(within_s):
        while not world.owners():
            await asyncio.sleep(0.005)
    return world.owners()[0]


async def send_again(world: World, entry: str, *, at: float) -> asyncio.Task:
    """Let the caller of the lost entry send its job to another one at a time."""
    await asyncio.sleep(max(at - world.loop.time(), 0))
    return submit(world, entry, "job", count=4, run_ms=RUN_MS)


def restart(world: World, name: str) -> None:
    """Restart a process at once."""
    zone = world.nodes[name].me.zone
    world.kill_node(name)
    world.add_node(name, zone)


def lose_order(
    world: World, monkeypatch: pytest.MonkeyPatch, worker: FakeWorker, *, entry: str, late_s: float
) -> asyncio.Task:
    """Submit a job of one task to a worker that gets the order late, just after a restart."""
    owner = world.nodes[world.owners()[0]]._owner
    for session in owner._workers.sessions_by_id.values():
        if session.info.id != worker.info.id:
            session.pause_until = world.loop.time() + 0.01
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = late_s
    restart_as_order_arrives(world, monkeypatch)
    return submit(world, entry, "job", count=1, run_ms=RUN_MS)


# -- a job that is new to the entry that submits it, at a new owner --------------------------------


@pytest.mark.parametrize("same_vm", [False, True])
@pytest.mark.parametrize("owner_later_s", [0.5, 0.7, 0.9])
async def test_a_job_sent_again_waits_for_the_leases_of_a_silent_worker(
    world: World, same_vm: bool, owner_later_s: float
):
    # Guards against a second run beside one on a listed worker that doesn't answer the new owner.
    owner, entry = await open_pool(world, entries=2 if same_vm else 6)
    worker = await run_for_an_entry_that_is_lost(world, entry)
    lost_at = world.loop.time()
    await asyncio.sleep(owner_later_s)
    for name in world.nodes:
        world.cut(name, worker)
    if same_vm:
        restart(world, owner)
    else:
        world.kill_node(owner)
    successor = await next_owner(world)
    assert_that(successor == owner, Equals(same_vm))
    again = await send_again(world, successor, at=lost_at + RETRANSMIT_S)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("owner_later_s", [0.5, 0.7, 0.9])
async def test_a_job_sent_again_waits_at_an_owner_that_never_heard_the_one_before(
    world: World, owner_later_s: float
):
    # Guards against a second run on workers that are in no list: a process that has just started
    # takes an owner that it has never heard for one that has long been silent.
    owner, entry = await open_pool(world, entries=2)
    unlisted = sorted(world.workers)[:3]
    for worker in unlisted:
        world.list_worker(None, worker_id=worker)
    await asyncio.sleep(LAPSED_LONG_AGO_S)
    worker = await run_for_an_entry_that_is_lost(world, entry)
    assert_that(unlisted, Contains(worker))
    lost_at = world.loop.time()
    await asyncio.sleep(owner_later_s)
    restart(world, owner)
    again = await send_again(world, owner, at=lost_at + RETRANSMIT_S)
    assert_that(world.owners(), Equals([owner]))
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("slow_s", [0.03, 0.1, 0.2])
async def test_a_job_sent_again_waits_for_a_worker_that_answers_a_new_owner_slowly(
    world: World, monkeypatch: pytest.MonkeyPatch, slow_s: float
):
    # Guards against a second run beside one that its worker shows some time after the others.
    owner, entry = await open_pool(world)
    worker = await run_for_an_entry_that_is_lost(world, entry)
    lost_at = world.loop.time()
    reach = FakeWorkerClient._reach

    async def reach_slowly(client, info, timeout_s):
        if info.id == worker:
            await asyncio.sleep(slow_s)
        return await reach(client, info, timeout_s)

    await asyncio.sleep(0.95)
    monkeypatch.setattr(FakeWorkerClient, "_reach", reach_slowly)
    world.kill_node(owner)
    while world.loop.time() < lost_at + RETRANSMIT_S or not world.owners():
        await asyncio.sleep(0.005)
    again = submit(world, world.owners()[0], "job", count=4, run_ms=RUN_MS)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


# -- orders of an earlier term ---------------------------------------------------------------------


@pytest.mark.parametrize("same_vm", [False, True])
async def test_an_order_of_an_earlier_term_starts_no_second_run_at_a_worker_that_restarts(
    world: World, monkeypatch: pytest.MonkeyPatch, same_vm: bool
):
    # Guards against a second run by a late order that the new owner does not know: its worker has
    # restarted since it was held, and the new process knows neither deadline nor token.
    world.sends_born = True
    owner, entry = await open_pool(world, entries=2 if same_vm else 6)
    await asyncio.sleep(3)
    worker = world.workers[max(world.workers)]
    job = lose_order(world, monkeypatch, worker, entry=entry, late_s=3.0)
    await asyncio.sleep(0.02)
    world.drop_starts.clear()
    if same_vm:
        restart(world, owner)
    else:
        world.kill_node(owner)
    await finish([job], within_s=20)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


# -- leases that another owner renews --------------------------------------------------------------


@pytest.mark.parametrize("lost_stops", [2, 12])
async def test_an_owner_that_is_cut_off_starts_nothing_beside_a_run_that_its_successor_can_not_stop(
    world: World, monkeypatch: pytest.MonkeyPatch, lost_stops: int
):
    # Guards against a second run by the owner that is cut off with its domain, whose leases have
    # expired by its own clock: its successor renews those of runs that no job claims.
    await world.open()
    owner = world.owners()[0]
    caller = next(name for name in world.nodes if name[2] == owner[2] and name != owner)
    for index in range(4):
        # Their workers, in the owner's domain, have room by the time of the second starts.
        world.run_factor_by_task[TaskId("job", 0, index)] = 0.2
    job = submit(world, caller, "job", count=12, run_ms=RUN_MS)
    await asyncio.sleep(0.3)
    stop = FakeWorkerClient.stop
    calls_by_task: Counter[TaskId] = Counter()

    async def lose_stops(client, worker, *, task, timeout_s, **arguments):
        calls_by_task[task] += 1
        if calls_by_task[task] <= lost_stops:
            await asyncio.sleep(timeout_s)
            raise WorkerCallError("no answer")
        await stop(client, worker, task=task, timeout_s=timeout_s, **arguments)

    monkeypatch.setattr(FakeWorkerClient, "stop", lose_stops)
    world.cut_zone(owner[2])
    await asyncio.sleep(3)
    world.heal()
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


def lose_answers_to(world: World, monkeypatch: pytest.MonkeyPatch, zone: str) -> None:
    """Let nothing reach a zone that is sent from outside, while what it sends arrives."""
    deliver = World.deliver

    async def deliver_one_way(self, address, envelope, *, timeout_s):
        receiver = self.nodes.get(address)
        from_zone = envelope.sender.zone == zone
        if receiver is None or from_zone == (receiver.me.zone == zone):
            return await deliver(self, address, envelope, timeout_s=timeout_s)
        if from_zone:
            receiver.receive(envelope)
        await asyncio.sleep(timeout_s)
        raise PeerCallError("no answer")

    monkeypatch.setattr(World, "deliver", deliver_one_way)
    world.cut_zone(zone)


async def test_an_owner_that_hears_a_domain_which_does_not_hear_it_starts_none_of_its_jobs_again(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a second run by an owner whose leases have expired: a stand-in renews those of
    # the runs that it has adopted, and the owner still hears the entries of the stand-in's domain.
    await world.open()
    owner = world.owners()[0]
    zone = next(zone for zone in "abc" if zone != owner[2])
    job = submit(world, f"e-{zone}1", "job", count=8, run_ms=RUN_MS)
    await asyncio.sleep(0.3)
    with monkeypatch.context() as patch:
        lose_answers_to(world, patch, zone)
        await asyncio.sleep(3)
    world.heal()
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


# -- within one term -------------------------------------------------------------------------------


async def test_a_start_refused_by_its_token_leaves_earlier_copies_in_doubt(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a second run while an earlier copy of the order is on its way to a worker that
    # restarts: another copy of it is refused, since the worker has accepted another owner.
    world.sends_born = True
    await world.open()
    worker = world.workers["w-a1"]
    entry = other_than(world, *world.owners())
    job = lose_order(world, monkeypatch, worker, entry=entry, late_s=2.0)
    await asyncio.sleep(0.01)
    world.drop_starts.clear()
    worker.fence = world.nodes[world.owners()[0]]._owner.fence + 1
    await finish([job], within_s=20)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that({name for _, name, _, _ in world.starts}, Equals({worker.info.id}))


@pytest.mark.parametrize("reachable", [True, False])
@pytest.mark.parametrize("other_entry", [True, False])
async def test_a_job_sent_again_while_its_runs_stop_starts_after_them(
    world: World, reachable: bool, other_entry: bool
):
    # Guards against a second run in a job that its owner has ended, and takes again while the runs
    # of the first time are at work, on workers that hear no stop order.
    owner, entry = await open_pool(world)
    again_at = next(n for n in world.nodes if n not in (owner, entry)) if other_entry else entry
    first = asyncio.ensure_future(
        world.run_job(entry, make_job("job", count=4, run_ms=RUN_MS, timeout_ms=300))
    )
    world.run_s_by_job["job"] = RUN_MS / 1000
    await asyncio.sleep(0.25)
    if not reachable:
        for _, worker, _, _ in world.starts:
            world.cut(owner, worker)
    await finish([first])
    assert_that(verdicts([first]), Equals({Verdict.UNKNOWN}))
    again = submit(world, again_at, "job", count=4, run_ms=RUN_MS)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(8))
