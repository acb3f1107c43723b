"""Store records that other programs wrote or that are malformed."""

from __future__ import annotations

import asyncio
import base64
import json
import struct

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, IsInstance

from tests.dispatch_world import World
from tests.pool_jobs import finish, other_than, submit, verdicts
from zincwell.dispatch._cells import OWNER_KEY
from zincwell.dispatch._types import Verdict, WorkerInfo
from zincwell.dispatch.ports import StoreUnavailableError, Topic
from zincwell.exceptions import DocumentError
from zincwell.platform._http import HttpClientResponse
from zincwell.platform._store import HttpStore, RecordDecoder
from zincwell.platform._wire import MAX_BORN_MS, WorkerReplyBody, decode_hold, decode_worker

WORKER = {
    "service": "svc",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 100},
    "labels": ["a", "r4-4"],
    "born": 1_800_000_000_000,
}
ANY_JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def encode(**changes) -> bytes:
    fields = {key: value for key, value in {**WORKER, **changes}.items() if value is not None}
    return json.dumps(fields).encode()


def test_a_complete_record_is_decoded():
    info = decode_worker("w", encode(capacity={"cpu": 64000.0, "memMb": 100, "gpu": 2}))
    assert_that((info.cpu, info.memory_mb, info.gpu, info.draining), Equals((64000, 100, 2, False)))
    assert_that(decode_worker("w", encode(state="draining")).draining, Is(True))
    assert_that((info.born_ms, info.kind), Equals((1_800_000_000_000, "a")))
    without = decode_worker("w", encode(born=None, labels=[]))
    assert_that((without.born_ms, without.kind), Equals((0, "")))


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"addr": None},
        {"zone": None},
        {"state": None},
        {"capacity": None},
        {"service": 7},
        {"addr": "nowhere"},
        {"addr": "10.0.0.1:80/path"},
        {"zone": ["a"]},
        {"state": "resting"},
        {"capacity": "64000"},
        {"capacity": {"cpu": "64000"}},
        {"capacity": {"cpu": -1}},
        {"capacity": {"cpu": 1e300}},
        {"labels": "a"},
        {"labels": ["a", 7]},
        {"labels": {"a": "r4-4"}},
        {"born": True},
        {"born": -1},
        {"born": "1800000000000"},
        {"born": 1.5},
        {"born": [1_800_000_000_000]},
        {"born": MAX_BORN_MS + 1},
        {"addr": "10.0.0.1:65536"},
    ],
)
def test_an_invalid_record_is_rejected(changes: dict):
    # If missing fields got defaults or wrong types were converted, runs would be sent to addresses
    # without a worker, or to workers in a state that doesn't allow it.
    with pytest.raises(DocumentError):
        decode_worker("w", encode(**changes))


def test_a_null_born_is_rejected():
    with pytest.raises(DocumentError):
        decode_worker("w", json.dumps({**WORKER, "born": None}).encode())


@pytest.mark.parametrize("key", ["", "w\ufffd", "w\x00", "w\n", "\ud800"])
def test_a_key_that_is_not_text_names_no_worker(key: str):
    # Guards against sessions with an id that no worker has: a byte that is not valid text was
    # replaced in it, or it can't be sent in the header of a call.
    with pytest.raises(DocumentError):
        decode_worker(key, encode())


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.sampled_from(sorted(WORKER)), ANY_JSON_VALUE)
def test_any_value_is_decoded_or_rejected(field: str, value: object):
    try:
        info = decode_worker("w", json.dumps({**WORKER, field: value}).encode())
    except DocumentError:
        return
    assert_that(info, IsInstance(WorkerInfo))


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=80), st.integers(0, 80))
def test_any_bytes_are_parsed_or_rejected(noise: bytes, cut: int):
    # Random bytes, a truncated response followed by random bytes, and one with trailing bytes.
    content = bytes([1]) + b"w" + encode()
    body = struct.pack(">QQI", 5, 0, len(content)) + content
    for malformed in (noise, body[:cut] + noise, body + noise):
        try:
            page = RecordDecoder().parse(Topic.WORKERS, 4, malformed)
        except StoreUnavailableError:
            continue
        assert_that(page.end >= 4, Is(True))


def test_malformed_records_do_not_affect_others():
    decoder = RecordDecoder()
    contents = [
        b"\x01a" + encode(),
        b"\x01b{",
        b"\x02\xff\xfe" + encode(),
        b"",
        b"\x01c" + encode(),
    ]
    body = struct.pack(">QQ", 5, 0)
    body += b"".join(struct.pack(">I", len(content)) + content for content in contents)
    page = decoder.parse(Topic.WORKERS, 0, body)
    assert_that(page.end, Equals(5))
    valid_keys = [r.key for r in page.records if r.value is not None]
    assert_that(valid_keys, Equals(["a", "c"]))


def test_a_record_with_a_cut_off_key_does_not_delete_another():
    # Guards against an overlong key that is cut off to the id of a worker: the record then has no
    # value, which would delete that worker's record.
    content = b"\x09w"
    body = struct.pack(">QQI", 1, 0, len(content)) + content
    records = RecordDecoder().parse(Topic.WORKERS, 0, body).records
    assert_that([record.key for record in records], Equals([""]))


