"""Queue order of waiting jobs, and choice of the worker for a task."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from zincwell.dispatch._jobs import Job, Task
from zincwell.dispatch._placement import AvailableWorkers, fits_now
from zincwell.dispatch._queue import MAX_WAITING_TASKS_TO_GO_FIRST, JobQueue
from zincwell.dispatch._types import JobRequest, Step, TaskId


def make_waiting_job(
    job_id: str, *, priority: int = 0, estimate_ms: int = 100, at: float = 0.0
) -> Job:
    """Return a job of one task whose objective is its run time plus 100 ms."""
    step = Step(count=1, cpu=1000, estimate_ms=estimate_ms)
    request = JobRequest(
        id=job_id,
        spec="x",
        steps=[step],
        route="r",
        service="s",
        priority=priority,
        objective_ms=100,
    )
    return Job(request=request, arrived_at=at, possibly_started=False, accepted_at=at)


def ids(queue: JobQueue) -> list[str]:
    """Return the ids of the queued jobs in order."""
    return [job.request.id for job in queue]


def test_urgent_jobs_go_first_then_short_then_old_ones():
    queue = JobQueue()
    queue.add(make_waiting_job("old-long", estimate_ms=900), now=0)
    queue.add(make_waiting_job("new-short", at=0.2), now=0)
    queue.add(make_waiting_job("old-short", at=0.1), now=0)
    queue.add(make_waiting_job("less-urgent", priority=1, estimate_ms=1), now=0)
    assert_that(ids(queue), Equals(["old-short", "new-short", "old-long", "less-urgent"]))


def test_a_started_job_goes_first():
    # A started job can't be refused. If the order depended on urgency alone, the remaining tasks of
    # a job of the least urgent class would wait behind urgent jobs that keep arriving, for 30 s.
    queue = JobQueue()
    started_job = make_waiting_job("begun", priority=2)
    queue.add(started_job, now=0)
    queue.add(make_waiting_job("urgent"), now=0)
    assert_that(ids(queue), Equals(["urgent", "begun"]))
    started_job.started = True
    queue.add(started_job, now=0)
    assert_that(ids(queue), Equals(["begun", "urgent"]))


def test_a_large_started_job_does_not_block_urgent_ones():
    # A less urgent job with a thousand tasks has started one of them. If every started job went
    # first, however many of its tasks wait, an urgent job of 60 ms would wait for 20 s.
    queue = JobQueue()
    large = make_waiting_job("large", priority=2)
    large.started = True
    large.waiting = MAX_WAITING_TASKS_TO_GO_FIRST + 1
    queue.add(large, now=0)
    queue.add(make_waiting_job("urgent"), now=0)
    assert_that(ids(queue), Equals(["urgent", "large"]))
    queue.add(large, now=9)
    assert_that(ids(queue), Equals(["large", "urgent"]))


def test_a_job_is_queued_once_and_discarded_completely():
    queue = JobQueue()
    job = make_waiting_job("a")
    queue.add(job, now=0)
    queue.add(job, now=0)
    queue.discard(job)
    queue.discard(job)
    assert_that(ids(queue), Equals([]))


@pytest.mark.parametrize("seed", range(20))
def test_the_order_holds_after_any_additions_and_removals(seed: int):
    rng = random.Random(seed)
    queue, waiting = JobQueue(), {}
    for number in range(200):
        now = number / 100
        if waiting and rng.random() < 0.4:
            job = waiting.pop(rng.choice(sorted(waiting)))
            queue.discard(job)
        else:
            job = make_waiting_job(
                f"job-{number}",
                priority=rng.randrange(3),
                estimate_ms=rng.choice([50, 100, 900]),
                at=now,
            )
            job.started = rng.random() < 0.3
            waiting[job.request.id] = job
            queue.add(job, now=0)
        expected = sorted(
            waiting.values(),
            key=lambda job: (
                not job.started,
                job.request.priority,
                job.estimate_s,
                job.arrived_at,
            ),
        )
        assert_that(ids(queue), Equals([job.request.id for job in expected]))


def make_session(name: str, free_cpu: int, *, free_memory: int = 1000, rack: str = "r1"):
    """Return a stub of a worker session with the attributes that placement reads."""
    info = SimpleNamespace(id=name, labels=[rack])
    return SimpleNamespace(
        info=info,
        free_cpu=free_cpu,
        free_memory=free_memory,
        free_gpu=0,
        suspect=False,
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_task_goes_to_the_best_fit(seed: int):
    rng = random.Random(seed)
    sessions = [
        make_session(
            f"w{number}",
            rng.randrange(0, 64_000, 500),
            free_memory=rng.choice([10, 1000]),
            rack=rng.choice(["r1", "r2"]),
        )
        for number in range(30)
    ]
    available = AvailableWorkers(sessions)
    for number in range(60):
        step = Step(
            count=1,
            cpu=rng.randrange(1_000, 48_000),
            memory_mb=rng.choice([5, 500]),
            rack=rng.choice(["", "r2"]),
        )
        task = Task(id=TaskId("job", 0, number))
        task.avoided_workers.update(
            rng.sample([s.info.id for s in sessions], rng.choice([0, 0, 9]))
        )
        found = available.find(step=step, task=task)
        fitting = [s for s in sessions if fits_now(s, step=step, task=task)]
        if not fitting:
            assert_that(found, Is(None))
            continue
        assert_that(rank(found, step, task), Equals(min(rank(s, step, task) for s in fitting)))
        found.free_cpu -= step.cpu
        available.note_start(found)


def rank(session, step: Step, task: Task) -> tuple[bool, bool, int]:
    """Return the rank of a worker for a task; the smallest is the best fit."""
    is_remote = bool(step.rack) and step.rack not in session.info.labels
    return (session.info.id in task.avoided_workers, is_remote, session.free_cpu - step.cpu)
