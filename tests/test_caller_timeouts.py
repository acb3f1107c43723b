"""Callers are answered within the time that they wait, with what is provable by then."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from tests.dispatch_world import World, make_job
from tests.pool_jobs import finish, other_than, submit, verdicts
from tests.test_restart import RecordingChannel
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._pending_jobs import PendingJobTracker
from zincwell.dispatch._types import Verdict

pytestmark = pytest.mark.looptime

TIMEOUT_MS = 1500


def isolate(world: World, entry: str) -> None:
    """Cut an entry off from everything else."""
    for name in [*world.nodes, "store"]:
        if name != entry:
            world.cut(entry, name)


async def answer_time(world: World, job: asyncio.Task) -> float:
    """Return the time in seconds from now until a job is answered."""
    began_at = world.loop.time()
    await finish([job])
    return world.loop.time() - began_at


async def test_a_job_that_runs_longer_than_its_caller_waits(world: World):
    # Failure: the caller is held until the run has ended, and its answer reaches nobody.
    await world.open()
    owner = world.owners()[0]
    job = submit(world, other_than(world, owner), "job", run_ms=5000, timeout_ms=TIMEOUT_MS)
    assert_that(await answer_time(world, job), LessThan(TIMEOUT_MS / 1000))
    assert_that(job.result().verdict, Equals(Verdict.UNKNOWN))
    assert_that(job.result().retry_after_s, GreaterThan(0))
    await asyncio.sleep(0.1)
    # The job is cancelled, as if the caller had closed its connection.
    assert_that(sum(len(worker.runs) for worker in world.workers.values()), Equals(0))


async def test_a_job_without_a_timeout_waits_for_its_run(world: World):
    await world.open()
    job = submit(world, other_than(world, world.owners()[0]), "job", run_ms=5000)
    assert_that(await answer_time(world, job), GreaterThan(5.0))
    assert_that(job.result().verdict, Equals(Verdict.SUCCEEDED))


@pytest.mark.parametrize("at_owner", [True, False])
async def test_the_owner_proves_that_a_waiting_job_was_not_started(world: World, at_owner: bool):
    # Failure: a job has waited for capacity until its caller stops waiting, and is answered as
    # unknown although its owner knows that no task of it was started.
    await world.open()
    owner = world.owners()[0]
    entry = owner if at_owner else other_than(world, owner)
    fill = [submit(world, entry, f"fill-{n}", count=4, run_ms=4000) for n in range(3)]
    await asyncio.sleep(0.1)
    slo = {"objective_ms": 10_000, "timeout_ms": TIMEOUT_MS}
    job = submit(world, entry, "job", count=1, run_ms=100, **slo)
    assert_that(await answer_time(world, job), LessThan(TIMEOUT_MS / 1000))
    assert_that(job.result().verdict, Equals(Verdict.REFUSED))
    assert_that(job.result().retry_after_s, GreaterThan(0))
    await finish(fill)
    assert_that([task for _, _, task, _ in world.starts if task.job == "job"], Equals([]))


async def test_a_job_waits_as_long_as_any_of_its_callers(world: World):
    # Failure: the timeout of a first request ends the job although the caller's retry through
    # another entry still waits.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    fields = {"run_ms": 1800, "timeout_ms": TIMEOUT_MS}
    first = submit(world, entry, "job", **fields)
    await asyncio.sleep(1.0)
    second = submit(world, other_than(world, owner, entry), "job", **fields)
    same_entry = submit(world, entry, "job", **fields)
    assert_that(await answer_time(world, first), LessThan(0.5))
    assert_that(verdicts([first]), Equals({Verdict.UNKNOWN}))
    await finish([second, same_entry])
    assert_that(verdicts([second, same_entry]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("timeout_ms", [0, TIMEOUT_MS])
async def test_a_job_that_was_never_sent_to_a_silent_owner(world: World, timeout_ms: int):
    # Failure: an isolated entry answers all of its jobs as unknown. Only the first one was sent;
    # the others are queued behind its delivery, which is never acknowledged.
    await world.open()
    entry = other_than(world, world.owners()[0])
    isolate(world, entry)
    sent = submit(world, entry, "sent", timeout_ms=timeout_ms)
    await asyncio.sleep(0.05)
    unsent = submit(world, entry, "unsent", timeout_ms=timeout_ms)
    assert_that(await answer_time(world, unsent), LessThan(1.4))
    await finish([sent], within_s=0.1)
    assert_that(verdicts([sent]), Equals({Verdict.UNKNOWN}))
    assert_that(verdicts([unsent]), Equals({Verdict.REFUSED}))
    assert_that(unsent.result().retry_after_s, GreaterThan(0))
    # Neither may start once its caller has been answered.
    await asyncio.sleep(0.5)
    world.heal()
    await asyncio.sleep(3)
    assert_that(world.starts, Equals([]))


async def test_an_impatient_caller_of_a_silent_owner(world: World):
    # Failure: the timeout is shorter than the time after which an owner counts as lost.
    await world.open()
    entry = other_than(world, world.owners()[0])
    isolate(world, entry)
    sent = submit(world, entry, "sent", timeout_ms=400)
    await asyncio.sleep(0.05)
    unsent = submit(world, entry, "unsent", timeout_ms=400)
    assert_that(await answer_time(world, unsent), LessThan(0.4))
    assert_that(verdicts([sent]), Equals({Verdict.UNKNOWN}))
    assert_that(verdicts([unsent]), Equals({Verdict.REFUSED}))


async def test_a_job_that_was_sent_twice_is_never_called_not_run(world: World):
    # Failure: the second submission to an owner is still unsent and is taken for the only one.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = submit(world, entry, "job", run_ms=5000, timeout_ms=3000)
    await asyncio.sleep(0.5)
    isolate(world, entry)
    blocked = submit(world, entry, "blocked", timeout_ms=3000)
    await asyncio.sleep(0.1)
    world.nodes[entry].pending_jobs.resubmit(after_s=0)
    await finish([job, blocked])
    assert_that(verdicts([job, blocked]), Equals({Verdict.UNKNOWN}))


async def test_jobs_are_submitted_at_once_when_a_silent_owner_returns():
    # Failure: jobs that were taken back from the queue to a silent owner wait for the next
    # resubmission, 1.5 s after the first, although the owner is heard again.
    channel = RecordingChannel()
    channel.cells = lambda: ["", "b"]
    channel.withdraw_blocked_jobs = lambda cell: {"job"}
    channel.silence_s = lambda cell: 0.5
    pending_jobs = PendingJobTracker(channel=channel, metrics=Metrics())
    caller = asyncio.ensure_future(pending_jobs.run(make_job("job")))
    await asyncio.sleep(0.2)
    assert_that(channel.submitted, HasLength(1))
    channel.silence_s = lambda cell: 0.0
    await asyncio.sleep(0.06)
    assert_that(channel.submitted, HasLength(2))
    assert_that(channel.submitted[1].exposed, Equals(False))
    caller.cancel()
    pending_jobs.close()


async def test_a_job_queued_for_another_cell_whose_owner_is_silent(world: World):
    # Failure: a job was given to another cell just before that cell's owner was cut off. It has not
    # been sent, but waits for that owner until it is answered as unknown.
    await world.open_cells(entries=5)
    entry = world.entry_in("b")
    world.kill_node(world.owner_in("b"))
    await asyncio.sleep(0.27)
    sent = [submit(world, entry, f"sent-{n}", run_ms=60) for n in range(6)]
    await finish(sent)
    for zone in "ac":
        world.cut("b", zone)
    jobs = []
    for number in range(12):
        jobs.append(submit(world, entry, f"job-{number}", run_ms=60, timeout_ms=2600))
        await asyncio.sleep(0.01)
    await finish(jobs, within_s=2.6)
    outcomes = [job.result().verdict for job in jobs]
    # At most the first delivery to each of the three owners was sent.
    assert_that(outcomes.count(Verdict.UNKNOWN), LessThan(4))
    assert_that(outcomes.count(Verdict.SUCCEEDED), GreaterThan(8))
    for job in jobs:
        if job.result().verdict is Verdict.REFUSED:
            assert_that(job.result().retry_after_s, GreaterThan(0))


async def test_a_job_of_two_entries_that_times_out_for_both_at_once_is_refused_once(world: World):
    # Guards against a KeyError that ends the owner's review: a job was due twice in one review.
    await world.open()
    owner = world.owners()[0]
    one, other = [name for name in sorted(world.nodes) if name != owner][:2]
    blocking = [submit(world, one, f"long-{n}", count=2, run_ms=4000) for n in range(6)]
    await asyncio.sleep(0.2)
    slo = {"objective_ms": 10_000, "timeout_ms": TIMEOUT_MS}
    twice = []
    for number in range(4):
        for entry in (one, other):
            twice.append(submit(world, entry, f"job-{number}", run_ms=100, **slo))
            # Both times pass between two reviews, which are 20 ms apart.
            await asyncio.sleep(0.003)
    await finish(twice)
    assert_that(verdicts(twice), Equals({Verdict.REFUSED}))
    # The review goes on: a later job is refused as well.
    later = submit(world, one, "later", run_ms=100, **slo)
    await finish([later], within_s=2)
    assert_that(later.result().verdict, Equals(Verdict.REFUSED))
    await finish(blocking)
