"""Tasks of cancelled jobs end within 4 s, whichever machine, link or message is lost."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from tests.dispatch_world import FakeWorker, World, make_job
from tests.pool_jobs import finish, other_than, submit, verdicts
from tests.test_pool_faults import USUAL_PAUSE_S, FaultSeries, random_seeds
from zincwell.dispatch import _cancelled_jobs
from zincwell.dispatch._cancelled_jobs import RETENTION_S, CancelledJob, CancelledJobs
from zincwell.dispatch._messages import Cancel
from zincwell.dispatch._peers import PeerLink
from zincwell.dispatch._types import TaskId, Verdict
from zincwell.dispatch.ports import PeerCallError, StartOrder

# A run that is still active at the end of a test was not stopped.
LONG_MS = 30_000
LIMIT_S = 4.0


def runs_of(world: World, job_id: str) -> list[TaskId]:
    """Return the tasks of a job that run on any worker."""
    return [task for worker in world.workers.values() for task in worker.runs if task.job == job_id]


async def time_until_stopped(world: World, job_id: str) -> float:
    """Return the time in seconds until no task of a job runs any more; infinite after 8 s."""
    began_at = world.loop.time()
    while runs_of(world, job_id):
        await asyncio.sleep(0.01)
        if world.loop.time() - began_at > 8:
            return float("inf")
    return world.loop.time() - began_at


async def submit_long(world: World, entry: str, **fields) -> asyncio.Task:
    """Submit a job with tasks that run longer than the test, and wait until they have started."""
    job = submit(world, entry, "job", run_ms=LONG_MS, **fields)
    await asyncio.sleep(0.2)
    assert_that(runs_of(world, "job"), HasLength(2))
    return job


def cancel(world: World, entry: str) -> bool:
    """Cancel the job as a caller does by DELETE."""
    return world.nodes[entry].pending_jobs.cancel("job")


def start_late(world: World, worker: FakeWorker, job_id: str) -> TaskId:
    """Let a worker execute a start order that was delayed on its way to it."""
    task = TaskId(job_id, 0, 0)
    world.run_s_by_job[job_id] = LONG_MS / 1000
    deadline_ms = worker.clock_ms() + 400
    # A worker process that has restarted knows no stop order of the time before.
    worker.highest_run_by_task.pop(task, None)
    order = StartOrder(task=task, run=1, spec="text", deadline_ms=deadline_ms, fence=worker.fence)
    worker.start(order)
    return task


def leave(world: World, entry: str) -> None:
    """Close the connection of the job's caller."""
    world.calls_by_node[world.nodes[entry].me.incarnation].pop().cancel()


async def wait_for_orphaned_run(world: World, worker_id: str) -> None:
    """Wait until the owner has seen an orphaned run on a worker."""
    sessions = world.nodes[world.owners()[0]]._owner._workers.sessions_by_id
    async with asyncio.timeout(2):
        while not sessions[worker_id].orphaned_runs:
            await asyncio.sleep(0.001)


# -- memory of cancelled jobs --------------------------------------------------------------


def make_cancelled(job_id: str, *, at: float = 0.0, cell: str = "a", by_request: bool = False):
    return CancelledJob(id=job_id, cell=cell, cancelled_at=at, by_request=by_request)


def test_cancelled_jobs_are_remembered_while_a_run_may_appear():
    jobs = CancelledJobs()
    jobs.add(make_cancelled("job", at=1.0), now=1.0)
    # Executed 12 s late, reported 0.9 s after that.
    assert_that(jobs.get("job", now=1.0 + 12.9).id, Equals("job"))
    assert_that(jobs.get("job", now=1.0 + RETENTION_S), Equals(None))
    assert_that(jobs.jobs_of_cell("a", now=1.0 + RETENTION_S), Equals([]))


def test_cancelled_jobs_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(_cancelled_jobs, "MAX_REMEMBERED_JOBS", 3)
    jobs = CancelledJobs()
    for number in range(5):
        jobs.add(make_cancelled(f"job-{number}"), now=0.0)
    assert_that(
        [job.id for job in jobs.jobs_of_cell("a", now=0.0)], Equals(["job-2", "job-3", "job-4"])
    )


def test_a_caller_that_leaves_does_not_weaken_a_cancellation_by_request():
    # Otherwise a delayed retry through another entry would open the job again.
    jobs = CancelledJobs()
    jobs.add(make_cancelled("job", by_request=True), now=0.0)
    jobs.add(make_cancelled("job", by_request=False), now=0.0)
    assert_that(jobs.get("job", now=0.0).by_request, Equals(True))


