"""For how long a worker may keep a call open while nothing ends there.

Load that it answers: for some seconds one order in twenty gets no answer. A lost order to wait for
an end hides all ends there until its time is over: with 0.25 s that is four times the run time of
the shortest tasks, and a job of eight tasks meets it four times in ten. So while answers get lost,
a worker is asked again when the next run there should have ended. Without losses longer calls are
cheaper: one for each end.

A slow answer is none that was lost. Asked four to eight times as often for it, workers answer more
slowly still, and nothing ends that: on a VM with a link of 2 Mbit/s an owner of 48 workers served
107 of 2,264 jobs. So a call counts as lost only if the next one is answered within the time that
it was given, and whatever happens, asking takes a bounded share of the processor.
"""

from __future__ import annotations

from collections import deque

# Answers count as getting lost for this many seconds after the last one that was.
LOSSY_S = 2.0
# It takes this many lost answers within the time below. One worker that went silent is no loss.
LOSSES = 3
LOSSES_WITHIN_S = 1.0
# A call that was given up this many seconds after its time was over says nothing: the owner itself
# was late, and its answer may lie unread in a socket. Asking more often would make it later.
MAX_LOOP_LAG_S = 0.005
# A run should have ended this many seconds after its expected end.
END_MARGIN_S = 0.01
# Asked more often than this, the calls are more work than the runs.
MIN_WAIT_S = 0.03
# Processor time of one call that asks for ends, in seconds, with its answer.
ASK_COST_S = 0.0005
# Share of the owner's processor that such calls may take; the rest is for starts and jobs.
ASK_SHARE = 0.25
# A worker that has had no runs for this many seconds is asked this seldom. In a pool of 1,500
# workers that stand empty, four calls a second to each are 6,000 with nothing to tell.
QUIET_AFTER_S = 1.0
QUIET_WAIT_S = 0.9
# A worker without runs may get one just after the call was sent; the shortest tasks take this long.
IDLE_WAIT_S = 0.06


class AnswerLossDetector:
    """Knows whether answers of workers get lost these seconds."""

    def __init__(self) -> None:
        self._lost_at: deque[float] = deque(maxlen=LOSSES)
        self._lossy_until = float("-inf")

    def note_timeout(
        self, now: float, *, late_s: float, answer_timeout_s: float, next_answer_s: float
    ) -> None:
        """Take note of a call without an answer, to a worker that has answered the next one.

        :param late_s: how long after its time the call was given up.
        :param answer_timeout_s: how long its answer might have taken.
        :param next_answer_s: how long the next answer took.
        """
        if late_s > MAX_LOOP_LAG_S or next_answer_s > answer_timeout_s:
            return
        self._lost_at.append(now)
        if len(self._lost_at) == LOSSES and now - self._lost_at[0] < LOSSES_WITHIN_S:
            self._lossy_until = now + LOSSY_S

    def is_lossy(self, now: float) -> bool:
        """Return whether answers get lost."""
        return now < self._lossy_until


def min_poll_interval_s(*, workers: int, cores: float) -> float:
    """Return the least time between two calls to a worker that an owner of so many can bear."""
    return max(MIN_WAIT_S, workers * ASK_COST_S / (cores * ASK_SHARE))


def choose_long_poll_wait_s(
    *,
    max_wait_s: float,
    next_end_s: float | None,
    lossy: bool,
    min_wait_s: float = MIN_WAIT_S,
    idle_s: float = 0.0,
) -> float:
    """Return how long a worker may wait for an end.

    :param next_end_s: when its next run should end, or None if it has no runs.
    :param min_wait_s: never less than this.
    :param idle_s: for how long it has had no runs.
    """
    if not lossy:
        is_quiet = next_end_s is None and idle_s > QUIET_AFTER_S
        return max(max_wait_s, QUIET_WAIT_S) if is_quiet else max_wait_s
    wait_s = IDLE_WAIT_S if next_end_s is None else next_end_s + END_MARGIN_S
    return min(max(wait_s, min_wait_s), max_wait_s)
