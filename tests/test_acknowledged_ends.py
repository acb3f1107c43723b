"""Ends of runs are acknowledged to the workers only after the waiting entries know of them."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from tests.dispatch_world import FakeWorker, World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._types import TaskId, Verdict

pytestmark = pytest.mark.looptime

FIRST, SECOND = TaskId("job", 0, 0), TaskId("job", 0, 1)


def starts_of(world: World, task: TaskId) -> int:
    return sum(1 for _, _, started, _ in world.starts if started == task)


async def submit_uneven(world: World) -> tuple[str, str, asyncio.Task]:
    """Submit a job whose first task ends after 0.2 s and whose second one runs for 3 s.

    Return the names of the entry and the owner, and the call.
    """
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    world.run_factor_by_task[SECOND] = 15.0
    job = submit(world, entry, "job", count=2)
    await asyncio.sleep(0.15)
    assert_that(world.starts, HasLength(2))
    return entry, owner, job


@pytest.mark.parametrize("count", [1, 2])
async def test_a_task_does_not_run_again_if_the_owner_is_lost_with_its_message(
    world: World, count: int
):
    # Failure: the owner acknowledges an end to the worker at once. It is lost before it has told
    # the entry, by a report of the task or by the answer, and the next owner runs the task again.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    world.run_factor_by_task[SECOND] = 15.0
    job = submit(world, entry, "job", count=count)
    await asyncio.sleep(0.15)
    world.cut(entry, owner)
    await asyncio.sleep(0.25)
    assert_that(world.done[FIRST], Equals(1))
    world.kill_node(owner)
    world.heal()
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world, FIRST), Equals(1))
    assert_that(world.repeated_runs, Equals([]))


async def test_an_end_that_a_new_owner_finds_is_reported_to_the_entry(world: World):
    # Failure: the first owner is lost before it sees an end. The next one sees it before the entry
    # has submitted the job again, does not tell the entry and acknowledges it. When this owner is
    # lost too, the third one runs the task again.
    entry, owner, job = await submit_uneven(world)
    await asyncio.sleep(0.04)
    world.kill_node(owner)
    for name in world.nodes:
        world.cut(entry, name)
    while not world.owners():
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    world.heal()
    await asyncio.sleep(0.4)
    assert_that(FIRST in world.acknowledged_tasks, Is(True))
    world.kill_node(world.owners()[0])
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world, FIRST), Equals(1))
    assert_that(world.repeated_runs, Equals([]))


async def test_an_entry_that_joins_a_job_is_told_what_is_done(world: World):
    # Failure: a caller calls again through another entry after a task has ended. Its first entry
    # and the owner are lost, and the next owner runs the task again, as this entry never knew.
    entry, owner, job = await submit_uneven(world)
    await asyncio.sleep(0.25)
    assert_that(FIRST in world.acknowledged_tasks, Is(True))
    again = submit(world, other_than(world, owner, entry), "job", count=2)
    await asyncio.sleep(0.1)
    world.kill_node(entry)
    world.kill_node(owner)
    await finish([job, again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.repeated_runs, Equals([]))


async def test_a_new_owner_learns_what_the_previous_one_reports_late(world: World):
    # Failure: an entry submits its job to the next owner before the report of the previous owner
    # reaches it. The worker gets the acknowledgement after that report, and the next owner, which
    # does not know of it, runs the task again.
    entry, owner, job = await submit_uneven(world)
    world.cut(entry, owner)
    await asyncio.sleep(0.25)
    assert_that(world.done[FIRST], Equals(1))
    for name in world.nodes:
        world.cut(owner, name)
    while len(world.owners()) < 2:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    world.heal()
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))
    assert_that(starts_of(world, FIRST), Equals(1))
    assert_that(world.repeated_runs, Equals([]))


async def test_an_end_is_acknowledged_in_time_though_the_entry_does_not_answer(world: World):
    # Failure: an entry that is lost for good keeps the end at the worker for ever. Workers require
    # acknowledgements within 6 s.
    entry, _, _ = await submit_uneven(world)
    world.kill_node(entry)
    await asyncio.sleep(0.1)
    assert_that(world.done[FIRST], Equals(1))
    assert_that(FIRST in world.acknowledged_tasks, Is(False))
    await asyncio.sleep(6)
    assert_that(FIRST in world.acknowledged_tasks, Is(True))
    await asyncio.sleep(3)
    assert_that([row for worker in world.workers.values() for row in worker.ended], Equals([]))


async def test_unacknowledged_ends_are_not_polled_for_at_once(world: World):
    # Failure: a worker with an unacknowledged end answers each poll at once, so it is polled some
    # 400 times a second until an entry that does not answer is given up.
    entry, _, _ = await submit_uneven(world)
    world.kill_node(entry)
    await asyncio.sleep(0.1)
    polls = world.holds
    await asyncio.sleep(0.5)
    assert_that(world.holds - polls, LessThan(60))


async def test_ends_are_reported_once_without_incidents(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Failure: the poll after an end leaves before the entry has acknowledged the message, so the
    # worker reports the end again and each end costs a poll more.
    reported: dict[tuple[str, int], int] = {}
    hold = FakeWorker.hold

    async def record(worker: FakeWorker, *arguments):
        reply = await hold(worker, *arguments)
        for row in reply.ended:
            key = (worker.info.id, row.number)
            reported[key] = reported.get(key, 0) + 1
        return reply

    monkeypatch.setattr(FakeWorker, "hold", record)
    await world.open()
    entries = sorted(world.nodes)
    jobs = []
    for number in range(40):
        jobs.append(submit(world, entries[number % len(entries)], f"job-{number}", run_ms=60))
        await asyncio.sleep(0.05)
    await finish(jobs)
    assert_that(len(reported), GreaterThan(70))
    assert_that({key: count for key, count in reported.items() if count > 1}, Equals({}))
