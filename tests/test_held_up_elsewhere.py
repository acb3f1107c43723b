"""Messages and requests that are held up, and are then carried out as if they were new."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from tests.dispatch_world import World, make_job
from tests.ownership_model import ManualClock
from tests.pool_jobs import finish, other_than, submit, verdicts
from tests.test_cancellation import runs_of
from tests.test_held_up_submissions import RETRANSMIT_S, TIMEOUT_MS, occupy
from tests.test_shares import SlotView
from tests.test_stand_in import open_shared_cells, time_until_active, zone_without_owner
from zincwell.core._slot_shares import Shares
from zincwell.dispatch._types import Verdict
from zincwell.platform._callers import CallerListener
from zincwell.platform._server import HttpRequest

pytestmark = pytest.mark.looptime

RUN_MS = 4000


def submit_late(world: World, entry: str, *, late_s: float, **fields) -> asyncio.Task:
    """Let an entry read a request for a job that was sent long before."""
    job = make_job("job", **{"run_ms": RUN_MS, **fields})
    return asyncio.ensure_future(world.run_job(entry, job, read_late_s=late_s))


@pytest.mark.parametrize("since_cut_s", [0.0, 0.5])
async def test_a_request_read_late_beside_a_stand_in_runs_once(world: World, since_cut_s: float):
    # Failure: two concurrent runs of one task. An entry of a single cell stands still with a
    # request in its socket. Its caller comes back to another entry, whose job the owner starts,
    # and all of that before its domain is cut off. The entry goes on and gives the job to the
    # stand-in of its domain.
    await world.open()
    zone = zone_without_owner(world)
    entry = world.entry_in(zone)
    again = submit(world, world.owners()[0], "job", run_ms=RUN_MS)
    await asyncio.sleep(0.1)
    world.cut_zone(zone)
    await time_until_active(world, zone)
    await asyncio.sleep(since_cut_s)
    late = submit_late(world, entry, late_s=4.0)
    await finish([again, late])
    assert_that(world.violations, Equals([]))


@pytest.mark.parametrize("since_cut_s", [0.0, 0.5])
async def test_a_request_read_late_beside_a_stand_in_of_several_cells_runs_once(
    world: World, since_cut_s: float
):
    # Failure: the same, in a pool of several cells, whose stand-ins have told no other owner.
    zone = await open_shared_cells(world)
    entry = world.entry_in(zone)
    again = submit(world, world.owners()[0], "job", run_ms=RUN_MS)
    await asyncio.sleep(0.5)
    world.cut_zone(zone)
    await time_until_active(world, zone)
    await asyncio.sleep(since_cut_s)
    late = submit_late(world, entry, late_s=4.0)
    await finish([again, late])
    assert_that(world.violations, Equals([]))


def delete(world: World, entry: str, *, late_s: float = 0.0) -> asyncio.Task:
    """Let an entry read the DELETE of a caller, which may have been sent long before."""
    sent_since = world.loop.time() + world.suspended_s[entry] - late_s
    request = HttpRequest(
        method="DELETE", path="/q/job", headers={"host": "h"}, sent_since=sent_since
    )
    return asyncio.ensure_future(CallerListener(node=world.nodes[entry]).handle(request))


@pytest.mark.parametrize("pause_s", [0.5, 3.5])
@pytest.mark.parametrize("running", [False, True])
async def test_a_request_read_after_its_cancellation_starts_nothing(
    world: World, pause_s: float, running: bool
):
    # Failure: UNASKED. An entry stands still with a request in its socket. Its caller cancels the
    # job through another entry, which acknowledges that. The entry goes on, and its request looks
    # newer than the cancellation, since its age does not count the time in the socket.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    other = other_than(world, owner, entry)
    jobs = []
    if running:
        jobs.append(submit(world, other, "job", run_ms=RUN_MS))
        await asyncio.sleep(0.2)
    response = await delete(world, other)
    assert_that(response.status, Equals(200 if running else 410))
    cancelled_at = world.loop.time()
    await asyncio.sleep(pause_s)
    jobs.append(submit_late(world, entry, late_s=pause_s + 0.5))
    await asyncio.sleep(0.5)
    late_starts = [start for start in world.starts if start[0] > cancelled_at]
    assert_that(late_starts, Equals([]))
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.CANCELLED}))


async def test_a_late_cancellation_does_not_end_a_later_request(world: World):
    # Failure: LOST, a job ends as cancelled without cause. An entry stands still with a DELETE in
    # its socket. Its caller gets no answer, and hands the job in anew through another entry. The
    # entry goes on, and the DELETE counts from when it was read.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    other = other_than(world, owner, entry)
    await asyncio.sleep(1.0)
    again = submit(world, other, "job", run_ms=RUN_MS)
    await asyncio.sleep(1.0)
    await delete(world, entry, late_s=2.0)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


async def refuse_late(world: World, *, later_s: float, elsewhere: bool = True) -> asyncio.Task:
    """Let the refusal of a job arrive while its caller's next attempt runs; return that attempt.

    :param later_s: when the link works again, from the time at which the caller comes back.

    The link from the owner to the entry holds it up. The other direction works, so the owner does
    not count as silent.
    """
    await world.open_cells()
    owner, entry = world.owner_in("b"), world.entry_in("b")
    await occupy(world, "b")
    # The owner of the other cell sends the entry reports as long as it has a job there.
    submit(world, entry, "elsewhere", run_ms=12_000 if elsewhere else 100)
    await asyncio.sleep(2.5)
    # No task waits, so the next job stays here, but for too long.
    submit(world, owner, "busy", count=16, run_ms=2800)
    await asyncio.sleep(0.5)
    world.delayed_links.add((owner, entry))
    first = submit(world, entry, "job", run_ms=RUN_MS, timeout_ms=TIMEOUT_MS)
    await finish([first])
    assert_that(verdicts([first]), Equals({Verdict.UNKNOWN}))
    world.loop.call_later(RETRANSMIT_S + later_s, world.deliver_late)
    await asyncio.sleep(RETRANSMIT_S)
    return submit(world, entry, "job", run_ms=RUN_MS, timeout_ms=10_000)


@pytest.mark.parametrize("later_s", [-0.4, -0.3, -0.2, -0.1, 0.0, 0.1])
async def test_a_late_refusal_does_not_send_a_later_submission_elsewhere(
    world: World, later_s: float
):
    # Failure: two concurrent runs of one task. The entry takes the late refusal for the answer to
    # the caller's next attempt, which runs at the same owner, and sends that to another cell.
    again = await refuse_late(world, later_s=later_s)
    await finish([again])
    await asyncio.sleep(1.0)
    assert_that(world.violations, Equals([]))


@pytest.mark.parametrize("later_s", [0.0, 0.5])
async def test_a_late_refusal_does_not_answer_a_later_submission(world: World, later_s: float):
    # Failure: REFUSED in part, 503 for an attempt whose tasks run. As above, but the entry
    # has no present report of another cell.
    again = await refuse_late(world, later_s=later_s, elsewhere=False)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("since_election_s", [0.0, 0.1, 0.2, 0.4])
async def test_a_request_read_late_after_the_loss_of_the_owner_runs_once(
    world: World, since_election_s: float
):
    # Failure: two concurrent runs of one task. The caller of a request that was not read has come
    # back to another entry. The owner and that entry are lost, and a worker that runs the job does
    # not reach the next owner; its lease lasts. The entry that stood still goes on, and what it
    # submits to the next owner does not count as possibly started.
    await world.open()
    owner = world.owners()[0]
    back = other_than(world, owner)
    entry = other_than(world, owner, back)
    submit(world, back, "job", count=1, run_ms=RUN_MS)
    await asyncio.sleep(0.5)
    (worker,) = [w.info.id for w in world.workers.values() if w.runs]
    for name in world.nodes:
        if name != owner:
            world.cut(name, worker)
    world.kill_node(owner)
    world.kill_node(back)
    async with asyncio.timeout(3):
        while not world.owners():
            await asyncio.sleep(0.005)
    await asyncio.sleep(since_election_s)
    late = submit_late(world, entry, late_s=3.0, count=1)
    await asyncio.sleep(2.5)
    late.cancel()
    assert_that(world.violations, Equals([]))


async def test_a_cancellation_that_is_held_up_ends_the_request_before_it(world: World):
    # Failure: UNASKED, the tasks of a cancelled job run on. The age of a cancellation that is held
    # up on its way to another cell is bounded by a reading of the owner's clock that is 4.5 s old,
    # which is 2% too much, so that it looks older than the request that it is meant for.
    await world.open_cells()
    entry, other, owner = world.entry_in("a"), world.entry_in("b"), world.owner_in("b")
    await delete(world, entry)
    await asyncio.sleep(4.5)
    world.delayed_links.add((entry, owner))
    job = submit(world, other, "job", run_ms=8000)
    await asyncio.sleep(0.05)
    response = await delete(world, entry)
    assert_that(response.status, Equals(410))
    await asyncio.sleep(3.0)
    world.deliver_late()
    await asyncio.sleep(1.0)
    assert_that(runs_of(world, "job"), Equals([]))
    await finish([job])


async def test_a_late_answer_to_a_cancelled_attempt_does_not_end_a_later_one(world: World):
    # Failure: a job is shown as cancelled and runs on, with nobody waiting for it. The owner's
    # answer to a cancellation is held up, and is taken for that to the caller's next attempt.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    other = other_than(world, owner, entry)
    first = submit(world, entry, "job", run_ms=RUN_MS, timeout_ms=TIMEOUT_MS)
    await asyncio.sleep(0.5)
    world.delayed_links.add((owner, entry))
    await asyncio.sleep(0.3)
    await delete(world, other)
    await finish([first])
    await asyncio.sleep(RETRANSMIT_S)
    again = submit(world, entry, "job", run_ms=RUN_MS)
    await asyncio.sleep(0.1)
    world.deliver_late()
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


def make_shares(vm: str, clock: ManualClock) -> Shares:
    return Shares(vm=vm, entries=lambda: ["a", "b"], demand=lambda pool: False, clock=clock)


def test_a_lending_that_is_held_up_gives_no_slot_that_its_lender_uses():
    # Failure: two entries use one slot of a worker. A heartbeat with a lending is held up for 3 s.
    # The lender counts its slots back after 2 s without an answer, and the borrower counts the
    # lending from its arrival.
    clock = ManualClock()
    lender, borrower = make_shares("a", clock), make_shares("b", clock)
    at_lender, at_borrower = SlotView("w1", 8), SlotView("w1", 8)
    lender.note_use("b", seen=0, used_by_worker={})
    held_up = lender.offer("b", [at_lender])
    clock.now += 3.0
    borrower.take_offer("a", held_up)
    used = lender.allowed(at_lender) + borrower.allowed(at_borrower)
    assert_that(used, LessThan(9))


@pytest.mark.parametrize("later_s", [0.0, 0.01])
async def test_a_request_that_is_read_behind_its_cancellation_starts_nothing(
    world: World, later_s: float
):
    # Failure: UNASKED. An entry stands still with a request and its DELETE in two sockets, of which
    # it reads that of the DELETE first, for instance since the other connection is new. It
    # acknowledges the DELETE, and starts the job.
    await world.open()
    entry = other_than(world, world.owners()[0])
    response = await delete(world, entry, late_s=2.0)
    assert_that(response.status, Equals(410))
    await asyncio.sleep(later_s)
    job = submit_late(world, entry, late_s=2.5)
    await asyncio.sleep(1.0)
    assert_that(runs_of(world, "job"), Equals([]))
    await finish([job])
    assert_that(world.starts, Equals([]))


@pytest.mark.parametrize("since_cut_s", [1.5, 2.6, 3.0])
async def test_a_request_read_late_beside_the_owner_runs_once(world: World, since_cut_s: float):
    # Failure: the same, the other way round. The caller has come back to an entry of the domain
    # that is cut off next, whose stand-in starts the job; the owner has ended it. The entry that
    # stood still is on the owner's side.
    await world.open()
    zone = zone_without_owner(world)
    owner = world.owners()[0]
    entry = other_than(world, owner, *[name for name in world.nodes if name[2] == zone])
    again = submit(world, world.entry_in(zone), "job", run_ms=RUN_MS)
    await asyncio.sleep(0.1)
    world.cut_zone(zone)
    await asyncio.sleep(since_cut_s)
    late = submit_late(world, entry, late_s=since_cut_s + 1.5)
    await finish([again, late])
    assert_that(world.violations, Equals([]))
