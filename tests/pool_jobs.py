"""Helpers that submit jobs to an in-memory pool and check their outcomes."""

from __future__ import annotations

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.dispatch_world import World, make_job
from zincwell.dispatch._types import Verdict


def submit(world: World, entry: str, job_id: str, **fields) -> asyncio.Task:
    """Submit a job at an entry; the result of the task is the outcome."""
    run_s = fields.get("run_ms", 200) / 1000
    world.run_s_by_job[job_id] = run_s
    return asyncio.ensure_future(world.run_job(entry, make_job(job_id, **fields)))


async def finish(jobs: list[asyncio.Task], *, within_s: float = 15) -> None:
    """Wait until all jobs are answered, at most for a given time."""
    _, open_jobs = await asyncio.wait(jobs, timeout=within_s)
    assert_that(open_jobs, Equals(set()))


def verdicts(tasks: list[asyncio.Task]) -> set[Verdict]:
    """Return the verdicts of ended jobs."""
    return {task.result().verdict for task in tasks}


def other_than(world: World, *names: str) -> str:
    """Return the name of an entry that is none of these."""
    return next(name for name in world.nodes if name not in names)
