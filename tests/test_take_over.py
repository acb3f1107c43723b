"""Effects on the other entries when one joins, leaves, dies or comes back."""

from __future__ import annotations

import asyncio
import signal
import time
import uuid

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.cluster import Cluster
from tests.samples import make_submission
from tests.test_ownership import AT_MOST_ONCE
from zincwell.client import Client, JobKey
from zincwell.core._membership import Seat, home_of_key


def _home(key: str, vms: list[str]) -> str:
    seats = [Seat(vm=vm, incarnation="", domain="kariakoo", url="") for vm in vms]
    return home_of_key(f"{key}@school", seats).vm


async def test_entry_that_joins_knows_what_the_home_before_it_granted(cluster: Cluster):
    """A resend finds its running job although its key's home has moved to a new entry.

    Guards against a double start after an entry was added: entry-1 as home grants a key to
    entry-0, entry-2 joins and becomes home of the key, and the caller resends through entry-1.
    The handover must compare seats by id: the asker's own seat lacks the log offset, and a
    comparison with the offset would hand over no key at all.
    """
    cluster.timing = {"clock_margin_s": 0.01}
    await cluster.open(domains={"kariakoo": (2, 2)})
    key = next(
        key
        for key in (f"kariakoo/page-{n}" for n in range(1_000))
        if _home(key, ["entry-0", "entry-1"]) == "entry-1"
        and _home(key, ["entry-0", "entry-1", "entry-2"]) == "entry-2"
    )
    submission = make_submission(key=key, tasks=4, sleep_ms=6_000)
    owner, other = cluster.entry_by_vm["entry-0"], cluster.entry_by_vm["entry-1"]
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await cluster.wait_started(4)

    await cluster.add_entry("kariakoo")
    await cluster.wait_settled()
    again = await cluster.resend(other, submission)
    _, answer = await sending

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(again, Equals(answer))


async def test_client_that_rejoins_by_key_starts_nothing_twice(cluster: Cluster):
    """A caller that submits its key again never has a task started twice.

    An entry that is both owner and home of a key runs a job and is killed; another entry becomes
    home; a new process of the caller submits the same key. If the client sent a new created_at,
    later than the change of homes, the new home would conclude that the dead entry can't have
    granted the key. So a key always goes with the time at which it was created.
    """
    cluster.timing = {"clock_margin_s": 0.01}
    await cluster.open(domains={"kariakoo": (2, 2)})
    owner, other = cluster.entry_by_vm["entry-0"], cluster.entry_by_vm["entry-1"]
    key = next(
        key
        for key in (f"kariakoo/page-{n}" for n in range(1_000))
        if _home(key, ["entry-0", "entry-1"]) == "entry-0"
    )
    # A key created before its home knew all earlier grants, or within the clock margin after, gets
    # an unknown outcome. The home's knowledge may have become complete only at the end of settling.
    await cluster.outlast_clock_margin()
    job_key = JobKey(key=key, created_at=time.time())
    payloads = [{"sleep_ms": 100, "echo": n} for n in range(4)]
    async with Client(urls=[owner.callers], tenant="school") as client:
        first = await client.submit("transcriber", payloads, key=job_key)
    assert_that(first.outcome, Equals("completed"))

    await owner.kill()
    await cluster.wait_settled()
    async with Client(urls=[other.callers], tenant="school") as client:
        answer = await client.submit("transcriber", payloads, key=job_key)

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(answer.outcome, Equals("outcome_unknown"))


async def test_queue_of_a_dead_entry_does_not_count_against_a_quota(cluster: Cluster):
    """A tenant is served again once an entry that held its queue is gone.

    Guards against a tenant that is refused for ever after an entry died: entry-1 queues the
    whole quota and is killed, and the tenant submits to entry-0. The last load that a dead peer
    reported must expire.
    """
    await cluster.open(
        domains={"kariakoo": (2, 1)}, slots=2, tenants={"school": {"max_queued": 12}}
    )
    staying, dying = cluster.entry_by_vm.values()
    long_job = make_submission(key="kariakoo/long", tasks=12, sleep_ms=60_000)
    sending = asyncio.ensure_future(cluster.submit(dying, long_job))
    await cluster.wait_started(1)

    async def knows() -> bool:
        probe = make_submission(key=f"kariakoo/{uuid.uuid4().hex}", tasks=2)
        status, _ = await cluster.submit(staying, probe, wait=False)
        return status == 429

    await cluster.wait_for("the other entry knows the queue", knows)
    await dying.kill()
    await asyncio.gather(sending, return_exceptions=True)
    await cluster.wait_settled()

    new = make_submission(key="kariakoo/new", tasks=2)
    answer = await cluster.submit_to_end(staying, new)
    assert_that(answer["outcome"], Equals("completed"))


async def test_drain_waits_for_jobs_that_no_caller_of_its_own_waits_for(cluster: Cluster):
    """A graceful shutdown also completes jobs that were accepted without waiting.

    Guards against a job that is accepted with 202 and gets an unknown outcome in a roll-out: an
    entry accepts a job with ``wait=0``, the caller waits for it at another entry, and the owner
    gets SIGTERM. Draining must wait for the entry's jobs, not only for its open requests.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    leaving, staying = cluster.entry_by_vm.values()
    submission = make_submission(key="kariakoo/a", tasks=8, sleep_ms=3_000)
    await cluster.submit(leaving, submission, wait=False)
    await cluster.wait_started(8)
    following = asyncio.ensure_future(cluster.submit(staying, {**submission, "attempt": 2}))

    await leaving.terminate()
    _, answer = await following

    assert_that(answer["outcome"], Equals("completed"))


async def test_entry_that_was_paused_keeps_its_homes_in_a_log_outage(cluster: Cluster):
    """An entry whose seat was closed during a pause is a full peer again after it.

    Guards against a home that refuses all its keys in an outage of the log although its domain
    is connected. An entry is paused, its peer closes its seat, the entry resumes and reopens the
    same seat, and later the log goes down. A peer that doesn't acknowledge a seat that it has
    begun to close must acknowledge it again once it is reopened.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    paused, other = cluster.entry_by_vm.values()
    paused.signal(signal.SIGSTOP)

    async def closed() -> bool:
        return (await cluster.status(other))["seats"] == [other.vm]

    await cluster.wait_for("the seat is closed", closed)
    paused.signal(signal.SIGCONT)
    await cluster.wait_settled()
    await cluster.control(cluster.log, down=True)

    async def without_log() -> bool:
        statuses = [await cluster.status(entry) for entry in (paused, other)]
        return not any(status["log_reached"] for status in statuses)

    await cluster.wait_for("no entry reaches the log", without_log)

    async def may_grant() -> bool:
        return (await cluster.status(paused))["may_grant"]

    await cluster.wait_for("the entry that was paused may grant", may_grant)
