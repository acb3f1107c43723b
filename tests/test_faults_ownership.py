"""Homes that change while keys are in use."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.cluster import Cluster
from tests.samples import make_submission
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
