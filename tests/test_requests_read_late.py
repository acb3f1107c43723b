"""Requests that an entry reads long after their callers have sent them, since it stood still."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from tests.dispatch_world import World, make_job
from tests.pool_jobs import finish, submit, verdicts
from zincwell.dispatch import BackgroundTasks, LoopTicks
from zincwell.dispatch._types import Verdict
from zincwell.loops import new_event_loop
from zincwell.platform._server import HttpRequest, HttpResponse, HttpServer

RUN_MS = 4000
# The caller has waited for 1.5 s and has sent the job again 1.3 s later, while the entry stood.
READ_LATE_S = 2.8


def submit_late(world: World, entry: str) -> asyncio.Task:
    """Let an entry read a request for a job that was sent long before."""
    job = make_job("job", run_ms=RUN_MS)
    return asyncio.ensure_future(world.run_job(entry, job, read_late_s=READ_LATE_S))


@pytest.mark.looptime
@pytest.mark.parametrize(("zone", "other"), [("a", "b"), ("b", "a")])
@pytest.mark.parametrize("later_s", [0.0, 0.002, 0.09, 0.5])
async def test_a_request_that_its_entry_reads_late_runs_once(
    world: World, zone: str, other: str, later_s: float
):
    # Failure: two concurrent runs of one task. An entry stands still with a request in its socket;
    # the caller sends the job again to another cell; the entry goes on and submits it as well.
    await world.open_cells()
    again = submit(world, world.entry_in(other), "job", run_ms=RUN_MS)
    await asyncio.sleep(later_s)
    late = submit_late(world, world.entry_in(zone))
    await finish([again, late])
    assert_that(world.violations, Equals([]))
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(2))


@pytest.mark.looptime
async def test_a_request_that_is_read_late_is_served_if_nobody_else_has_it(world: World):
    # Failure: callers that sent their jobs while an entry stood still, and still wait, are refused.
    await world.open_cells()
    world.run_s_by_job["job"] = 0.1
    late = submit_late(world, world.entry_in("a"))
    await finish([late], within_s=0.15)
    assert_that(verdicts([late]), Equals({Verdict.SUCCEEDED}))


def run_server(play: Callable[[HttpServer, str], Awaitable[None]]) -> list[HttpRequest]:
    """Play with a server in a real event loop; return the requests that it has got."""
    requests = []

    async def handle(request: HttpRequest) -> HttpResponse:
        requests.append(request)
        return HttpResponse()

    async def main() -> None:
        ticks = LoopTicks(clock=time.monotonic)
        tasks = BackgroundTasks()
        tasks.spawn(turn_forever(ticks))
        server = HttpServer(handler=handle, body_limit=lambda: 0, ticks=ticks)
        try:
            await play(server, await server.listen("127.0.0.1:0"))
            await asyncio.sleep(0.3)
        finally:
            server.close()
            tasks.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main())
    return requests


async def turn_forever(ticks: LoopTicks) -> None:
    while True:
        await asyncio.sleep(0.05)
        ticks.note()


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


@pytest.mark.parametrize("known", [True, False], ids=["open connection", "new connection"])
def test_a_request_that_waits_while_the_process_stands_still_is_as_old_as_the_pause(known: bool):
    # Failure: an entry that stood still takes each request that it finds for a new one.
    sent_at = 0.0

    async def play(server: HttpServer, address: str) -> None:
        nonlocal sent_at
        connection = connect(address)
        if known:
            await asyncio.sleep(0.3)
        sent_at = time.monotonic()
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        time.sleep(0.5)

    (request,) = run_server(play)
    assert_that(request.sent_since, LessThan(sent_at))
    assert_that(sent_at - request.sent_since, LessThan(0.3))


def test_a_request_on_a_connection_that_was_long_open_is_new():
    # Failure: jobs of callers that keep their connections open wait for an exchange between owners.
    sent_at = 0.0

    async def play(server: HttpServer, address: str) -> None:
        nonlocal sent_at
        connection = connect(address)
        await asyncio.sleep(0.6)
        sent_at = time.monotonic()
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")

    (request,) = run_server(play)
    assert_that(request.sent_since, GreaterThan(sent_at - 0.3))
