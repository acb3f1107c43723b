"""What other programs write: it costs the item alone, whatever it is."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
from collections.abc import Callable

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from tests.dispatch_world import World, make_job
from zincwell.dispatch._cells import decode_layout
from zincwell.dispatch._election import decode_claim
from zincwell.dispatch._node import decode_entry
from zincwell.dispatch._types import Route
from zincwell.dispatch.ports import (
    PeerCallError,
    StoreUnavailableError,
    Topic,
    WorkerCallError,
)
from zincwell.exceptions import (
    BadRequestError,
    DocumentError,
    MalformedJsonError,
)
from zincwell.listeners._drafts import decode_draft
from zincwell.models import decode_answer, decode_request, decode_submission
from zincwell.platform import _peers, _store, _worker
from zincwell.platform._callers import CallerListener
from zincwell.platform._peers import ENVELOPES_PATH, PeerListener
from zincwell.platform._server import HttpRequest
from zincwell.platform._wire import (
    check_json,
    decode_configuration,
    decode_hold,
    decode_job,
    decode_worker,
)

ROUTE = Route(name="r", host="h", prefix="/q/", service="svc")
ENTRY = {"name": "e", "address": "1.2.3.4:5", "zone": "a", "incarnation": "i"}
TOPICS = (Topic.WORKERS, Topic.CONFIGURATION, Topic.CLAIMS)
LEVELS = 1_200
NEST = {
    "object": b'{"a":' * LEVELS + b"1" + b"}" * LEVELS,
    "list": b"[" * LEVELS + b"]" * LEVELS,
    "open object": b'{"a":' * 100_000,
    "open list": b"[" * 100_000,
}


def decode_worker_reply(body: bytes) -> None:
    decode_hold(_worker._decode("/v1/hold", body))


def decode_records(body: bytes) -> None:
    """Read a record in each of the ways in which the store delivers it."""
    decoder = _store.RecordDecoder()
    item = _store.NewestItem(key="k", offset=0, value=base64.b64encode(body).decode())
    raw = struct.pack(">QQI", 1, 0, len(body) + 2) + b"\x01k" + body
    for topic in TOPICS:
        for key in ("k", "config", "evacuate/a"):
            decoder.decode(topic, key, 0, body)
        decoder.decode_item(topic, item)
        assert_that(len(decoder.parse(topic, 0, raw).records), Equals(1))
        decoder.parse(topic, 0, body)


# Each decoder with the errors that it declares, and a valid document.
DECODERS: dict[str, tuple[Callable[[bytes], object], tuple[type[Exception], ...], dict]] = {
    "job": (
        lambda body: decode_job(body, job_id="0" * 16, route=ROUTE),
        (BadRequestError,),
        {
            "spec": "x",
            "bestEffort": True,
            "steps": [{"count": 2, "cpu": 1, "memMb": 1, "estimateMs": 1.5}, {"count": 1}],
        },
    ),
    "configuration": (
        decode_configuration,
        (DocumentError,),
        {
            "version": 1,
            "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "service": "s", "sloMs": 1}],
            "services": [{"name": "s"}],
            "limits": {"maxBodyBytes": 5},
        },
    ),
    "worker": (
        lambda body: decode_worker("w", body),
        (DocumentError,),
        {
            "service": "s",
            "addr": "h:1",
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 1, "memMb": 1},
            "labels": ["a"],
        },
    ),
    "evacuation": (check_json, (DocumentError,), {}),
    "worker reply": (
        decode_worker_reply,
        (WorkerCallError, DocumentError),
        {
            "clockMs": 1,
            "running": [["j.0.0.0", 1, "", 50]],
            "ended": [[1, "j.0.0.0", 1, "done", ""]],
        },
    ),
    "receipt": (
        lambda body: _peers._decode(body, _peers._decode_receipt),
        (PeerCallError,),
        {"receiver": ENTRY, "fence": 1, "cancelled": [{"type": "cancel", "job": "j"}]},
    ),
    "configuration copy": (
        lambda body: _peers._decode(body, _peers._decode_configuration),
        (PeerCallError,),
        {"version": 1, "routes": []},
    ),
    "appended": (
        lambda body: _store._decode(body, _store._decode_append_body),
        (StoreUnavailableError,),
        {"offset": 1},
    ),
    "newest": (
        _store.decode_newest,
        (StoreUnavailableError,),
        {"items": [{"key": "k", "offset": 1, "value": "YQ=="}], "morePages": False, "end": 2},
    ),
    "records": (decode_records, (StoreUnavailableError,), {"service": "s"}),
    "envelope": (
        _peers._decode_envelope,
        (MalformedJsonError,),
        {
            "sender": ENTRY,
            "sequence": 1,
            "sent_at": 1.0,
            "messages": [
                {
                    "type": "submit",
                    "job": {"id": "j", "spec": "x", "steps": [], "route": "r", "service": "s"},
                },
                {"type": "cancel", "job": "j"},
                {"type": "beat", "fence": 1, "owner": ENTRY, "successors": ["e"]},
                {"type": "workers", "cell": "", "place": 1, "workers": []},
            ],
        },
    ),
    "claim": (decode_claim, (), {"owner": ENTRY, "members": [ENTRY]}),
    "layout": (decode_layout, (), {"cells": [{"name": "c", "domains": ["a"]}]}),
    "entry": (decode_entry, (MalformedJsonError,), ENTRY),
    "submission": (
        decode_submission,
        (BadRequestError,),
        {"key": "k", "created_at": 1.0, "tenant": "t", "service": "s", "tasks": [{"payload": 1}]},
    ),
    "request": (decode_request, (BadRequestError,), {"tenant": "t", "service": "s", "payload": 1}),
    "answer": (decode_answer, (BadRequestError,), {"key": "k", "tasks": []}),
    "draft": (lambda body: decode_draft(body.decode(errors="replace")), (BadRequestError,), {}),
}
NUMBERS = (
    st.integers()
    | st.floats()
    | st.sampled_from([2**63, 2**64, 10**400, -1, 1e308, float("inf"), float("nan")])
)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.sampled_from(["inf", "nan", "\ud800", "1e999", ""]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)


def places(value: object, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values in a document."""
    paths = [path]
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value) if isinstance(value, list) else ()
    )
    for key, inner in items:
        paths += places(inner, (*path, key))
    return paths


