"""Follow a stream of the log and fold its records into a state.

Every reader folds the same records in the same order, so all come to the same state without
talking to each other.
"""

from __future__ import annotations

import abc
import asyncio
import logging
from collections.abc import Callable
from typing import Any

from zincwell.exceptions import LogUnavailableError, RecordsExpiredError
from zincwell.ports import Clock, LogService, Record

RETRY_S = 0.2
NEVER = float("-inf")

log = logging.getLogger("zincwell.follow")


class Fold(abc.ABC):
    """State folded from one stream.

    :ivar next_offset: offset of the record to be read next; only ever grows.
    :ivar snapshot_offset: offset of the latest snapshot record seen.
    """

    stream: str

    def __init__(self) -> None:
        self.next_offset = 0
        self.snapshot_offset = 0
        self._changed = asyncio.Event()

    def take(self, record: Record) -> None:
        """Fold one record, unless it was folded before."""
        if record.offset < self.next_offset:
            return
        if record.value.get("kind") == "snapshot":
            self.snapshot_offset = record.offset
        else:
            self._apply(record)
        self.next_offset = record.offset + 1
        self._tell_changed()

    def adopt(self, *, next_offset: int, snapshot: dict[str, Any]) -> bool:
        """Take over a later state from a peer or a snapshot record.

        :returns: whether it was later than ours.
        """
        if next_offset <= self.next_offset:
            return False
        self._load(snapshot)
        self.next_offset = next_offset
        self.snapshot_offset = next_offset
        self._tell_changed()
        return True

    async def changed(self) -> None:
        """Wait for the next record or snapshot to be folded."""
        await self._changed.wait()

    def _tell_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @abc.abstractmethod
    def _apply(self, record: Record) -> None:
        """Fold one record that is no snapshot."""

    @abc.abstractmethod
    def _load(self, snapshot: dict[str, Any]) -> None:
        """Replace the state."""

    @abc.abstractmethod
    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as plain JSON values."""


class Follower:
    """Keeps a fold up to date.

    :param wait_s: returns how long one read may wait for a record, in seconds.
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
        """Read until cancelled."""
        while True:
            try:
                await self.read_once()
            except LogUnavailableError as error:
                log.info("log_unavailable", extra={"stream": self.fold.stream, "error": error})
                await asyncio.sleep(RETRY_S)

    async def read_once(self) -> None:
        """Read and fold what is new.

        :raises LogUnavailableError: if the log does not answer.
        """
        asked_at = self._clock.monotonic()
        try:
            records = await self._log_service.read(
                stream=self.fold.stream, start=self.fold.next_offset, wait_s=self._wait_s()
            )
        except RecordsExpiredError as expired:
            await self._restart(expired.first)
            return
        for record in records:
            self.fold.take(record)
        # The time of asking, not of the answer: the answer may have been long on its way,
        # and a lease counted from its arrival would outlive what the log knew.
        self.contact_at = asked_at

    async def _restart(self, first: int) -> None:
        """Start anew at the oldest snapshot kept: the records in between are gone for good."""
        records = await self._log_service.read(stream=self.fold.stream, start=first, wait_s=0)
        for record in records:
            value = record.value
            if value.get("kind") == "snapshot" and value["through"] >= first:
                self.fold.adopt(next_offset=value["through"], snapshot=value["state"])
                return
        log.warning("no_snapshot", extra={"stream": self.fold.stream, "first": first})
        raise LogUnavailableError(f"{self.fold.stream}: no snapshot among the records kept")
