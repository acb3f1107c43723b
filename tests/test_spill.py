"""Tasks of a full domain run on idle slots of other domains, each started at most once."""

from __future__ import annotations

import asyncio
import signal

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from tests.cluster import Cluster, EntryProcess, WorkerProcess, task_name
from tests.samples import list_outputs, make_submission
from tests.test_ownership import AT_MOST_ONCE

#: 8 slots in the domain of the burst, 16 in the one that lends.
SPILLING = {"braille": {"spill": True}}
TWO_DOMAINS = {"kariakoo": (1, 1), "ubungo": (1, 2)}
EQUAL_DOMAINS = {"kariakoo": (1, 1), "ubungo": (1, 1)}
LONG_MS = 30_000
SLOTS = 8


async def test_burst_in_one_domain_uses_idle_slots_of_another(cluster: Cluster):
    """Tasks of a full domain run on idle slots of another, each started once.

    A job with five times as many tasks as the domain has slots arrives. An entry that used only
    workers of its own domain would queue the tasks while other domains' workers are idle.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner = _entry_of(cluster, "kariakoo")

    _, answer = await cluster.submit(owner, _burst(tasks=40, sleep_ms=400))

    assert_that(list_outputs(answer), Equals(list(range(40))))
    assert_that(len(await _starts_in(cluster, "ubungo")), GreaterThan(7))
    assert_that(sorted((await cluster.starts_by_task()).values()), Equals([1] * 40))


async def test_spill_off_keeps_tasks_in_their_domain(cluster: Cluster):
    """A pool with spill turned off uses no workers of other domains."""
    await cluster.open(domains=TWO_DOMAINS)
    owner = _entry_of(cluster, "kariakoo")

    _, answer = await cluster.submit(owner, _burst(tasks=40, sleep_ms=100))

    assert_that(list_outputs(answer), Equals(list(range(40))))
    assert_that(await _starts_in(cluster, "ubungo"), Equals([]))


async def test_own_tasks_of_a_lender_run_before_spilled_tasks(cluster: Cluster):
    """A domain with queued tasks of its own starts no spilled tasks before them.

    A burst of another domain runs on idle slots; then the lending domain receives more tasks of
    its own than it has slots. If it admitted spilled tasks like its own, its own tasks would
    wait behind the burst.
    """
    await cluster.open(domains=EQUAL_DOMAINS, pools=SPILLING)
    owner, lender = _entry_of(cluster, "kariakoo"), _entry_of(cluster, "ubungo")
    own = make_submission(key="ubungo/own", tasks=40, sleep_ms=100)
    sending = asyncio.ensure_future(cluster.submit(owner, _burst(tasks=100, sleep_ms=300)))
    await _wait_for_spilled(cluster, 4)

    _, own_answer = await cluster.submit(lender, own)
    _, answer = await sending

    ids = [start["id"] for start in await _starts_in(cluster, "ubungo")]
    positions = [position for position, name in enumerate(ids) if name.startswith("ubungo/")]
    # Starts sent at the same time can reach the worker in any order, so the first and the last
    # SLOTS own tasks are left out.
    first, last = positions[SLOTS], positions[-SLOTS - 1]
    spilled_between = last - first + 1 - (len(positions) - 2 * SLOTS)
    assert_that(list_outputs(answer), Equals(list(range(100))))
    assert_that(list_outputs(own_answer), Equals(list(range(40))))
    assert_that(spilled_between, Equals(0))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_short_partition_while_spilled_tasks_run(cluster: Cluster):
    """A job completes although its domain was partitioned from the lender for a short time.

    The partition breaks the streams that would have reported the outcomes of the spilled tasks.
    The owner has to watch the tasks on new connections until the partition heals; otherwise it
    would start them twice or lose their outputs.
    """
    cluster.timing = {"lost_grace_s": 20.0}
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner = _entry_of(cluster, "kariakoo")
    sending = asyncio.ensure_future(cluster.submit(owner, _burst(tasks=20, sleep_ms=2_500)))
    await _wait_for_spilled(cluster, 8)

    cluster.cut_domains("kariakoo", "ubungo")
    await cluster.wait_for("noticed", lambda: _has_logged(owner, "watch_lost"))
    cluster.heal_domains("kariakoo", "ubungo")
    _, answer = await sending

    assert_that(list_outputs(answer), Equals(list(range(20))))
    assert_that(sorted((await cluster.starts_by_task()).values()), Equals([1] * 20))


async def test_lasting_partition_while_spilled_tasks_run(cluster: Cluster):
    """A job partitioned from its spilled tasks ends with an unknown outcome, without restarts.

    Spilled tasks run in another domain when a lasting partition begins. An owner that took tasks
    without news for tasks that have not run would start them a second time in its own domain.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner = _entry_of(cluster, "kariakoo")
    submission = _burst(tasks=30, sleep_ms=LONG_MS)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await _wait_for_spilled(cluster, 8)

    cluster.cut_domains("kariakoo", "ubungo")
    _, answer = await sending
    _, own = await cluster.submit(owner, make_submission(key="kariakoo/own", tasks=8))
    cluster.heal_domains("kariakoo", "ubungo")
    _, repeated = await cluster.submit(owner, {**submission, "attempt": 2})

    assert_that(answer["outcome"], Equals("outcome_unknown"))
    assert_that(answer["reason"], Equals("worker_lost"))
    assert_that(repeated, Equals(answer))
    assert_that(list_outputs(own), Equals(list(range(8))))
    await _assert_outcomes_match_ledgers(cluster, submission, answer)


