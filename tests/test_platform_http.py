"""Platform adapter: settings, and HTTP to the store, to workers and from callers."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan, MatchesStructure

from zincwell.dispatch._types import (
    Configuration,
    JobRequest,
    Outcome,
    Route,
    TaskId,
    Verdict,
    WorkerInfo,
)
from zincwell.dispatch.ports import (
    EndKind,
    RecordsGoneError,
    StartOrder,
    StartStatus,
    StoreConflictError,
    StoreUnavailableError,
    Topic,
    WorkerCallError,
    WorkerFencedError,
    WorkerReplacedError,
)
from zincwell.exceptions import SettingsError
from zincwell.platform._callers import CallerListener
from zincwell.platform._http import HttpClient
from zincwell.platform._server import HttpServer
from zincwell.platform._settings import read_settings
from zincwell.platform._store import HttpStore
from zincwell.platform._wire import decode_configuration
from zincwell.platform._worker import HttpWorkerClient

SETTINGS = """\
nodeName=front-1
zone=kariakoo
ip=10.1.0.13
listen.front=10.1.0.13:8161
listen.ready=10.1.0.13:8167
portRange=7720,7735
platform.addr=10.200.1.7:8169
limits.cpuShare=0.5
limits.cores=2
bounds.maxHoldMs=800
bounds.graceS=5
bounds.drainMs=1500
somethingNew=1
"""
JOB_ID = "5c0e7a21d94b36f8"
TASK = TaskId(JOB_ID, 1, 17)
JOB = {"spec": "text", "bestEffort": True, "steps": [{"count": 2, "cpu": 500, "estimateMs": 90}]}


class Peer:
    """A server that responds with the status and body that the test has set for the path."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, dict, bytes]] = []
        self.responses: dict[str, tuple[int, bytes]] = {}
        self.headers: list[dict] = []

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.calls.append((request.path, dict(request.query), await request.read()))
        self.headers.append(dict(request.headers))
        status, body = self.responses[request.path]
        return web.Response(status=status, body=body)

    def set_response(self, path: str, status: int, body: object = b"") -> None:
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.responses[path] = (status, raw)


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """A client session."""
    async with aiohttp.ClientSession() as session:
        yield session


async def serve(handler) -> tuple[asyncio.AbstractServer, str]:
    """Serve a handler at a free port; return the server and its address."""
    server = web.Server(handler)
    listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    return listener, f"{host}:{port}"


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    """A server with scripted responses, at ``peer.address``."""
    peer = Peer()
    listener, peer.address = await serve(peer.handle)
    yield peer
    listener.close()


@pytest.fixture
async def http() -> AsyncIterator[HttpClient]:
    """The HTTP client of the adapter."""
    http = HttpClient()
    yield http
    http.close()


@pytest.fixture
def store(peer: Peer, http: HttpClient) -> HttpStore:
    """The client of the store."""
    return HttpStore(address=peer.address, http=http)


@pytest.fixture
def workers(http: HttpClient) -> HttpWorkerClient:
    """The client of workers."""
    return HttpWorkerClient(http=http)


@pytest.fixture
def worker(peer: Peer) -> WorkerInfo:
    """A worker whose address is the server with scripted responses."""
    return WorkerInfo(
        id="i-1", service="svc", address=peer.address, zone="a", cpu=64_000, memory_mb=1_000
    )


class FakePendingJobs:
    """Gives every job the same outcome."""

    def __init__(self) -> None:
        self.outcome = Outcome(verdict=Verdict.SUCCEEDED)
        self.jobs: list[JobRequest] = []
        self.waited_s: list[float] = []

    async def run(
        self, request: JobRequest, *, arrived_at: float, sent_since: float | None
    ) -> Outcome:
        self.waited_s.append(asyncio.get_running_loop().time() - arrived_at)
        self.jobs.append(request)
        return self.outcome

    def cancel(self, job_id: str) -> bool:
        return job_id == JOB_ID

    def is_pending(self, job_id: str) -> bool:
        return job_id == JOB_ID


class FakeNode:
    """The parts of a node that the listener for callers uses."""

    def __init__(self) -> None:
        route = Route(name="r", host="h.example", prefix="/q/", service="svc", priority=1)
        self.configuration: Configuration | None = Configuration(
            version=1, routes=[route], max_body_bytes=2_000
        )
        self.pending_jobs = FakePendingJobs()
        self.leaving = False
        self.refusing = False
        self.pending_by_route = {"r": 3}

    async def wait_for_configuration(self) -> Configuration | None:
        return self.configuration


@pytest.fixture
async def node() -> FakeNode:
    """A node with one route."""
    return FakeNode()


