"""The order of waiting jobs, and the worker that a task fits best."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from zincwell.dispatch._jobs import Job, Task
from zincwell.dispatch._placement import AvailableWorkers, fits_now
from zincwell.dispatch._queue import FIRST_TASKS, JobQueue
from zincwell.dispatch._types import JobRequest, Step, TaskId


def make_waiting(job_id: str, *, priority: int = 0, estimate_ms: int = 100, at: float = 0.0) -> Job:
    """A job of one task with an objective of its run time and 100 ms."""
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
    """Return the jobs of a queue in order."""
    return [job.request.id for job in queue]


def test_urgent_jobs_go_first_then_short_then_old_ones():
    queue = JobQueue()
    queue.add(make_waiting("old-long", estimate_ms=900), now=0)
    queue.add(make_waiting("new-short", at=0.2), now=0)
    queue.add(make_waiting("old-short", at=0.1), now=0)
    queue.add(make_waiting("less-urgent", priority=1, estimate_ms=1), now=0)
    assert_that(ids(queue), Equals(["old-short", "new-short", "old-long", "less-urgent"]))


def test_a_begun_job_goes_before_all_others():
    # Symptom: a job of the least urgent queue is held for 30 s. Sequence: some of its tasks run,
    # the others wait behind jobs that are more urgent and keep coming. Cause: a job that has
    # begun can't be refused, and the order knows only how urgent it is.
    queue = JobQueue()
    begun = make_waiting("begun", priority=2)
    queue.add(begun, now=0)
    queue.add(make_waiting("urgent"), now=0)
    assert_that(ids(queue), Equals(["urgent", "begun"]))
    begun.started = True
    queue.add(begun, now=0)
    assert_that(ids(queue), Equals(["begun", "urgent"]))


def test_a_large_job_that_has_begun_holds_up_nothing_urgent():
    # Symptom: an urgent job of 60 ms waits for 20 s. Sequence: a job of a thousand tasks that is
    # less urgent has got room for one of them. Cause: what has begun goes first, however much of
    # it still waits.
    queue = JobQueue()
    large = make_waiting("large", priority=2)
    large.started = True
    large.waiting = FIRST_TASKS + 1
    queue.add(large, now=0)
    queue.add(make_waiting("urgent"), now=0)
    assert_that(ids(queue), Equals(["urgent", "large"]))
    queue.add(large, now=9)
    assert_that(ids(queue), Equals(["large", "urgent"]))


def test_a_job_waits_once_and_leaves_whole():
    queue = JobQueue()
    job = make_waiting("a")
    queue.add(job, now=0)
    queue.add(job, now=0)
    queue.discard(job)
    queue.discard(job)
    assert_that(ids(queue), Equals([]))


@pytest.mark.parametrize("seed", range(20))
def test_the_order_holds_whatever_comes_and_goes(seed: int):
    choose = random.Random(seed)
    queue, waiting = JobQueue(), {}
    for number in range(200):
        now = number / 100
        if waiting and choose.random() < 0.4:
            job = waiting.pop(choose.choice(sorted(waiting)))
            queue.discard(job)
        else:
            job = make_waiting(
                f"job-{number}",
                priority=choose.randrange(3),
                estimate_ms=choose.choice([50, 100, 900]),
                at=now,
            )
            job.started = choose.random() < 0.3
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
    """As much of a session with a worker as placing looks at."""
    info = SimpleNamespace(id=name, labels=[rack])
    return SimpleNamespace(info=info, free_cpu=free_cpu, free_memory=free_memory, free_gpu=0)


@pytest.mark.parametrize("seed", range(20))
def test_a_task_goes_where_it_leaves_the_least_room(seed: int):
    choose = random.Random(seed)
    sessions = [
        make_session(
            f"w{number}",
            choose.randrange(0, 64_000, 500),
            free_memory=choose.choice([10, 1000]),
            rack=choose.choice(["r1", "r2"]),
        )
        for number in range(30)
    ]
    room = AvailableWorkers(sessions)
    for number in range(60):
        step = Step(
            count=1,
            cpu=choose.randrange(1_000, 48_000),
            memory_mb=choose.choice([5, 500]),
            rack=choose.choice(["", "r2"]),
        )
        task = Task(id=TaskId("job", 0, number))
        task.avoided_workers.update(
            choose.sample([s.info.id for s in sessions], choose.choice([0, 0, 9]))
        )
        found = room.find(step=step, task=task)
        fitting = [s for s in sessions if fits_now(s, step=step, task=task)]
        if not fitting:
            assert_that(found, Is(None))
            continue
        assert_that(rank(found, step, task), Equals(min(rank(s, step, task) for s in fitting)))
        found.free_cpu -= step.cpu
        room.note_start(found)


def rank(session, step: Step, task: Task) -> tuple[bool, bool, int]:
    """Return how well a task fits a worker; the smallest is the best."""
    far = bool(step.rack) and step.rack not in session.info.labels
    return (session.info.id in task.avoided_workers, far, session.free_cpu - step.cpu)