ODD_RECORD = st.one_of(
    st.binary(max_size=60),
    ANY_JSON_VALUE.map(lambda value: json.dumps(value).encode()),
    st.tuples(st.sampled_from(sorted(WORKER)), ANY_JSON_VALUE).map(
        lambda change: json.dumps({**WORKER, change[0]: change[1]}).encode()
    ),
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.binary(max_size=6), ODD_RECORD), max_size=4), st.integers(0, 4))
def test_records_of_other_writers_affect_no_good_record_of_a_read(
    strays: list[tuple[bytes, bytes]], place: int
):
    contents = [bytes([len(key)]) + key + value for key, value in strays if key != b"good"]
    contents.insert(min(place, len(contents)), b"\x04good" + encode())
    body = struct.pack(">QQ", len(contents), 0)
    body += b"".join(struct.pack(">I", len(content)) + content for content in contents)
    page = RecordDecoder().parse(Topic.WORKERS, 0, body)
    good = [record.value for record in page.records if record.key == "good"]
    assert_that(good, Equals([decode_worker("good", encode())]))
    assert_that(page.end, Equals(len(contents)))
    for record in page.records:
        if record.value is not None:
            assert_that(record.value, IsInstance(WorkerInfo))
            # Each listed worker can be sent to other entries.
            assert_that(msgspec.json.decode(msgspec.json.encode(record.value)), IsInstance(dict))


class OnePageHttp:
    """Answers each call of the store's client with the same page."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def call(self, *_, **__) -> HttpClientResponse:
        return HttpClientResponse(200, self._body)


def read_newest(body: bytes) -> dict[str, object]:
    """Return the values of a page of the newest records, by key."""
    store = HttpStore(address="store:1", http=OnePageHttp(body))
    page = asyncio.run(store.newest(Topic.WORKERS))
    return {record.key: record.value for record in page.records if record.value is not None}


def make_item(key: str, value: bytes) -> dict:
    return {"key": key, "offset": 3, "value": base64.b64encode(value).decode()}


GOOD = make_item("good", encode())


@pytest.mark.parametrize(
    "stray",
    [
        b'{"key": "\xff", "offset": 1, "value": "e30="}',
        b'{"key": "\\ud800", "offset": 1, "value": "e30="}',
        b'{"key": 7, "offset": 1, "value": "e30="}',
        b'{"key": "x", "offset": 1, "value": "no base64"}',
        b'{"key": "x", "offset": 1, "value": 7}',
        b'{"key": "x", "offset": "?", "value": "e30="}',
        b'{"offset": 1}',
        b"null",
        b"[]",
    ],
)
def test_a_malformed_item_of_a_page_is_rejected_alone(stray: bytes):
    # Guards against a read of the list that fails as a whole, each time, until the item is gone:
    # no entry would see leaving or new workers.
    good = json.dumps(GOOD).encode()
    body = b'{"items": [' + good + b", " + stray + b'], "morePages": false, "end": 9}'
    assert_that(read_newest(body), Equals({"good": decode_worker("good", encode())}))


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.one_of(ANY_JSON_VALUE, ODD_RECORD.map(lambda v: make_item("x", v))), max_size=3))
def test_any_items_of_a_page_leave_the_good_ones_valid(strays: list):
    body = json.dumps({"items": [*strays, GOOD], "morePages": False, "end": 9}).encode()
    assert_that(read_newest(body)["good"], Equals(decode_worker("good", encode())))


def test_a_page_without_any_valid_item_is_not_repeated_forever():
    body = b'{"items": [{"key": 7}], "morePages": true, "end": 9}'
    with pytest.raises(StoreUnavailableError):
        read_newest(body)


@pytest.mark.parametrize(
    "rows",
    [
        {"running": [["job.0.0"]]},
        {"running": [["job.0.0.0", "x", "", 0]]},
        {"running": [[7, 1, "", 0]]},
        {"running": [[]]},
        {"ended": [[1, "job.0.0.0", 1, "vanished", ""]]},
        {"ended": [[1, "job.0.0.0"]]},
        {"ended": [[None, "job.0.0.0", 1, "done", ""]]},
    ],
)
def test_a_malformed_row_of_a_hold_response_is_a_document_error(rows: dict):
    # Guards against an error that ends the polling of the worker for good.
    with pytest.raises(DocumentError):
        decode_hold(WorkerReplyBody(clock_ms=1, **rows))


@pytest.mark.looptime
async def test_a_record_overwritten_by_a_malformed_one_leaves_the_others_in_use(world: World):
    await world.open()
    world._append(Topic.WORKERS, "w-a1", b"")
    await asyncio.sleep(1)
    node = world.nodes[world.owners()[0]]
    assert_that("w-a1" in node._worker_list.listed_by_id, Is(False))
    assert_that(len(node._worker_list.listed_by_id), Equals(len(world.workers) - 1))
    jobs = [submit(world, other_than(world), f"job-{n}", run_ms=200) for n in range(3)]
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


@pytest.mark.looptime
async def test_malformed_claims_and_entries_do_not_prevent_failover(world: World):
    # If a malformed record ended the task that reads its topic, the entry would no longer notice
    # owner changes.
    await world.open()
    owner = world.owners()[0]
    world._append(Topic.ENTRIES, "entry/stray", b"\xff{")
    world._append(Topic.CLAIMS, OWNER_KEY, b'{"owner": 3}')
    await asyncio.sleep(0.1)
    world.kill_node(owner)
    await asyncio.sleep(2)
    assert_that(world.owners(), HasLength(1))
    job = submit(world, other_than(world), "job", run_ms=200)
    await finish([job])
    assert_that(verdicts([job]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.looptime
async def test_a_worker_of_an_unknown_service_is_ignored(world: World):
    # The worker list may contain an unreachable worker of a service that is not in the
    # configuration. If a new owner waited for its list of runs, jobs would wait for 1.4 s after a
    # failover.
    await world.open()
    stray = WorkerInfo(id="x", service="other", address="x", zone="a", cpu=64_000, memory_mb=1)
    world.list_worker(stray)
    await asyncio.sleep(2)
    sessions = world.nodes[world.owners()[0]]._owner._workers.sessions_by_id
    assert_that("x" in sessions, Is(False))
    assert_that(len(sessions), Equals(len(world.workers)))
