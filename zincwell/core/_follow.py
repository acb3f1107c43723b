"""Follow a stream of the log and fold its records into a state.

Every reader folds the same records in the same order, so all readers reach the same state
without exchanging messages.
"""

from __future__ import annotations

import abc
import asyncio
import logging
from collections.abc import Callable
from typing import Any

from zincwell.exceptions import LogUnavailableError, RecordsExpiredError
from zincwell.ports import Clock, LogService, Record

RETRY_DELAY_S = 0.2
NEVER = float("-inf")

log = logging.getLogger("zincwell.follow")


class Fold(abc.ABC):
    """State folded from one stream.

    :ivar next_offset: offset of the next record to read; never decreases.
    :ivar snapshot_offset: offset of the latest snapshot record read.
    """

    stream: str

    def __init__(self) -> None:
        self.next_offset = 0
        self.snapshot_offset = 0
        self._changed = asyncio.Event()

    def take(self, record: Record) -> None:
        """Fold one record; a record that was folded before is ignored."""
        if record.offset < self.next_offset:
            return
        if record.value.get("kind") == "snapshot":
            self.snapshot_offset = record.offset
        else:
            self._apply(record)
        self.next_offset = record.offset + 1
        self._notify_changed()

    def adopt(self, *, next_offset: int, snapshot: dict[str, Any]) -> bool:
        """Replace the state by a later one from a peer or a snapshot record.

        :returns: whether the state given was later than this one.
        """
        if next_offset <= self.next_offset:
            return False
        self._load(snapshot)
        self.next_offset = next_offset
        self.snapshot_offset = next_offset
        self._notify_changed()
        return True

    async def changed(self) -> None:
        """Wait for the next record or snapshot to be folded."""
        await self._changed.wait()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @abc.abstractmethod
    def _apply(self, record: Record) -> None:
        """Fold one record that is not a snapshot."""

    @abc.abstractmethod
    def _load(self, snapshot: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot."""

    @abc.abstractmethod
    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as plain JSON values."""


class Follower:
    """Keeps a fold up to date with its stream.

    :param wait_s: returns how long one read may wait for a record, in seconds.
    :ivar contact_at: monotonic time of the latest read that the log answered.
    """

    def __init__(
        self, *, fold: Fold, log_service: LogService, clock: Clock, wait_s: Callable[[], float]
    ):
        self.fold = fold
        self.contact_at = NEVER
        self._log_service = log_service
        self._clock = clock
        self._wait_s = wait_s

    async def run(self) -> None:
        """Read the stream until cancelled."""
        while True:
            try:
                await self.read_once()
            except LogUnavailableError as error:
                log.info("log_unavailable", extra={"stream": self.fold.stream, "error": error})
                await asyncio.sleep(RETRY_DELAY_S)

    async def read_once(self) -> None:
        """Read and fold new records.

        :raises LogUnavailableError: if the log does not answer, or has dropped records of which
            it has no snapshot.
        """
        requested_at = self._clock.monotonic()
        try:
            records = await self._log_service.read(
                stream=self.fold.stream, start=self.fold.next_offset, wait_s=self._wait_s()
            )
        except RecordsExpiredError as expired:
            await self._restart_from_snapshot(expired.first)
            return
        for record in records:
            self.fold.take(record)
        # The time of the request is used: an answer may have been delayed, and a lease counted
        # from its arrival would outlast the state of the log that the answer describes.
        self.contact_at = requested_at

    async def _restart_from_snapshot(self, first: int) -> None:
        """Continue from the oldest retained snapshot, since the log has dropped earlier records."""
        records = await self._log_service.read(stream=self.fold.stream, start=first, wait_s=0)
        for record in records:
            value = record.value
            if value.get("kind") == "snapshot" and value["through"] >= first:
                self.fold.adopt(next_offset=value["through"], snapshot=value["state"])
                return
        log.warning("no_snapshot", extra={"stream": self.fold.stream, "first": first})
        raise LogUnavailableError(
            f"{self.fold.stream}: no snapshot among the retained records of the stream"
        )
