"""Entries of the store that others wrote, or that can't be read."""

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
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def encode(**changes) -> bytes:
    fields = {key: value for key, value in {**WORKER, **changes}.items() if value is not None}
    return json.dumps(fields).encode()


def test_a_whole_entry_names_a_worker():
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
def test_an_entry_of_another_writer_names_no_worker(changes: dict):
    # Symptom: orders go to an address that no worker listens on, or to one in a state that may
    # not be used. Sequence: another writer's entry is read from the list of workers. Cause:
    # fields that are missing or of another type are filled in or converted.
    with pytest.raises(DocumentError):
        decode_worker("w", encode(**changes))


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.sampled_from(sorted(WORKER)), ANYTHING)
def test_any_value_is_read_or_refused(field: str, value: object):
    try:
        info = decode_worker("w", json.dumps({**WORKER, field: value}).encode())
    except DocumentError:
        return
    assert_that(info, IsInstance(WorkerInfo))


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=80), st.integers(0, 80))
def test_any_bytes_are_read_or_refused(noise: bytes, cut: int):
    # Whole records, cut short and with noise in place of what comes after.
    content = bytes([1]) + b"w" + encode()
    body = struct.pack(">QQI", 5, 0, len(content)) + content
    for broken in (noise, body[:cut] + noise, body + noise):
        try:
            page = RecordDecoder().parse(Topic.WORKERS, 4, broken)
        except StoreUnavailableError:
            continue
        assert_that(page.end >= 4, Is(True))


def test_the_other_records_hold():
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
    named = [r.key for r in page.records if r.value is not None]
    assert_that(named, HasLength(3))
    assert_that((named[0], named[-1]), Equals(("a", "c")))


@pytest.mark.looptime
async def test_unreadable_claims_and_entries_stop_nothing(world: World):
    # Symptom: an entry follows no change of the owner any more. Sequence: a record of the topic
    # of entries can't be read. Cause: the error ends the task that follows the topic.
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
async def test_a_worker_of_an_unknown_service_is_left_alone(world: World):
    # Symptom: after a take-over jobs wait for 1.4 s. Sequence: the list names a worker of a
    # service that the configuration does not have, at an address where nothing answers. Cause: the
    # owner waits for it to show what it runs.
    await world.open()
    stray = WorkerInfo(id="x", service="other", address="x", zone="a", cpu=64_000, memory_mb=1)
    world.list_worker(stray)
    await asyncio.sleep(2)
    sessions = world.nodes[world.owners()[0]]._owner._workers.sessions_by_id
    assert_that("x" in sessions, Is(False))
    assert_that(len(sessions), Equals(len(world.workers)))