@pytest.fixture
async def callers(node: FakeNode) -> AsyncIterator[str]:
    """URL of a listener for callers."""
    listener = CallerListener(node=node)
    server = HttpServer(handler=listener.handle, body_limit=listener.body_limit)
    yield f"http://{await server.listen('127.0.0.1:0')}"
    server.close()


# -- settings ---------------------------------------------------------------------------------


def test_settings_are_read_and_unknown_fields_ignored(tmp_path: Path):
    path = tmp_path / "local.conf"
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert_that(settings.peers, Equals("10.1.0.13:7720"))
    assert_that(settings.peers_advertised, Equals("10.1.0.13:7720"))
    assert_that(settings.cores, Equals(1.0))
    assert_that(
        settings.limits,
        MatchesStructure.byEquality(
            max_lease_s=0.8, thaw_slack_s=0.3, drain_grace_s=5, leave_notice_s=1.5
        ),
    )


def test_advertised_address_may_differ_from_listen_address(tmp_path: Path):
    path = tmp_path / "local.conf"
    path.write_text(SETTINGS + "advertise.peers=10.9.0.1:80\n")
    settings = read_settings(path)
    assert_that(settings.peers, Equals("10.1.0.13:7720"))
    assert_that(settings.peers_advertised, Equals("10.9.0.1:80"))


@pytest.mark.parametrize(
    ("line", "replacement", "message"),
    [
        ("zone=kariakoo", "zone=", "zone: missing"),
        ("somethingNew=1", "advertise.peers=there", "advertise.peers: 'there' is not"),
        ("listen.front=10.1.0.13:8161", "listen.front=here", "listen.front: 'here' is not"),
        ("bounds.graceS=5", "bounds.graceS=soon", "bounds.graceS: 'soon' is not a number"),
        ("bounds.graceS=5", "bounds.graceS=-1", "bounds.graceS: '-1' is negative"),
    ],
)
def test_invalid_settings_are_named(tmp_path: Path, line: str, replacement: str, message: str):
    path = tmp_path / "local.conf"
    path.write_text(SETTINGS.replace(line, replacement))
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    assert_that(str(caught.value), Contains(f"{path}: {message}"))


# -- store ------------------------------------------------------------------------------------


async def test_newest_reads_all_pages(store: HttpStore, peer: Peer):
    value = base64.b64encode(b"v").decode()
    page = {"items": [{"key": "a", "value": value, "offset": 4}], "morePages": False, "end": 6}
    peer.set_response("/v1/log-newest", 200, page)
    result = await store.newest(Topic.ENTRIES)
    assert_that(result.end, Equals(6))
    assert_that(result.records[0], MatchesStructure.byEquality(key="a", value=b"v", offset=4))


async def test_changes_are_parsed_and_a_deleted_key_has_no_value(store: HttpStore, peer: Peer):
    records = [b"\x01kvalue", b"\x01k"]
    body = struct.pack(">QQ", 9, 2)
    body += b"".join(struct.pack(">I", len(record)) + record for record in records)
    peer.set_response("/v1/log-read", 200, body)
    page = await store.changes(Topic.ENTRIES, start=7, wait_s=1.5)
    assert_that([(r.offset, r.value) for r in page.records], Equals([(7, b"value"), (8, None)]))
    assert_that(page.end, Equals(9))
    assert_that(peer.calls[0][1]["waitMs"], Equals("1500"))


async def test_append_encodes_the_record_and_its_condition(store: HttpStore, peer: Peer):
    peer.set_response("/v1/log-append", 200, {"offset": 840, "end": 841})
    assert_that(await store.append(Topic.ENTRIES, key="k", value=b"v", at=840), Equals(840))
    _, query, body = peer.calls[0]
    assert_that(query["at"], Equals("840"))
    assert_that(body, Equals(b"\x00\x00\x00\x03\x01kv"))


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (412, StoreConflictError),
        (410, RecordsGoneError),
        (429, StoreUnavailableError),
        (503, StoreUnavailableError),
    ],
)
async def test_store_errors_are_distinguished_by_status(
    store: HttpStore, peer: Peer, status: int, error: type[Exception]
):
    peer.set_response("/v1/log-append", status)
    with pytest.raises(error):
        await store.append(Topic.ENTRIES, key="k", value=b"v", at=1)


async def test_malformed_configuration_has_no_value(store: HttpStore, peer: Peer):
    value = base64.b64encode(b'{"version":"seven"}').decode()
    item = {"key": "config", "value": value, "offset": 1}
    peer.set_response("/v1/log-newest", 200, {"items": [item], "morePages": False, "end": 2})
    page = await store.newest(Topic.CONFIGURATION)
    assert_that(page.records[0].value, Is(None))


# -- workers ----------------------------------------------------------------------------------


def make_order() -> StartOrder:
    return StartOrder(task=TASK, run=2, spec="text", deadline_ms=486_000, fence=7)


