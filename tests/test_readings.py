"""How old what was read from the store is, and whether it is all of it."""

from __future__ import annotations

import asyncio
import struct

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from zincwell.dispatch._feeds import TopicFollower
from zincwell.dispatch.ports import Store, StorePage, StoreRecord, Topic
from zincwell.platform._store import RecordDecoder

pytestmark = pytest.mark.looptime

PAUSE_S = 0.4


class BusyStore(Store):
    """A store to which somebody writes all the time.

    :param answer_s: time until an answer comes; it says what held when it was asked for.
    :param records_per_s: how many records come.
    :param page_records: how many records an answer has at most.
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


async def test_a_reading_is_as_old_as_its_question():
    # Guards against an answer that was long on its way and is taken for what holds now.
    store = BusyStore(answer_s=2.0, records_per_s=0, page_records=10)
    opened_at = asyncio.get_running_loop().time()
    follower = follow(store)
    await asyncio.sleep(2.1)
    follower.close()
    assert_that(follower.offset, Equals(0))
    assert_that(follower.read_at - opened_at, LessThan(0.1))


async def test_a_reader_that_is_behind_reads_on_and_does_not_count_as_up_to_date():
    # Guards against a list that falls behind more and more and looks new.
    store = BusyStore(answer_s=0.01, records_per_s=1000, page_records=100)
    follower = follow(store)
    await asyncio.sleep(10)
    follower.close()
    assert_that(store.end() - follower.offset, LessThan(1000 * (PAUSE_S + 0.1)))


def test_an_answer_that_is_cut_says_so():
    # Guards against records that the store did not send in one answer and nobody asks for.
    body = struct.pack(">QQ", 12, 0) + struct.pack(">I", 3) + b"\x01kv"
    page = RecordDecoder().parse(Topic.CLAIMS, 10, body)
    assert_that(page.records, HasLength(1))
    assert_that(page.complete, Is(False))
