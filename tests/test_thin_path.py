"""End-to-end sessions through separate processes, compared with golden files."""

from __future__ import annotations

import time

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from tests.cluster import Cluster
from tests.session import Session

TWO_DOMAINS = {"kariakoo": (1, 2), "ubungo": (1, 2)}


async def test_submission_is_answered_and_a_resend_elsewhere_starts_nothing(
    cluster: Cluster, file_regression
):
    await cluster.open(domains=TWO_DOMAINS)
    one, other = cluster.entry_by_vm.values()
    session = Session()
    submission = {
        "key": "kariakoo/page-1",
        "created_at": time.time(),
        "tenant": "school",
        "service": "transcriber",
        "attempt": 1,
        "tasks": [{"payload": {"sleep_ms": 50, "echo": f"line {n}"}} for n in range(20)],
    }

    session.sent("caller", one.vm, submission)
    status, answer = await cluster.submit(one, submission)
    session.answered("caller", one.vm, status, answer)

    again = {**submission, "attempt": 2}
    session.sent("caller", other.vm, again)
    status, second = await cluster.submit(other, again)
    session.answered("caller", other.vm, status, second)

    session.ledger(await cluster.ledger())
    assert_that(second, Equals(answer))
    assert_that(await cluster.ledger(), HasLength(20))
    file_regression.check(session.text())


async def test_non_idempotent_request_runs_once(cluster: Cluster, file_regression):
    await cluster.open(domains=TWO_DOMAINS)
    entry = cluster.entry_by_vm["entry-0"]
    session = Session()
    request = {
        "tenant": "station",
        "service": "transcriber",
        "payload": {"sleep_ms": 20, "echo": {"cue": 7}},
        "idempotent": False,
    }

    session.sent("caller", entry.vm, request)
    status, answer = await cluster.post(entry.callers + "/v1/requests", request)
    session.answered("caller", entry.vm, status, answer)

    session.ledger(await cluster.ledger())
    assert_that(await cluster.ledger(), HasLength(1))
    file_regression.check(session.text())
