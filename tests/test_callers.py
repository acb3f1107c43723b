"""Callers' interface: limits, malformed input, polling, cancellation and the client library."""

from __future__ import annotations

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

import zincwell
from tests.cluster import Cluster
from tests.samples import list_outputs, make_submission
from tests.test_ownership import AT_MOST_ONCE
from zincwell.exceptions import BadRequestError
from zincwell.models import decode_request, decode_submission

ONE_DOMAIN = {"kariakoo": (2, 2)}
NESTING_DEPTH = 100_000

MALFORMED = {
    "not JSON": (b"{", "truncated"),
    "not an object": (b"[]", "object"),
    "no key": (b'{"created_at":1,"tenant":"a","service":"b","tasks":[{"payload":1}]}', "key"),
    "empty key": (
        b'{"key":"","created_at":1,"tenant":"a","service":"b","tasks":[{"payload":1}]}',
        "$.key",
    ),
    "key with a space": (
        b'{"key":"a b","created_at":1,"tenant":"a","service":"b","tasks":[{"payload":1}]}',
        "$.key",
    ),
    "no tasks": (b'{"key":"k","created_at":1,"tenant":"a","service":"b","tasks":[]}', "$.tasks"),
    "too many tasks": (
        b'{"key":"k","created_at":1,"tenant":"a","service":"b","tasks":['
        + b",".join([b'{"payload":1}'] * 1_201)
        + b"]}",
        "$.tasks",
    ),
    "unknown field": (
        b'{"key":"k","created_at":1,"tenant":"a","service":"b","tasks":[{"payload":1}],"x":1}',
        "`x`",
    ),
    "deadline of nothing": (
        b'{"key":"k","created_at":1,"tenant":"a","service":"b","tasks":[{"payload":1}],'
        b'"deadline_ms":0}',
        "$.deadline_ms",
    ),
    "deeply nested": (
        b'{"key":"k","created_at":1,"tenant":"a","service":"b","tasks":[{"payload":'
        + b"[" * NESTING_DEPTH
        + b"]" * NESTING_DEPTH
        + b"}]}",
        "nested too deeply",
    ),
    "not UTF-8": (b'{"key":"\xff"}', ""),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_submission_names_the_field(name: str):
    body, named = MALFORMED[name]

    with pytest.raises(BadRequestError) as raised:
        decode_submission(body)

    assert_that(str(raised.value), Contains(named))


def test_malformed_request_names_the_field():
    with pytest.raises(BadRequestError) as raised:
        decode_request(b'{"tenant":"a","service":"b","payload":1,"idempotent":"yes"}')

    assert_that(str(raised.value), Contains("$.idempotent"))


async def test_bad_requests_are_answered_and_lose_nothing(cluster: Cluster):
    await cluster.open(domains=ONE_DOMAIN)
    entry = cluster.entry_by_vm["entry-0"]
    url = entry.callers + "/v1/submissions"
    running = asyncio.ensure_future(
        cluster.submit(entry, make_submission(key="kariakoo/a", sleep_ms=500))
    )
    await cluster.wait_started(8)

    seen = []
    for body, _ in MALFORMED.values():
        async with cluster.session.post(url, data=body) as response:
            seen.append((response.status, (await response.json())["reason"]))
    async with cluster.session.post(url, data=b"x" * (9 << 20)) as response:
        too_long = (response.status, (await response.json())["reason"])
    async with cluster.session.get(url + "?tenant=school") as response:
        no_key = (response.status, (await response.json())["detail"])
    future = make_submission(key="kariakoo/b", created_at=time.time() + 60)
    status, answer = await cluster.submit(entry, future)
    unknown = await cluster.submit(entry, make_submission(key="kariakoo/c", service="nothing"))
    _, completed = await running

    assert_that(set(seen), Equals({(400, "bad_request")}))
    assert_that(too_long, Equals((413, "bad_request")))
    assert_that(no_key, Equals((400, "missing query parameter `key`")))
    assert_that((status, answer["reason"]), Equals((400, "created_in_future")))
    assert_that((unknown[0], unknown[1]["reason"]), Equals((404, "unknown_service")))
    assert_that(completed["outcome"], Equals("completed"))
    assert_that(len(await cluster.ledger()), Equals(8))


async def test_poll_and_cancel_at_any_entry(cluster: Cluster):
    """A submission sent with ``wait=0`` can be polled and cancelled at another entry."""
    await cluster.open(domains=ONE_DOMAIN)
    one, other = cluster.entry_by_vm.values()
    quick = make_submission(key="kariakoo/quick", sleep_ms=100)
    long = make_submission(key="kariakoo/long", tasks=40, sleep_ms=20_000)

    accepted = [await cluster.submit(one, sent, wait=False) for sent in (quick, long)]
    query = "?tenant=school&key=kariakoo/"
    base = other.callers + "/v1/submissions" + query

    async def is_done() -> bool:
        return (await cluster.get(base + "quick"))["outcome"] == "completed"

    await cluster.wait_for("quick done", _false_on_key_error(is_done))
    polled = await cluster.get(base + "quick")
    running = await cluster.get(base + "long")
    async with cluster.session.delete(base + "long") as response:
        cancelled = await response.json()
    unknown = await cluster.get(base + "nothing")

    assert_that([status for status, _ in accepted], Equals([202, 202]))
    assert_that(list_outputs(polled), Equals(list(range(8))))
    assert_that(running["reason"], Equals("running"))
    assert_that(cancelled["reason"], Equals("cancelled"))
    assert_that(cancelled["outcome"] in ("failed", "outcome_unknown"), Equals(True))
    assert_that(unknown["outcome"], Equals("outcome_unknown"))
    started = {s["id"] for s in await cluster.ledger() if "long" in s["id"]}
    assert_that(len(started), LessThan(17))


async def test_refusal_has_retry_after(cluster: Cluster):
    """A refused submission is answered at once, with Retry-After and ``retry_after_ms``."""
    await cluster.open(domains={"kariakoo": (1, 1)}, pools={"braille": {"queue_target_ms": 1}})
    entry = cluster.entry_by_vm["entry-0"]
    sending = asyncio.ensure_future(
        cluster.submit(entry, make_submission(key="kariakoo/a", tasks=60, sleep_ms=300))
    )
    await cluster.wait_started(8)

    url = entry.callers + "/v1/requests"
    refused = {"tenant": "school", "service": "transcriber", "payload": {"sleep_ms": 1}}
    submission = make_submission(key="kariakoo/b", tasks=200)
    async with cluster.session.post(entry.callers + "/v1/submissions", json=submission) as response:
        status, headers, answer = response.status, response.headers, await response.json()
    await cluster.post(url, refused)
    await sending

    assert_that((status, answer["outcome"]), Equals((503, "not_run")))
    assert_that(answer["reason"], Equals("overload"))
    assert_that(answer["retry_after_ms"], GreaterThan(0))
    assert_that(int(headers["Retry-After"]), GreaterThan(0))


async def test_client_resubmits_past_a_killed_entry(cluster: Cluster):
    """The client library resubmits to another entry under the same key if one is dead."""
    await cluster.open(domains=ONE_DOMAIN)
    dead, alive = cluster.entry_by_vm.values()
    urls = [entry.callers for entry in cluster.entry_by_vm.values()]
    await dead.kill()
    await cluster.wait_settled()

    async with zincwell.Client(urls=urls, tenant="school") as client:
        answers = [await client.submit("transcriber", [{"echo": n}]) for n in range(6)]

    assert_that([a.outcome for a in answers], Equals([zincwell.Outcome.COMPLETED] * 6))
    assert_that([a.tasks[0].json() for a in answers], Equals(list(range(6))))
    assert_that(await cluster.starts_by_task(), AT_MOST_ONCE)


async def test_blocking_client(cluster: Cluster):
    await cluster.open(domains={"kariakoo": (1, 1)})
    urls = [cluster.entry_by_vm["entry-0"].callers]

    def use() -> list:
        with zincwell.BlockingClient(urls=urls, tenant="school") as client:
            key = client.make_key()
            job = client.submit("transcriber", [{"echo": "page"}], key=key)
            call = client.request("transcriber", {"echo": "cue"}, idempotent=True)
            again = client.submit("transcriber", [{"echo": "page"}], key=key)
            return [job, call, again]

    job, call, again = await asyncio.to_thread(use)

    assert_that([job.tasks[0].json(), call.tasks[0].json()], Equals(["page", "cue"]))
    assert_that(again, Equals(job))
    assert_that(len(await cluster.ledger()), Equals(2))


def _false_on_key_error(condition):
    """Wrap a condition so that an answer without an outcome counts as false."""

    async def checked() -> bool:
        try:
            return await condition()
        except KeyError:
            return False

    return checked