def test_only_the_owner_of_the_cell_is_told_unless_the_layout_changes():
    jobs = CancelledJobs()
    jobs.add(make_cancelled("job", cell="a"), now=0.0)
    assert_that(jobs.jobs_of_cell("b", now=0.0), Equals([]))
    jobs.note_layout_change()
    assert_that(jobs.jobs_of_cell("b", now=0.0), HasLength(1))


# -- simulated pool ------------------------------------------------------------------------


@pytest.mark.looptime
@pytest.mark.parametrize("by_request", [True, False])
async def test_a_cancellation_that_cannot_reach_the_owner(world: World, by_request: bool):
    # Failure: only the link between an entry and the owner is cut. The cancellation waits in the
    # entry's queue, and the owner renews the leases of the runs until they end by themselves.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = await submit_long(world, entry)
    world.cut(entry, owner)
    await asyncio.sleep(0.05)
    if by_request:
        cancel(world, entry)
    else:
        leave(world, entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))
    await finish([job])


@pytest.mark.looptime
async def test_a_link_that_works_in_one_direction(world: World):
    # Failure: the owner's heartbeats arrive and are acknowledged, so neither side finds the other
    # silent, but no message of the entry reaches the owner.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = await submit_long(world, entry)
    deliver = world.deliver

    async def deliver_unless_cut(address, envelope, *, timeout_s):
        if (envelope.sender.name, address) == (entry, owner):
            await asyncio.sleep(timeout_s)
            raise PeerCallError("no answer")
        return await deliver(address, envelope, timeout_s=timeout_s)

    world.deliver = deliver_unless_cut
    cancel(world, entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))
    await finish([job])


@pytest.mark.looptime
async def test_a_cancellation_through_another_entry(world: World):
    # Failure: a load balancer sends the caller's DELETE to an entry that does not track the job.
    # The entry answers that there is no such job, and the job runs on.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = await submit_long(world, entry)
    assert_that(cancel(world, other_than(world, owner, entry)), Equals(False))
    assert_that(await time_until_stopped(world, "job"), LessThan(0.1))
    await finish([job], within_s=0.1)
    assert_that(verdicts([job]), Equals({Verdict.CANCELLED}))


@pytest.mark.looptime
async def test_a_cancellation_after_the_entry_of_the_job_has_failed(world: World):
    # Failure: the entry that submitted the job is lost for good, and no other entry tracks it.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    await submit_long(world, entry)
    world.kill_node(entry)
    await asyncio.sleep(0.5)
    cancel(world, other_than(world, owner))
    assert_that(await time_until_stopped(world, "job"), LessThan(0.1))


@pytest.mark.looptime
@pytest.mark.parametrize("restarted", [False, True])
async def test_jobs_of_an_entry_that_is_lost_with_its_callers(world: World, restarted: bool):
    # Failure: an entry is lost and its callers do not retry. The owner runs their jobs to the end.
    # If the entry restarts, its new process answers the owner but does not know the jobs.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    zone = world.nodes[entry].me.zone
    await submit_long(world, entry)
    world.kill_node(entry)
    if restarted:
        await asyncio.sleep(0.2)
        world.add_node(entry, zone)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))


@pytest.mark.looptime
async def test_a_restarted_entry_does_not_keep_a_job_that_a_retry_has_left(world: World):
    # Failure: the entry restarts while a retry waits at another entry. When that caller leaves, the
    # owner still counts the old process as waiting.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    zone = world.nodes[entry].me.zone
    await submit_long(world, entry)
    retry_entry = other_than(world, owner, entry)
    submit(world, retry_entry, "job", run_ms=LONG_MS)
    await asyncio.sleep(0.1)
    world.kill_node(entry)
    world.add_node(entry, zone)
    await asyncio.sleep(4)
    leave(world, retry_entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(0.1))


