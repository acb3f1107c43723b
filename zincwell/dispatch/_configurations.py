"""The configuration in effect at one entry, from the store or from another entry."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import Configuration, EntryInfo
from zincwell.dispatch.ports import PeerCallError, PeerClient

log = logging.getLogger("zincwell.node")

# Time between learning of a newer version and fetching it from another entry. The store delivers
# a change to all entries within 10 ms, so most never fetch it; a change must take effect within
# 2 s.
FETCH_DELAY_S = 0.5
# The same for an entry without any configuration, which refuses all callers.
FIRST_FETCH_DELAY_S = 0.1
# A configuration with 1,400 routes has 0.23 MB, which take 75 ms on the slowest links (25 Mbit/s).
FETCH_TIMEOUT_S = 0.6


class ConfigurationManager:
    """Applies newer configurations, never older ones, and fetches those missing from the store.

    An entry that lags behind fetches one copy at a time. Pushed by every entry that notices the
    lag, large configurations would saturate the links of entries that have just started: after a
    restart of all 40 entries, heartbeats arrived seconds late, and a quarter of the jobs found no
    owner until the traffic ended.
    """

    def __init__(self, *, client: PeerClient, metrics: Metrics) -> None:
        self.current: Configuration | None = None
        self.changed_at = 0.0
        self._available = asyncio.Event()
        self._client = client
        self._metrics = metrics
        self._newest_source: EntryInfo | None = None
        self._newest_version = 0
        self._lagging = asyncio.Event()
        self._encoded = b""
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()
        self._tasks.keep_running(self._catch_up_forever, name="configuration_copies")

    def close(self) -> None:
        """Stop fetching configurations."""
        self._tasks.close()

    def version(self) -> int:
        """Return the version in effect, 0 if there is none."""
        return self.current.version if self.current else 0

    def apply(self, configuration: Configuration, *, source: str) -> None:
        """Apply a configuration if it is newer than the one in effect."""
        if configuration.version <= self.version():
            return
        self._metrics.count("configurations_applied", f'source="{source}"')
        log.info("configuration version=%d from=%s", configuration.version, source)
        self.current = configuration
        self.changed_at = self._loop.time()
        self._available.set()
        self._encoded = b""

    async def wait_for_first(self, timeout_s: float) -> Configuration | None:
        """Return the configuration in effect, waiting a limited time for the first one."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._available.wait()
        except TimeoutError:
            pass  # There is none yet, and None is returned.
        return self.current

    def encode(self) -> bytes:
        """Return the configuration as JSON for other entries, empty if there is none."""
        if self.current is not None and not self._encoded:
            self._encoded = msgspec.json.encode(self.current)
        return self._encoded

    def note_version(self, entry: EntryInfo, version: int) -> None:
        """Record the version that another entry has, and fetch it later if it is newer."""
        if version > self.version() and version >= self._newest_version:
            self._newest_version = version
            self._newest_source = entry
            self._lagging.set()

    async def _catch_up_forever(self) -> None:
        while True:
            await self._lagging.wait()
            await asyncio.sleep(FETCH_DELAY_S if self.current else FIRST_FETCH_DELAY_S)
            if self._newest_version > self.version():
                await self._fetch(self._newest_source)
            if self._newest_version <= self.version():
                self._lagging.clear()

    async def _fetch(self, entry: EntryInfo) -> None:
        try:
            configuration = await self._client.fetch_configuration(
                entry.address, timeout_s=FETCH_TIMEOUT_S
            )
        except PeerCallError as error:
            log.info('configuration_not_copied entry=%s error="%s"', entry.name, error)
            return
        self.apply(configuration, source=entry.name)
