"""Loops that run as long as the process, and what happens when one of them fails.

A loop that ends at an exception that nobody foresaw leaves a process that looks healthy and has
stopped to do its work. So the loop is started again after a growing pause, each failure is logged
with a traceback and counted, and a process with a loop that fails again and again is not ready.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

log = logging.getLogger("zincwell.loops")

# Pause before a loop is started again; it doubles with each failure in a row.
FIRST_RESTART_PAUSE_S = 0.05
MAX_RESTART_PAUSE_S = 5.0
# A loop that has run for this long since its last failure counts as healthy again.
HEALTHY_AFTER_S = 10.0
# A process is not ready while one of its loops has failed this often in a row.
MAX_FAILURES_WHEN_READY = 2


@dataclass(slots=True, kw_only=True, eq=False)
class LoopState:
    """State of a loop that is kept running.

    :param failures: failures in a row.
    :param failed_at: event loop time of the last one.
    """

    name: str
    failures: int = 0
    failed_at: float = 0.0

    def note_failure(self, now: float) -> None:
        """Count a failure, which begins a new row if the loop was healthy."""
        self.failures = 1 if self.is_healthy(now) else self.failures + 1
        self.failed_at = now

    def is_healthy(self, now: float) -> bool:
        """Return whether the loop has not failed lately."""
        return not self.failures or now - self.failed_at > HEALTHY_AFTER_S

    def restart_pause_s(self) -> float:
        """Return the pause before the next start, in seconds."""
        return min(FIRST_RESTART_PAUSE_S * 2 ** (self.failures - 1), MAX_RESTART_PAUSE_S)


class LoopSupervisor:
    """Keeps the loops of one process running.

    :ivar failures_by_loop: number of failures since the start of the process, by name of the loop.
    """

    def __init__(self) -> None:
        self.failures_by_loop: Counter[str] = Counter()
        self._essential_loops: set[LoopState] = set()

    def has_failing_loops(self) -> bool:
        """Return whether a loop that the whole process needs fails again and again."""
        now = asyncio.get_running_loop().time()
        return any(
            loop.failures > MAX_FAILURES_WHEN_READY and not loop.is_healthy(now)
            for loop in self._essential_loops
        )

    async def keep_running(
        self,
        run: Callable[[], Awaitable[None]],
        *,
        name: str,
        essential: bool = True,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        """Run a loop until it returns or is cancelled, and start it again whenever it fails.

        :param essential: whether the whole process needs the loop. Not if it serves one worker or
            one other entry, whose bad data must cost no more than that.
        :param on_failure: called after a failure, to repair what the loop had left half done.
        """
        state = LoopState(name=name)
        if essential:
            self._essential_loops.add(state)
        try:
            while True:
                try:
                    await run()
                    return
                except Exception:
                    self._note_failure(state)
                    _repair(state, on_failure)
                await asyncio.sleep(state.restart_pause_s())
        finally:
            self._essential_loops.discard(state)

    def _note_failure(self, state: LoopState) -> None:
        state.note_failure(asyncio.get_running_loop().time())
        self.failures_by_loop[state.name] += 1
        log.exception(
            "loop_failed loop=%s failures=%d pause_ms=%d",
            state.name,
            state.failures,
            state.restart_pause_s() * 1000,
        )


def _repair(state: LoopState, on_failure: Callable[[], None] | None) -> None:
    if on_failure is None:
        return
    try:
        on_failure()
    except Exception:
        # The loop is started again all the same.
        log.exception("loop_failed loop=%s failures=%d repair=failed", state.name, state.failures)


# The loops of a process share its fate, so there is one supervisor for all.
supervisor = LoopSupervisor()
