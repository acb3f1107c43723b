"""At most one start of each task under failures of owners, homes and links."""

from __future__ import annotations

import asyncio
import signal

from testtools.assertions import assert_that
from testtools.matchers import AfterPreprocessing, AllMatch, Equals, LessThan

from tests.cluster import Cluster
from tests.samples import find_key_with_home, list_outputs, make_submission

ONE_DOMAIN = {"kariakoo": (2, 2)}
THREE_ENTRIES = {"kariakoo": (3, 2)}
TWO_DOMAINS = {"kariakoo": (2, 2), "ubungo": (2, 2)}

#: Matches counts of starts by task in which no task started twice.
AT_MOST_ONCE = AfterPreprocessing(lambda starts: starts.values(), AllMatch(LessThan(2)))


async def test_owner_killed_mid_job_then_resent(cluster: Cluster):
    """A resend after the owner died gets an unknown outcome and starts nothing.

    Guards against a double start: an entry runs a job and is killed, and the caller resends the
    key to another entry. No other entry knows which tasks the dead one had started.
    """
    await cluster.open(domains=ONE_DOMAIN)
    owner = cluster.entry_by_vm["entry-0"]
    key = find_key_with_home(cluster, domain="kariakoo", home="entry-1")
    submission = make_submission(key=key, sleep_ms=400)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await cluster.wait_started(8)

    await owner.kill()
    await asyncio.gather(sending, return_exceptions=True)
    other = cluster.entry_by_vm["entry-1"]
    _, answer = await cluster.submit(other, {**submission, "attempt": 2})

    assert_that(answer["outcome"], Equals("outcome_unknown"))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_home_killed_mid_job_then_resent(cluster: Cluster):
    """A resend finds its running job although the home that granted it is dead.

    Guards against a double start: the home grants a key and is killed, and another entry
    becomes home. A home keeps its grants in memory only, so the new home must learn of the
    grant from the owner.
    """
    await cluster.open(domains=THREE_ENTRIES)
    key = find_key_with_home(cluster, domain="kariakoo", home="entry-2")
    submission = make_submission(key=key, tasks=16, sleep_ms=4_000)
    owner, other = cluster.entry_by_vm["entry-0"], cluster.entry_by_vm["entry-1"]
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await cluster.wait_started(16)

    await cluster.entry_by_vm["entry-2"].kill()
    await cluster.wait_settled()
    again = await cluster.resend(other, submission)
    _, answer = await sending

    assert_that(again, Equals(answer))
    assert_that(list_outputs(answer), Equals(list(range(16))))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_home_paused_past_its_lease_grants_nothing_on_waking(cluster: Cluster):
    """A home that was replaced while paused does not grant its old keys after resuming.

    Guards against a double start: the home is paused, its seat is closed and another entry
    grants the key; the first home resumes with a claim of the same key in its socket. A paused
    process does not notice that time has passed, so it must check its lease for each grant.
    """
    await cluster.open(domains=THREE_ENTRIES)
    home = cluster.entry_by_vm["entry-2"]
    owner, other = cluster.entry_by_vm["entry-0"], cluster.entry_by_vm["entry-1"]
    key = find_key_with_home(cluster, domain="kariakoo", home="entry-2")
    submission = make_submission(key=key, tasks=4)

    home.signal(signal.SIGSTOP)
    waiting = asyncio.ensure_future(cluster.submit(owner, submission))
    await cluster.wait_for("seat closed", lambda: _seat_is_closed(cluster, owner, home.vm))
    _, first = await waiting
    again = asyncio.ensure_future(cluster.submit(other, {**submission, "attempt": 2}))
    await asyncio.sleep(0)
    home.signal(signal.SIGCONT)
    _, second = await again
    _, third = await cluster.submit(home, {**submission, "attempt": 3})

    assert_that(first["outcome"], Equals("not_run"))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    for answer in (second, third):
        if answer["outcome"] == "not_run":
            assert_that(await cluster.starts_by_task(), Equals({}))


