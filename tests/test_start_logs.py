"""What the log says of each start of a task, and of the run before it."""

from __future__ import annotations

import asyncio
import logging
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, MatchesRegex

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _log_all(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="zincwell")


def lines(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    """Return the logged lines of an event."""
    return [r.getMessage() for r in caplog.records if r.msg.startswith(f"{event} ")]


async def test_each_start_is_logged_with_its_run_number_and_worker(
    world: World, caplog: pytest.LogCaptureFixture
):
    await world.open(zones="a", entries=1, workers=3)
    await finish([submit(world, "e-a1", "job", count=5)])
    logged = [
        start
        for line in lines(caplog, "runs_started")
        for start in re.search(r"runs=(\S+)", line).group(1).split(",")
    ]
    started = [f"{t.step}.{t.index}/{run}@{worker}" for _, worker, t, run in world.starts]
    assert_that(sorted(logged), Equals(sorted(started)))
    assert_that(lines(caplog, "run_repeated"), Equals([]))


async def test_a_large_job_is_logged_in_lines_of_bounded_length(
    world: World, caplog: pytest.LogCaptureFixture
):
    await world.open(zones="a", entries=1, workers=1)
    world.resize("w-a1", cpu=2_000_000)
    await asyncio.sleep(0.5)
    await finish([submit(world, "e-a1", "job", count=50)])
    assert_that(lines(caplog, "runs_started"), HasLength(1))
    assert_that(lines(caplog, "runs_started")[0], MatchesRegex(r".* more=18$"))


async def test_a_second_start_is_logged_with_the_end_of_the_run_before(
    world: World, caplog: pytest.LogCaptureFixture
):
    await world.open(zones="a", entries=1, workers=2)
    world.drop_starts.add("w-a1")
    await finish([submit(world, "e-a1", "job", count=4)])
    assert_that(
        lines(caplog, "run_repeated")[-1],
        MatchesRegex(
            r"run_repeated job=job task=job\.0\.\d run=\d+ worker=w-a2 previous_run=\d+"
            r" previous_worker=w-a1 previous_fate=NOT_STARTED previous_cause=NEVER_LISTED$"
        ),
    )
    assert_that(
        lines(caplog, "run_ended")[0],
        MatchesRegex(r".* worker=w-a1 fate=NOT_STARTED cause=NEVER_LISTED failures=0$"),
    )


async def test_a_job_of_an_earlier_owner_is_logged_with_what_excludes_its_runs(
    world: World, caplog: pytest.LogCaptureFixture
):
    await world.open(zones="ab", entries=2, workers=2)
    caller = other_than(world, *world.owners())
    jobs = [submit(world, caller, f"job-{n}", count=4, run_ms=600) for n in range(4)]
    await asyncio.sleep(0.2)
    world.kill_node(world.owners()[0])
    await finish(jobs)
    assert_that(
        lines(caplog, "earlier_runs_excluded")[0],
        MatchesRegex(r".* job=job-\d by=all_workers_held waited_ms=\d+$"),
    )


async def test_a_failed_run_is_logged_with_its_own_failure_counted(
    world: World, caplog: pytest.LogCaptureFixture
):
    # Guards against a log that reads as if an earlier run of the task had failed.
    await world.open(zones="a", entries=1, workers=2)
    world.workers["w-a1"].fails_all = world.workers["w-a2"].fails_all = True
    await finish([submit(world, "e-a1", "job", count=1)])
    counts = [re.search(r"failures=(\d+)$", line).group(1) for line in lines(caplog, "run_ended")]
    assert_that(counts[:2], Equals(["1", "2"]))


async def test_a_run_that_its_worker_leaves_out_is_logged_with_what_is_known_of_it(
    world: World, caplog: pytest.LogCaptureFixture
):
    await world.open(zones="a", entries=1, workers=2)
    job = submit(world, "e-a1", "job", count=2, run_ms=600)
    await asyncio.sleep(0.1)
    for worker in world.workers.values():
        worker.lose_runs()
    await finish([job])
    fields = r"run=\d+ asked_ms=\d+ confirmed_ms=\d+ refused_ms=\d* missing=[12]$"
    found = lines(caplog, "run_missing")
    assert_that(found[0], MatchesRegex(r"run_missing worker=w-a\d task=job\.0\.\d " + fields))
    assert_that(len(found) >= 2, Equals(True))