@pytest.mark.parametrize(
    ("status", "reason", "expected"),
    [
        (200, "", StartStatus.STARTED),
        (409, "old", StartStatus.SUPERSEDED),
        (409, "late", StartStatus.TOO_LATE),
        (409, "room", StartStatus.NO_ROOM),
        (429, "", StartStatus.UNHEALTHY),
        (503, "", StartStatus.UNHEALTHY),
        (400, "", StartStatus.INVALID),
    ],
)
async def test_start_status_of_each_response(
    workers, worker, peer: Peer, status: int, reason: str, expected: StartStatus
):
    peer.set_response("/v1/run-start", status, {"clockMs": 482_113, "reason": reason})
    reply = await workers.start(worker, make_order(), timeout_s=5)
    assert_that(reply, MatchesStructure.byEquality(status=expected, clock_ms=482_113))
    assert_that(json.loads(peer.calls[0][2])["task"], Equals(f"{JOB_ID}.0.1.17"))
    assert_that(peer.headers[0]["Expect-Instance"], Equals("i-1"))


@pytest.mark.parametrize(
    ("status", "reason", "error"),
    [
        (409, "fence", WorkerFencedError),
        (421, "", WorkerReplacedError),
        (500, "", WorkerCallError),
        (409, "new reason", WorkerCallError),
    ],
)
async def test_start_errors_of_each_response(
    workers, worker, peer: Peer, status: int, reason: str, error: type[Exception]
):
    peer.set_response("/v1/run-start", status, {"clockMs": 1, "reason": reason})
    with pytest.raises(error):
        await workers.start(worker, make_order(), timeout_s=5)


async def test_hold_returns_active_and_ended_runs(workers, worker, peer: Peer):
    name = f"{JOB_ID}.0.1.17"
    body = {"clockMs": 5, "running": [[name, 2, "", 41]], "ended": [[58, name, 1, "alone", ""]]}
    peer.set_response("/v1/hold", 200, body)
    reply = await workers.hold(
        worker, fence=7, acknowledged=57, deadline_ms=486_000, wait_s=0.25, timeout_s=5
    )
    assert_that(reply.running[0], MatchesStructure.byEquality(task=TASK, run=2, percent=41.0))
    assert_that(reply.ended[0], MatchesStructure.byEquality(number=58, run=1, kind=EndKind.BROKEN))
    sent = json.loads(peer.calls[0][2])
    assert_that(sent, Equals({"fence": 7, "lastSeen": 57, "deadlineMs": 486_000, "waitMs": 250}))


async def test_an_unreachable_worker_raises_worker_call_error(workers):
    listener, address = await serve(None)
    listener.close()
    info = WorkerInfo(id="i", service="s", address=address, zone="a", cpu=1, memory_mb=1)
    with pytest.raises(WorkerCallError):
        await workers.start(info, make_order(), timeout_s=5)


# -- callers ----------------------------------------------------------------------------------


async def post(
    session, callers: str, body: object, *, job_id: str = JOB_ID, host: str = "h.example"
):
    raw = body if isinstance(body, bytes) else json.dumps(body)
    url = f"{callers}/q/{job_id}"
    async with session.post(url, data=raw, headers={"Host": host}) as response:
        return response.status, await response.json(), response.headers


async def test_a_job_returns_its_state(session, callers, node: FakeNode):
    status, body, _ = await post(session, callers, JOB)
    assert_that((status, body), Equals((200, {"state": "succeeded"})))
    assert_that(node.pending_jobs.jobs[0].steps[0].cpu, Equals(500))
    assert_that(node.pending_jobs.jobs[0].priority, Equals(1))


async def test_a_starting_entry_holds_no_caller_beyond_its_timeout(
    session, callers, node: FakeNode, monkeypatch: pytest.MonkeyPatch
):
    # Failure: an entry that waits for its first configuration holds a caller with a short timeout,
    # and the job's wait counts from the end of that.
    monkeypatch.setattr(node, "wait_for_configuration", lambda: asyncio.sleep(30))
    began_at = asyncio.get_running_loop().time()
    headers = {"Host": "h.example", "Timeout-Ms": "50"}
    async with session.post(f"{callers}/q/{JOB_ID}", data=json.dumps(JOB), headers=headers) as got:
        assert_that(got.status, Equals(503))
        assert_that(got.headers["Retry-After"], Equals("1"))
    assert_that(asyncio.get_running_loop().time() - began_at, LessThan(5))


