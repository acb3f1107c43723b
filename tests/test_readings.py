"""Age and completeness of records read from the store."""

from __future__ import annotations

import asyncio
import struct

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from zincwell.dispatch._topic_follower import TopicFollower
from zincwell.dispatch.ports import Store, StorePage, StoreRecord, Topic
from zincwell.platform._store import RecordDecoder

pytestmark = pytest.mark.looptime

PAUSE_S = 0.4


class BusyStore(Store):
    """A store with a constant rate of writes.

    :param answer_s: delay of an answer, which has the records at the time of the request.
    :param records_per_s: number of records written per second.
    :param page_records: maximum number of records in an answer.
    """

    def __init__(self, *, answer_s: float, records_per_s: float, page_records: int) -> None:
        self._answer_s = answer_s
        self._records_per_s = records_per_s
        self._page_records = page_records
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._loop.time()

    def end(self) -> int:
        """Return the offset of the next record."""
        return int((self._loop.time() - self._opened_at) * self._records_per_s)

    async def newest(self, topic: Topic) -> StorePage:
        end = self.end()
        await asyncio.sleep(self._answer_s)
        return StorePage(records=[StoreRecord(key="key", offset=end - 1, value=b"1")], end=end)

    async def changes(self, topic: Topic, *, start: int, wait_s: float) -> StorePage:
        end = self.end()
        last = min(end, start + self._page_records)
        await asyncio.sleep(self._answer_s)
        records = [StoreRecord(key="key", offset=n, value=b"1") for n in range(start, last)]
        return StorePage(records=records, end=last, complete=last >= end)

    async def append(self, topic: Topic, *, key: str, value: bytes, at: int | None = None) -> int:
        raise NotImplementedError


def follow(store: Store) -> TopicFollower:
    return TopicFollower(
        store=store,
        topic=Topic.WORKERS,
        on_change=lambda keys: None,
        clock=asyncio.get_running_loop().time,
        pause_s=PAUSE_S,
    )


async def test_the_age_of_a_read_counts_from_its_request():
    # Guards against treating a delayed answer of the store as current.
    store = BusyStore(answer_s=2.0, records_per_s=0, page_records=10)
    opened_at = asyncio.get_running_loop().time()
    follower = follow(store)
    await asyncio.sleep(2.1)
    follower.close()
    assert_that(follower.offset, Equals(0))
    assert_that(follower.read_at - opened_at, LessThan(0.1))


async def test_a_lagging_reader_reads_on_and_does_not_count_as_up_to_date():
    # Guards against a copy that lags behind more and more but counts as up to date. Reads that do
    # not reach the end of the topic must continue without a pause.
    store = BusyStore(answer_s=0.01, records_per_s=1000, page_records=100)
    follower = follow(store)
    await asyncio.sleep(10)
    follower.close()
    assert_that(store.end() - follower.offset, LessThan(1000 * (PAUSE_S + 0.1)))


def test_a_truncated_answer_is_not_complete():
    # Guards against never requesting the records that did not fit into one answer.
    body = struct.pack(">QQ", 12, 0) + struct.pack(">I", 3) + b"\x01kv"
    page = RecordDecoder().parse(Topic.CLAIMS, 10, body)
    assert_that(page.records, HasLength(1))
    assert_that(page.complete, Is(False))