def put(document: object, path: tuple, value: object) -> object:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = put(copy[path[0]], path[1:], value)
    return copy


def check(name: str, body: bytes) -> None:
    """Decode a body, which may only raise the errors that the decoder declares."""
    decode, errors, _ = DECODERS[name]
    with contextlib.suppress(*errors):
        decode(body)


@pytest.mark.parametrize("name", DECODERS)
def test_each_decoder_reads_its_valid_document(name: str):
    decode, _, document = DECODERS[name]
    if name != "draft":
        decode(json.dumps(document).encode())


@pytest.mark.parametrize("nest", NEST)
@pytest.mark.parametrize("name", DECODERS)
def test_deep_nesting_leaves_no_decoder_as_another_error(name: str, nest: str):
    # Guards against a record, body or reply that ends the task which reads it.
    document = DECODERS[name][2]
    check(name, NEST[nest])
    for key in [*document, "stray"]:
        others = [json.dumps({k: v})[1:-1].encode() for k, v in document.items() if k != key]
        nested = json.dumps(key).encode() + b":" + NEST[nest]
        check(name, b"{" + b",".join([*others, nested]) + b"}")


@pytest.mark.parametrize("name", DECODERS)
@seed(62)
@settings(max_examples=150, deadline=None, database=None)
@given(data=st.data())
def test_no_decoder_raises_an_undeclared_error(name: str, data: st.DataObject):
    # Guards against the same for values, types and bytes that nobody thought of.
    document = DECODERS[name][2]
    path = data.draw(st.sampled_from(places(document)))
    body = json.dumps(put(document, path, data.draw(VALUES))).encode()
    if data.draw(st.booleans()):
        start = data.draw(st.integers(0, len(body)))
        end = data.draw(st.integers(start, len(body)))
        body = body[:start] + data.draw(st.binary(max_size=6)) + body[end:]
    check(name, body)


