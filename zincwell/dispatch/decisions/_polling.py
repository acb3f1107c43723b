"""How long a long poll to a worker may stay open while no run ends there.

Load condition: for some seconds one call in twenty gets no answer. A lost long poll hides all run
ends on its worker until it times out: with 0.25 s that is four times the run time of the shortest
tasks, and a job of eight tasks meets it four times in ten. So while answers get lost, a worker is
polled again when its next run should have ended. Without losses, longer polls are cheaper: one
call for each end.

A slow answer is not a lost one. Workers that are polled four to eight times as often because of it
answer more slowly still, and nothing ends that: on a VM with a link of 2 Mbit/s, an owner of 48
workers served 107 of 2,264 jobs. A call therefore counts as lost only if the next one is answered
within the time that the first was given, and polling never takes more than a bounded share of the
processor.
"""

from __future__ import annotations

from collections import deque

# Calls to workers count as lossy for this many seconds after the last lost answer.
LOSSY_S = 2.0
# This many lost answers within LOSS_WINDOW_S count as loss. A single worker that went silent does
# not.
MIN_LOSSES = 3
LOSS_WINDOW_S = 1.0
# A timeout that is handled more than this many seconds late says nothing about losses: the owner's
# own event loop lags, and the answer may lie unread in a socket. Polling more often would add to
# the lag.
MAX_LOOP_LAG_S = 0.005
# A run should have ended this many seconds after its expected end.
END_MARGIN_S = 0.01
# At shorter intervals the polls are more work than the runs.
MIN_WAIT_S = 0.03
# Processor time of one poll with its answer, in seconds.
POLL_COST_S = 0.0005
# Share of the owner's processor that polls may take; the rest is for starts and jobs.
POLL_CPU_SHARE = 0.25
# A worker without runs for IDLE_AFTER_S seconds is polled only every IDLE_POLL_WAIT_S seconds. In
# a pool of 1,500 idle workers, four polls a second to each would be 6,000 with nothing to report.
IDLE_AFTER_S = 1.0
IDLE_POLL_WAIT_S = 0.9
# A worker without runs may get one just after the poll was sent; the shortest tasks run this long.
SHORTEST_RUN_S = 0.06


class AnswerLossDetector:
    """Detects whether answers of workers currently get lost."""

    def __init__(self) -> None:
        self._lost_at: deque[float] = deque(maxlen=MIN_LOSSES)
        self._lossy_until = float("-inf")

    def note_timeout(
        self, now: float, *, late_s: float, answer_timeout_s: float, next_answer_s: float
    ) -> None:
        """Record a call without an answer, to a worker that has answered the next one.

        :param late_s: how long after its timeout the call was given up.
        :param answer_timeout_s: the timeout of its answer.
        :param next_answer_s: how long the answer to the next call took.
        """
        if late_s > MAX_LOOP_LAG_S or next_answer_s > answer_timeout_s:
            return
        self._lost_at.append(now)
        if len(self._lost_at) == MIN_LOSSES and now - self._lost_at[0] < LOSS_WINDOW_S:
            self._lossy_until = now + LOSSY_S

    def is_lossy(self, now: float) -> bool:
        """Return whether answers currently get lost."""
        return now < self._lossy_until


def min_poll_interval_s(*, workers: int, cores: float) -> float:
    """Return the shortest interval between two polls of a worker that the owner can sustain.

    :param workers: number of workers that the owner polls.
    :param cores: cores that the owner may use.
    """
    return max(MIN_WAIT_S, workers * POLL_COST_S / (cores * POLL_CPU_SHARE))


def choose_long_poll_wait_s(
    *,
    max_wait_s: float,
    next_end_s: float | None,
    lossy: bool,
    min_wait_s: float = MIN_WAIT_S,
    idle_s: float = 0.0,
) -> float:
    """Return how long a worker may wait for the end of a run before it answers.

    :param max_wait_s: longest wait for a worker that is not idle.
    :param next_end_s: when its next run should end, or None if it has no runs.
    :param lossy: whether answers currently get lost.
    :param min_wait_s: shortest wait.
    :param idle_s: for how long it has had no runs.
    """
    if not lossy:
        is_idle = next_end_s is None and idle_s > IDLE_AFTER_S
        return max(max_wait_s, IDLE_POLL_WAIT_S) if is_idle else max_wait_s
    wait_s = SHORTEST_RUN_S if next_end_s is None else next_end_s + END_MARGIN_S
    return min(max(wait_s, min_wait_s), max_wait_s)