async def test_cut_domain_serves_its_own_and_refuses_truly(cluster: Cluster):
    """Both sides of a cut serve their own keys, and no key starts on both.

    Guards against a job that runs on both sides of a partition: two domains are cut from each
    other and the same key is sent on both sides. Neither side knows what the other has granted,
    so only the side of the key's domain may grant it.
    """
    await cluster.open(domains=TWO_DOMAINS)
    kariakoo = next(e for e in cluster.entry_by_vm.values() if e.domain == "kariakoo")
    ubungo = next(e for e in cluster.entry_by_vm.values() if e.domain == "ubungo")
    submission = make_submission(key="kariakoo/page-1")

    cluster.cut_domains("kariakoo", "ubungo")
    _, here = await cluster.submit(kariakoo, submission)
    status, there = await cluster.submit(ubungo, {**submission, "attempt": 2})
    _, own = await cluster.submit(ubungo, make_submission(key="ubungo/page-1"))
    cluster.heal_domains("kariakoo", "ubungo")
    _, healed = await cluster.submit(ubungo, {**submission, "attempt": 3})

    assert_that(here["outcome"], Equals("completed"))
    assert_that(own["outcome"], Equals("completed"))
    assert_that((status, there["outcome"]), Equals((504, "outcome_unknown")))
    assert_that(there["retry_after_ms"] > 0, Equals(True))
    assert_that(healed, Equals(here))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_first_attempt_in_a_cut_is_truly_not_run(cluster: Cluster):
    """An entry that can't reach a key's home answers ``not_run``, and nothing has run.

    Guards against a caller that is left waiting, or gets ``not_run`` for a job that has run: a
    key of a domain that is cut off is sent for the first time. Its home can't be reached, and
    only the home may grant it.
    """
    await cluster.open(domains=TWO_DOMAINS)
    ubungo = next(e for e in cluster.entry_by_vm.values() if e.domain == "ubungo")

    cluster.cut_domains("kariakoo", "ubungo")
    status, answer = await cluster.submit(ubungo, make_submission(key="kariakoo/page-1"))

    assert_that((status, answer["outcome"]), Equals((503, "not_run")))
    assert_that(answer["reason"], Equals("home_unreachable"))
    assert_that(await cluster.starts_by_task(), Equals({}))


async def test_same_key_at_all_entries_at_once(cluster: Cluster):
    """A key sent to every entry at the same moment starts once and answers all.

    Guards against a double start of hedged requests: the same submission reaches four entries
    within a millisecond, and none of them knows of the others.
    """
    await cluster.open(domains=TWO_DOMAINS)
    await cluster.outlast_clock_margin()
    submission = make_submission(key="kariakoo/page-1", attempt=None, tasks=20)

    entries = cluster.entry_by_vm.values()
    answers = await asyncio.gather(*(cluster.submit(entry, submission) for entry in entries))

    assert_that([status for status, _ in answers], Equals([200] * 4))
    assert_that([answer for _, answer in answers], AllMatch(Equals(answers[0][1])))
    assert_that(sorted((await cluster.starts_by_task()).values()), Equals([1] * 20))


async def test_key_reused_for_other_work_is_refused(cluster: Cluster):
    """Two callers that pick the same key do not get each other's answer.

    Guards against an answer that reaches the wrong caller: the same key arrives with other
    tasks, at the owner and at another entry. The digest of the submission tells them apart.
    """
    await cluster.open(domains=ONE_DOMAIN)
    owner, other = cluster.entry_by_vm.values()
    await cluster.submit(owner, make_submission(key="kariakoo/page-1", tasks=2))
    reused = make_submission(key="kariakoo/page-1", tasks=3, attempt=None)

    answers = [await cluster.submit(entry, reused) for entry in (owner, other)]

    for status, answer in answers:
        assert_that((status, answer["reason"]), Equals((422, "key_reused")))
    assert_that(len(await cluster.ledger()), Equals(2))


async def _seat_is_closed(cluster: Cluster, entry, vm: str) -> bool:
    return vm not in (await cluster.status(entry))["seats"]


async def test_home_that_was_also_owner_is_killed(cluster: Cluster):
    """A key whose home was also its owner and died is not granted again by the next home.

    Guards against a double start, which showed four times under load with one entry killed. An
    entry starts and hands over its keys; later it is home and owner of a job and is killed. The
    new home must not treat the early handover as complete for what the dead home granted later.
    """
    await cluster.open(domains=ONE_DOMAIN)
    await cluster.outlast_clock_margin()
    owner, other = cluster.entry_by_vm["entry-0"], cluster.entry_by_vm["entry-1"]
    key = find_key_with_home(cluster, domain="kariakoo", home="entry-0")
    submission = make_submission(key=key, sleep_ms=300)
    sending = asyncio.ensure_future(cluster.submit(owner, submission))
    await cluster.wait_started(8)

    await owner.kill()
    await asyncio.gather(sending, return_exceptions=True)
    answer = await cluster.resend(other, submission)

    assert_that(answer["outcome"], Equals("outcome_unknown"))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
