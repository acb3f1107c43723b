"""Runs that count as ended on less than a report, a refusal or expired leases, and what waits."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from tests.dispatch_world import FakeRun, FakeWorker, FakeWorkerClient, World, make_job
from tests.pool_jobs import finish, other_than, submit, verdicts
from tests.test_late_orders import owner_of, use_only
from tests.test_run_ends import (
    RUN_MS,
    TASK,
    answer_at_once,
    expect_success,
    leave_no_room,
    leave_out_runs,
    open_pool,
    start_on,
)
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.ports import EndKind, StartOrder

pytestmark = pytest.mark.looptime


def keep_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a stop order change nothing of a run that has left the list, as its work has ended."""
    stop = FakeWorker.stop

    def stop_active(worker: FakeWorker, task: TaskId, number: int) -> None:
        run = worker.runs.get(task)
        if run is None or not run.left_list:
            stop(worker, task, number)
            return
        highest = max(worker.highest_run_by_task.get(task, 0), number)
        worker.highest_run_by_task[task] = highest

    monkeypatch.setattr(FakeWorker, "stop", stop_active)


# -- an incarnation that has confirmed a run -------------------------------------------------------


@pytest.mark.parametrize("list_delay_s", [0.005, 0.02])
async def test_a_run_that_a_new_incarnation_has_confirmed_and_lists_late_starts_nowhere_else(
    world: World, monkeypatch: pytest.MonkeyPatch, list_delay_s: float
):
    # Guards against a second run beside one whose order the new incarnation has answered before its
    # first list, which is behind: the answer counts as one of the incarnation before.
    worker = await open_pool(world, sends_born=True)
    leave_no_room(world, worker, count=1)
    start = FakeWorker.start

    def restart_and_start(target: FakeWorker, order: StartOrder):
        monkeypatch.setattr(FakeWorker, "start", start)
        worker.restart()
        world.list_worker(worker.info)
        worker.list_delay_s = list_delay_s
        return start(target, order)

    monkeypatch.setattr(FakeWorker, "start", restart_and_start)
    job = await start_on(world, worker)
    await expect_success(job)
    assert_that(world.starts, HasLength(1))


# -- ends that are listed late ---------------------------------------------------------------------


@pytest.mark.parametrize("sends_born", [False, True])
@pytest.mark.parametrize("end_delay_s", [0.08, 0.15, 0.3])
async def test_a_task_that_is_done_does_not_run_again_when_its_end_is_listed_after_a_stop_order(
    world: World, monkeypatch: pytest.MonkeyPatch, end_delay_s: float, sends_born: bool
):
    # Guards against a second run of a task that is done: a worker that refuses the run from now on
    # has not said that it was not done before.
    keep_ends(monkeypatch)
    worker = await open_pool(world, sends_born=sends_born)
    worker.end_delay_s = end_delay_s
    answer_at_once(worker)
    job = await start_on(world, worker)
    await asyncio.sleep(RUN_MS / 1000 + end_delay_s + 0.01)
    worker.end_delay_s = 0.0
    await expect_success(job)
    assert_that(world.starts, HasLength(1))
    assert_that(world.done[TASK], Equals(1))


@pytest.mark.parametrize("end_delay_s", [0.02, 0.08])
async def test_a_task_that_is_done_as_it_is_stopped_does_not_run_again(
    world: World, monkeypatch: pytest.MonkeyPatch, end_delay_s: float
):
    # Guards against a second run of a task that is moved, and is done just before the stop order
    # arrives, if its end is listed later than a stop takes.
    keep_ends(monkeypatch)
    stop = FakeWorker.stop

    def end_and_stop(target: FakeWorker, task: TaskId, number: int) -> None:
        run: FakeRun | None = target.runs.get(task)
        if run is not None and not run.left_list:
            target.end(run, EndKind.DONE)
        stop(target, task, number)

    monkeypatch.setattr(FakeWorker, "stop", end_and_stop)
    worker = await open_pool(world, sends_born=False)
    worker.end_delay_s = end_delay_s
    answer_at_once(worker)
    job = await start_on(world, worker)
    await asyncio.sleep(0.1)
    worker.suspend_runs()
    await expect_success(job)
    assert_that(world.starts, HasLength(1))


# -- runs that are stopped though they are fine ----------------------------------------------------


