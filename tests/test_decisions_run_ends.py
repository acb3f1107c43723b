"""Whether a run has ended that its worker does not list."""

from __future__ import annotations

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from zincwell.dispatch.decisions import MissingRun, judge_missing_run
from zincwell.platform._wire import WorkerReplyBody, decode_hold


@pytest.mark.parametrize(
    ("confirmed_at", "may_start", "refused_since", "verdict"),
    [
        (None, True, None, MissingRun.UNKNOWN),
        (None, False, None, MissingRun.IN_DOUBT),
        (10.0, False, None, MissingRun.UNKNOWN),
        (9.9, False, None, MissingRun.IN_DOUBT),
        (9.0, False, 9.96, MissingRun.UNKNOWN),
        (9.0, False, 9.9, MissingRun.ENDED),
        (None, True, 9.96, MissingRun.UNKNOWN),
        (None, True, 9.9, MissingRun.ENDED),
    ],
)
def test_a_run_ends_only_when_its_worker_has_refused_it_for_as_long_as_a_stop_takes(
    confirmed_at: float | None, may_start: bool, refused_since: float | None, verdict: MissingRun
):
    judged = judge_missing_run(
        asked_at=10.0,
        confirmed_at=confirmed_at,
        refused_since=refused_since,
        stop_timeout_s=0.05,
        may_start=may_start,
    )
    assert_that(judged, Is(verdict))


@pytest.mark.parametrize(("rows", "more"), [(499, False), (500, True)])
def test_a_full_list_of_ends_may_lack_some(rows: int, more: bool):
    # Guards against a run that counts as missing while its end is not among those of the reply.
    ended = [[number, f"0123456789abcdef.0.0.{number}", 1, "done", ""] for number in range(rows)]
    reply = decode_hold(WorkerReplyBody(clock_ms=1, ended=ended))
    assert_that(reply.has_more_ended, Equals(more))
