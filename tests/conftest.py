"""Fixtures shared by the tests."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.browser import Browser
from tests.cluster import Cluster
from tests.dispatch_world import World
from tests.lone import TOKEN, SingleEntry, open_single_entry

# Events of the log that tell of an exception that nobody foresaw.
FAILURE_EVENTS = ("task_failed", "loop_failed", "message_failed", "worker_call_failed")
KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_failures() -> dict[str, str]:
    """Return the ids of the tests that are known to fail, with the reason of each."""
    lines = [line.partition("|") for line in KNOWN_RED.read_text().splitlines() if "|" in line]
    return {test.strip(): reason.strip() for test, _, reason in lines}


def pytest_report_header() -> list[str]:
    """List the known failures in the report header."""
    return [f"known red: {test}: {reason}" for test, reason in read_known_failures().items()]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures among the tests of this run, also if the header is off (``-q``)."""
    reasons = read_known_failures()
    # A test that fails in a fixture after its end is in both lists.
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])} - failed
    for test, reason in reasons.items():
        if test in failed or test in passed:
            outcome = "failed" if test in failed else "passed"
            terminalreporter.write_line(f"known red, {outcome}: {test}: {reason}")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as expected failures."""
    reasons = read_known_failures()
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=False))


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """A cluster without running processes; it is closed after the test."""
    async with aiohttp.ClientSession() as session:
        cluster = Cluster(folder=tmp_path, session=session)
        try:
            yield cluster
        finally:
            await cluster.close()


@pytest.fixture
async def lone(tmp_path: Path) -> AsyncIterator[SingleEntry]:
    """A single entry in the test process; operators authenticate with ``TOKEN``."""
    path = tmp_path / "token.txt"
    path.write_text(TOKEN)
    async with open_single_entry(operator_token_file=str(path)) as lone:
        yield lone


@pytest.fixture
async def anonymous_browser(lone: SingleEntry) -> AsyncIterator[Browser]:
    """A browser that is not signed in."""
    jar = aiohttp.CookieJar(unsafe=True)
    async with aiohttp.ClientSession(cookie_jar=jar) as session:
        yield Browser(url=lone.url, session=session)


@pytest.fixture
async def browser(anonymous_browser: Browser) -> Browser:
    """A browser that is signed in."""
    await anonymous_browser.sign_in()
    return anonymous_browser


@pytest.fixture
def world(caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """A simulated platform; the test fails on invariant violations and failed background tasks.

    The time that forecasts take is simulated, too: on a busy machine the owner would forecast less
    often, and results would not be reproducible.
    """
    monkeypatch.setattr("zincwell.dispatch._owner.perf_counter", lambda: 0.0)
    world = World()
    yield world
    world.close()
    assert_that(world.violations, Equals([]))
    assert_that(find_failures(caplog), Equals([]))


def find_failures(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the log lines that tell of an exception that nobody foresaw."""
    messages = [record.message for record in caplog.records]
    return [text for text in messages if any(event in text for event in FAILURE_EVENTS)]


@pytest.fixture
def faulty_world(monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """A simulated platform for tests that inject exceptions; background tasks may fail."""
    monkeypatch.setattr("zincwell.dispatch._owner.perf_counter", lambda: 0.0)
    world = World()
    yield world
    world.close()
    assert_that(world.violations, Equals([]))