async def test_a_run_is_not_stopped_when_a_start_overtakes_the_list_that_names_it(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a stop order for a run that one list leaves out, when the list that is asked
    # for to make sure names it, and is discarded as stale since a start was answered meanwhile.
    worker = await open_pool(world, sends_born=False)
    job = await start_on(world, worker, run_ms=1000)
    await asyncio.sleep(0.1)
    hold = FakeWorkerClient._hold

    async def answer_late(client, info, fence, acknowledged, deadline_ms, wait_s, timeout_s):
        reply = await hold(client, info, fence, acknowledged, deadline_ms, wait_s, timeout_s)
        if info.id == worker.info.id and not worker.omits_running:
            await asyncio.sleep(0.01)
        return reply

    monkeypatch.setattr(FakeWorkerClient, "_hold", answer_late)
    await leave_out_runs(worker, for_s=0.003)
    use_only(world, worker, for_s=0.1)
    for number in range(40):
        submit_small(world, f"other-{number}")
        await asyncio.sleep(0.002)
    await expect_success(job)
    assert_that([at for at, _, task, _ in world.starts if task == TASK], HasLength(1))


def submit_small(world: World, job_id: str) -> None:
    """Submit a job of one task of which many fit on a worker."""
    request = make_job(job_id, count=1, run_ms=2000)
    step = msgspec.structs.replace(request.steps[0], cpu=100, memory_mb=1)
    request = msgspec.structs.replace(request, steps=[step])
    world.run_s_by_job[job_id] = 2.0
    world.cpu_by_job[job_id] = 100
    asyncio.ensure_future(world.run_job(other_than(world, *world.owners()), request))


# -- leases ----------------------------------------------------------------------------------------


async def test_a_hold_for_the_incarnation_before_that_arrives_late_makes_no_second_run(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a second run beside one whose lease was renewed by a hold to the incarnation
    # before: two of them name times of an earlier clock, and arrive after the leases counted here.
    worker = await open_pool(world, sends_born=True)
    late_deadlines: list[int] = []
    hold = FakeWorkerClient._hold

    async def note(client, info, fence, acknowledged, deadline_ms, wait_s, timeout_s):
        if info.id == worker.info.id and deadline_ms is not None:
            late_deadlines.append(deadline_ms)
        return await hold(client, info, fence, acknowledged, deadline_ms, wait_s, timeout_s)

    monkeypatch.setattr(FakeWorkerClient, "_hold", note)
    await asyncio.sleep(3)
    monkeypatch.setattr(FakeWorkerClient, "_hold", hold)
    worker.restart()
    world.list_worker(worker.info)
    await asyncio.sleep(1)
    job = await start_on(world, worker, run_ms=5000)
    await asyncio.sleep(1)
    for name in world.nodes:
        world.cut(name, worker.info.id)
    for deadline_ms in late_deadlines[-2:]:
        await asyncio.sleep(0.7)
        worker.extend(deadline_ms)
    await finish([job], within_s=12)
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.violations, Equals([]))


# -- workers that get work again -------------------------------------------------------------------


@pytest.mark.parametrize("is_lost", [False, True])
async def test_a_job_starts_when_the_last_orphaned_run_of_its_only_worker_is_gone(
    world: World, is_lost: bool
):
    # Guards against a job that waits for an event after a worker has become free of orphaned runs.
    worker = await open_pool(world, sends_born=False)
    await asyncio.sleep(3)
    owner = owner_of(world)
    deadline_ms = worker.clock_ms() + 400
    order = StartOrder(
        task=TaskId("stranger", 0, 0), run=1, spec="", deadline_ms=deadline_ms, fence=owner.fence
    )
    world.run_s_by_job["stranger"] = 9.0
    worker.start(order)
    answer_at_once(worker)
    session = owner._workers.sessions_by_id[worker.info.id]
    while not session.orphaned_runs:
        await asyncio.sleep(0.001)
    worker.answers_at_once = False
    use_only(world, worker, for_s=60)
    job = submit(
        world, other_than(world, *world.owners()), "job", count=1, objective_ms=9000, stretch=9.0
    )
    await asyncio.sleep(0.05)
    if is_lost:
        worker.lose_runs()
    while session.orphaned_runs:
        await asyncio.sleep(0.001)
    free_at = world.loop.time()
    await expect_success(job)
    assert_that(world.starts[-1][0] - free_at, LessThan(0.1))


@pytest.mark.parametrize("list_delay_s", [0.04, 0.1])
async def test_a_job_ends_though_all_lists_are_further_behind_than_a_run_is_waited_for(
    world: World, list_delay_s: float
):
    # Guards against a task whose runs are all stopped and started again, since each of them is
    # listed later than it is asked for once more.
    await open_pool(world, sends_born=False)
    for worker in world.workers.values():
        worker.list_delay_s = list_delay_s
        answer_at_once(worker)
    job = submit(world, other_than(world, *world.owners()), "job", count=2, run_ms=RUN_MS)
    await expect_success(job)


@pytest.mark.parametrize("count", [60, 200])
async def test_a_list_that_leaves_out_many_runs_does_not_cause_a_poll_for_each(
    world: World, monkeypatch: pytest.MonkeyPatch, count: int
):
    # Guards against polls that follow each other without the pause between polls of one worker.
    worker = await open_pool(world, sends_born=False)
    request = make_job("job", count=count, run_ms=2000)
    step = msgspec.structs.replace(request.steps[0], cpu=100, memory_mb=1)
    request = msgspec.structs.replace(request, steps=[step])
    world.cpu_by_job["job"] = 100
    world.run_s_by_job["job"] = 2.0
    use_only(world, worker, for_s=0.5)
    job = asyncio.ensure_future(world.run_job(other_than(world, *world.owners()), request))
    await asyncio.sleep(0.5)
    assert_that(worker.runs, HasLength(count))
    hold, polls = FakeWorker.hold, []

    async def note(target: FakeWorker, *arguments):
        polls.append(target.info.id)
        return await hold(target, *arguments)

    monkeypatch.setattr(FakeWorker, "hold", note)
    await leave_out_runs(worker, for_s=0.003)
    polls.clear()
    await asyncio.sleep(0.2)
    most = 0.2 / owner_of(world).min_poll_interval_s() + 2
    assert_that(polls.count(worker.info.id), LessThan(most))
    await expect_success(job)
    assert_that(world.starts, HasLength(count))
