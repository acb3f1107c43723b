"""The HTTP calls of the operators' listener: validation and answers."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsAll, Equals

from tests.lone import DOCUMENT, SingleEntry, open_single_entry
from zincwell.core._publishing import Proposal


class Caller:
    """Calls one entry's operators' listener without a token."""

    def __init__(self, *, url: str, session: aiohttp.ClientSession):
        self._url, self._session = url, session

    async def send(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        async with self._session.request(method, self._url + path, data=body) as response:
            return response.status, msgspec.json.decode(await response.read())

    async def post(self, path: str, value: Any) -> tuple[int, Any]:
        return await self.send("POST", path, msgspec.json.encode(value))


@pytest.fixture
async def lone() -> AsyncIterator[SingleEntry]:
    async with open_single_entry() as lone:
        yield lone


@pytest.fixture
async def caller(lone: SingleEntry) -> AsyncIterator[Caller]:
    async with aiohttp.ClientSession() as session:
        yield Caller(url=lone.url, session=session)


def make_proposal(*, base: int, change_id: str = "a", weight: float = 3.0) -> dict[str, Any]:
    document = copy.deepcopy(DOCUMENT)
    document["tenants"]["school"]["weight"] = weight
    return {"id": change_id, "base": base, "document": document}


async def test_check_shows_what_a_document_would_change(lone: SingleEntry, caller: Caller):
    status, answer = await caller.post("/v1/config/check", make_proposal(base=0)["document"])

    patch = {"tenants": {"school": {"weight": 3.0}}}
    assert_that((status, answer["version"], answer["patch"]), Equals((200, 0, patch)))
    assert_that(lone.entry.configuration.version, Equals(0))


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff", b'{"domains": 7}', b"[" * 20_000])
async def test_check_of_malformed_document(caller: Caller, body: bytes):
    status, answer = await caller.send("POST", "/v1/config/check", body)

    assert_that(status, Equals(400))
    assert_that(answer["error"], Contains(" "))


@pytest.mark.parametrize(
    ("changes", "expected_detail"),
    [
        ({"base": "x"}, "$.base"),
        ({"id": None}, "$.id"),
        ({"document": []}, "$.document"),
        ({"why": "x"}, "why"),
        ({"document": {**DOCUMENT, "pools": {}}}, "$.services.transcriber.pool"),
    ],
)
async def test_malformed_proposal_is_refused_with_its_field(
    lone: SingleEntry, caller: Caller, changes: dict[str, Any], expected_detail: str
):
    status, answer = await caller.post("/v1/config", {**make_proposal(base=0), **changes})

    assert_that(status, Equals(400))
    assert_that(answer["detail"], Contains(expected_detail))
    assert_that(lone.entry.configuration.version, Equals(0))


@pytest.mark.parametrize("body", [b"\xff", b"[" * 20_000])
async def test_proposal_that_is_not_json(caller: Caller, body: bytes):
    status, answer = await caller.send("POST", "/v1/config", body)

    assert_that((status, answer["reason"]), Equals((400, "bad_request")))


async def test_unknown_path_and_method(caller: Caller):
    missing, answer = await caller.send("GET", "/v2/config")
    wrong, _ = await caller.send("DELETE", "/v1/config")

    assert_that((missing, wrong), Equals((404, 405)))
    assert_that(answer["reason"], Equals("bad_request"))


async def test_proposal_at_an_entry_that_has_not_read_its_base(lone: SingleEntry):
    """A change whose base this entry is about to read is not rejected as conflicting.

    An operator publishes twice in a row. The first change is accepted at one entry, the second
    goes to another that is a few milliseconds behind. If each base that differs from the version
    read were taken for older, the second would be rejected without any change in between.
    """
    proposal = msgspec.convert(make_proposal(base=1), Proposal)
    publishing = asyncio.ensure_future(lone.entry.publisher.publish(proposal))
    await asyncio.sleep(0)  # Let publish() run until it waits for version 1.
    await lone.publish({"tenants": {"radio": {}}}, change_id="theirs")

    verdict = (await publishing).ok_value

    assert_that((verdict.accepted, verdict.version), Equals((True, 2)))


async def test_proposal_at_an_entry_that_stays_behind(
    lone: SingleEntry, caller: Caller, monkeypatch: pytest.MonkeyPatch
):
    """An entry that does not reach the base of a change refuses it as ``entry_behind``."""
    monkeypatch.setattr("zincwell.core._publishing.VERDICT_TIMEOUT_S", 0.1)
    status, answer = await caller.post("/v1/config", make_proposal(base=7))

    assert_that((status, answer["reason"]), Equals((425, "entry_behind")))
    assert_that(answer["detail"], ContainsAll(["7", "0"]))
