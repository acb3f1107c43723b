"""The daemon as a process: what it opens, what it starts, how it leaves."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import aiohttp
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from tests.cluster import Cluster, EntryProcess
from tests.samples import echoes, make_submission
from tests.test_ownership import AT_MOST_ONCE

ONE_DOMAIN = {"kariakoo": (2, 2)}


async def test_opens_no_ring_and_starts_no_process(cluster: Cluster):
    """A running daemon has no io_uring descriptor, no shared memory and no child process.

    Symptom: the platform refuses to run the daemon. Cause: newer event loops open a ring at
    loop creation, and sanic's banner starts another process.
    """
    cluster.entry_module = "tests.audited"
    await cluster.open(domains={"kariakoo": (1, 1)})
    entry = cluster.entry_by_vm["entry-0"]
    await cluster.submit(entry, make_submission(key="kariakoo/a"))

    descriptors = [
        os.readlink(path)
        for path in Path(f"/proc/{entry.pid}/fd").iterdir()
        if path.exists() or path.is_symlink()
    ]
    maps = Path(f"/proc/{entry.pid}/maps").read_text()
    children = Path(f"/proc/{entry.pid}/task/{entry.pid}/children").read_text()

    assert_that(entry.log_text(), Not(Contains("started_process")))
    assert_that("".join(descriptors), Not(Contains("io_uring")))
    assert_that(maps, Not(Contains("/dev/shm")))
    assert_that(children.strip(), Equals(""))


async def test_sigterm_under_load_cuts_nothing(cluster: Cluster):
    """A graceful shutdown answers all that it has taken in.

    Symptom: callers see connections reset during a roll-out. Sequence: SIGTERM arrives while
    jobs run, are queued and still come in. Cause: the process ends, or closes its listener,
    before what is in flight is answered.
    """
    await cluster.open(domains=ONE_DOMAIN)
    leaving, staying = cluster.entry_by_vm.values()
    sending = [
        asyncio.ensure_future(
            cluster.submit(leaving, make_submission(key=f"kariakoo/{n}", tasks=12, sleep_ms=150))
        )
        for n in range(8)
    ]
    await cluster.wait_started(8)

    ending = asyncio.ensure_future(leaving.terminate())
    await cluster.wait_for("not ready", lambda: _is_refusing(leaving))
    answers = await asyncio.gather(*sending)
    code = await ending

    assert_that(code, Equals(0))
    for status, answer in answers:
        assert_that((status, echoes(answer)), Equals((200, list(range(12)))))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_drained_entry_leaves_its_homes_in_order(cluster: Cluster):
    """Keys that a drained entry was home to are granted by the next at once.

    Symptom: after each roll-out, callers are refused for seconds, or a resend starts anew.
    Sequence: the home of a key drains; the key is sent again, and a new key of the same home.
    Cause: the seat is left to be found silent, and what the home knew goes with it.
    """
    await cluster.open(domains=ONE_DOMAIN)
    leaving, staying = cluster.entry_by_vm.values()
    keys = [f"kariakoo/page-{n}" for n in range(200)]
    homed = [key for key in keys if cluster.home_of(key).vm == leaving.vm]
    submission = make_submission(key=homed[0])
    _, first = await cluster.submit(staying, submission)

    await leaving.terminate()
    status = await cluster.status(staying)
    again = await cluster.resend(staying, submission)
    code, fresh = await cluster.submit(staying, make_submission(key=homed[1], attempt=None))

    assert_that(status["seats"], Equals([staying.vm]))
    assert_that(again, Equals(first))
    assert_that((code, fresh["outcome"]), Equals((200, "completed")))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def _is_refusing(entry: EntryProcess) -> bool:
    """Tell whether readiness is off, or the listener already closed."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(entry.callers + "/ready") as response,
        ):
            return response.status == 503
    except aiohttp.ClientError:
        return True
