"""Changes of a key's home while the key is in use."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.cluster import Cluster
from tests.samples import find_key_with_home, make_submission
from tests.test_ownership import AT_MOST_ONCE
from zincwell.core._membership import Seat, home_of_key
from zincwell.settings import TimingSettings


async def test_entry_that_joins_learns_what_was_granted(cluster: Cluster):
    """A resend finds its answer after another entry has joined and become home to the key.

    Guards against a double start after a VM was added: a job runs, an entry joins its domain
    and becomes home to its key, and the caller sends the key again. The key must be in what the
    previous home and the owner hand over to the new home.
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
    """Return a condition that holds once twice the clock margin has passed from now on.

    Keys created then count as newer than the homes that exist now.
    """
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

    Guards against a double start by a delayed message. The first attempt is delayed; the second
    runs at the entry that is home to the key; that entry dies and another becomes home; the
    first attempt arrives there. Its number shows only that no attempt was sent before it, not
    that none has run.
    """
    await cluster.open(domains={"kariakoo": (3, 2)})
    key = find_key_with_home(cluster, domain="kariakoo", home="entry-2")
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

    Guards against a double start after a VM died: a home grants a key to itself, runs it and
    is killed, and the caller sends the key again. The new home must not treat the handover of
    the dead home from when the entries started as complete for later grants.
    """
    await cluster.open(domains={"kariakoo": (3, 2)})
    key = find_key_with_home(cluster, domain="kariakoo", home="entry-2")
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
    """A restarted entry does not answer for jobs of its earlier run.

    Guards against a double start after a restart. An entry runs a job, is killed and starts
    again at the same address; the caller sends the key to another entry, which asks that address
    for the answer. The call must name the run (incarnation) that owned the key, or the new run
    would reply that the key never started.
    """
    await cluster.open(domains={"kariakoo": (2, 2)})
    owner, other = cluster.entry_by_vm.values()
    key = find_key_with_home(cluster, domain="kariakoo", home=other.vm)
    submission = make_submission(key=key)
    await cluster.submit(owner, submission)

    await owner.kill()
    born = await cluster.add_entry("kariakoo", vm=owner.vm)
    owner.relay.set_target(born.fields["peers"])
    await cluster.wait_settled()
    again = await cluster.resend(other, submission)

    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)
    assert_that(again["outcome"], Equals("outcome_unknown"))
