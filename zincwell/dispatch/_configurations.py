"""The operators' document in force at one entry, from the store or from another entry."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import Configuration, EntryInfo
from zincwell.dispatch.ports import PeerCallError, PeerClient

log = logging.getLogger("zincwell.node")

# An entry that still has an older document this long after it heard of a newer one asks for a
# copy. The store takes 10 ms to tell all entries, so most never ask; a change must be in force
# within 2 s.
COPY_AFTER_S = 0.5
# The same for an entry that has none yet and refuses all callers.
FIRST_COPY_AFTER_S = 0.1
# A document of 1,400 routes has 0.23 MB, which take 75 ms on the slowest links of 25 Mbit/s.
COPY_TIMEOUT_S = 0.6


class ConfigurationManager:
    """Puts newer documents in force, never older ones, and fetches what the store does not bring.

    Copies are fetched, one at a time, by the entry that needs one. Sent by all that saw an entry
    fall behind, large documents filled the links of entries that had just started: their
    heartbeats came seconds late, and after a restart of all 40 entries a quarter of the jobs found
    no owner for as long as the traffic lasted.
    """

    def __init__(self, *, client: PeerClient, metrics: Metrics) -> None:
        self.current: Configuration | None = None
        self.changed_at = 0.0
        self._known = asyncio.Event()
        self._client = client
        self._metrics = metrics
        self._newer_at: EntryInfo | None = None
        self._newest_version = 0
        self._behind = asyncio.Event()
        self._encoded = b""
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._catch_up_forever())

    def close(self) -> None:
        """Fetch no more."""
        self._tasks.close()

    def version(self) -> int:
        """Return the newest version that this entry knows, 0 if none."""
        return self.current.version if self.current else 0

    def apply(self, configuration: Configuration, *, source: str) -> None:
        """Put a document in force unless a newer one was seen; never go back."""
        if configuration.version <= self.version():
            return
        self._metrics.count("configurations_applied", f'source="{source}"')
        log.info("configuration version=%d from=%s", configuration.version, source)
        self.current = configuration
        self.changed_at = self._loop.time()
        self._known.set()
        self._encoded = b""

    async def wait_for_first(self, timeout_s: float) -> Configuration | None:
        """Return the document in force, waiting for the first one for a limited time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._known.wait()
        except TimeoutError:
            pass  # There is none yet; the caller sees it by the result.
        return self.current

    def encode(self) -> bytes:
        """Return the document as it is copied to other entries, empty if there is none."""
        if self.current is not None and not self._encoded:
            self._encoded = msgspec.json.encode(self.current)
        return self._encoded

    def note_version(self, entry: EntryInfo, version: int) -> None:
        """Take note of the version that another entry has."""
        if version > self.version() and version >= self._newest_version:
            self._newest_version = version
            self._newer_at = entry
            self._behind.set()

    async def _catch_up_forever(self) -> None:
        while True:
            await self._behind.wait()
            await asyncio.sleep(COPY_AFTER_S if self.current else FIRST_COPY_AFTER_S)
            if self._newest_version > self.version():
                await self._fetch(self._newer_at)
            if self._newest_version <= self.version():
                self._behind.clear()

    async def _fetch(self, entry: EntryInfo) -> None:
        try:
            configuration = await self._client.fetch_configuration(
                entry.address, timeout_s=COPY_TIMEOUT_S
            )
        except PeerCallError as error:
            log.info('configuration_not_copied entry=%s error="%s"', entry.name, error)
            return
        self.apply(configuration, source=entry.name)
