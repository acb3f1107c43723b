"""Store records that other programs wrote or that are malformed."""

from __future__ import annotations

import asyncio
import json
import struct

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
from zincwell.platform._store import RecordDecoder
from zincwell.platform._wire import decode_worker

WORKER = {
    "service": "svc",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 100},
    "labels": ["a"],
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
    ],
)
def test_an_invalid_record_is_rejected(changes: dict):
    # If missing fields got defaults or wrong types were converted, runs would be sent to addresses
    # without a worker, or to workers in a state that doesn't allow it.
    with pytest.raises(DocumentError):
        decode_worker("w", encode(**changes))


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
    assert_that(valid_keys, HasLength(3))
    assert_that((valid_keys[0], valid_keys[-1]), Equals(("a", "c")))


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