async def test_lender_killed_while_spilled_tasks_run(cluster: Cluster):
    """A job whose lender is killed ends with an unknown outcome, not with a second start.

    The lender is killed while it runs spilled tasks. Its workers go on running them, but no
    process is left that could report the outcome to the owner.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner = _entry_of(cluster, "kariakoo")
    submission = _burst(tasks=30, sleep_ms=LONG_MS)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await _wait_for_spilled(cluster, 8)

    await _entry_of(cluster, "ubungo").kill()
    _, answer = await sending

    assert_that(answer["outcome"], Equals("outcome_unknown"))
    await _assert_outcomes_match_ledgers(cluster, submission, answer)


async def test_lender_restarted_at_its_address_while_spilled_tasks_run(cluster: Cluster):
    """A fence from a restarted lender does not count for tasks that its earlier process ran.

    The lender is killed while it runs spilled tasks, and another process takes its address while
    the owner watches them. The new process has never seen the ids and fences them. Only the
    process that was asked to start a task can prove by a fence that the task has not run; an
    owner that accepts the fence starts the tasks twice.
    """
    cluster.timing = {"lost_grace_s": 12.0}
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner, lender = _entry_of(cluster, "kariakoo"), _entry_of(cluster, "ubungo")
    submission = _burst(tasks=30, sleep_ms=LONG_MS)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await _wait_for_spilled(cluster, 8)

    await lender.kill()
    successor = await cluster.add_entry("ubungo")
    lender.relay.set_target(successor.fields["peers"])
    _, answer = await sending

    assert_that(answer["outcome"], Equals("outcome_unknown"))
    await _assert_outcomes_match_ledgers(cluster, submission, answer)


async def test_lender_paused_while_spilled_tasks_run(cluster: Cluster):
    """A job whose lender is paused past every timeout ends, and nothing is started twice.

    The lender's process is stopped while it runs spilled tasks, with further starts waiting in
    its socket buffers. The owner times out, and the process resumes. The starts sent before the
    pause are still in the buffers then and must not be run.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner, lender = _entry_of(cluster, "kariakoo"), _entry_of(cluster, "ubungo")
    submission = _burst(tasks=60, sleep_ms=300)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await _wait_for_spilled(cluster, 8)

    lender.signal(signal.SIGSTOP)
    _, answer = await sending
    lender.signal(signal.SIGCONT)
    await cluster.wait_for("lender answers", lambda: _answers(cluster, lender))
    _, repeated = await cluster.submit(owner, {**submission, "attempt": 2})

    assert_that(answer["outcome"], Equals("outcome_unknown"))
    assert_that(repeated, Equals(answer))
    await _assert_outcomes_match_ledgers(cluster, submission, answer)


async def test_silent_connection_to_a_lender(cluster: Cluster):
    """A job completes although its open connections to a lender go silent permanently.

    A middlebox between the domains drops the state of the open connections while spilled tasks
    run. As with a worker, the outcomes are written to connections that no longer deliver them,
    and the caller would wait until its deadline for tasks that are done.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner, lender = _entry_of(cluster, "kariakoo"), _entry_of(cluster, "ubungo")
    sending = asyncio.ensure_future(cluster.submit(owner, _burst(tasks=20, sleep_ms=2_000)))
    await _wait_for_spilled(cluster, 8)

    silenced = lender.relay.silence_open_connections()
    _, answer = await sending

    assert_that(silenced, GreaterThan(0))
    assert_that(list_outputs(answer), Equals(list(range(20))))
    assert_that(sorted((await cluster.starts_by_task()).values()), Equals([1] * 20))


async def test_cancelling_a_job_stops_its_spilled_tasks(cluster: Cluster):
    """A cancelled job leaves nothing running in another domain.

    A caller cancels a job with spilled tasks. If stops were sent only to workers of the owner's
    domain, the lender's slots would stay occupied by cancelled work.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner = _entry_of(cluster, "kariakoo")
    submission = _burst(tasks=30, sleep_ms=LONG_MS)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await _wait_for_spilled(cluster, 8)

    query = {"key": submission["key"], "tenant": submission["tenant"]}
    async with cluster.session.delete(owner.callers + "/v1/submissions", params=query) as response:
        await response.read()
    _, answer = await sending

    await cluster.wait_for("spilled tasks stopped", lambda: _is_idle(cluster, "ubungo"))
    assert_that(answer["reason"], Equals("cancelled"))
    await _assert_outcomes_match_ledgers(cluster, submission, answer)


