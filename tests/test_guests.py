"""Spilled tasks at the lender: which are accepted, refused and fenced, and for how long."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from msgspec import Raw
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.test_ownership_property import ManualClock
from zincwell.core import _spilled_tasks
from zincwell.core._follow import NEVER
from zincwell.core._jobs import Job, make_answer
from zincwell.core._spilled_tasks import SpilledTaskRunner
from zincwell.models import MAX_DEADLINE_MS
from zincwell.ports import EventKind, Start, WorkerEvent
from zincwell.settings import TimingSettings

POOL = "braille"
ROOM = 12


class FakeDispatcher:
    """Records jobs and never starts them."""

    def __init__(self) -> None:
        queue = SimpleNamespace(size=0, size_by_tenant={})
        self.pool = SimpleNamespace(
            queue=queue,
            own_backlog_at=NEVER,
            rules=SimpleNamespace(spill=True),
            free_slots=lambda: ROOM,
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
    """Spilled tasks of one entry, with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.dispatcher = FakeDispatcher()
        self.is_draining = False
        self.spilled_tasks = SpilledTaskRunner(
            dispatcher=self.dispatcher,
            clock=self.clock,
            timing=TimingSettings(),
            is_draining=lambda: self.is_draining,
            observe_waste=lambda _: None,
        )

    def lease(self, entry: str = "owner") -> str:
        return self.spilled_tasks.lease(pool=POOL, entry=entry, ttl_s=0.8).lease

    async def start(self, lease: str, task_id: str = "k@t#0.1") -> WorkerEvent:
        """Start one task and return its first event."""
        start = Start(id=task_id, service="transcriber", payload=Raw(b"{}"))
        events = self.spilled_tasks.start(pool=POOL, entry="owner", lease=lease, tasks=[start])
        return await anext(events)

    async def watch(self, task_id: str = "k@t#0.1") -> list[WorkerEvent]:
        return [event async for event in self.spilled_tasks.watch(ids=[task_id], fence=True)]


@pytest.fixture
def lender() -> Lender:
    return Lender()


async def test_start_that_arrives_after_its_lease_expired_is_refused(lender: Lender):
    """A start that arrives after its lease has expired is refused.

    The lender's process is paused while the start waits in its socket buffer. When it resumes,
    the owner has already stopped waiting for the task; a lender that does not compare the time
    with the lease would run it all the same.
    """
    lease = lender.lease()
    lender.clock.now += 1.0

    event = await lender.start(lease)

    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "lease")))
    assert_that(lender.dispatcher.jobs, Equals([]))


async def test_start_that_arrives_after_its_fence_is_refused(lender: Lender):
    """A start that arrives after a watch has fenced its id is refused.

    The start is delayed. The owner watches the task on a new connection, is told "never seen"
    and starts the task in its own domain; then the delayed start arrives. Unless the fence is
    permanent, the task is started twice.
    """
    lease = lender.lease()

    watched = await lender.watch()
    event = await lender.start(lease)

    assert_that([event.kind for event in watched], Equals([EventKind.FENCED]))
    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "seen")))


async def test_watch_of_a_refused_task_repeats_the_refusal(lender: Lender):
    """An owner that missed a refusal receives the same refusal when it watches the task."""
    lender.dispatcher.run = lambda job: lender.dispatcher.give_up(job, "full")

    event = await lender.start(lender.lease())
    watched = await lender.watch()

    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "full")))
    assert_that([event.kind for event in watched], Equals([EventKind.REFUSED]))


async def test_id_is_remembered_past_every_deadline(lender: Lender):
    """An id is retained until its owner can no longer act on an answer about it.

    If the lender drops the id of a finished task too early, an owner that was partitioned until
    then is told "never seen" and starts the task a second time.
    """
    await lender.watch()
    lender.clock.now += MAX_DEADLINE_MS / 1000
    lender.spilled_tasks.expire_old()
    refused = await lender.start(lender.lease())
    lender.clock.now += MAX_DEADLINE_MS / 1000
    lender.spilled_tasks.expire_old()

    assert_that(refused.reason, Equals("seen"))
    assert_that(lender.spilled_tasks._spilled_by_id, Equals({}))


async def test_full_table_neither_accepts_nor_fences(lender: Lender, monkeypatch):
    """A lender with a full table of ids neither accepts nor fences further ids.

    Keeping the memory bound by evicting ids whose owners may still watch them would let a task
    be started twice when many tasks are spilled at once.
    """
    monkeypatch.setattr(_spilled_tasks, "MAX_KNOWN_IDS", 1)
    await lender.watch("other@t#0.1")

    event = await lender.start(lender.lease())
    watched = await lender.watch("third@t#0.1")

    assert_that((event.kind, event.reason), Equals((EventKind.REFUSED, "full")))
    assert_that(watched, Equals([]))


async def test_slots_are_promised_once(lender: Lender):
    """Two entries that ask for a lease at the same time are not promised the same slots.

    If each were granted all idle slots, every second start would be refused.
    """
    first = lender.spilled_tasks.lease(pool=POOL, entry="one", ttl_s=0.8)
    second = lender.spilled_tasks.lease(pool=POOL, entry="two", ttl_s=0.8)
    lender.clock.now += 1.0
    third = lender.spilled_tasks.lease(pool=POOL, entry="two", ttl_s=0.8)

    assert_that((first.slots, second.slots, third.slots), Equals((9, 0, 9)))


@pytest.mark.parametrize("why", ["draining", "own queue", "setting off"])
async def test_nothing_is_promised(lender: Lender, why: str):
    """A lender that drains, has a backlog of its own or has spill turned off promises no slot."""
    lender.is_draining = why == "draining"
    lender.dispatcher.pool.queue.size = 3 if why == "own queue" else 0
    lender.dispatcher.pool.rules.spill = why != "setting off"

    lease = lender.spilled_tasks.lease(pool=POOL, entry="owner", ttl_s=0.8)

    assert_that((lease.slots, lease.leaving), Equals((0, why == "draining")))
