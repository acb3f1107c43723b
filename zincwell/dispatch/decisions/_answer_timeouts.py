"""How long to wait for an answer to a call before it counts as lost.

Load condition: a full link or a slow processor delays all answers at once. A fixed timeout counts
them as lost, repeats the calls on new connections, and so keeps the link full: on a link of
2 Mbit/s that had lost nothing, 2,671 of 3,000 calls timed out. The timeout therefore follows the
measured answer times, like TCP's retransmission timer.
"""

from __future__ import annotations

# Answers take 2 to 5 ms. The shortest tasks run for 60 ms, so a lost answer that is detected after
# this many seconds makes its caller wait a third longer.
MIN_ANSWER_TIMEOUT_S = 0.02
# Seconds after which a connection counts as silent in any case. A take-over takes 0.55 s of a
# lease of 1 s; the rest leaves time for one call that times out.
MAX_ANSWER_TIMEOUT_S = 0.25
# Weights of the newest answer in the smoothed time and in its variation, and the number of
# variations added to the timeout: those of TCP's retransmission timer (RFC 6298).
TIME_WEIGHT = 1 / 8
VARIATION_WEIGHT = 1 / 4
VARIATIONS = 4
# Each call that times out doubles the timeout until an answer comes.
BACK_OFF_FACTOR = 2


class AnswerTimeoutEstimator:
    """Derives the timeout of calls to one worker from its answer times."""

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._variation_s = 0.0
        self._back_off = 1

    def note_answer(self, answer_s: float) -> None:
        """Record how long an answer took, beyond the time that the worker was asked to wait."""
        self._back_off = 1
        if self._smoothed_s is None:
            self._smoothed_s = answer_s
            self._variation_s = answer_s / 2
            return
        error_s = abs(answer_s - self._smoothed_s)
        self._variation_s += VARIATION_WEIGHT * (error_s - self._variation_s)
        self._smoothed_s += TIME_WEIGHT * (answer_s - self._smoothed_s)

    def note_timeout(self) -> None:
        """Record a call that got no answer in time."""
        self._back_off *= BACK_OFF_FACTOR

    def answer_timeout_s(self) -> float:
        """Return after how many seconds without an answer a call counts as lost."""
        if self._smoothed_s is None:
            return MAX_ANSWER_TIMEOUT_S
        timeout_s = self._smoothed_s + VARIATIONS * self._variation_s
        return min(max(timeout_s, MIN_ANSWER_TIMEOUT_S) * self._back_off, MAX_ANSWER_TIMEOUT_S)
