"""Loops that run as long as their process, and what becomes of an exception in them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Is, LessThan

from tests.dispatch_world import FakeStore, World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell._supervision import HEALTHY_AFTER_S, MAX_RESTART_PAUSE_S, LoopSupervisor, supervisor
from zincwell.dispatch._types import Verdict
from zincwell.dispatch.ports import Topic

pytestmark = pytest.mark.looptime


class UnforeseenError(Exception):
    """An exception that nobody foresaw."""


def fail_times(count: int, call: Callable) -> Callable:
    """Return a function that fails a number of times before it does what another one does."""
    left = [count]

    def fail_or_call(*args, **kwargs):
        if left[0]:
            left[0] -= 1
            raise UnforeseenError
        return call(*args, **kwargs)

    return fail_or_call


async def test_a_loop_that_fails_is_started_again_after_a_growing_pause():
    # Guards against a loop that is gone after one exception, or burns the processor by failing.
    starts: list[float] = []
    supervisor = LoopSupervisor()

    async def fail() -> None:
        starts.append(asyncio.get_running_loop().time())
        raise UnforeseenError

    task = asyncio.ensure_future(supervisor.keep_running(fail, name="loop"))
    await asyncio.sleep(0.2)
    assert_that([round(at, 2) for at in starts], Equals([0.0, 0.05, 0.15]))
    await asyncio.sleep(60)
    assert_that(starts[-1] - starts[-2], Equals(MAX_RESTART_PAUSE_S))
    assert_that(supervisor.failures_by_loop["loop"], Equals(len(starts)))
    task.cancel()


async def test_a_loop_whose_repair_fails_is_started_again():
    # Guards against a loop that ends in the code that was to keep it running.
    supervisor = LoopSupervisor()
    starts = 0

    async def fail() -> None:
        nonlocal starts
        starts += 1
        raise UnforeseenError

    def fail_to_repair() -> None:
        raise UnforeseenError

    run = supervisor.keep_running(fail, name="loop", on_failure=fail_to_repair)
    task = asyncio.ensure_future(run)
    await asyncio.sleep(0.2)
    assert_that(starts, Equals(3))
    task.cancel()


@pytest.mark.parametrize("essential", [True, False])
async def test_a_process_is_not_ready_while_an_essential_loop_keeps_failing(essential: bool):
    # Guards against callers that are sent to a process which no longer does its work, and against
    # a whole process that is taken out of use by the data of one worker.
    supervisor = LoopSupervisor()
    broken = True

    async def run() -> None:
        if broken:
            raise UnforeseenError
        await asyncio.Event().wait()

    task = asyncio.ensure_future(supervisor.keep_running(run, name="loop", essential=essential))
    await asyncio.sleep(0.06)
    assert_that(supervisor.has_failing_loops(), Is(False))
    await asyncio.sleep(1)
    assert_that(supervisor.has_failing_loops(), Is(essential))
    broken = False
    await asyncio.sleep(HEALTHY_AFTER_S + 1)
    assert_that(supervisor.has_failing_loops(), Is(False))
    task.cancel()


async def test_a_loop_that_returns_or_is_cancelled_is_over():
    # Guards against a loop of a closed session that comes back.
    supervisor = LoopSupervisor()
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1

    await supervisor.keep_running(run, name="loop")
    task = asyncio.ensure_future(supervisor.keep_running(asyncio.Event().wait, name="loop"))
    await asyncio.sleep(1)
    task.cancel()
    await asyncio.sleep(1)
    assert_that((runs, task.cancelled()), Equals((1, True)))


# The parts of an entry with a loop, each with a method that the loop calls.
OWNER_STEPS = {
    "owner": lambda node: (node._owner._unservable_jobs, "end_due"),
    "heartbeats": lambda node: (node, "_send_heartbeats"),
    "election": lambda node: (node.election, "_maintain_ownership"),
    "worker_list_reading": lambda node: (node, "_update_worker_list_reading"),
    "follow_workers": lambda node: (node._worker_list._feed, "_on_change"),
    "follow_entries": lambda node: (node._entries_feed, "_on_change"),
    "follow_claims": lambda node: (node._claims_feed, "_on_change"),
    "callers": lambda node: (node.pending_jobs, "_reroute_from_silent_owners"),
    "worker": lambda node: (
        next(iter(node._owner._workers.sessions_by_id.values())),
        "_apply_reply",
    ),
    "peer": lambda node: (node, "on_receipt"),
    "layout": lambda node: (node._layouts, "is_change_due"),
    "liveness": lambda node: (node._store, "append"),
}


@pytest.mark.parametrize("loop", OWNER_STEPS)
@pytest.mark.parametrize("failures", [1, 4])
async def test_an_entry_serves_on_after_an_exception_in_any_loop(
    faulty_world: World, monkeypatch: pytest.MonkeyPatch, loop: str, failures: int
):
    # Guards against an owner that goes on for the rest of its term without one of its loops.
    world = faulty_world
    await world.open(zones="a", entries=3)
    owner = world.nodes[world.owners()[0]]
    before = supervisor.failures_by_loop[loop]
    target, name = OWNER_STEPS[loop](owner)
    monkeypatch.setattr(target, name, fail_times(failures, getattr(target, name)))
    # Something to process for the loops that wait for changes in the store.
    world.list_worker(world.workers["w-a1"].info)
    world._append(Topic.CLAIMS, "stray", b"{}")
    world.add_node("e-a9", "a")
    await asyncio.sleep(8)
    jobs = [submit(world, name, f"job-{name}", count=2) for name in world.nodes]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(supervisor.failures_by_loop[loop] - before, Equals(failures))
    metric = f'zincwell_loop_failures_total{{loop="{loop}"}}'
    assert_that(owner.render_metrics(), Contains(metric))


async def test_an_entry_with_a_loop_that_keeps_failing_is_not_ready(
    faulty_world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against an entry that answers 200 on readiness and refuses every job.
    world = faulty_world
    await world.open(zones="a", entries=2)
    entry = world.nodes[other_than(world, *world.owners())]
    assert_that(entry.is_ready(), Is(True))
    with monkeypatch.context() as patch:
        patch.setattr(entry._configuration_feed, "_on_change", fail_times(100, lambda keys: None))
        world.publish(2)
        await asyncio.sleep(2)
        assert_that(entry.is_ready(), Is(False))
    await asyncio.sleep(MAX_RESTART_PAUSE_S + HEALTHY_AFTER_S + 1)
    assert_that(entry.is_ready(), Is(True))
    assert_that(entry.configuration.version, Equals(2))


async def test_a_worker_whose_answers_break_the_poll_costs_only_its_own_runs(
    faulty_world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a session that is dead while its worker still counts as usable.
    world = faulty_world
    await world.open(zones="a", entries=2, workers=3)
    owner = world.nodes[world.owners()[0]]
    session = owner._owner._workers.sessions_by_id["w-a1"]
    monkeypatch.setattr(session, "_apply_reply", fail_times(1000, session._apply_reply))
    await asyncio.sleep(1)
    jobs = [submit(world, owner.me.name, f"job-{n}", count=2) for n in range(4)]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that({worker for _, worker, _, _ in world.starts}, Equals({"w-a2", "w-a3"}))
    assert_that(owner.is_ready(), Is(True))


async def test_an_unforeseen_error_of_a_start_does_not_occupy_the_worker(
    faulty_world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a run that is neither answered nor given up for the rest of the term.
    world = faulty_world
    await world.open(zones="a", entries=2, workers=1)
    owner = world.nodes[world.owners()[0]]
    client = owner._worker_client
    monkeypatch.setattr(client, "start", fail_times(2, client.start))
    jobs = [submit(world, owner.me.name, f"job-{n}", count=2) for n in range(3)]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(6))


async def test_a_store_read_that_fails_in_an_unforeseen_way_is_repeated(
    faulty_world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against a list of workers that gets too old to be used, for good.
    world = faulty_world
    await world.open(zones="a", entries=2)
    monkeypatch.setattr(FakeStore, "newest", fail_times(6, FakeStore.newest))
    monkeypatch.setattr(FakeStore, "changes", fail_times(6, FakeStore.changes))
    await asyncio.sleep(8)
    owner = world.nodes[world.owners()[0]]
    assert_that(owner.worker_list_age_s(), LessThan(1.0))
    assert_that(sum(supervisor.failures_by_loop.values()), GreaterThan(0))
