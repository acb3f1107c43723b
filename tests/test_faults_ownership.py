"""Homes that change while keys are in use."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.cluster import Cluster
from tests.samples import key_at, make_submission
from tests.test_ownership import AT_MOST_ONCE
from zincwell.core._membership import Seat, home_of_key
from zincwell.settings import TimingSettings


async def test_entry_that_joins_learns_what_was_granted(cluster: Cluster):
    """A resend finds its answer after another entry has joined and become home to the key.

    Symptom: a page is embossed twice after a VM was added. Sequence: a job runs; an entry
    joins its domain and becomes home to its key; the caller sends the key again. Cause: what
    the earlier home and the owner hand over to the new home lacks the key.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    owner, other = cluster.entry_by_vm.values()
    key = _key_homed_at("entry-2", among=["entry-0", "entry-1", "entry-2"])
    await cluster.wait_for("keys newer than the homes", clock_margin_passed())
    submission = make_submission(key=key)
    _, first = await cluster.submit(owner, submission)

    await cluster.add_entry("kariakoo", vm="entry-2")
    await cluster.wait_settled()
    again = await cluster.resend(other, submission)

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(again, Equals(first))


def clock_margin_passed() -> Callable[[], Awaitable[bool]]:
    """Return a condition that holds once keys are surely newer than what started before."""
    until = time.monotonic() + 2 * TimingSettings().clock_margin_s

    async def passed() -> bool:
        return time.monotonic() > until

    return passed


def _key_homed_at(vm: str, *, among: list[str]) -> str:
    seats = [Seat(vm=name, incarnation="", domain="kariakoo", url="") for name in among]
    keys = (f"kariakoo/page-{number}" for number in range(1_000))
    return next(key for key in keys if home_of_key(f"{key}@school", seats).vm == vm)


async def test_first_attempt_overtaken_by_the_second(cluster: Cluster):
    """A first attempt that arrives after the second and a change of homes starts nothing.

    Symptom: a page is embossed twice. Sequence: the first attempt is held up on its way; the
    second runs at the entry that is home to the key; that entry dies and another becomes home;
    the first attempt arrives there. Cause: a first attempt is taken as proof that the key was
    never sent before, but it only says that none was sent before it.
    """
    await cluster.open(domains={"kariakoo": (3, 2)})
    key = key_at(cluster, domain="kariakoo", home="entry-2")
    home, other = cluster.entry_by_vm["entry-2"], cluster.entry_by_vm["entry-1"]
    await cluster.wait_for("keys newer than the homes", clock_margin_passed())
    submission = make_submission(key=key, attempt=1)
    await cluster.submit(home, {**submission, "attempt": 2})

    await home.kill()
    await cluster.wait_settled()
    for _ in range(5):
        _, late = await cluster.submit(other, submission)
        if late["outcome"] != "not_run":
            break

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(late["outcome"], Equals("outcome_unknown"))


async def test_home_that_owned_the_key_is_killed(cluster: Cluster):
    """A key is not granted anew when its home, which ran it itself, is killed.

    Symptom: a page is embossed twice after a VM died. Sequence: a home grants a key to itself
    and runs it; it is killed; the caller sends the key again and the next home grants it.
    Cause: what the home handed over long before, when the entries started, is taken for all
    that it ever granted.
    """
    await cluster.open(domains={"kariakoo": (3, 2)})
    key = key_at(cluster, domain="kariakoo", home="entry-2")
    home, other = cluster.entry_by_vm["entry-2"], cluster.entry_by_vm["entry-1"]
    await cluster.wait_for("keys newer than the homes", clock_margin_passed())
    submission = make_submission(key=key)
    await cluster.submit(home, submission)

    await home.kill()
    await cluster.wait_settled()
    again = await cluster.resend(other, submission)

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(again["outcome"], Equals("outcome_unknown"))


async def test_owner_restarted_at_the_same_address(cluster: Cluster):
    """An entry that was restarted says nothing of what its earlier run has started.

    Symptom: a page is embossed twice after an entry was restarted. Sequence: an entry runs a
    job and is killed; it starts again at the same address; the caller sends the key to another
    entry, which asks that address what became of it and hears that it never started. Cause:
    the question names the key but not the run of the entry that owned it.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    owner, other = cluster.entry_by_vm.values()
    key = key_at(cluster, domain="kariakoo", home=other.vm)
    submission = make_submission(key=key)
    await cluster.submit(owner, submission)

    await owner.kill()
    born = await cluster.add_entry("kariakoo", vm=owner.vm)
    owner.relay.aim(born.fields["peers"])
    await cluster.wait_settled()
    again = await cluster.resend(other, submission)

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(again["outcome"], Equals("outcome_unknown"))
