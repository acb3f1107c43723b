"""Order of callbacks that must not depend on the addresses of objects in memory."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.dispatch_world import World, make_job
from tests.pool_jobs import finish
from zincwell.dispatch._background import BackgroundTasks

COUNT = 50


async def test_background_tasks_are_cancelled_in_the_order_in_which_they_were_started():
    # Failure: tasks were cancelled in the order of their addresses, so that a simulated world
    # went another way in each process.
    cancelled: list[int] = []

    async def wait(number: int) -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.append(number)
            raise

    tasks = BackgroundTasks()
    for number in range(COUNT):
        tasks.spawn(wait(number))
    await asyncio.sleep(0)
    tasks.close()
    await asyncio.sleep(0.01)
    assert_that(cancelled, Equals(list(range(COUNT))))


@pytest.mark.looptime
async def test_the_callers_of_a_job_are_answered_in_the_order_of_their_calls(world: World):
    # Failure: callers of one job were answered in the order of the addresses of their futures.
    await world.open()
    answered: list[int] = []

    async def call(number: int) -> None:
        await world.run_job("e-a1", make_job("job", count=1))
        answered.append(number)

    world.run_s_by_job["job"] = 0.2
    await finish([asyncio.ensure_future(call(number)) for number in range(COUNT)])
    assert_that(answered, Equals(list(range(COUNT))))
