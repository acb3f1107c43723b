"""Start orders without an answer, which workers that have restarted may execute seconds later."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from tests.dispatch_world import FakeWorker, FakeWorkerClient, World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.ports import StartReply, StartStatus

pytestmark = pytest.mark.looptime

TASK = TaskId("job", 0, 0)
LATE_S = 1.0


async def open_world(world: World, **shape) -> FakeWorker:
    """Open a platform whose workers restart under their ids; return the worker to be ordered."""
    world.sends_born = True
    await world.open(**shape)
    return world.workers["w-a1"]


def owner_of(world: World) -> Owner:
    return world.nodes[world.owners()[0]]._owner


def starts_of(world: World, task: TaskId = TASK) -> list[str]:
    """Return the workers that started a task, one item for each start."""
    return [worker for _, worker, started, _ in world.starts if started == task]


def use_only(world: World, worker: FakeWorker, *, for_s: float) -> None:
    for session in owner_of(world)._workers.sessions_by_id.values():
        if session.info.id != worker.info.id:
            session.pause_until = world.loop.time() + for_s


async def lose_orders(world: World, worker: FakeWorker, *, for_s: float, **fields) -> asyncio.Task:
    """Submit a job of one task to a worker that gets its orders ``LATE_S`` late for a while."""
    world.drop_starts.add(worker.info.id)
    world.late_start_s[worker.info.id] = LATE_S
    use_only(world, worker, for_s=0.01)
    fields = {"run_ms": 2000, **fields}
    job = submit(world, other_than(world, *world.owners()), "job", count=1, **fields)
    await asyncio.sleep(for_s)
    world.drop_starts.clear()
    return job


def restart_as_order_arrives(
    world: World, monkeypatch: pytest.MonkeyPatch, *, gap_s: float = 0.0
) -> None:
    """Let a worker restart just before the next late order reaches it, and execute the order.

    :param gap_s: time between the restart and the order; a call of the owner takes 0.001 s.
    """
    deliver = FakeWorkerClient._start_late

    def restart_and_deliver(client, target, info, order):
        monkeypatch.setattr(FakeWorkerClient, "_start_late", deliver)
        target.restart()
        world.list_worker(target.info)
        world.loop.call_later(gap_s, deliver, client, target, info, order)

    monkeypatch.setattr(FakeWorkerClient, "_start_late", restart_and_deliver)


@pytest.mark.parametrize("gap_s", [0.0, 0.0001, 0.0005])
@pytest.mark.parametrize("lost_for_s", [0.015, 0.1, 0.3])
async def test_an_order_that_arrives_right_after_a_restart_starts_no_second_run(
    world: World, monkeypatch: pytest.MonkeyPatch, gap_s: float, lost_for_s: float
):
    # Guards against concurrent runs: the task runs elsewhere when its worker restarts and executes
    # the order before any message of the owner reaches the new process.
    worker = await open_world(world)
    restart_as_order_arrives(world, monkeypatch, gap_s=gap_s)
    job = await lose_orders(world, worker, for_s=lost_for_s)
    await finish([job])
    await asyncio.sleep(LATE_S)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(set(starts_of(world)), Equals({worker.info.id}))
    assert_that(world.done[TASK], Equals(1))


@pytest.mark.parametrize("lost_for_s", [0.1, 0.3])
async def test_an_order_that_arrives_behind_a_partition_starts_no_second_run(
    world: World, lost_for_s: float
):
    # Guards against concurrent runs: the task runs elsewhere when its worker, which the owner can't
    # reach any more, restarts and executes the order.
    worker = await open_world(world)
    job = await lose_orders(world, worker, for_s=lost_for_s)
    for name in world.nodes:
        world.cut(name, worker.info.id)
    worker.restart()
    await asyncio.sleep(LATE_S - lost_for_s + 0.5)
    assert_that(worker.runs, HasLength(1))
    world.heal()
    world.list_worker(worker.info)
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(set(starts_of(world)), Equals({worker.info.id}))


async def test_an_order_that_arrives_after_the_task_is_done_starts_no_run(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against work that is done twice: another copy of the order has started the task, it is
    # done, and its worker restarts and executes the late copy.
    worker = await open_world(world)
    restart_as_order_arrives(world, monkeypatch)
    job = await lose_orders(world, worker, for_s=0.015, run_ms=60)
    await finish([job])
    await asyncio.sleep(LATE_S)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.repeated_runs, Equals([]))


async def test_a_failed_task_waits_until_no_order_of_it_can_arrive(world: World):
    # Guards against concurrent runs: a task is tried again elsewhere, its worker restarts and
    # executes an earlier copy of the order.
    worker = await open_world(world)
    worker.fails_all = True
    job = await lose_orders(world, worker, for_s=0.015, run_ms=60)
    await asyncio.sleep(LATE_S - 0.015)
    assert_that(starts_of(world), Equals([worker.info.id]))
    worker.restart()
    world.list_worker(worker.info)
    await asyncio.sleep(0.5)
    assert_that(set(starts_of(world)), Equals({worker.info.id}))
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


async def test_a_task_submitted_again_waits_until_no_order_of_it_can_arrive(world: World):
    # Guards against concurrent runs: a caller submits a job again that was given up, while an order
    # of the first submission is still on its way to a worker that restarts.
    worker = await open_world(world)
    job = await lose_orders(world, worker, for_s=0.1, timeout_ms=100)
    await finish([job])
    job = submit(world, other_than(world, *world.owners()), "job", count=1, run_ms=2000)
    await asyncio.sleep(LATE_S - 0.1)
    worker.restart()
    await finish([job], within_s=20)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), HasLength(1))


@pytest.mark.parametrize("status", [StartStatus.NO_ROOM, StartStatus.TOO_LATE])
async def test_a_refused_copy_does_not_make_earlier_ones_void(
    world: World, monkeypatch: pytest.MonkeyPatch, status: StartStatus
):
    # Guards against concurrent runs: a worker refuses the second copy of an order, the task starts
    # elsewhere, and the worker executes the first copy after a restart.
    worker = await open_world(world)
    execute = worker.start
    monkeypatch.setattr(worker, "start", lambda order: StartReply(status=status))
    job = await lose_orders(world, worker, for_s=0.015)
    await asyncio.sleep(LATE_S - 0.015)
    monkeypatch.setattr(worker, "start", execute)
    worker.restart()
    world.list_worker(worker.info)
    await finish([job])
    assert_that(set(starts_of(world)), Equals({worker.info.id}))


@pytest.mark.parametrize("answer_s", [0.0195, 0.03])
async def test_a_refused_copy_does_not_end_the_run_of_another(
    world: World, monkeypatch: pytest.MonkeyPatch, answer_s: float
):
    # Guards against concurrent runs: the answer to an order is slow, the worker refuses the second
    # copy, and the task starts elsewhere although the first copy has started it.
    worker = await open_world(world)
    execute, orders = worker.start, []
    start = FakeWorkerClient.start

    def refuse_second_copy(order):
        orders.append(order)
        return execute(order) if len(orders) == 1 else StartReply(status=StartStatus.TOO_LATE)

    async def answer_slowly(client, info, order, *, timeout_s):
        reply = await start(client, info, order, timeout_s=timeout_s)
        if len(orders) == 1:
            await asyncio.sleep(answer_s)
        return reply

    monkeypatch.setattr(worker, "start", refuse_second_copy)
    monkeypatch.setattr(FakeWorkerClient, "start", answer_slowly)
    use_only(world, worker, for_s=0.01)
    job = submit(world, other_than(world, *world.owners()), "job", count=1, run_ms=300)
    await finish([job])
    assert_that(orders, HasLength(2))
    assert_that(starts_of(world), Equals([worker.info.id]))
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("gives_up", [True, False])
async def test_an_owner_that_is_closed_sends_nothing_again(
    world: World, monkeypatch: pytest.MonkeyPatch, gives_up: bool
):
    # Guards against orders under an old fencing token, which a worker that has restarted executes.
    worker = await open_world(world)
    owner = world.owners()[0]
    fields = {"timeout_ms": 30} if gives_up else {}
    await lose_orders(world, worker, for_s=0.04, **fields)
    callers: list[str] = []
    for name in ("start", "stop", "hold"):
        call = getattr(FakeWorkerClient, name)

        def record(client, *arguments, call=call, **options):
            callers.append(client._me[0])
            return call(client, *arguments, **options)

        monkeypatch.setattr(FakeWorkerClient, name, record)
    world.kill_node(owner)
    callers.clear()
    await asyncio.sleep(3)
    assert_that(owner in callers, Equals(False))


async def test_a_lost_order_costs_little_time(world: World):
    # Guards against jobs of 60 ms that wait for tenths of a second while orders are lost at random.
    worker = await open_world(world)
    began_at = world.loop.time()
    job = await lose_orders(world, worker, for_s=0.015, run_ms=60)
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world), Equals([worker.info.id]))
    assert_that(world.loop.time() - began_at, LessThan(0.12))


async def test_a_worker_that_answers_no_order_keeps_few_tasks_waiting(world: World):
    # Guards against a worker that attracts task after task, since each of them waits for it.
    worker = await open_world(world)
    world.drop_starts.add(worker.info.id)
    jobs = []
    for number in range(60):
        entry = other_than(world, *world.owners())
        jobs.append(submit(world, entry, f"job-{number}", count=1, run_ms=60, timeout_ms=500))
        await asyncio.sleep(0.05)
    await finish(jobs)
    unserved = [job for job in jobs if job.result().verdict is not Verdict.SUCCEEDED]
    # Two tasks have room there at first; then one at a time, each until its caller leaves.
    assert_that(len(unserved), LessThan(2 + 60 * 0.05 / 0.5 + 1))


async def test_a_pool_without_start_times_sends_no_order_again(world: World):
    # Guards against a change for workers that restart under another id: they refuse late orders.
    await world.open()
    worker = world.workers["w-a1"]
    job = await lose_orders(world, worker, for_s=0.015, run_ms=60)
    await finish([job], within_s=0.3)
    assert_that(len(owner_of(world)._unanswered_orders), Equals(0))
    assert_that(starts_of(world) == [worker.info.id], Equals(False))