async def test_draining_lender_finishes_its_spilled_tasks(cluster: Cluster):
    """A draining entry exits only after its spilled tasks have ended.

    A lender without jobs of its own callers receives SIGTERM while it runs spilled tasks. If it
    counted only its own jobs, it would exit at once, and a rollout in one domain would fail a
    job of another.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner, lender = _entry_of(cluster, "kariakoo"), _entry_of(cluster, "ubungo")
    sending = asyncio.ensure_future(cluster.submit(owner, _burst(tasks=20, sleep_ms=4_000)))
    await _wait_for_spilled(cluster, 8)

    code = await lender.terminate()
    _, answer = await sending

    assert_that(code, Equals(0))
    assert_that(list_outputs(answer), Equals(list(range(20))))
    assert_that(sorted((await cluster.starts_by_task()).values()), Equals([1] * 20))


async def test_no_lender_is_asked_without_demand(cluster: Cluster):
    """Entries of different domains exchange no leases while each has free slots.

    If each entry kept leases with all others in advance, an idle entry in a system of 28 domains
    would spend its message budget on polling.
    """
    await cluster.open(domains=TWO_DOMAINS, pools=SPILLING)
    owner, lender = _entry_of(cluster, "kariakoo"), _entry_of(cluster, "ubungo")

    for number in range(5):
        await cluster.submit(owner, make_submission(key=f"kariakoo/{number}", tasks=8))

    for entry in (owner, lender):
        assert_that("lender_added" in entry.log_text(), Equals(False))


def test_ledger_counts_a_spilled_task_as_the_task_of_its_owner():
    """Starts of one task in two domains count as two starts of it, though their ids differ."""
    own_id, spilled_id = "kariakoo/a.b@school#3.1", "kariakoo/a.b@school#3.2#0.1"

    assert_that({task_name(own_id), task_name(spilled_id)}, Equals({"kariakoo/a.b@school#3"}))


def _burst(*, tasks: int, sleep_ms: float) -> dict:
    return make_submission(key="kariakoo/burst", tasks=tasks, sleep_ms=sleep_ms)


def _entry_of(cluster: Cluster, domain: str) -> EntryProcess:
    return next(entry for entry in cluster.entry_by_vm.values() if entry.domain == domain)


def _workers_of(cluster: Cluster, domain: str) -> list[WorkerProcess]:
    return [worker for worker in cluster.worker_by_vm.values() if worker.domain == domain]


async def _starts_in(cluster: Cluster, domain: str) -> list[dict]:
    """Return the starts in a domain, in the order of each worker's ledger."""
    ledgers = [await cluster.get(w.url + "/ledger") for w in _workers_of(cluster, domain)]
    return [start for ledger in ledgers for start in ledger]


async def _wait_for_spilled(cluster: Cluster, count: int) -> None:
    """Wait until a number of spilled tasks has been started in the lending domain."""

    async def started() -> bool:
        return len(await _starts_in(cluster, "ubungo")) >= count

    await cluster.wait_for(f"{count} spilled tasks", started)


async def _assert_outcomes_match_ledgers(cluster: Cluster, submission: dict, answer: dict) -> None:
    """Check by the ledgers that no task started twice and that none reported as not run has run.

    :param answer: a final answer that is not complete.
    """
    starts = await cluster.starts_by_task()
    name = f"{submission['key']}@{submission['tenant']}"
    not_run = [task["index"] for task in answer["tasks"] if task["outcome"] == "not_run"]
    assert_that(starts, AT_MOST_ONCE)
    assert_that([starts.get(f"{name}#{index}", 0) for index in not_run], Equals([0] * len(not_run)))
    assert_that(
        [task.get("output") for task in answer["tasks"]], Equals([None] * len(answer["tasks"]))
    )


async def _is_idle(cluster: Cluster, domain: str) -> bool:
    """Tell whether the workers of a domain run nothing according to their leases."""
    call = {"entry": "test", "ttl_s": 1.0}
    leases = [await cluster.post(w.url + "/leases", call) for w in _workers_of(cluster, domain)]
    return all(lease["running"] == 0 for _, lease in leases)


async def _has_logged(entry: EntryProcess, event: str) -> bool:
    return f"event={event}" in entry.log_text()


async def _answers(cluster: Cluster, entry: EntryProcess) -> bool:
    return (await cluster.status(entry))["ready"]