@pytest.mark.looptime
async def test_a_job_goes_on_if_its_caller_finds_it_through_another_entry(world: World):
    # Failure: the owner ends the jobs of a lost entry although a caller waits for them elsewhere,
    # or at the restarted entry.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    zone = world.nodes[entry].me.zone
    first = submit(world, entry, "job", run_ms=6000)
    second = submit(world, entry, "second", run_ms=6000)
    await asyncio.sleep(0.2)
    world.kill_node(entry)
    await asyncio.sleep(0.3)
    world.add_node(entry, zone)
    await asyncio.sleep(1.0)
    again = submit(world, other_than(world, owner, entry), "job", run_ms=6000)
    second_again = submit(world, entry, "second", run_ms=6000)
    await finish([again, second_again])
    assert_that(verdicts([again, second_again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(4))
    first.cancel()
    second.cancel()


@pytest.mark.looptime
async def test_a_retry_in_another_cell_after_a_restart_of_the_entry(world: World):
    # Failure: two concurrent runs of one task. A job runs in another cell, and its entry restarts
    # at once, so that the owner there never finds it silent. The caller retries 1.3 s later in the
    # home cell.
    await world.open_cells(entries=5)
    entry = world.entry_in("b")
    world.kill_node(world.owner_in("b"))
    await asyncio.sleep(0.27)
    submit(world, entry, "job", run_ms=4000)
    await asyncio.sleep(0.5)
    assert_that({worker[2] for _, worker, _, _ in world.starts} - {"b"}, HasLength(1))
    world.kill_node(entry)
    await asyncio.sleep(0.1)
    world.add_node(entry, "b")
    await asyncio.sleep(1.2)
    again = submit(world, world.owner_in("b"), "job", run_ms=4000)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.looptime
async def test_a_cancellation_while_a_retry_waits_at_another_entry(world: World):
    # Failure: the caller has sent its job again through another entry, and its DELETE only removes
    # the first entry from those that wait for the job.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    jobs = [await submit_long(world, entry)]
    jobs.append(submit(world, other_than(world, owner, entry), "job", run_ms=LONG_MS))
    await asyncio.sleep(0.1)
    cancel(world, entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(0.1))
    await finish(jobs, within_s=0.1)
    assert_that(verdicts(jobs), Equals({Verdict.CANCELLED}))


@pytest.mark.looptime
async def test_a_caller_that_leaves_one_entry_does_not_end_its_retry(world: World):
    # Failure: a caller times out at one entry and retries at another; the closed connection must
    # not cancel the job that the retry waits for.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    submit(world, entry, "job", run_ms=2000)
    await asyncio.sleep(0.2)
    again = submit(world, other_than(world, owner, entry), "job", run_ms=2000)
    await asyncio.sleep(0.1)
    leave(world, entry)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(2))


@pytest.mark.looptime
async def test_the_owner_is_lost_with_a_cancellation(world: World):
    # Failure: the owner acknowledges a cancellation and fails before its stop orders and its
    # answers are sent. An entry where a retry waits submits the job to the next owner, which adopts
    # the runs and has never heard of the cancellation.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    jobs = [await submit_long(world, entry)]
    retry_entry = other_than(world, owner, entry)
    jobs.append(submit(world, retry_entry, "job", run_ms=LONG_MS))
    await asyncio.sleep(0.1)
    registry = world.nodes[owner]._owner.jobs
    registry._on_ended = lambda job: world.kill_node(owner)
    registry._answer = lambda *arguments: None
    cancel(world, entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))
    await finish(jobs, within_s=1)
    assert_that(verdicts(jobs), Equals({Verdict.CANCELLED}))


@pytest.mark.looptime
async def test_a_cancellation_is_sent_to_an_owner_that_was_just_replaced(world: World):
    # Failure: the owner is isolated, and the entry sends the cancellation to it just before it
    # follows the next owner, to which another entry submits the job.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    jobs = [await submit_long(world, entry)]
    jobs.append(submit(world, other_than(world, owner, entry), "job", run_ms=LONG_MS))
    await asyncio.sleep(0.1)
    for name in [*world.nodes, "store"]:
        world.cut(owner, name)
    while world.nodes[entry].election.silence_s() < 0.44:
        await asyncio.sleep(0.005)
    cancel(world, entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))
    await finish(jobs, within_s=2)
    assert_that(verdicts(jobs), Equals({Verdict.CANCELLED}))


@pytest.mark.looptime
async def test_the_owner_is_lost_with_its_own_callers(world: World):
    # Failure: the entry that started the tasks for its own caller is lost for good, and no other
    # entry knows the job.
    await world.open()
    owner = world.owners()[0]
    await submit_long(world, owner)
    cancel(world, owner)
    world.kill_node(owner)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))


@pytest.mark.looptime
async def test_a_start_order_that_is_executed_after_the_cancellation(world: World):
    # Failure: a run that appears up to 12 s after the cancellation is treated like a run whose job
    # may still be submitted, and blocks its worker for 0.3 s.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = await submit_long(world, entry)
    cancel(world, entry)
    await finish([job])
    await asyncio.sleep(11)
    start_late(world, world.workers["w-a1"], "job")
    await wait_for_orphaned_run(world, "w-a1")
    assert_that(await time_until_stopped(world, "job"), LessThan(0.06))


