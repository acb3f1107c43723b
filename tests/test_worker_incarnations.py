"""Workers that restart under their id, seen in a list or in a response first."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from tests.dispatch_world import FakeWorker, World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch import Limits
from zincwell.dispatch._known_workers import KnownWorkers
from zincwell.dispatch._messages import WorkerListSnapshot
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import TaskId, Verdict, WorkerInfo
from zincwell.dispatch._worker_calls import WorkerCalls, WorkerRestartedError
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import Sighting, compare_incarnation, is_record_missing
from zincwell.dispatch.ports import HoldReply, WorkerCallError, WorkerClient

pytestmark = [pytest.mark.looptime, pytest.mark.usefixtures("no_repeated_runs")]

TASK = TaskId("job", 0, 0)
INFO = WorkerInfo(id="w", service="svc", address="w:1", zone="a", cpu=1, memory_mb=1, born_ms=5)


@pytest.fixture
def no_repeated_runs(world: World) -> Iterator[None]:
    """Check that no task runs again after its end was acknowledged to the worker."""
    yield
    assert_that(world.repeated_runs, Equals([]))


async def open_world(world: World, **shape) -> Owner:
    """Open a platform whose workers say when they were born, and return the owner."""
    world.sends_born = True
    await world.open(**shape)
    return owner_of(world)


def owner_of(world: World) -> Owner:
    return world.nodes[world.owners()[0]]._owner


def session_of(world: World, worker: FakeWorker) -> WorkerSession:
    return owner_of(world)._workers.sessions_by_id[worker.info.id]


def reborn(world: World) -> int:
    """Return how often an owner has replaced the session with a worker."""
    return sum(
        value
        for node in world.nodes.values()
        for (name, _), value in node._metrics._counters.items()
        if name == "workers_restarted"
    )


def starts_of(world: World, task: TaskId = TASK) -> list[str]:
    """Return the workers that started a task, one item for each start."""
    return [worker for _, worker, started, _ in world.starts if started == task]


def running_on(world: World, task: TaskId = TASK) -> FakeWorker:
    return next(worker for worker in world.workers.values() if task in worker.runs)


async def submit_to(world: World, worker: FakeWorker, **fields) -> asyncio.Task:
    """Submit a job of one task whose order goes to the given worker."""
    for session in owner_of(world)._workers.sessions_by_id.values():
        if session.info.id != worker.info.id:
            session.pause_until = world.loop.time() + 0.02
    job = submit(world, other_than(world, *world.owners()), "job", count=1, **fields)
    await asyncio.sleep(0.015)
    return job


# -- decisions ------------------------------------------------------------------------------------


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.integers(0, 4), max_size=12))
def test_only_a_higher_value_is_a_new_incarnation(seen: list[int]):
    # Guards against an old record or response that brings an earlier incarnation back.
    known, opened = None, []
    for born_ms in seen:
        sighting = compare_incarnation(born_ms, known_ms=known)
        if sighting is Sighting.NEWER:
            opened.append(born_ms)
        if sighting is not Sighting.OLDER:
            known = max(born_ms, known or 0)
    assert_that(known or 0, Equals(max(seen, default=0)))
    assert_that(opened, Equals(sorted(set(opened))))


def test_messages_without_an_incarnation_say_nothing():
    assert_that(compare_incarnation(0, known_ms=None), Is(Sighting.CURRENT))
    assert_that(compare_incarnation(0, known_ms=0), Is(Sighting.CURRENT))
    assert_that(compare_incarnation(0, known_ms=7), Is(Sighting.CURRENT))
    assert_that(is_record_missing(record_ms=0, known_ms=7), Is(False))
    assert_that(is_record_missing(record_ms=7, known_ms=None), Is(False))
    assert_that(is_record_missing(record_ms=6, known_ms=7), Is(True))


class ScriptedClient(WorkerClient):
    """Answers each hold with the next of the given replies, and records what was acknowledged."""

    def __init__(self, *replies: HoldReply | None) -> None:
        self._replies = list(replies)
        self.acknowledged: list[int] = []

    async def start(self, worker, order, *, timeout_s):
        raise NotImplementedError

    async def stop(self, worker, *, task, run, fence, timeout_s):
        raise NotImplementedError

    async def hold(self, worker, *, acknowledged, **_):
        self.acknowledged.append(acknowledged)
        reply = self._replies.pop(0)
        if reply is None:
            raise WorkerCallError("no answer")
        return reply


def make_calls(client: WorkerClient, *, info: WorkerInfo = INFO) -> WorkerCalls:
    return WorkerCalls(
        info=info, client=client, fence=1, limits=Limits(), born_ms=info.born_ms or None
    )


def make_reply(born_ms: int) -> HoldReply:
    return HoldReply(clock_ms=1, running=[], ended=[], born_ms=born_ms)


async def test_a_late_response_of_an_earlier_incarnation_counts_as_lost():
    calls = make_calls(ScriptedClient(make_reply(4), make_reply(5), make_reply(0), make_reply(6)))
    with pytest.raises(WorkerCallError):
        await calls.hold(renew_leases=False)
    await calls.hold(renew_leases=False)
    await calls.hold(renew_leases=False)
    with pytest.raises(WorkerRestartedError) as raised:
        await calls.hold(renew_leases=False)
    assert_that(raised.value.born_ms, Equals(6))


@pytest.mark.parametrize(("born_ms", "expected"), [(5, [7, 7, 0, 7]), (0, [7, 7, 7, 7])])
async def test_the_poll_after_a_lost_one_acknowledges_nothing(born_ms: int, expected: list[int]):
    # Guards against losing an end that nobody has seen: the numbers of a restarted worker start
    # again, so a known number would acknowledge its first ends.
    reply = make_reply(born_ms)
    client = ScriptedClient(reply, reply, None, reply, reply)
    calls = make_calls(client, info=msgspec.structs.replace(INFO, born_ms=born_ms))
    await calls.hold(renew_leases=False)
    calls.acknowledged = 7
    await calls.hold(renew_leases=False)
    with pytest.raises(WorkerCallError):
        await calls.hold(renew_leases=False)
    await calls.hold(renew_leases=False)
    await calls.hold(renew_leases=False)
    assert_that(client.acknowledged[1:], Equals(expected))


async def test_an_older_record_changes_nothing_in_the_list():
    workers = KnownWorkers()
    old, new = INFO, msgspec.structs.replace(INFO, born_ms=6, cpu=2)
    for info in (old, new, old):
        workers.update({"w": info})
    assert_that(workers.listed_by_id, Equals({"w": new}))
    workers.update({})
    workers.update({"w": old})
    assert_that(workers.listed_by_id, Equals({}))
    workers.update({"w": new})
    assert_that(workers.listed_by_id, Equals({"w": new}))


def test_a_list_of_an_entry_of_an_earlier_build_is_read():
    # Guards against entries of two builds that don't understand each other during an update.
    snapshot = WorkerListSnapshot(cell="c", place=3, workers=[INFO])
    document = msgspec.to_builtins(snapshot)
    del document["workers"][0]["born_ms"], document["workers"][0]["kind"]
    decoded = msgspec.convert(document, type=WorkerListSnapshot)
    assert_that(decoded.workers, Equals([msgspec.structs.replace(INFO, born_ms=0)]))


# -- runs -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("listed_first", [True, False])
async def test_a_run_of_the_earlier_incarnation_is_lost_and_starts_again(
    world: World, listed_first: bool
):
    # Guards against a run that is waited for until its lease ends, or forever: the new incarnation
    # answers, so the worker is not silent, but it does not know the run.
    await open_world(world)
    job = submit(world, other_than(world), "job", count=1, run_ms=600)
    await asyncio.sleep(0.2)
    worker = running_on(world)
    worker.restart()
    world.list_worker(worker.info)
    if listed_first:
        # The owner reads the list every 0.4 s, while its polls get no answer.
        worker.alive = False
        await asyncio.sleep(0.5)
        assert_that(reborn(world), Equals(1))
        assert_that(starts_of(world), HasLength(1))
        worker.alive = True
    await finish([job], within_s=1.5)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), HasLength(2))
    await asyncio.sleep(1)
    assert_that(session_of(world, worker).born_ms, Equals(worker.info.born_ms))
    assert_that(session_of(world, worker).held, Is(True))


async def test_a_processed_end_counts_though_it_was_not_acknowledged(world: World):
    await open_world(world)
    job = submit(world, other_than(world), "job", count=4, run_ms=300)
    # The owner learns of the ends by one poll and acknowledges them with the next.
    while not world.done:
        await asyncio.sleep(0.0005)
    await asyncio.sleep(0.0015)
    ended_on = {worker for _, worker, task, _ in world.starts if world.done[task]}
    for worker_id in ended_on:
        world.workers[worker_id].restart()
        world.list_worker(world.workers[worker_id].info)
    await finish([job])
    await asyncio.sleep(1)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(reborn(world), Equals(len(ended_on)))
    assert_that(max(world.done.values()), Equals(1))


async def test_an_end_that_nobody_has_seen_is_lost_with_its_incarnation(world: World):
    await open_world(world)
    owner = world.owners()[0]
    job = submit(world, other_than(world), "job", count=1, run_ms=300)
    await asyncio.sleep(0.1)
    worker = running_on(world)
    world.cut(owner, worker.info.id)
    await asyncio.sleep(0.3)
    assert_that(world.done[TASK], Equals(1))
    worker.restart()
    world.heal()
    await finish([job], within_s=2)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), HasLength(2))


@pytest.mark.parametrize("late_s", [0.1, 0.3, 1.0, 3.0, 11.0])
@pytest.mark.parametrize("listed", [True, False])
async def test_an_unanswered_order_starts_its_task_nowhere_else(
    world: World, late_s: float, listed: bool
):
    # Guards against concurrent runs: the new incarnation executes the late order, since the
    # deadline of the order is far ahead on its clock.
    await open_world(world)
    worker = world.workers["w-a1"]
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = late_s
    job = await submit_to(world, worker, run_ms=4000)
    worker.restart()
    if listed:
        world.list_worker(worker.info)
    await asyncio.sleep(late_s - 0.016)
    assert_that(starts_of(world), HasLength(0))
    world.drop_starts.clear()
    await finish([job])
    await asyncio.sleep(late_s)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), HasLength(1))


@pytest.mark.parametrize("late_s", [0.5, 1.0, 3.0])
async def test_an_order_sent_again_before_a_restart_starts_its_task_nowhere_else(
    world: World, late_s: float
):
    # Guards against concurrent runs: the earlier incarnation has left several copies of an order
    # unanswered, and the new one executes the first that arrives.
    await open_world(world)
    worker = world.workers["w-a1"]
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = late_s
    job = await submit_to(world, worker, run_ms=3000)
    await asyncio.sleep(0.3)
    worker.restart()
    await finish([job])
    await asyncio.sleep(late_s)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), Equals([worker.info.id]))


async def test_an_order_starts_its_task_nowhere_else_after_each_further_restart(world: World):
    # Guards against concurrent runs: each incarnation may execute the orders to the earlier ones.
    await open_world(world)
    worker = world.workers["w-a1"]
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = 2.0
    job = await submit_to(world, worker, run_ms=3000)
    for _ in range(3):
        worker.restart()
        await asyncio.sleep(0.4)
    await finish([job])
    await asyncio.sleep(2)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), Equals([worker.info.id]))


async def fill(world: World, worker: FakeWorker) -> asyncio.Task:
    """Run tasks of 0.5 s on a worker until it has no room."""
    for session in owner_of(world)._workers.sessions_by_id.values():
        if session.info.id != worker.info.id:
            session.pause_until = world.loop.time() + 0.02
    job = submit(world, other_than(world, *world.owners()), "other", count=2, run_ms=500)
    await asyncio.sleep(0.03)
    assert_that(worker.runs, HasLength(2))
    return job


@pytest.mark.parametrize("sends_born", [True, False])
async def test_a_task_is_not_ordered_again_where_an_order_is_in_doubt(
    world: World, sends_born: bool
):
    # Guards against concurrent runs: a restarted worker executes each late order, so two orders of
    # a task run it twice on this worker alone. Workers that send no start time are used as before.
    world.sends_born = sends_born
    await world.open(zones="a", workers=2)
    worker = world.workers["w-a1"]
    other = await fill(world, world.workers["w-a2"])
    world.drop_starts.add(worker.info.id)
    job = submit(world, other_than(world, *world.owners()), "job", count=1, run_ms=60)
    await asyncio.sleep(0.3)
    run_numbers = owner_of(world).jobs.jobs_by_id["job"].task(TASK).runs
    assert_that(run_numbers, Equals(1) if sends_born else GreaterThan(3))
    assert_that(starts_of(world), Equals([]))
    world.drop_starts.clear()
    await finish([job, other])
    assert_that(starts_of(world), HasLength(1))
    if sends_born:
        assert_that(starts_of(world), Equals(["w-a1"]))


async def test_a_task_of_the_only_worker_is_ordered_again(world: World):
    # Guards against a task that waits 12 s after one lost order where no other worker is in use.
    await open_world(world, zones="a", workers=1)
    worker = world.workers["w-a1"]
    world.drop_starts.add(worker.info.id)
    job = submit(world, other_than(world, *world.owners()), "job", count=1, run_ms=60)
    await asyncio.sleep(0.1)
    world.drop_starts.clear()
    await finish([job], within_s=0.3)
    assert_that(starts_of(world), Equals(["w-a1"]))


@pytest.mark.parametrize("run_ms", [30, 2000])
async def test_a_run_of_a_late_order_at_the_new_incarnation_is_kept(world: World, run_ms: int):
    # Guards against a second start of a task that the new incarnation runs already, or has ended
    # before the first poll reached it.
    await open_world(world)
    worker = world.workers["w-a1"]
    session_of(world, worker)._calls.acknowledged = 5
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = 0.8
    job = await submit_to(world, worker, run_ms=run_ms)
    worker.crash()
    await asyncio.sleep(0.784)
    worker.restart()
    worker_was_polled = worker.fence > 0
    await asyncio.sleep(0.0015)
    assert_that(worker_was_polled, Is(False))
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), Equals([worker.info.id]))


@pytest.mark.parametrize("listed", [True, False])
async def test_an_order_in_flight_to_a_worker_behind_a_partition_is_waited_for(
    world: World, listed: bool
):
    # Guards against concurrent runs: the owner can't make the order void, and the new incarnation
    # executes it seconds after every lease has expired.
    await open_world(world)
    worker = world.workers["w-b1"]
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = 8.0
    await submit_to(world, worker, run_ms=300)
    world.cut(world.owners()[0], worker.info.id)
    worker.restart()
    if listed:
        world.list_worker(worker.info)
    await asyncio.sleep(7.9)
    assert_that(starts_of(world), HasLength(0))
    await asyncio.sleep(0.2)
    assert_that(starts_of(world), Equals([worker.info.id]))
    assert_that(session_of(world, worker).runs, HasLength(1))
    world.heal()
    await asyncio.sleep(1.2)
    assert_that(world.done[TASK], Equals(1))
    assert_that(session_of(world, worker).runs, Equals({}))
    assert_that(starts_of(world), HasLength(1))


async def test_an_order_that_can_no_longer_arrive_is_given_up(world: World):
    # Guards against a task that waits forever for a worker that never comes back.
    await open_world(world)
    worker = world.workers["w-b1"]
    world.drop_starts.add(worker.info.id)
    await submit_to(world, worker, run_ms=200)
    worker.crash()
    await asyncio.sleep(12.5)
    assert_that(starts_of(world), HasLength(0))
    await asyncio.sleep(2)
    assert_that(starts_of(world), HasLength(1))


async def test_a_run_on_a_worker_behind_a_partition_ends_with_its_lease(world: World):
    # Guards against concurrent runs: the new incarnation may have confirmed the run before the list
    # showed it, and behind the partition it runs until its lease ends.
    await open_world(world)
    job = submit(world, other_than(world), "job", count=1, run_ms=3000)
    await asyncio.sleep(0.1)
    worker = running_on(world)
    world.cut(world.owners()[0], worker.info.id)
    world.list_worker(msgspec.structs.replace(worker.info, born_ms=world.born_ms()))
    await finish([job], within_s=6)
    assert_that(starts_of(world), HasLength(2))


@pytest.mark.parametrize("before_s", [-0.3, -0.05, 0.0, 0.05, 0.3, 0.6])
async def test_a_restart_during_a_take_over_runs_each_task_once_at_a_time(
    world: World, before_s: float
):
    # The successor's list still has the earlier incarnation, whose runs the previous owner started.
    await open_world(world)
    jobs = [
        submit(world, other_than(world, *world.owners()), f"job-{n}", count=2, run_ms=900)
        for n in range(4)
    ]
    await asyncio.sleep(0.2)
    workers = [worker for worker in world.workers.values() if worker.runs]
    assert_that(len(workers), GreaterThan(1))
    if before_s < 0:
        workers[0].restart()
    await asyncio.sleep(abs(before_s) if before_s < 0 else 0)
    world.kill_node(world.owners()[0])
    if before_s >= 0:
        await asyncio.sleep(before_s)
        workers[0].restart()
    await asyncio.sleep(0.2)
    world.list_worker(workers[0].info)
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    await asyncio.sleep(1)
    assert_that(session_of(world, workers[0]).awaits_record, Is(False))


# -- records --------------------------------------------------------------------------------------


async def test_nothing_starts_before_the_record_of_the_new_incarnation_is_known(world: World):
    # Guards against starts on a capacity, kind and rack that the worker no longer has.
    await open_world(world, zones="a", workers=2)
    worker = world.workers["w-a1"]
    worker.restart(cpu=30_000, kind="b")
    await asyncio.sleep(1)
    session = session_of(world, worker)
    assert_that((session.held, session.awaits_record), Equals((True, True)))
    assert_that(session.can_serve(world.loop.time()), Is(False))
    since = world.loop.time()
    jobs = [submit(world, other_than(world), f"job-{n}", count=4) for n in range(3)]
    await finish(jobs)
    assert_that({worker for at, worker, _, _ in world.starts if at > since}, Equals({"w-a2"}))
    world.list_worker(worker.info)
    await asyncio.sleep(1)
    session = session_of(world, worker)
    assert_that((session.info.cpu, session.info.kind), Equals((30_000, "b")))
    jobs = [submit(world, other_than(world), f"more-{n}", count=4) for n in range(3)]
    await finish(jobs)
    assert_that(len([1 for _, name, _, _ in world.starts if name == "w-a1"]), GreaterThan(0))
    assert_that(reborn(world), Equals(1))


async def test_a_changed_record_of_the_earlier_incarnation_changes_nothing(world: World):
    # Guards against a leave announcement, or a capacity, of a process that no longer exists.
    await open_world(world)
    worker = world.workers["w-a1"]
    old = worker.info
    worker.restart()
    await asyncio.sleep(0.1)
    world.list_worker(msgspec.structs.replace(old, draining=True, cpu=1))
    await asyncio.sleep(1)
    session = session_of(world, worker)
    assert_that((session.info.draining, session.info.cpu), Equals((False, 64_000)))
    assert_that((session.awaits_record, reborn(world)), Equals((True, 1)))


async def test_both_incarnations_listed_in_turn_open_one_session(world: World):
    # Guards against a session that is reopened, with its runs in doubt, each time a list that is
    # seconds old or another writer's record shows the earlier incarnation.
    await open_world(world)
    worker = world.workers["w-a1"]
    old = worker.info
    job = submit(world, other_than(world), "job", count=6, run_ms=4000)
    worker.restart(cpu=32_000)
    for _ in range(4):
        world.list_worker(worker.info)
        await asyncio.sleep(0.5)
        world.list_worker(old)
        await asyncio.sleep(0.5)
    assert_that(reborn(world), Equals(1))
    assert_that(session_of(world, worker).info.cpu, Equals(32_000))
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


async def test_speed_and_health_of_the_earlier_incarnation_are_forgotten(world: World):
    # Guards against a healthy process that inherits the quarantine or the speed of another one.
    owner = await open_world(world, zones="a", workers=2)
    worker = world.workers["w-a1"]
    worker.slowness = 3.0
    jobs = [submit(world, other_than(world), f"job-{n}", count=4) for n in range(4)]
    await finish(jobs)
    session = session_of(world, worker)
    session.quarantine(until=world.loop.time() + 60)
    session.failed_jobs.add("job")
    assert_that(owner._run_times.slowdown("w-a1"), GreaterThan(1.2))
    worker.slowness = 1.0
    worker.restart()
    world.list_worker(worker.info)
    await asyncio.sleep(1)
    fresh = session_of(world, worker)
    assert_that(fresh is session, Is(False))
    assert_that(fresh.can_start(world.loop.time()), Is(True))
    assert_that((fresh.on_probation, fresh.failed_jobs), Equals((False, set())))
    assert_that(owner._run_times.slowdown("w-a1"), Equals(1.0))
    assert_that(owner._run_times.speeds._workers_by_id["w-a1"].mean.runs, Equals(0))


async def test_workers_without_a_start_time_open_one_session(world: World):
    # Deployments of earlier builds: nothing may depend on a start time.
    await world.open()
    jobs = [submit(world, other_than(world), f"job-{n}", count=4) for n in range(3)]
    await finish(jobs, within_s=3)
    owner = owner_of(world)
    sessions = owner._workers.sessions_by_id.values()
    assert_that({session.born_ms for session in sessions}, Equals({0}))
    assert_that(len(owner._unanswered_orders), Equals(0))
    assert_that(reborn(world), Equals(0))
