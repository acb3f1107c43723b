"""Messages between entries that arrive late, or when nobody wants them any more."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from tests.dispatch_world import LATENCY_S, World, make_job
from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._domains import DomainMonitor
from zincwell.dispatch._messages import CellReport, Envelope, OwnerHeartbeat, Ping, Receipt
from zincwell.dispatch._peers import LinkObserver, PeerLink
from zincwell.dispatch._types import EntryInfo, Verdict
from zincwell.dispatch.ports import PeerCallError, PeerClient

pytestmark = pytest.mark.looptime

ME = EntryInfo(name="me", address="me", zone="a", incarnation="me-0")
OTHER = EntryInfo(name="other", address="other", zone="b", incarnation="other-0")


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
    world.delayed_links.add((entry, owner))
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
    world.delayed_links.add((entry, owner))
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


class SilentClient(PeerClient):
    """An entry that gives no answer for a while; notes what reached it."""

    def __init__(self, *, silent_s: float) -> None:
        self.envelopes: list[Envelope] = []
        self._loop = asyncio.get_running_loop()
        self._answers_at = self._loop.time() + silent_s

    async def deliver(self, address, envelope, *, timeout_s):
        if self._loop.time() < self._answers_at:
            await asyncio.sleep(timeout_s)
            raise PeerCallError("no answer")
        self.envelopes.append(envelope)
        return Receipt(receiver=OTHER)

    async def fetch_configuration(self, address, *, timeout_s):
        raise NotImplementedError


class QuietObserver(LinkObserver):
    """Has nothing to say."""

    def on_receipt(self, link, receipt):
        pass

    def own_fence(self):
        return 0

    def configuration_version(self):
        return 0

    def evacuations_known(self):
        return None


async def test_messages_that_wait_for_their_delivery_grow_older():
    # Guards against what was so seconds ago and is taken for what is so now.
    client = SilentClient(silent_s=3.0)
    link = PeerLink(
        me=ME,
        peer=OTHER,
        client=client,
        observer=QuietObserver(),
        sequences=itertools.count(1),
        clock=asyncio.get_running_loop().time,
    )
    link.send(Ping())
    await asyncio.sleep(1.0)
    link.send(Ping())
    await asyncio.sleep(4.0)
    link.send(Ping())
    await asyncio.sleep(0.1)
    link.close()
    waited_s = [round(envelope.waited_s) for envelope in client.envelopes]
    assert_that(waited_s, Equals([3, 2, 0]))


async def test_a_heartbeat_that_waited_says_nothing_of_the_domains_since():
    # Guards against a successor that takes all that runs for seen, by an owner's word from before
    # a cut, and starts again what runs in the domain that was cut off.
    watch = DomainMonitor(me=ME)
    watch.note_heartbeat(OwnerHeartbeat(fence=1, owner=OTHER, complete_s=100.0), delay_s=5.0)
    watch.note_elected(was_owner=False)
    assert_that(watch.complete_s(), Equals(0.0))


async def test_a_report_that_waited_does_not_replace_a_newer_one():
    # Guards against jobs that are sent to a cell by how it stood seconds ago.
    cell_directory = CellDirectory(me=ME)
    cell_directory.note_owner("cell", OTHER, 1)
    cell_directory.note_report(CellReport(cell="cell", fence=1, pending={"r": 1}))
    cell_directory.note_report(CellReport(cell="cell", fence=1, pending={"r": 9}), delay_s=2.0)
    assert_that(cell_directory.pending_by_route(), Equals({"r": 1}))