@pytest.mark.looptime
async def test_a_late_run_of_a_cancelled_job_at_a_later_owner(world: World):
    # Failure: the owner that was told of the cancellation is lost, and the next one does not know
    # it when the late run appears.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = await submit_long(world, entry)
    cancel(world, entry)
    await finish([job])
    await asyncio.sleep(5)
    world.kill_node(owner)
    await asyncio.sleep(2)
    next_owner = world.owners()[0]
    assert_that(world.nodes[next_owner]._owner.jobs.is_cancelled("job"), Equals(True))
    start_late(world, world.workers["w-a1"], "job")
    await wait_for_orphaned_run(world, "w-a1")
    assert_that(await time_until_stopped(world, "job"), LessThan(0.06))


@pytest.mark.looptime
async def test_each_orphaned_run_has_its_own_time_to_be_claimed(world: World):
    # Failure: a run that appears on a worker next to an older orphaned run is stopped together with
    # that one, before its entry has had 0.3 s to submit the job.
    await world.open()
    worker = world.workers["w-a1"]
    sessions = world.nodes[world.owners()[0]]._owner._workers.sessions_by_id
    seen_at: dict[str, float] = {}
    ended_at: dict[str, float] = {}
    start_late(world, worker, "first")
    began_at = world.loop.time()
    while len(ended_at) < 2 and world.loop.time() - began_at < 5:
        await asyncio.sleep(0.005)
        for task in sessions["w-a1"].orphaned_runs:
            seen_at.setdefault(task.job, world.loop.time())
        first_seen_at = seen_at.get("first", world.loop.time())
        if "second" not in world.run_s_by_job and world.loop.time() - first_seen_at > 0.05:
            start_late(world, worker, "second")
        for job_id in seen_at:
            if not runs_of(world, job_id):
                ended_at.setdefault(job_id, world.loop.time())
    assert_that(sorted(ended_at), Equals(["first", "second"]))
    for job_id, at in ended_at.items():
        assert_that(at - seen_at[job_id], GreaterThan(0.3))
        assert_that(at - seen_at[job_id], LessThan(0.4))


@pytest.mark.looptime
async def test_a_submission_that_arrives_after_its_cancellation(world: World):
    # Failure: a retry through another entry is delayed on its way and reaches the owner after the
    # caller's DELETE. It looks like a new job.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    jobs = [await submit_long(world, entry)]
    retry_entry = other_than(world, owner, entry)
    world.delayed_links.add((retry_entry, owner))
    jobs.append(submit(world, retry_entry, "job", run_ms=LONG_MS))
    await asyncio.sleep(0.1)
    cancel(world, entry)
    await asyncio.sleep(0.2)
    starts = len(world.starts)
    world.deliver_late()
    await finish(jobs, within_s=1)
    assert_that(verdicts(jobs), Equals({Verdict.CANCELLED}))
    assert_that(world.starts, HasLength(starts))


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("same_entry", "by_request", "starts"),
    # The next owner can't tell the runs of a job that was submitted again through another entry
    # from those of the cancelled one, and starts its tasks again.
    [(True, True, 4), (True, False, 4), (False, False, 4), (False, True, 6)],
)
async def test_a_job_can_be_submitted_again_after_its_cancellation(
    world: World, same_entry: bool, by_request: bool, starts: int
):
    # Failure: a caller submits a cancelled job anew, and the memory of the cancellation ends it, at
    # once or after a change of the owner.
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    job = await submit_long(world, entry)
    if by_request:
        cancel(world, entry)
    else:
        leave(world, entry)
    await finish([job])
    await asyncio.sleep(0.5)
    next_entry = entry if same_entry else other_than(world, owner, entry)
    again = submit(world, next_entry, "job", run_ms=3000)
    await asyncio.sleep(0.5)
    world.kill_node(owner)
    await finish([again])
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(starts))


@pytest.mark.looptime
async def test_cancellations_cost_no_message_without_incidents(
    world: World, monkeypatch: pytest.MonkeyPatch
):
    # Failure: remembered cancellations are sent again while the owner stays the same.
    sent: list[str] = []
    send = PeerLink.send

    def record(link, message):
        if isinstance(message, Cancel):
            sent.append(message.job)
        send(link, message)

    monkeypatch.setattr(PeerLink, "send", record)
    await world.open()
    owner = world.owners()[0]
    entry = other_than(world, owner)
    jobs = [submit(world, entry, f"job-{number}") for number in range(4)]
    await finish(jobs)
    assert_that(sent, Equals([]))
    job = await submit_long(world, entry)
    cancel(world, entry)
    await finish([job])
    await asyncio.sleep(10)
    assert_that(sent, Equals(["job"]))
    world.kill_node(owner)
    await asyncio.sleep(2)
    # Once more, to the next owner.
    assert_that(sent, Contains("job"))
    assert_that(sent, HasLength(2))


