"""The platform fails in its own ways, connections go silent, and callers cancel in waves."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Contains, Equals, GreaterThan, MatchesAny, Not

from tests.cluster import Cluster, EntryProcess
from tests.samples import echoes, key_at, make_submission
from tests.test_configuration import publish, wait_in_force
from tests.test_ownership import AT_MOST_ONCE

ONE_DOMAIN = {"kariakoo": (2, 2)}
ALL_ECHOES = list(range(8))
WAVE = 100
TAKE_IN_TRIES = 20


async def serve_one(cluster: Cluster, entry: EntryProcess, key: str) -> list:
    """Run a new job and return its outputs."""
    return echoes(await cluster.submit_to_end(entry, make_submission(key=key)))


async def wait_logged(cluster: Cluster, entry: EntryProcess, event: str) -> None:
    """Wait until an entry has logged an event."""

    async def logged() -> bool:
        return event in entry.log_text()

    await cluster.wait_for(f"{event} at {entry.vm}", logged)


def without_log(cluster: Cluster, entries: list[EntryProcess]) -> Callable[[], Awaitable[bool]]:
    """Return a condition that holds once no entry reaches the log."""

    async def missed() -> bool:
        statuses = [await cluster.status(entry) for entry in entries]
        return not any(status["log_reached"] for status in statuses)

    return missed


# -- the list of VMs -------------------------------------------------------------------


async def test_empty_list_of_vms_is_not_believed(cluster: Cluster):
    """Symptom: all work is refused for want of workers, all of which are fine.

    Sequence: the list of VMs comes back empty, again and again; jobs come in. Cause: entries
    believe the list more than the workers that answer them.
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
    """Symptom: an outage of the list alone stops the service.

    Sequence: the list stops to answer; jobs come in; it returns with one more worker. Cause:
    no list is taken for an empty one, or the entry gives up reading it.
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


# -- connections gone silent -----------------------------------------------------------


async def test_log_connections_gone_silent(cluster: Cluster):
    """Symptom: a change is accepted and never comes into force at some entries.

    Sequence: what lies between forgets the open connections to the log; a change is
    published. Cause: the entries wait for ever on reads that nobody will answer.
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
    """Symptom: an entry can't claim keys, nor fetch answers, of a peer that is well.

    Sequence: a job runs; what lies between forgets the open connections of the two entries;
    the caller sends it again to the other entry, then a new key to each. Cause: calls go on
    into kept connections that no longer lead anywhere.
    """
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.outlast_clock_margin()
    one, other = cluster.entry_by_vm.values()
    submission = make_submission(key=key_at(cluster, domain="kariakoo", home=other.vm))
    _, first = await cluster.submit(one, submission)

    silenced = [entry.relay.silence_open_connections() for entry in (one, other)]
    again = await cluster.resend(other, submission)
    served = [
        await serve_one(cluster, sender, key_at(cluster, domain="kariakoo", home=home.vm) + "0")
        for sender, home in ((one, other), (other, one))
    ]

    assert_that(silenced, AllMatch(GreaterThan(0)))
    assert_that(again, Equals(first))
    assert_that(served, Equals([ALL_ECHOES, ALL_ECHOES]))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


# -- cancel waves ----------------------------------------------------------------------


async def cancel(cluster: Cluster, entry: EntryProcess, key: str) -> dict:
    url = f"{entry.callers}/v1/submissions?tenant=school&key={key}"
    async with cluster.session.delete(url) as response:
        return await response.json()


def is_idle(cluster: Cluster) -> Callable[[], Awaitable[bool]]:
    """Return a condition that holds once nothing is queued or placed."""

    async def idle() -> bool:
        statuses = [await cluster.status(entry) for entry in cluster.live_entries()]
        queued = sum(sum(status["queued_by_pool"].values()) for status in statuses)
        placed = sum(worker["placed"] for status in statuses for worker in status["workers"])
        return queued == 0 and placed == 0

    return idle


async def stop_calls(cluster: Cluster) -> list[int]:
    """Return how many stop messages each worker has had."""
    calls = [await cluster.get(worker.url + "/calls") for worker in cluster.worker_by_vm.values()]
    return [kinds.get("stop", 0) for kinds in calls]


async def take_in(cluster: Cluster, entry: EntryProcess, name: str) -> str:
    """Hand a job in without waiting for its end; return the key under which it was taken in.

    An entry that stands still for longer than its seat's lease, as on a busy machine, has to open
    another seat, and can't know then what became of keys that are older. It says so, and a caller
    that has not waited for anything takes a new key.
    """
    for attempt in range(TAKE_IN_TRIES):
        key = f"{name}-{attempt}"
        job = make_submission(key=key, tasks=4, sleep_ms=20_000)
        status, answer = await cluster.submit(entry, job, wait=False)
        if status == 202:
            return key
        assert_that((status, answer["reason"]), Equals((504, "home_changed")))
    raise AssertionError(f"{name}: not taken in")


