"""Follow topics of the store."""

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

# Pause before the store is tried again. An entry must know a change of the configuration within
# 2 s, also right after an outage of the store.
RETRY_PAUSE_S = 0.15
# While the store does not answer, the pause grows up to this. All entries ask for each of their
# topics: 42 entries with 0.15 s made 1,100 calls a second that nobody answered.
MAX_RETRY_PAUSE_S = 0.6
# A reading that takes longer is not waited for: the store is slow, and what is known must do.
PATIENCE_S = 1.0


class TopicFollower:
    """Keeps the newest value of each key of a topic.

    :param on_change: called with the keys that changed, after each page; with all keys after
        the first page and whenever the history was lost.
    :param wait_s: how long the store may wait for a record before it answers.
    :param pause_s: how long to wait between two reads.
    :param clock: a steady clock that counts the time that the VM was suspended.
    :ivar offset: up to where in the store's log the topic is known, -1 before the first read.
    :ivar read_at: when a reading was asked for that reached the end of the topic, by the clock;
        minus infinity before the first. Its answer may have been long on its way.
    :ivar wanted: whether to read at all; while it is not, what is known grows old.
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
        wanted: bool = True,
    ) -> None:
        self.records_by_key: dict[str, StoreRecord] = {}
        self.reachable = False
        self.pause_s = pause_s
        self.wanted = wanted
        self.read_at = -math.inf
        self.offset = -1
        self._store = store
        self._topic = topic
        self._on_change = on_change
        self._clock = clock
        self._wait_s = wait_s
        self._kick = asyncio.Event()
        self._next: int | None = None
        self._failures = 0
        self._asked_at = math.inf
        # Whether the last reading reached the end of the topic.
        self._complete = True
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._follow_forever())

    def close(self) -> None:
        """Follow no longer."""
        self._tasks.close()

    def read_soon(self) -> None:
        """Read at once in place of at the end of the pause."""
        self._kick.set()

    def is_unanswered(self) -> bool:
        """Return whether nothing newer is to be had: the store gives no answer, or a slow one."""
        waits_s = self._loop.time() - self._asked_at
        return self.wanted and (self._failures > 0 or waits_s > PATIENCE_S)

    async def _follow_forever(self) -> None:
        while True:
            if not self.wanted:
                # What has changed meanwhile may be much more than what is newest.
                self._next = None
                self._failures = 0
                await self._pause()
                continue
            try:
                await self._read()
                self._note_reachable(True, "")
            except RecordsGoneError:
                log.info("store_history_lost topic=%s from=%s", self._topic.name, self._next)
                self._next = None
                continue
            except StoreUnavailableError as error:
                self._failures += 1
                self._note_reachable(False, str(error))
                await asyncio.sleep(min(RETRY_PAUSE_S * self._failures, MAX_RETRY_PAUSE_S))
                continue
            self._failures = 0
            if self.pause_s and self._complete:
                await self._pause()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self.pause_s):
                await self._kick.wait()
        except TimeoutError:
            pass  # The pause is over; nobody asked for an earlier read.
        self._kick.clear()

    async def _read(self) -> None:
        self._asked_at = self._loop.time()
        asked_at = self._clock()
        try:
            if self._next is None:
                page = await self._store.newest(self._topic)
                self._note_read(page, asked_at)
                self._replace(page)
            else:
                page = await self._store.changes(self._topic, start=self._next, wait_s=self._wait_s)
                self._note_read(page, asked_at)
                self._fold(page)
        finally:
            self._asked_at = math.inf

    def _note_read(self, page: StorePage, asked_at: float) -> None:
        """Note the reading before its records are offered: who takes them asks how old they are."""
        self._next = self.offset = page.end
        self._complete = page.complete
        if page.complete:
            self.read_at = asked_at

    def _replace(self, page: StorePage) -> None:
        keys = set(self.records_by_key)
        self.records_by_key = {r.key: r for r in page.records if r.value is not None}
        self._on_change(keys | set(self.records_by_key))

    def _fold(self, page: StorePage) -> None:
        for record in page.records:
            if record.value is None:
                self.records_by_key.pop(record.key, None)
            else:
                self.records_by_key[record.key] = record
        if page.records:
            self._on_change({record.key for record in page.records})

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self.reachable:
            event = "store_regained" if reachable else "store_lost"
            log.info("%s topic=%s reason=%s", event, self._topic.name, reason)
        self.reachable = reachable
