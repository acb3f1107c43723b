"""Follow topics of the store's log."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch.ports import (
    RecordsGoneError,
    Store,
    StorePage,
    StoreRecord,
    StoreUnavailableError,
    Topic,
)

log = logging.getLogger("zincwell.store")

# Pause before a failed read is retried. An entry must learn of a configuration change within 2 s,
# even right after an outage of the store.
RETRY_PAUSE_S = 0.15
# The pause grows up to this value while the store is unavailable. Every entry retries for each of
# its topics: 42 entries with a constant pause of 0.15 s made 1,100 calls per second to a store
# that was down.
MAX_RETRY_PAUSE_S = 0.6
# A read that takes longer counts as unanswered, and the records known so far are used instead.
SLOW_READ_S = 1.0


class TopicFollower:
    """Maintains a local copy of the newest record of each key of a topic.

    :param on_change: called with the changed keys after each page, and with all keys after the
        first page and after a gap in the history.
    :param wait_s: long-poll timeout: how long the store may wait for a new record.
    :param pause_s: pause between two reads.
    :param clock: monotonic clock that includes the time during which the VM was suspended.
    :ivar offset: log offset up to which the topic is known, -1 before the first read.
    :ivar read_at: clock time at which the last read that reached the end of the topic was
        requested, minus infinity before the first. The answer may have arrived much later.
    :ivar enabled: whether to read the topic; while it is False, the copy gets stale.
    """

    def __init__(
        self,
        *,
        store: Store,
        topic: Topic,
        on_change: Callable[[set[str]], None],
        clock: Callable[[], float],
        wait_s: float = 0.0,
        pause_s: float = 0.0,
        enabled: bool = True,
    ) -> None:
        self.records_by_key: dict[str, StoreRecord] = {}
        self.reachable = False
        self.pause_s = pause_s
        self.enabled = enabled
        self.read_at = -math.inf
        self.offset = -1
        self._store = store
        self._topic = topic
        self._on_change = on_change
        self._clock = clock
        self._wait_s = wait_s
        self._read_requested = asyncio.Event()
        self._next_offset: int | None = None
        self._failures = 0
        self._requested_at = math.inf
        # Whether the last read reached the end of the topic.
        self._at_end = True
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()
        self._tasks.keep_running(
            self._follow_forever,
            name=f"follow_{topic.name.lower()}",
            on_failure=self._handle_failure,
        )

    def close(self) -> None:
        """Stop following the topic."""
        self._tasks.close()

    def request_read(self) -> None:
        """End the current pause and read at once."""
        self._read_requested.set()

    def is_store_unresponsive(self) -> bool:
        """Return whether the store does not answer reads, or only slowly."""
        waits_s = self._loop.time() - self._requested_at
        return self.enabled and (self._failures > 0 or waits_s > SLOW_READ_S)

    async def _follow_forever(self) -> None:
        while True:
            if not self.enabled:
                # Restart from the newest records: the changes made meanwhile may be many more.
                self._next_offset = None
                self._failures = 0
                await self._pause()
                continue
            try:
                await self._read()
                self._set_reachable(True, "")
            except RecordsGoneError:
                log.info("store_history_lost topic=%s from=%s", self._topic.name, self._next_offset)
                self._next_offset = None
                continue
            except StoreUnavailableError as error:
                self._failures += 1
                self._set_reachable(False, str(error))
                await asyncio.sleep(min(RETRY_PAUSE_S * self._failures, MAX_RETRY_PAUSE_S))
                continue
            self._failures = 0
            if self.pause_s and self._at_end:
                await self._pause()

    def _handle_failure(self) -> None:
        """Read the topic anew after a failure, since the changes of a page may not be applied."""
        self._next_offset = None
        self._failures += 1
        self._set_reachable(False, "failed")

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self.pause_s):
                await self._read_requested.wait()
        except TimeoutError:
            pass  # The pause ended without a request for an earlier read.
        self._read_requested.clear()

    async def _read(self) -> None:
        self._requested_at = self._loop.time()
        requested_at = self._clock()
        try:
            if self._next_offset is None:
                page = await self._store.newest(self._topic)
                self._note_read(page, requested_at)
                self._replace(page)
            else:
                page = await self._store.changes(
                    self._topic, start=self._next_offset, wait_s=self._wait_s
                )
                self._note_read(page, requested_at)
                self._merge(page)
        finally:
            self._requested_at = math.inf

    def _note_read(self, page: StorePage, requested_at: float) -> None:
        """Record the state of the read before `on_change` is called, which may use `read_at`."""
        self._next_offset = self.offset = page.end
        self._at_end = page.complete
        if page.complete:
            self.read_at = requested_at

    def _replace(self, page: StorePage) -> None:
        keys = set(self.records_by_key)
        self.records_by_key = {r.key: r for r in page.records if r.value is not None}
        self._on_change(keys | set(self.records_by_key))

    def _merge(self, page: StorePage) -> None:
        for record in page.records:
            if record.value is None:
                self.records_by_key.pop(record.key, None)
            else:
                self.records_by_key[record.key] = record
        if page.records:
            self._on_change({record.key for record in page.records})

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self.reachable:
            event = "store_regained" if reachable else "store_lost"
            log.info("%s topic=%s reason=%s", event, self._topic.name, reason)
        self.reachable = reachable
