"""What an entry accepts, refuses and remembers of tasks that it runs for others."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from msgspec import Raw
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.test_ownership_property import ManualClock
from zincwell.core import _guests
from zincwell.core._follow import NEVER
from zincwell.core._guests import Guests
from zincwell.core._jobs import Job, make_answer
from zincwell.models import MAX_DEADLINE_MS
from zincwell.ports import EventKind, Start, WorkerEvent
from zincwell.settings import TimingSettings

POOL = "braille"
ROOM = 12


class FakeDispatcher:
    """Takes jobs and never starts them."""

    def __init__(self) -> None:
        queue = SimpleNamespace(size=0, size_by_tenant={})
        self.pool = SimpleNamespace(
            queue=queue,
            own_waited_at=NEVER,
            rules=SimpleNamespace(spill=True),
            room=lambda: ROOM,
            capacity=lambda: ROOM,
        )
        self.pool_by_name = {POOL: self.pool}
        self.jobs: list[Job] = []

    def pool_of(self, _: str) -> SimpleNamespace:
        return self.pool

    def run(self, job: Job) -> None:
        self.jobs.append(job)

    def give_up(self, job: Job, reason: str) -> None:
        if not job.is_answered:
            job.answer.set_result(make_answer(job, reason=reason))


class Lender:
    """Guests of one entry under a clock moved by hand."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.dispatcher = FakeDispatcher()
        self.is_draining = False
        self.guests = Guests(
            dispatcher=self.dispatcher,
            clock=self.clock,
            timing=TimingSettings(),
            is_draining=lambda: self.is_draining,
            observe_waste=lambda _: None,
        )

    def lease(self, entry: str = "owner") -> str:
        return self.guests.lease(pool=POOL, entry=entry, ttl_s=0.8).lease

    async def start(self, lease: str, task_id: str = "k@t#0.1") -> WorkerEvent:
        """Start one task and return the first thing said of it."""
        start = Start(id=task_id, service="transcriber", payload=Raw(b"{}"))
        events = self.guests.start(pool=POOL, entry="owner", lease=lease, tasks=[start])
        return await anext(events)

    async def watch(self, task_id: str = "k@t#0.1") -> list[WorkerEvent]:
        return [event async for event in self.guests.watch(ids=[task_id], fence=True)]


@pytest.fixture
def lender() -> Lender:
    return Lender()


async def test_start_that_lay_in_a_socket_past_its_lease_is_refused(lender: Lender):
    """A start that arrives after its lease has lapsed is not run.

    Symptom: a page that the owner has given up on is embossed after all. Sequence: the lender
    is paused with the start in its socket, and wakes. Cause: it does not notice the time.
    """
    lease = lender.lease()
    lender.clock.now += 1.0

    event = await lender.start(lease)

    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "lease")))
    assert_that(lender.dispatcher.jobs, Equals([]))


async def test_start_that_arrives_after_its_fence_is_refused(lender: Lender):
    """A start that is overtaken by the watch that fenced it is not run.

    Symptom: a double start after a broken connection. Sequence: the start is held up; the
    owner asks on a new connection, is told "never seen" and starts the task at home; the
    start arrives. Cause: what was denied once has to be denied for good.
    """
    lease = lender.lease()

    watched = await lender.watch()
    event = await lender.start(lease)

    assert_that([event.kind for event in watched], Equals([EventKind.FENCED]))
    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "seen")))


async def test_refused_guest_is_remembered_as_refused(lender: Lender):
    """An owner that missed a refusal is told the same when it asks again."""
    lender.dispatcher.run = lambda job: lender.dispatcher.give_up(job, "full")

    event = await lender.start(lender.lease())
    watched = await lender.watch()

    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "full")))
    assert_that([event.kind for event in watched], Equals([EventKind.REFUSED]))


async def test_id_is_remembered_past_every_deadline(lender: Lender):
    """An id is forgotten only when its owner can't act upon it any more.

    Symptom: a double start long after a cut. Sequence: a guest ends; the lender forgets its id;
    the owner, cut off until now, asks about it and is told "never seen". Cause: forgetting
    makes the fence untrue.
    """
    await lender.watch()
    lender.clock.now += MAX_DEADLINE_MS / 1000
    lender.guests.forget_old()
    refused = await lender.start(lender.lease())
    lender.clock.now += MAX_DEADLINE_MS / 1000
    lender.guests.forget_old()

    assert_that(refused.reason, Equals("seen"))
    assert_that(lender.guests._guest_by_id, Equals({}))


async def test_full_table_neither_accepts_nor_fences(lender: Lender, monkeypatch):
    """When no more ids can be remembered, nothing is said that would have to be remembered.

    Symptom: a double start under a flood of guests. Cause: the bound on memory is kept by
    forgetting ids whose owners may still ask.
    """
    monkeypatch.setattr(_guests, "MAX_REMEMBERED", 1)
    await lender.watch("other@t#0.1")

    event = await lender.start(lender.lease())
    watched = await lender.watch("third@t#0.1")

    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "full")))
    assert_that(watched, Equals([]))


async def test_slots_are_promised_once(lender: Lender):
    """Two entries that ask at the same time are not promised the same slots.

    Symptom: a refused start for each second guest. Cause: each is told of all idle slots.
    """
    first = lender.guests.lease(pool=POOL, entry="one", ttl_s=0.8)
    second = lender.guests.lease(pool=POOL, entry="two", ttl_s=0.8)
    lender.clock.now += 1.0
    third = lender.guests.lease(pool=POOL, entry="two", ttl_s=0.8)

    assert_that((first.slots, second.slots, third.slots), Equals((9, 0, 9)))


@pytest.mark.parametrize("why", ["draining", "own queue", "setting off"])
async def test_nothing_is_promised(lender: Lender, why: str):
    """A lender that leaves, has work of its own waiting or must not lend promises no slot."""
    lender.is_draining = why == "draining"
    lender.dispatcher.pool.queue.size = 3 if why == "own queue" else 0
    lender.dispatcher.pool.rules.spill = why != "setting off"

    lease = lender.guests.lease(pool=POOL, entry="owner", ttl_s=0.8)

    assert_that((lease.slots, lease.leaving), Equals((0, why == "draining")))
