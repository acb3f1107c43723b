"""Metrics: local snapshots and OTLP export."""

from __future__ import annotations

import http.server
import threading
from collections.abc import Iterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, MatchesDict

from zincwell.metrics import Metrics

PATH = "/v1/metrics"


class Collector(http.server.HTTPServer):
    """OTLP collector that records the length of the last body by path."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.length_by_path: dict[str, int] = {}

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server_port}{PATH}"


class _Handler(http.server.BaseHTTPRequestHandler):
    def do_POST(self) -> None:  # noqa: N802
        body = self.rfile.read(int(self.headers["content-length"]))
        self.server.length_by_path[self.path] = len(body)
        self.send_response(200)
        self.end_headers()

    def log_message(self, *_: object) -> None:
        """Log nothing."""


@pytest.fixture
def collector() -> Iterator[Collector]:
    server = Collector()
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    server.server_close()


def fill(metrics: Metrics) -> None:
    for seconds in (0.1, 0.1, 0.1, 2.0):
        metrics.observe("run", seconds, tenant="school", urgency="urgent")
    metrics.count("wasted", kind="retry")
    metrics.count("wasted", kind="retry")


async def test_histograms_by_tenant_and_class_are_read_locally():
    metrics = Metrics()
    fill(metrics)

    shown = await metrics.snapshot()

    histogram = shown["histograms"][0]
    named = {key: histogram[key] for key in ("name", "tenant", "urgency", "count")}
    expected = {"name": "run", "tenant": "school", "urgency": "urgent", "count": 4}
    assert_that(named, Equals(expected))
    assert_that(round(histogram["p50_ms"], -1), Equals(100.0))
    assert_that(round(histogram["p100_ms"], -2), Equals(2_000.0))
    assert_that(
        shown["counters"],
        Equals([{"name": "wasted", "kind": "retry", "tenant": "", "count": 2}]),
    )


def test_metrics_are_sent_by_otlp(collector: Collector):
    metrics = Metrics()
    metrics.export(collector.url, vm="entry-0")
    fill(metrics)

    metrics.close()

    assert_that(collector.length_by_path, MatchesDict({PATH: GreaterThan(100)}))
