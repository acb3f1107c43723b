"""Faults of the platform, connections that stop answering, pauses, and mass cancellation."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Contains, Equals, GreaterThan, MatchesAny, Not

from tests.cluster import Cluster, EntryProcess
from tests.samples import find_key_with_home, list_outputs, make_submission
from tests.test_configuration import publish, wait_in_force
from tests.test_ownership import AT_MOST_ONCE

ONE_DOMAIN = {"kariakoo": (2, 2)}
ALL_ECHOES = list(range(8))
CANCELLED_JOBS = 100
ACCEPT_ATTEMPTS = 20


async def serve_one(cluster: Cluster, entry: EntryProcess, key: str) -> list:
    """Run a new job and return the outputs of its tasks."""
    return list_outputs(await cluster.submit_to_end(entry, make_submission(key=key)))


async def wait_logged(cluster: Cluster, entry: EntryProcess, event: str) -> None:
    """Wait until an event is in the log of an entry."""

    async def logged() -> bool:
        return event in entry.log_text()

    await cluster.wait_for(f"{event} at {entry.vm}", logged)


def without_log(cluster: Cluster, entries: list[EntryProcess]) -> Callable[[], Awaitable[bool]]:
    """Return a condition that holds once none of the entries reaches the log service."""

    async def missed() -> bool:
        statuses = [await cluster.status(entry) for entry in entries]
        return not any(status["log_reached"] for status in statuses)

    return missed


# -- VM directory ----------------------------------------------------------------------


async def test_empty_list_of_vms_is_not_believed(cluster: Cluster):
    """An empty list of VMs does not remove workers that still answer.

    Guards against refusing all jobs for lack of workers: the VM directory returns an empty list
    repeatedly although all workers are healthy.
    """
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.control(cluster.directory, empty=True)
    entries = list(cluster.entry_by_vm.values())
    for entry in entries:
        await wait_logged(cluster, entry, "directory_distrusted")

    served = [await serve_one(cluster, entry, f"kariakoo/{entry.vm}") for entry in entries]

    assert_that(served, Equals([ALL_ECHOES, ALL_ECHOES]))
    statuses = [await cluster.status(entry) for entry in entries]
    usable = [[worker["usable"] for worker in status["workers"]] for status in statuses]
    assert_that(usable, Equals([[True, True], [True, True]]))


async def test_list_of_vms_that_is_down_keeps_the_workers(cluster: Cluster):
    """An outage of the VM directory does not interrupt service.

    The directory stops answering, jobs arrive, and it comes back with one more worker. Guards
    against treating a failed read as an empty list, and against giving up reading it.
    """
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.control(cluster.directory, down=True)
    entries = list(cluster.entry_by_vm.values())
    for entry in entries:
        await wait_logged(cluster, entry, "directory_unavailable")

    served = [await serve_one(cluster, entry, f"kariakoo/{entry.vm}") for entry in entries]
    await cluster.control(cluster.directory, down=False)
    await cluster.add_worker("kariakoo")
    await cluster.wait_settled()

    assert_that(served, Equals([ALL_ECHOES, ALL_ECHOES]))


# -- connections that stop answering ---------------------------------------------------


async def test_log_connections_gone_silent(cluster: Cluster):
    """Entries follow the log after its open connections have gone silent.

    A middlebox drops the state of the open connections to the log service, and a change is
    published. Without a timeout, the entries would wait forever for reads that are never
    answered, and the accepted change would never come into force on them.
    """
    await cluster.open(domains=ONE_DOMAIN)
    entry = cluster.entry_by_vm["entry-0"]

    silenced = cluster.log_relay.silence_open_connections()

    async def accepted() -> bool:
        status, _ = await publish(cluster, entry, change_id="a", weight=2.0)
        return status == 200

    await cluster.wait_for("change accepted", accepted)
    await wait_in_force(cluster, 2.0)
    await cluster.wait_settled()
    assert_that(silenced, GreaterThan(0))


async def test_peer_connections_gone_silent(cluster: Cluster):
    """Entries reach their peers after the open connections have gone silent.

    A job runs, and a middlebox drops the state of the open connections between two entries. The
    caller resubmits the job to the other entry, then sends a new key to each. Guards against
    calls that keep using dead pooled connections, so that keys can't be claimed and answers
    can't be fetched from a healthy peer.
    """
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.outlast_clock_margin()
    one, other = cluster.entry_by_vm.values()
    submission = make_submission(key=find_key_with_home(cluster, domain="kariakoo", home=other.vm))
    _, first = await cluster.submit(one, submission)

    silenced = [entry.relay.silence_open_connections() for entry in (one, other)]
    again = await cluster.resend(other, submission)
    served = [
        await serve_one(
            cluster, sender, find_key_with_home(cluster, domain="kariakoo", home=home.vm) + "0"
        )
        for sender, home in ((one, other), (other, one))
    ]

    assert_that(silenced, AllMatch(GreaterThan(0)))
    assert_that(again, Equals(first))
    assert_that(served, Equals([ALL_ECHOES, ALL_ECHOES]))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


# -- pauses and mass cancellation ------------------------------------------------------


async def cancel(cluster: Cluster, entry: EntryProcess, key: str) -> dict:
    url = f"{entry.callers}/v1/submissions?tenant=school&key={key}"
    async with cluster.session.delete(url) as response:
        return await response.json()


def is_idle(cluster: Cluster) -> Callable[[], Awaitable[bool]]:
    """Return a condition that holds once no task is queued or placed on a worker."""

    async def idle() -> bool:
        statuses = [await cluster.status(entry) for entry in cluster.live_entries()]
        queued = sum(sum(status["queued_by_pool"].values()) for status in statuses)
        placed = sum(worker["placed"] for status in statuses for worker in status["workers"])
        return queued == 0 and placed == 0

    return idle


async def stop_calls(cluster: Cluster) -> list[int]:
    """Return the number of stop calls that each worker has received."""
    calls = [await cluster.get(worker.url + "/calls") for worker in cluster.worker_by_vm.values()]
    return [kinds.get("stop", 0) for kinds in calls]


async def submit_until_accepted(cluster: Cluster, entry: EntryProcess, name: str) -> str:
    """Submit a job without waiting for its end; return the key under which it was accepted.

    An entry that is paused for longer than its seat lease, as on a busy machine, has to open
    another seat and no longer knows whether older keys were granted. It answers 504
    ``home_changed``, and the job is submitted again under a new key.
    """
    for attempt in range(ACCEPT_ATTEMPTS):
        key = f"{name}-{attempt}"
        job = make_submission(key=key, tasks=4, sleep_ms=20_000)
        status, answer = await cluster.submit(entry, job, wait=False)
        if status == 202:
            return key
        assert_that((status, answer["reason"]), Equals((504, "home_changed")))
    raise AssertionError(f"{name}: not accepted under any key")


async def test_submissions_held_up_by_a_pause_are_told_what_is_known(
    cluster: Cluster,
):
    """Submissions that arrive while their home is paused are answered 504 ``home_changed``.

    The entry is paused for longer than its seat lease, and reads the submissions afterwards. Its
    seat is closed by then, and under its next seat it can't know whether older keys were granted.
    So the outcome is unknown, never ``not_run``, although nothing has run. A new key is accepted.
    """
    await cluster.open(domains=ONE_DOMAIN)
    # Keys created earlier than this have an unknown outcome at any home.
    await cluster.outlast_clock_margin()
    keys = keys_at(cluster, home="entry-0", count=8)
    answers = await submit_into_a_pause(cluster, keys)
    assert_that({answer["reason"] for _, answer in answers}, Equals({"home_changed"}))
    assert_that({status for status, _ in answers}, Equals({504}))
    entry = cluster.entry_by_vm["entry-0"]
    assert_that(
        await submit_until_accepted(cluster, entry, "kariakoo/new"), Equals("kariakoo/new-0")
    )


async def test_submissions_delayed_by_a_pause_of_an_entry_that_is_not_their_home(cluster: Cluster):
    # Guards against answering "not run" for a job that runs, and "unknown" for one whose state the
    # home knows.
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.outlast_clock_margin()
    keys = keys_at(cluster, home="entry-1", count=8)
    answers = await submit_into_a_pause(cluster, keys)
    started = {task.partition("@")[0] for task in await cluster.starts_by_task()}
    for key, (status, answer) in zip(keys, answers, strict=True):
        if status == 202:
            continue
        assert_that((status, answer["outcome"], answer["reason"]), Equals(NOT_RUN_ANSWER))
        assert_that(started, Not(Contains(key)))
    again = [make_submission(key=key) for key in keys]
    entry = cluster.entry_by_vm["entry-0"]
    ends = await asyncio.gather(*(cluster.resend(entry, submission) for submission in again))
    assert_that({answer["outcome"] for answer in ends}, Equals({"completed"}))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


NOT_RUN_ANSWER = (503, "not_run", "no_worker")


def keys_at(cluster: Cluster, *, home: str, count: int) -> list[str]:
    """Return keys whose home is the given entry."""
    keys = (f"kariakoo/held-{number}" for number in itertools.count())
    return list(itertools.islice((k for k in keys if cluster.home_of(k).vm == home), count))


async def submit_into_a_pause(cluster: Cluster, keys: list[str]) -> list[tuple[int, dict]]:
    """Send new submissions to entry-0 while it is paused; resume it once its seat is closed."""
    entry = cluster.entry_by_vm["entry-0"]
    jobs = [make_submission(key=key) for key in keys]
    entry.signal(signal.SIGSTOP)
    calls = [asyncio.ensure_future(cluster.submit(entry, job, wait=False)) for job in jobs]
    await wait_logged(cluster, cluster.entry_by_vm["entry-1"], "CloseSeat(")
    entry.signal(signal.SIGCONT)
    return await asyncio.gather(*calls)


async def test_cancel_wave_leaves_nothing_behind(cluster: Cluster):
    """Cancelling many jobs at once leaves no queued tasks and gives correct outcomes.

    100 jobs are submitted without waiting, some start, and all are cancelled at once. Guards
    against cancelled tasks that stay in a queue or its length, and against a ``not_run`` answer
    for a job that is cancelled while it is being started.
    """
    pools = {"braille": {"admission": "bounded"}}
    await cluster.open(domains=ONE_DOMAIN, pools=pools)
    entry = cluster.entry_by_vm["entry-0"]
    names = [f"kariakoo/wave-{number}" for number in range(CANCELLED_JOBS)]
    keys = await asyncio.gather(*(submit_until_accepted(cluster, entry, name) for name in names))
    await cluster.wait_started(1)

    answers = await asyncio.gather(*(cancel(cluster, entry, key) for key in keys))
    await cluster.wait_for("nothing queued, nothing placed", is_idle(cluster))

    assert_that([answer["reason"] for answer in answers], AllMatch(Equals("cancelled")))
    started = {task.partition("@")[0] for task in await cluster.starts_by_task()}
    told_not_run = {k for k, a in zip(keys, answers, strict=True) if a["outcome"] == "not_run"}
    assert_that(started & told_not_run, Equals(set()))
    assert_that(len(told_not_run), GreaterThan(0))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_cancelled_job_costs_a_worker_one_stop(cluster: Cluster):
    """Cancelling a job sends one stop call to each of its workers.

    A job fills all slots and is cancelled five times at once. Guards against flooding the
    workers with a stop call per task or per cancellation.
    """
    await cluster.open(domains={"kariakoo": (1, 2)})
    entry = cluster.entry_by_vm["entry-0"]
    job = make_submission(key="kariakoo/a", tasks=16, sleep_ms=20_000)
    await cluster.submit(entry, job, wait=False)
    await cluster.wait_started(16)

    answers = await asyncio.gather(*(cancel(cluster, entry, job["key"]) for _ in range(5)))
    await cluster.wait_for("nothing placed", is_idle(cluster))

    assert_that({answer["outcome"] for answer in answers}, Equals({answers[0]["outcome"]}))
    assert_that(await stop_calls(cluster), Equals([1, 1]))


# -- owner failure during a log outage -------------------------------------------------


async def test_owner_killed_while_the_log_is_down(cluster: Cluster):
    """A double failure of owner and log does not start a task twice.

    The log service goes down, a job starts, and its owner is killed. The caller resubmits the job
    to the other entry, and once more after the log is back. Guards against a home that loses its
    grants, or that assumes that a seat which it can't close has nothing running.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    await cluster.outlast_clock_margin()
    owner, other = cluster.entry_by_vm.values()
    submission = make_submission(key=find_key_with_home(cluster, domain="kariakoo", home=other.vm))
    await cluster.control(cluster.log, down=True)
    await cluster.wait_for("no log", without_log(cluster, [owner, other]))
    await cluster.submit(owner, {**submission, "attempt": 1}, wait=False)
    await cluster.wait_started(8)

    await owner.kill()
    _, meanwhile = await cluster.submit(other, {**submission, "attempt": 2})
    await cluster.control(cluster.log, down=False)
    await cluster.wait_settled()
    final = await cluster.resend(other, submission)

    assert_that(meanwhile["outcome"], MatchesAny(Equals("not_run"), Equals("outcome_unknown")))
    assert_that(final["outcome"], Equals("outcome_unknown"))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
