"""Concurrent claims to the pool."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from zincwell.dispatch._cells import OWNER_KEY
from zincwell.dispatch._election import Election, ElectionObserver
from zincwell.dispatch._types import EntryInfo, OwnerClaim
from zincwell.dispatch.ports import Store, StorePage, StoreRecord, Topic

pytestmark = pytest.mark.looptime

ME = EntryInfo(registered=1, name="me", address="me", zone="a", incarnation="me-0")
OTHER = EntryInfo(name="other", address="other", zone="a", incarnation="other-0")


class RecordingObserver(ElectionObserver):
    """Knows both entries, and records the owners and the preparations reported to it."""

    def __init__(self) -> None:
        self.owners: list[str] = []
        self.preparations = 0

    def on_layout(self, record):
        pass

    async def create_initial_layout(self):
        return False

    def on_owner_contact(self):
        pass

    def on_claiming(self):
        self.preparations += 1

    def on_owner(self, owner, fence, domain):
        self.owners.append(owner.name)

    def on_elected(self, fence, domain):
        self.owners.append(ME.name)

    def known_entries(self):
        return [ME, OTHER]

    def probe(self):
        pass

    def fresh_receipts(self, age_s):
        return []


class StoreWithClaim(Store):
    """A store in which the other entry has claimed the pool.

    :ivar feed: called with the claim while its record is being read.
    """

    def __init__(self) -> None:
        self.claim = OwnerClaim(owner=OTHER, members=[ME, OTHER])
        self.appended: list[int | None] = []
        self.feed = lambda offset, claim: None

    async def newest(self, topic):
        self.feed(18, self.claim)
        value = msgspec.json.encode(self.claim)
        return StorePage(records=[StoreRecord(key=OWNER_KEY, offset=18, value=value)], end=19)

    async def changes(self, topic, *, start, wait_s):
        await asyncio.sleep(wait_s)
        return StorePage(records=[], end=19)

    async def append(self, topic, *, key, value, at=None):
        if topic is Topic.CLAIMS:
            self.appended.append(at)
        return 19


@pytest.mark.parametrize("feed_is_quicker", [True, False])
async def test_a_claim_that_comes_while_claiming_is_followed(feed_is_quicker: bool):
    # Failure: after the loss of all entries, two of them become owner 10 ms apart, and the jobs
    # submitted to the first are refused. An entry decides to claim and reads the store; during the
    # read, the feed delivers another entry's claim. If the newest known claim is looked up only
    # after the read, the other claim seems to be old, and the entry claims as well.
    store, observer = StoreWithClaim(), RecordingObserver()
    election = Election(me=ME, store=store, observer=observer)
    if feed_is_quicker:
        store.feed = election.note_claim
    await election._claim_cell()
    election.close()
    assert_that(store.appended, Equals([]))
    assert_that(observer.owners, Equals(["other"]))


async def test_an_entry_that_finds_another_claim_prepares_nothing():
    # Failure: after a restart of all entries, each of them reads the whole worker list.
    observer = RecordingObserver()
    election = Election(me=ME, store=StoreWithClaim(), observer=observer)
    await election._claim_cell()
    election.close()
    assert_that(observer.preparations, Equals(0))
