"""A single entry in the test process, with a stand-in log service and VM directory."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

from zincwell.entry import Entry
from zincwell.settings import PlatformSettings, Settings, TimingSettings
from zincwell.standins import StandinDirectory, StandinLog

TOKEN = "a-long-token-of-the-operators"
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.01
DOCUMENT = {
    "format": 1,
    "domains": ["kariakoo"],
    "services": {"transcriber": {"pool": "braille"}},
    "pools": {"braille": {"queue_target_ms": 1500}},
    "tenants": {"school": {"weight": 2.0}},
}


class SingleEntry:
    """An entry and its log service."""

    def __init__(self, *, entry: Entry, log: StandinLog):
        self.entry = entry
        self.log = log

    @property
    def url(self) -> str:
        """Base URL of the operators listener."""
        return self.entry.operators.url

    async def publish(self, patch: dict[str, Any], *, change_id: str) -> int:
        """Publish a change as another operator and return the resulting version."""
        change = {
            "kind": "change",
            "id": change_id,
            "base": self.entry.configuration.version,
            "patch": patch,
            "by": "asha",
        }
        await self.log._store("config", change)
        await wait_for("change", lambda: change_id in self.entry.configuration.verdict_by_id)
        return self.entry.configuration.version


@contextlib.asynccontextmanager
async def open_single_entry(**settings: Any) -> AsyncIterator[SingleEntry]:
    """Run an entry with ``DOCUMENT`` as version 0 of its configuration."""
    log, directory = StandinLog(), StandinDirectory()
    await log.open()
    await directory.open()
    entry = Entry(
        settings=Settings(
            vm="entry-0",
            domain="kariakoo",
            platform=PlatformSettings(log_url=log.url, directory_url=directory.url),
            timing=TimingSettings(drain_notice_s=0.1),
            **settings,
        )
    )
    await entry.open()
    lone = SingleEntry(entry=entry, log=log)
    try:
        await lone.publish(DOCUMENT, change_id="first")
        yield lone
    finally:
        await entry.close()
        await log.close()
        await directory.close()


async def wait_for(what: str, condition: Callable[[], bool]) -> None:
    """Poll a condition until it holds.

    :raises AssertionError: after ``WAIT_TIMEOUT_S``.
    """

    async def poll() -> None:
        while not condition():
            await asyncio.sleep(POLL_S)

    try:
        await asyncio.wait_for(poll(), WAIT_TIMEOUT_S)
    except TimeoutError:
        raise AssertionError(f"timed out waiting for: {what}") from None
