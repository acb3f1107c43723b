"""Write snapshots of folded states to the log before it drops the records behind them.

The log retains records for a limited time. Without snapshots, an entry that starts after the
first records were dropped could not compute the state, and would never become ready.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

from zincwell.core._follow import Fold
from zincwell.exceptions import LogUnavailableError
from zincwell.ports import Clock, LogService

CHECK_INTERVAL_S = 0.5
MAX_RECORDS_BETWEEN_SNAPSHOTS = 500

log = logging.getLogger("zincwell.snapshots")


class SnapshotWriter:
    """Writes snapshots of folds when they are due.

    :param is_writer: returns whether this entry writes snapshots now; several concurrent writers
        do no harm.
    :param period_s: maximum time between two snapshots in seconds; has to be much shorter than
        the retention time of the log.
    """

    def __init__(
        self,
        *,
        folds: Sequence[Fold],
        log_service: LogService,
        clock: Clock,
        is_writer: Callable[[], bool],
        period_s: float,
    ):
        self._folds = folds
        self._log_service = log_service
        self._clock = clock
        self._is_writer = is_writer
        self._period_s = period_s
        self._written_at = {fold.stream: clock.monotonic() for fold in folds}

    async def run(self) -> None:
        """Write snapshots until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for fold in self._folds:
                if self._is_writer() and self._is_due(fold):
                    await self._write(fold)

    def _is_due(self, fold: Fold) -> bool:
        if fold.next_offset - fold.snapshot_offset > MAX_RECORDS_BETWEEN_SNAPSHOTS:
            return True
        return self._clock.monotonic() - self._written_at[fold.stream] > self._period_s

    async def _write(self, fold: Fold) -> None:
        through = fold.next_offset
        value = {"kind": "snapshot", "through": through, "state": fold.snapshot()}
        try:
            await self._log_service.append(stream=fold.stream, value=value)
        except LogUnavailableError as error:
            log.info("snapshot_not_written", extra={"stream": fold.stream, "error": error})
            return
        self._written_at[fold.stream] = self._clock.monotonic()
        log.info("snapshot_written", extra={"stream": fold.stream, "through": through})
