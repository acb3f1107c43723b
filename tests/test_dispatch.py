"""Handling of worker events by the dispatcher when some of them are lost."""

from __future__ import annotations

from collections.abc import AsyncIterator

from msgspec import Raw
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.test_ownership_property import ManualClock
from zincwell.core._dispatch import Dispatcher
from zincwell.core._jobs import Job
from zincwell.core._quotas import QuotaPeers
from zincwell.core._slot_shares import Shares
from zincwell.document import parse_document
from zincwell.models import Outcome, TaskSpec
from zincwell.ports import EventKind, Start, Vm, WorkerEvent, WorkerLease, WorkerTransport
from zincwell.settings import TimingSettings

DOCUMENT = {
    "format": 1,
    "domains": ["kariakoo"],
    "services": {"transcriber": {"pool": "braille", "run_ms": 250}},
    "pools": {"braille": {}},
}


class SilentStartTransport(WorkerTransport):
    """A worker from which only the final event of each task arrives."""

    async def lease(self, *, entry: str, ttl_s: float) -> WorkerLease:
        return WorkerLease(lease="one", ttl_s=ttl_s, slots=8)

    async def start(
        self, *, entry: str, lease: str, tasks: list[Start]
    ) -> AsyncIterator[WorkerEvent]:
        for task in tasks:
            yield WorkerEvent(kind=EventKind.COMPLETED, id=task.id, output=Raw(b"1"), length=1)

    async def watch(self, *, ids: list[str], fence: bool, run: str) -> AsyncIterator[WorkerEvent]:
        raise NotImplementedError
        yield

    async def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        return []

    async def close(self) -> None:
        return


async def test_run_time_of_a_task_whose_start_was_not_heard_of():
    """An entry with an empty queue must not refuse nearly all work after a lost connection.

    A stream breaks before the worker's acceptance arrives. When the owner reconnects, the task
    is final, so only its final event arrives. Measured from 0, the time at which the VM was
    started, the run time would raise the expected one, and admission would see an overload.
    """
    clock = ManualClock()
    shares = Shares(vm="a", entries=lambda: ["a"], demand=lambda _: False, clock=clock)
    dispatcher = Dispatcher(
        entry="a:1",
        domain="kariakoo",
        clock=clock,
        timing=TimingSettings(),
        shares=shares,
        quota_peers=lambda: QuotaPeers(domains=1, peers=0, loads=[]),
        open_worker=lambda _: SilentStartTransport(),
        on_backlog=lambda: None,
        observe=lambda _: None,
        observe_waste=lambda _: None,
    )
    dispatcher.configure(parse_document(DOCUMENT))
    worker = Vm(vm="w", role="worker", domain="kariakoo", url="", pool="braille", slots=8)
    dispatcher.update_workers([worker])

    for number in range(8):
        job = Job(
            key=f"{number}@school",
            tenant="school",
            service="transcriber",
            pool="braille",
            urgency="",
            created_at=clock.wall(),
            deadline_at=clock.now + 60,
            arrived_at=clock.now,
        )
        job.add_tasks([TaskSpec(payload=Raw(b"{}"))], now=clock.now)
        dispatcher.run(job)
        answer = await job.answer
        assert_that(answer.outcome, Equals(Outcome.COMPLETED))

    assert_that(dispatcher.run_times.expected_s("transcriber"), Equals(0.25))
    await dispatcher.close()
