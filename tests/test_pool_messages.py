"""Messages between entries that arrive late, or when nobody wants them any more."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from tests.dispatch_world import LATENCY_S, World, make_job
from zincwell.dispatch._types import Verdict

pytestmark = pytest.mark.looptime


def entry_and_owner(world: World) -> tuple[str, str]:
    """Return an entry that is not the owner, and the owner."""
    owner = world.owners()[0]
    return next(name for name in sorted(world.nodes) if name != owner), owner


async def test_a_job_that_was_given_up_is_not_handed_over_later(world: World):
    # Symptom: a page is embossed twice. Sequence: an entry is cut off and tells its caller that
    # the outcome is unknown; the caller sends the job to another entry, where it runs. The cut
    # heals. Cause: the job still waits in the link to the owner, and is started for nobody.
    await world.open()
    entry, _ = entry_and_owner(world)
    for other in world.nodes:
        world.cut(entry, other)
    await asyncio.sleep(0.2)
    outcome = await world.run_job(entry, make_job("job"))
    assert_that(outcome.verdict, Equals(Verdict.UNKNOWN))
    world.heal()
    await asyncio.sleep(3)
    assert_that(world.starts, HasLength(0))


async def test_a_job_that_arrives_long_after_it_was_sent_is_not_taken(world: World):
    # Symptom: as above. Sequence: an entry hands a job to the owner, whose VM stands still; the
    # caller leaves and sends it elsewhere. The owner wakes and reads its sockets.
    # Cause: what it reads there looks like a request that has just been sent.
    await world.open()
    entry, owner = entry_and_owner(world)
    world.slow_ways.add((entry, owner))
    call = asyncio.ensure_future(world.run_job(entry, make_job("job")))
    await asyncio.sleep(0.1)
    call.cancel()
    await asyncio.sleep(2)
    world.deliver_late()
    await asyncio.sleep(3)
    assert_that(world.starts, HasLength(0))


async def test_a_late_job_whose_caller_still_waits_is_handed_over_again(world: World):
    await world.open()
    entry, owner = entry_and_owner(world)
    world.slow_ways.add((entry, owner))
    call = asyncio.ensure_future(world.run_job(entry, make_job("job", objective_ms=9000)))
    await asyncio.sleep(0.8)
    world.deliver_late()
    async with asyncio.timeout(3):
        outcome = await call
    assert_that(outcome.verdict, Equals(Verdict.SUCCEEDED))
    assert_that(world.starts, HasLength(2))


async def test_a_job_that_a_stand_in_has_taken_is_not_handed_to_the_owner_later(world: World):
    # Symptom: a task runs twice at the same time. Sequence: a failure domain is cut off; an entry
    # there hands a job to the owner, in vain, and then to the stand-in, which runs it. The cut
    # heals. Cause: the first submission, which looks new, still waits in the link to the owner.
    await world.open()
    entry, owner = entry_and_owner(world)
    zone = world.nodes[entry].me.zone
    if zone == world.nodes[owner].me.zone:
        zone = next(node.me.zone for node in world.nodes.values() if node.me.zone != zone)
        entry = next(name for name, node in world.nodes.items() if node.me.zone == zone)
    world.cut_zone(zone)
    world.run_s_by_job["job"] = 3.0
    call = asyncio.ensure_future(world.run_job(entry, make_job("job", run_ms=3000)))
    await asyncio.sleep(3.0)
    world.heal()
    assert_that((await call).verdict, Equals(Verdict.SUCCEEDED))
    assert_that(world.violations, Equals([]))


async def test_a_job_that_got_through_as_it_was_withdrawn_is_cancelled(world: World):
    # Symptom: a task runs at an owner that nobody waits for. Sequence: a job is on its way to the
    # owner as the entry turns to another one; the delivery gets through.
    # Cause: the cancellation takes the place of a job that has been delivered already.
    await world.open()
    entry, owner = entry_and_owner(world)
    call = asyncio.ensure_future(world.run_job(entry, make_job("job", run_ms=2000)))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    link = world.nodes[entry]._directory.links_by_name[owner]
    assert_that(link.is_idle(), Equals(False))
    world.loop.call_later(1.5 * LATENCY_S, link.withdraw_jobs)
    await asyncio.sleep(0.2)
    running = [task for worker in world.workers.values() for task in worker.runs]
    assert_that(running, HasLength(0))
    call.cancel()