async def test_submissions_held_up_by_a_pause_are_told_what_is_known(cluster: Cluster):
    """Symptom: a submission is answered 504 though nothing of it has run.

    Sequence: the entry stands still for longer than its seat's lease while submissions come; then
    it reads them. Cause: its seat is closed by then, and under the next one it can't know whether
    keys made before were granted. The answer says "unknown", never "not run", and a new key is
    served.
    """
    await cluster.open(domains=ONE_DOMAIN)
    # Sooner, keys of any home would count as unknown.
    await cluster.outlast_clock_margin()
    keys = keys_at(cluster, home="entry-0", count=8)
    answers = await submit_into_a_pause(cluster, keys)
    assert_that({answer["reason"] for _, answer in answers}, Equals({"home_changed"}))
    assert_that({status for status, _ in answers}, Equals({504}))
    entry = cluster.entry_by_vm["entry-0"]
    assert_that(await take_in(cluster, entry, "kariakoo/new"), Equals("kariakoo/new-0"))


async def test_submissions_held_up_by_a_pause_of_another_entry_than_their_home(cluster: Cluster):
    # Guards against "not run" said of what runs, and "unknown" of what the home knows.
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.outlast_clock_margin()
    keys = keys_at(cluster, home="entry-1", count=8)
    answers = await submit_into_a_pause(cluster, keys)
    started = {task.partition("@")[0] for task in await cluster.starts_by_task()}
    for key, (status, answer) in zip(keys, answers, strict=True):
        if status == 202:
            continue
        assert_that((status, answer["outcome"], answer["reason"]), Equals(TOLD_NOT_RUN))
        assert_that(started, Not(Contains(key)))
    again = [make_submission(key=key) for key in keys]
    entry = cluster.entry_by_vm["entry-0"]
    ends = await asyncio.gather(*(cluster.resend(entry, submission) for submission in again))
    assert_that({answer["outcome"] for answer in ends}, Equals({"completed"}))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


TOLD_NOT_RUN = (503, "not_run", "no_worker")


def keys_at(cluster: Cluster, *, home: str, count: int) -> list[str]:
    """Return keys whose home is the entry named."""
    keys = (f"kariakoo/held-{number}" for number in itertools.count())
    return list(itertools.islice((k for k in keys if cluster.home_of(k).vm == home), count))


async def submit_into_a_pause(cluster: Cluster, keys: list[str]) -> list[tuple[int, dict]]:
    """Send new submissions to entry-0 while it stands still; it goes on once its seat is closed."""
    entry = cluster.entry_by_vm["entry-0"]
    jobs = [make_submission(key=key) for key in keys]
    entry.signal(signal.SIGSTOP)
    calls = [asyncio.ensure_future(cluster.submit(entry, job, wait=False)) for job in jobs]
    await wait_logged(cluster, cluster.entry_by_vm["entry-1"], "CloseSeat(")
    entry.signal(signal.SIGCONT)
    return await asyncio.gather(*calls)


async def test_cancel_wave_leaves_nothing_behind(cluster: Cluster):
    """Symptom: after a wave of cancels the queue stays long, or a caller hears an untruth.

    Sequence: 100 jobs are sent without waiting, some start; all are cancelled at once.
    Cause: a count or a list of what waits keeps cancelled tasks, or a job that was being
    started while it was cancelled is told as one that didn't run.
    """
    pools = {"braille": {"admission": "bounded"}}
    await cluster.open(domains=ONE_DOMAIN, pools=pools)
    entry = cluster.entry_by_vm["entry-0"]
    names = [f"kariakoo/wave-{number}" for number in range(WAVE)]
    keys = await asyncio.gather(*(take_in(cluster, entry, name) for name in names))
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
    """Symptom: a wave of cancels floods the workers with messages.

    Sequence: a job fills all slots; it's cancelled five times at once.
    Cause: a stop is sent for each task or for each cancel instead of one for all of them.
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


# -- the owner dies while the log is down ----------------------------------------------


async def test_owner_killed_while_the_log_is_down(cluster: Cluster):
    """Symptom: a page is embossed twice after two things failed at once.

    Sequence: the log goes down; a job starts; its owner is killed; the caller sends it again
    to the other entry, then once more when the log is back. Cause: the home forgets what it
    granted, or takes a seat that it can't close for one that has nothing running.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    await cluster.outlast_clock_margin()
    owner, other = cluster.entry_by_vm.values()
    submission = make_submission(key=key_at(cluster, domain="kariakoo", home=other.vm))
    await cluster.control(cluster.log, down=True)
    await cluster.wait_for("no log", without_log(cluster, [owner, other]))
    await cluster.submit(owner, {**submission, "attempt": 1}, wait=False)
    await cluster.wait_started(8)

    await owner.kill()
    _, meanwhile = await cluster.submit(other, {**submission, "attempt": 2})
    await cluster.control(cluster.log, down=False)
    await cluster.wait_settled()
    finally_told = await cluster.resend(other, submission)

    assert_that(meanwhile["outcome"], MatchesAny(Equals("not_run"), Equals("outcome_unknown")))
    assert_that(finally_told["outcome"], Equals("outcome_unknown"))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
