"""Runs that go on under leases which another owner, or an earlier one, has requested."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit, verdicts
from tests.test_layout_changes import grow, open_pool, wait_for_owners
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.ports import PeerCallError

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


def refuse_calls_to_earlier_processes(world: World) -> None:
    """Let no process answer calls that its VM makes to its earlier process, at another port."""
    deliver = world.deliver

    async def deliver_to_others(address, envelope, *, timeout_s):
        if address == envelope.sender.name:
            raise PeerCallError("connection refused")
        return await deliver(address, envelope, timeout_s=timeout_s)

    world.deliver = deliver_to_others


async def sleep_until(world: World, at: float) -> None:
    """Wait until a time of the event loop's clock."""
    await asyncio.sleep(at - world.loop.time())


@pytest.mark.parametrize("how", ["killed", "leaves"])
@pytest.mark.parametrize("silent_s", [0.1, 10.0])
@pytest.mark.parametrize("owner_lost_after_s", [0.0, 0.4, 0.6, 0.8, 1.0, 1.2])
async def test_a_resent_job_does_not_start_beside_its_run_on_a_worker_silent_to_the_new_owner(
    world: World, owner_lost_after_s: float, silent_s: float, how: str
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
    if how == "killed":
        world.kill_node(owner)
    else:
        leaving = asyncio.ensure_future(world.nodes[owner].drain())
    for name in world.nodes:
        if name != owner:
            world.cut(name, worker_id)
    world.loop.call_at(lost_at + RESEND_AFTER_S + silent_s, world.heal)
    await sleep_until(world, lost_at + RESEND_AFTER_S)
    again = submit(world, caller, "job", **JOB)
    await finish([again], within_s=20)
    if how == "leaves":
        await leaving
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("others", ["none", "without store"])
@pytest.mark.parametrize("worker", ["silent", "not listed"])
@pytest.mark.parametrize("owner_lost_after_s", [0.0, 0.3, 0.5, 0.7, 0.9])
async def test_an_owner_that_follows_itself_starts_no_resent_job_beside_its_run(
    world: World, worker: str, others: str, owner_lost_after_s: float
):
    # Guards against two runs ordered by one VM: it is started again, elected again before the
    # leases of its earlier process have expired, and does not see all runs.
    refuse_calls_to_earlier_processes(world)
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
    assert_that(world.owners(), Equals([owner]))
    world.store_down_for.clear()
    await finish([again], within_s=20)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("cut_s", [0.55, 0.57, 0.59])
async def test_an_owner_that_is_refused_starts_no_task_that_another_owner_has_adopted(
    world: World, cut_s: float
):
    # Guards against a run that counts as lost by the leases of an owner whose token the worker
    # refuses, although the owner that the worker follows renews them.
    await world.open(zones="abc", entries=2, workers=2)
    owner = world.owners()[0]
    successor = world.nodes[owner]._directory.successors()[0]
    caller = next(n for n in sorted(world.nodes) if n not in (owner, successor))
    job = submit(world, caller, "job", **JOB)
    await asyncio.sleep(0.3)
    worker_id = worker_of(world, "job")
    free = next(w for w in sorted(world.workers) if w != worker_id)
    for name in [*world.nodes, *world.workers, "store"]:
        if name != owner:
            world.cut(owner, name)
    world.cut(successor, free)
    await asyncio.sleep(cut_s)
    world.cuts = {
        frozenset((owner, "store")),
        frozenset((owner, successor)),
        frozenset((successor, free)),
    }
    await asyncio.sleep(3)
    world.heal()
    await finish([job], within_s=20)


def find_shared_worker(world: World, entry_by_job: dict[str, str], zone: str) -> tuple[str, str]:
    """Return a worker of a zone that runs a job of its zone and one of another, and the former."""
    for worker_id in sorted(world.workers):
        jobs = [task.job for task in world.workers[worker_id].runs]
        own = [job for job in jobs if world.nodes[entry_by_job[job]].me.zone == zone]
        if worker_id.startswith(f"w-{zone}") and len(jobs) == 2 and len(own) == 1:
            return worker_id, own[0]
    raise AssertionError("no worker is shared")


async def divide_beside_shared_worker(world: World) -> tuple[list[asyncio.Task], str, str, str]:
    """Divide a pool at work; return its jobs, a new owner, and a worker with a run that it adopts.

    The worker also has a run of another cell's job. The last item is the job of the adopted run.
    """
    owner = await open_pool(world)
    zone = next(zone for zone in "bca" if zone != world.nodes[owner].me.zone)
    entries = [n for n in sorted(world.nodes) if n != owner and n.endswith("1")]
    entry_by_job = {f"job-{n}": entries[n * 7 // 5 % len(entries)] for n in range(44)}
    jobs = [
        submit(world, entry, job_id, count=1, run_ms=6000, objective_ms=20_000)
        for job_id, entry in entry_by_job.items()
    ]
    await asyncio.sleep(0.5)
    grow(world)
    await wait_for_owners(world, 3)
    worker_id, job_id = find_shared_worker(world, entry_by_job, zone)
    return jobs, world.owner_in(zone), worker_id, job_id


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1, 0.2])
async def test_an_adopted_run_that_is_given_up_early_does_not_start_again_within_its_lease(
    world: World, delay_s: float
):
    # Guards against a second run after a division: an owner that may not renew leases beside a run
    # of another cell gives up the run that it has adopted as soon as its worker falls silent.
    jobs, owner, worker_id, _ = await divide_beside_shared_worker(world)
    await asyncio.sleep(delay_s)
    world.cut(owner, worker_id)
    await asyncio.sleep(3.0)
    world.heal()
    await finish(jobs, within_s=30)


async def test_an_adopted_run_counts_as_active_until_its_lease_has_expired(world: World):
    # Guards against a run that counts as lost 0.5 s after its worker has fallen silent, under the
    # lease that the owner before has requested: an owner that has renewed nothing expects none.
    jobs, owner, worker_id, job_id = await divide_beside_shared_worker(world)
    await asyncio.sleep(0.02)
    runs = world.nodes[owner]._owner._runs
    assert_that(runs.job_ids(), Contains(job_id))
    world.cut(owner, worker_id)
    lost_at = []
    while TaskId(job_id, 0, 0) in world.workers[worker_id].runs:
        if job_id not in runs.job_ids():
            lost_at.append(world.loop.time())
        await asyncio.sleep(0.005)
    world.heal()
    await finish(jobs, within_s=30)
    assert_that(lost_at, Equals([]))


@pytest.mark.parametrize("store_of_owner", ["down", "up"])
@pytest.mark.parametrize("workers_cut_s", [0.0, 1.0, 3.0])
async def test_an_owner_starts_no_task_that_a_stand_in_has_adopted(
    world: World, store_of_owner: str, workers_cut_s: float
):
    # Guards against a second run on a worker of another domain: one entry of a cut-off domain stays
    # with the owner, so the owner keeps the jobs of the others and counts their runs as lost.
    await world.open(zones="abc", entries=3, workers=2)
    owner = world.owners()[0]
    zone = next(zone for zone in "bca" if zone != world.nodes[owner].me.zone)
    apart = [f"e-{zone}1", f"e-{zone}3"]
    other_zones = {"a", "b", "c"} - {zone}
    world.evacuate(*other_zones)
    await asyncio.sleep(0.5)
    jobs = [submit(world, apart[0], f"job-{n}", **JOB) for n in range(4)]
    await asyncio.sleep(0.5)
    assert_that(len(world.starts_in(zone, since=0.0)), Equals(4))
    world.restore(*other_zones)
    await asyncio.sleep(0.5)
    stays_up = {owner} if store_of_owner == "up" else set()
    world.store_down_for = set(world.nodes) - stays_up
    for name in apart:
        for other in set(world.nodes) - set(apart):
            world.cut(name, other)
    workers = [name for name, worker in world.workers.items() if worker.info.zone == zone]
    for worker_id in workers:
        world.cut(owner, worker_id)
    await asyncio.sleep(workers_cut_s)
    for worker_id in workers:
        world.cuts.discard(frozenset((owner, worker_id)))
    await asyncio.sleep(3.0 - workers_cut_s)
    world.heal()
    world.store_down_for.clear()
    await finish(jobs, within_s=30)


class OtherOwner:
    """Another owner of one worker, which renews the leases there and tells nobody.

    :param fence: its fencing token.
    """

    def __init__(self, *, world: World, worker_id: str, fence: int) -> None:
        self._worker = world.workers[worker_id]
        self._world = world
        self._worker.fence = fence
        self._renew()

    def _renew(self) -> None:
        self._worker.extend(self._worker.clock_ms() + 1000)
        self._world.loop.call_later(0.2, self._renew)


@pytest.mark.parametrize("sends_born", [True, False])
@pytest.mark.parametrize("store", ["down", "up"])
async def test_a_task_whose_second_order_is_refused_does_not_start_elsewhere(
    world: World, sends_born: bool, store: str
):
    # Guards against a second run beside the one that the first copy of the order has started, if
    # the worker refuses the second copy since it follows another owner by then.
    world.sends_born = sends_born
    await world.open(zones="a", entries=2, workers=3)
    owner = world.owners()[0]
    world.lose_start_answers = set(world.workers)
    job = submit(world, owner, "job", **{**JOB, "run_ms": 4000})
    while not world.starts:
        await asyncio.sleep(0.001)
    worker_id = worker_of(world, "job")
    if store == "down":
        world.store_down_for = set(world.nodes)
    fence = world.workers[worker_id].fence + 1
    OtherOwner(world=world, worker_id=worker_id, fence=fence)
    world.lose_start_answers = set()
    await asyncio.sleep(3.0)
    world.store_down_for.clear()
    await finish([job], within_s=30)


@pytest.mark.parametrize("owner_lost_after_s", [0.0, 0.4, 0.6, 0.8])
async def test_an_owner_that_wins_its_term_back_starts_no_resent_job_beside_its_run(
    world: World, owner_lost_after_s: float
):
    # Guards against two runs ordered by one process: the owner in between has adopted and renewed
    # the first one, and its worker is silent when the process owns the cell again.
    await world.open(zones="ab", entries=3, workers=3)
    owner = world.owners()[0]
    lost, caller = [n for n in sorted(world.nodes) if n != owner][:2]
    submit(world, lost, "job", **JOB)
    await asyncio.sleep(0.3)
    for name in set(world.nodes) - {owner}:
        world.cut(owner, name)
    while world.owners() == [owner]:
        await asyncio.sleep(0.01)
    between = next(n for n in world.owners() if n != owner)
    world.heal()
    await asyncio.sleep(0.5)
    assert_that(world.owners(), Equals([between]))
    assert_that({lost, caller} & {owner, between}, Equals(set()))
    lost_at = world.loop.time()
    world.kill_node(lost)
    world.store_down_for = set(world.nodes) - {owner}
    await asyncio.sleep(owner_lost_after_s)
    world.kill_node(between)
    world.cut(owner, worker_of(world, "job"))
    await sleep_until(world, lost_at + RESEND_AFTER_S)
    again = submit(world, caller, "job", **JOB)
    await asyncio.sleep(2.0)
    assert_that(world.owners(), Equals([owner]))
    world.store_down_for.clear()
    await finish([again], within_s=20)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("cut_s", [0.55, 0.59])
async def test_an_owner_that_hears_of_a_later_claim_starts_nothing_any_more(
    world: World, cut_s: float
):
    # Guards against a second run: an owner that does not reach the store goes on after a later
    # claim, and starts waiting tasks of jobs that their entries have submitted to the new owner.
    await world.open(zones="abc", entries=2, workers=1)
    owner = world.owners()[0]
    successor = world.nodes[owner]._directory.successors()[0]
    caller = next(n for n in sorted(world.nodes) if n not in (owner, successor))
    blocking = submit(world, caller, "blocking", count=6, run_ms=1200, objective_ms=20_000)
    await asyncio.sleep(0.2)
    job = submit(world, caller, "job", **JOB)
    await asyncio.sleep(0.2)
    free = sorted(world.workers)[0]
    for name in [*world.nodes, *world.workers, "store"]:
        if name != owner:
            world.cut(owner, name)
    world.cut(successor, free)
    await asyncio.sleep(cut_s)
    world.cuts = {
        frozenset((owner, "store")),
        frozenset((owner, successor)),
        frozenset((successor, free)),
    }
    await asyncio.sleep(4)
    assert_that(world.nodes[successor].election.is_owner(), Equals(True))
    world.heal()
    await finish([blocking, job], within_s=20)


@pytest.mark.parametrize("cut_before_heal_s", [0.6, 1.0, 1.1, 1.2])
@pytest.mark.parametrize("callers", ["one", "two"])
async def test_an_owner_that_claims_again_starts_no_task_that_a_stand_in_has_renewed(
    world: World, cut_before_heal_s: float, callers: str
):
    # Guards against a second run: the stand-in has renewed the run until the owner claims again,
    # and the owner's own leases expire after that, while the run still has those of the stand-in.
    await world.open(zones="abc", entries=3, workers=2)
    owner = world.owners()[0]
    zone = next(zone for zone in "bca" if zone != world.nodes[owner].me.zone)
    apart = [f"e-{zone}1", f"e-{zone}3"]
    other_zones = {"a", "b", "c"} - {zone}
    world.evacuate(*other_zones)
    await asyncio.sleep(0.5)
    entries = apart[:1] if callers == "one" else [apart[0], f"e-{zone}2"]
    jobs = [submit(world, entry, f"job-{n}", **JOB) for n in range(4) for entry in entries]
    await asyncio.sleep(0.5)
    assert_that(len(world.starts_in(zone, since=0.0)), Equals(4))
    world.restore(*other_zones)
    await asyncio.sleep(0.5)
    world.store_down_for = set(world.nodes)
    for name in apart:
        for other in set(world.nodes) - set(apart):
            world.cut(name, other)
    while len(world.owners()) < 2:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    assert_that(len(world.owners()), Equals(2))
    workers = [name for name, worker in world.workers.items() if worker.info.zone == zone]
    for worker_id in workers:
        world.cut(owner, worker_id)
    await asyncio.sleep(cut_before_heal_s)
    world.store_down_for.clear()
    world.cuts = {frozenset((owner, worker_id)) for worker_id in workers}
    await asyncio.sleep(2.0)
    world.heal()
    await finish(jobs, within_s=30)