async def test_the_wait_of_a_job_counts_from_its_request(
    session, callers, node: FakeNode, monkeypatch: pytest.MonkeyPatch
):
    async def wait_for_configuration():
        await asyncio.sleep(0.05)
        return node.configuration

    monkeypatch.setattr(node, "wait_for_configuration", wait_for_configuration)
    headers = {"Host": "h.example", "Timeout-Ms": "1500"}
    async with session.post(f"{callers}/q/{JOB_ID}", data=json.dumps(JOB), headers=headers) as got:
        assert_that(got.status, Equals(200))
    assert_that(node.pending_jobs.jobs[0].timeout_ms, Equals(1500))
    assert_that(node.pending_jobs.waited_s[0], GreaterThan(0.04))


@pytest.mark.parametrize(
    ("verdict", "status"), [(Verdict.REFUSED, 503), (Verdict.UNKNOWN, 504), (Verdict.FAILED, 200)]
)
async def test_only_jobs_that_never_ran_get_503(session, callers, node, verdict, status):
    node.pending_jobs.outcome = Outcome(verdict=verdict, reason="why", retry_after_s=1.0)
    actual, body, headers = await post(session, callers, JOB)
    assert_that(actual, Equals(status))
    if status != 200:
        assert_that(body, Equals({"error": "why", "retryAfterMs": 1000}))
        assert_that(headers["Retry-After"], Equals("1"))


@pytest.mark.parametrize(
    ("change", "status", "message"),
    [
        ({"spec": 7}, 400, "spec"),
        ({"steps": []}, 400, "steps"),
        ({"steps": [{"count": 0}]}, 400, "steps[0].count"),
        ({"steps": [{"count": 1, "cpu": -1}]}, 400, "steps[0]"),
        ({"steps": [{"count": 1, "after": [0]}]}, 400, "steps[0].after"),
        ({"steps": [{"count": 99_999}]}, 400, "steps[0].count"),
        ({"spec": "x" * 4001}, 413, "body"),
        ({"bestEffort": False}, 501, "bestEffort"),
        ({"times": 3}, 501, "times"),
        ({"steps": [{"count": 1, "gang": True}]}, 501, "steps[0].gang"),
        ({"steps": [{"count": 1, "persistent": True}]}, 501, "steps[0].persistent"),
    ],
)
async def test_invalid_jobs_are_rejected_with_the_field(
    session, callers, node, change, status, message
):
    actual, body, _ = await post(session, callers, {**JOB, **change})
    assert_that(actual, Equals(status))
    assert_that(body["error"], Contains(message))
    assert_that(node.pending_jobs.jobs, Equals([]))


async def test_jobs_of_a_queue_with_tickets_are_rejected(session, callers, node):
    # Workers reject a start without a ticket, so jobs of such a queue would wait until they are
    # late if they were accepted.
    document = {
        "version": 2,
        "routes": [
            {
                "name": "r",
                "host": "h.example",
                "pathPrefix": "/q/",
                "service": "svc",
                "advice": {"decisionMs": 40, "periodMs": 5, "validMs": 3000},
            }
        ],
    }
    node.configuration = decode_configuration(json.dumps(document).encode())
    actual, body, _ = await post(session, callers, JOB)
    assert_that(actual, Equals(501))
    assert_that(body["error"], Contains("advice"))
    assert_that(node.pending_jobs.jobs, Equals([]))


async def test_invalid_json_and_invalid_ids_are_rejected(session, callers):
    assert_that((await post(session, callers, b"{"))[0], Equals(400))
    assert_that((await post(session, callers, JOB, job_id="short"))[0], Equals(400))


async def test_unknown_route_and_missing_configuration(session, callers, node: FakeNode):
    assert_that((await post(session, callers, JOB, host="other"))[0], Equals(404))
    node.configuration = None
    status, _, headers = await post(session, callers, JOB)
    assert_that((status, headers["Retry-After"]), Equals((503, "1")))


async def test_pending_count_job_state_and_cancel(session, callers):
    headers = {"Host": "h.example"}
    async with session.get(f"{callers}/q/", headers=headers) as response:
        assert_that(await response.json(), Equals({"pending": 3}))
    async with session.get(f"{callers}/q/{JOB_ID}", headers=headers) as response:
        assert_that(await response.json(), Equals({"state": "running"}))
    async with session.get(f"{callers}/q/0000000000000000", headers=headers) as response:
        assert_that(response.status, Equals(410))
    async with session.delete(f"{callers}/q/{JOB_ID}", headers=headers) as response:
        assert_that(response.status, Equals(200))


async def test_an_entry_about_to_exit_rejects_and_closes(session, callers, node: FakeNode):
    # During a planned restart an entry that has completed its jobs may get another request on an
    # open connection. If it accepted the request, the process would exit before the response.
    node.leaving = node.refusing = True
    status, body, headers = await post(session, callers, JOB)
    assert_that((status, body["retryAfterMs"]), Equals((503, 1000)))
    assert_that(headers["Connection"], Equals("close"))
    assert_that(node.pending_jobs.jobs, Equals([]))
