"""Two runs of one task within one term of one owner, at workers whose lists are never behind."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from tests.dispatch_world import FakeWorkerClient, World, make_job
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch._jobs import Job, TaskState
from zincwell.dispatch._types import Verdict
from zincwell.dispatch.ports import Topic, WorkerCallError

pytestmark = pytest.mark.looptime

# Longer than any lease lasts.
AWAY_S = 2.5
# A run that ends within the lease of its start order, and one that lapses with it.
SHORT_MS, LONG_MS = 300, 1000


class FragileLink:
    """The way to a worker. It refuses calls while it is down, and may break after a start."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, worker_id: str) -> None:
        self.down = False
        self.breaks_at_start = False
        self._worker_id = worker_id
        for kind in ("start", "stop", "hold"):
            call = getattr(FakeWorkerClient, kind)
            monkeypatch.setattr(FakeWorkerClient, kind, self._carry(call))

    def _carry(self, call):
        async def carried(client, worker, *arguments, **options):
            if worker.id != self._worker_id:
                return await call(client, worker, *arguments, **options)
            if self.down:
                raise WorkerCallError("connection refused")
            reply = await call(client, worker, *arguments, **options)
            self.down |= self.breaks_at_start and call.__name__ == "start"
            if self.down:
                raise WorkerCallError("connection reset")
            return reply

        return carried


async def return_with_ends(world: World, link: FragileLink, *, unheard_by: str) -> None:
    """Let w-a1 answer again while an entry can't be told of the ends that it lists.

    The owner's poll of a silent worker renews no lease, and its next poll waits for that entry.
    """
    owner = world.owners()[0]
    session = world.nodes[owner]._owner._workers.sessions_by_id["w-a1"]
    world.cut(owner, unheard_by)
    link.down = False
    while session.silent:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("run_ms", [SHORT_MS, LONG_MS])
async def test_a_start_without_an_answer_holds_a_lease(
    world: World, monkeypatch: pytest.MonkeyPatch, run_ms: int
):
    # Guards against a second run beside one whose only lease is that of its start order.
    link = FragileLink(monkeypatch, worker_id="w-a1")
    await world.open(zones="a", entries=4, workers=2)
    owner = world.owners()[0]
    first, other = [name for name in world.nodes if name != owner][:2]
    sessions = world.nodes[owner]._owner._workers.sessions_by_id
    sessions["w-a2"].pause_until = world.loop.time() + 0.02
    jobs = [submit(world, first, "ended", count=2, run_ms=SHORT_MS, objective_ms=6000)]
    await asyncio.sleep(0.03)
    jobs.append(submit(world, other, "occupying", count=2, run_ms=2950, objective_ms=6000))
    await asyncio.sleep(0.07)
    link.down = True
    await asyncio.sleep(AWAY_S)
    await return_with_ends(world, link, unheard_by=first)
    link.breaks_at_start = True
    jobs.append(submit(world, other, "job", count=2, run_ms=run_ms, objective_ms=6000))
    await asyncio.sleep(0.1)
    world.heal()
    await asyncio.sleep(0.7)
    link.down = link.breaks_at_start = False
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.topics[Topic.CLAIMS], HasLength(1))


async def test_a_done_task_whose_run_is_found_is_not_counted_twice():
    # Guards against a job that ends as succeeded before all of its tasks are done: a run of a task
    # that its entry knows to be done is still stopping when the job is sent again.
    job = Job(
        request=make_job("job", count=2), arrived_at=0.0, possibly_started=False, accepted_at=0.0
    )
    task = job.tasks[0][0]
    job.mark_done(task)
    job.mark_running(task)
    job.mark_done(task)
    assert_that(task.state, Equals(TaskState.DONE))
    assert_that(job.is_complete(), Equals(False))