@pytest.mark.looptime
async def test_a_cancelled_job_in_another_cell(world: World):
    # Failure: the cancellation goes to the owner of the home cell, which does not have the job.
    await world.open_cells(entries=5)
    entry = world.entry_in("b")
    world.kill_node(world.owner_in("b"))
    await asyncio.sleep(0.27)
    job = submit(world, entry, "job", run_ms=LONG_MS)
    await asyncio.sleep(0.5)
    zone = next(worker[2] for _, worker, _, _ in world.starts)
    world.kill_node(world.owner_in(zone))
    cancel(world, entry)
    assert_that(await time_until_stopped(world, "job"), LessThan(LIMIT_S))
    await finish([job])


# -- random faults -------------------------------------------------------------------------


class CancellingFaultSeries(FaultSeries):
    """A series of faults with callers that cancel, leave, and wait for a limited time only."""

    def __init__(self, world: World, seed: int) -> None:
        super().__init__(world, seed, USUAL_PAUSE_S)
        self.cancelled_at_by_job: dict[str, float] = {}
        self.late_answers: list[str] = []
        self.long_runs: set[str] = set()

    async def _call(self, job) -> None:
        """Submit a job like a client, which cancels some of its jobs and retries the others."""
        timeout_ms = self.random.choice([0, 400, 1500, 2600])
        run_ms = self.random.choice([60, 900, 8000])
        ends = self.random.choice(["wait", "cancel", "leave"]) if run_ms > 60 else "wait"
        if run_ms == 8000 and not timeout_ms:
            ends = "cancel"
        job = make_job(job.id, count=1, run_ms=run_ms, timeout_ms=timeout_ms, objective_ms=1000)
        self.world.run_s_by_job[job.id] = run_ms / 1000
        for _ in range(2):
            entry = self.random.choice(sorted(self.world.nodes))
            began_at = self.world.loop.time()
            call = asyncio.ensure_future(self.world.run_job(entry, job))
            if ends != "wait":
                await asyncio.wait([call], timeout=self.random.uniform(0.05, 1.2))
                if not call.done():
                    self._end_call(call, entry, job.id, leaves=ends == "leave")
                    await asyncio.wait([call])
                    return
            outcome = await call
            held_s = self.world.loop.time() - began_at
            if timeout_ms and held_s > timeout_ms / 1000:
                self.late_answers.append(f"{job.id}: {held_s:.3f} s of {timeout_ms} ms")
            if outcome.verdict is not Verdict.UNKNOWN:
                return
            await asyncio.sleep(1.3)

    def _end_call(self, call: asyncio.Task, entry: str, job_id: str, *, leaves: bool) -> None:
        if leaves:
            call.cancel()
        elif not self.world.nodes[entry].pending_jobs.cancel(job_id):
            return  # The entry has restarted and answers that it does not know the job.
        self.cancelled_at_by_job[job_id] = self.world.loop.time()

    async def watch(self) -> None:
        """Record the tasks that run for too long after the cancellation of their job."""
        while True:
            await asyncio.sleep(0.05)
            for worker in self.world.workers.values():
                for task in worker.runs:
                    at = self.cancelled_at_by_job.get(task.job, float("inf"))
                    if self.world.loop.time() - at > LIMIT_S:
                        self.long_runs.add(task.job)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", random_seeds())
@pytest.mark.parametrize("cells", [False, True])
async def test_random_faults_with_cancellations_and_timeouts(world: World, seed: int, cells: bool):
    if cells:
        await world.open_cells(workers=3)
    else:
        await world.open()
    series = CancellingFaultSeries(world, seed)
    watcher = asyncio.ensure_future(series.watch())
    await series.inject(faults=8)
    watcher.cancel()
    assert_that(series.late_answers, Equals([]))
    assert_that(series.long_runs, Equals(set()))
    # A job that was only ever called "not run" has not started later either.
    started = {task.job for _, _, task, _ in world.starts}
    refused = {job for job, given in world.verdicts_by_job.items() if given == {Verdict.REFUSED}}
    assert_that(started & refused, Equals(set()))
