"""The daemon process: its descriptors, child processes and graceful shutdown."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import aiohttp
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from tests.cluster import Cluster, EntryProcess
from tests.samples import list_outputs, make_submission
from tests.test_ownership import AT_MOST_ONCE

ONE_DOMAIN = {"kariakoo": (2, 2)}


async def test_opens_no_ring_and_starts_no_process(cluster: Cluster):
    """A running daemon has no io_uring descriptor, no shared memory and no child process.

    The platform refuses to run a daemon that has any of them. Newer event loops open an io_uring
    instance when a loop is created, and sanic's banner starts another process.
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
    """A graceful shutdown answers all accepted jobs.

    Guards against connections reset during a roll-out: SIGTERM arrives while jobs are running,
    queued and arriving, and the process exits or closes its listener before they are answered.
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
        assert_that((status, list_outputs(answer)), Equals((200, list(range(12)))))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_drained_entry_leaves_its_homes_in_order(cluster: Cluster):
    """The next home of a drained entry's keys grants them at once.

    The home of a key drains; the key is resubmitted, and a new key of the same home is sent. If
    the entry left its seat open and handed over nothing, callers would be refused for seconds,
    until the peers detect its silence, or a resubmission would start its tasks again.
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
    """Return whether the entry reports not ready or has closed its listener."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(entry.callers + "/ready") as response,
        ):
            return response.status == 503
    except aiohttp.ClientError:
        return True