@pytest.mark.looptime
@pytest.mark.parametrize("nest", NEST)
async def test_an_envelope_or_a_body_that_is_nested_too_deeply_is_answered_400(
    world: World, nest: str
):
    # Guards against an answer of 500, which says that the fault is here, and calls for a retry.
    await world.open(zones="a", entries=1)
    node = world.nodes["e-a1"]
    envelope = HttpRequest(method="POST", path=ENVELOPES_PATH, body=NEST[nest])
    assert_that((await PeerListener(node=node).handle(envelope)).status, Equals(400))
    job = HttpRequest(method="POST", path="/q/" + "0" * 16, headers={"host": "h"}, body=NEST[nest])
    assert_that((await CallerListener(node=node).handle(job)).status, Equals(400))


@pytest.mark.parametrize(
    "sizes",
    [
        {"estimateMs": 1e308},
        {"cpu": 10**30},
        {"memMb": 2**63},
        {"gpu": 10**13},
        {"antiAffinity": 10**13},
    ],
)
def test_a_job_of_impossible_size_is_refused(sizes: dict[str, float]):
    # Guards against sums that overflow at the owner, in the middle of a message with other jobs.
    steps = [{"count": 1, **sizes}, {"count": 1, **sizes, "after": [0]}]
    body = json.dumps({"spec": "x", "bestEffort": True, "steps": steps}).encode()
    with pytest.raises(BadRequestError):
        decode_job(body, job_id="0" * 16, route=ROUTE)


@pytest.mark.parametrize(
    "name", ["j.0.-1.0", "j.0.0.-1", "j.0.0", "j.0.0.0.0", "j.0.0.99999999999"]
)
def test_a_worker_that_names_no_task_gives_no_valid_reply(name: str):
    # Guards against a negative number, which would mark the last task of a job as done.
    body = json.dumps({"clockMs": 1, "ended": [[1, name, 1, "done", ""]]}).encode()
    with pytest.raises(DocumentError):
        decode_worker_reply(body)


@pytest.mark.looptime
async def test_a_record_that_no_build_can_read_costs_nobody_else(world: World):
    # Guards against a claim or an entry record of another writer that ends the task which reads it.
    await world.open(zones="a")
    for topic, key in (
        (Topic.CLAIMS, "layout"),
        (Topic.CLAIMS, "owner"),
        (Topic.ENTRIES, "entry/x"),
    ):
        world._append(topic, key, NEST["object"])
    await asyncio.sleep(1)
    world.add_node("e-a9", "a")
    await asyncio.sleep(1)
    outcome = await world.run_job("e-a9", make_job("job"))
    assert_that(outcome.verdict.value, Equals("succeeded"))


@pytest.mark.looptime
async def test_a_message_that_fails_costs_only_itself(
    faulty_world: World, monkeypatch: pytest.MonkeyPatch
):
    # Guards against an envelope whose later messages are lost with one that can't be processed.
    world = faulty_world
    await world.open(zones="a", entries=2)
    owner = world.nodes[world.owners()[0]]
    entry = next(node for node in world.nodes.values() if node is not owner)
    take = owner._owner.submit

    def fail_for_bad_job(request, **arguments):
        if request.id == "bad":
            raise OverflowError("int too large to convert to float")
        take(request, **arguments)

    monkeypatch.setattr(owner._owner, "submit", fail_for_bad_job)
    calls = [
        asyncio.ensure_future(world.run_job(entry.me.name, make_job(name, timeout_ms=1500)))
        for name in ("bad", "good-1", "good-2")
    ]
    outcomes = [(await call).verdict.value for call in calls]
    assert_that(outcomes[1:], Equals(["succeeded", "succeeded"]))
    assert_that(owner.render_metrics(), Contains("zincwell_messages_failed_total 1"))
