"""After how long a call without an answer is taken for lost.

Load that it answers: a link that is full, or a processor that is late, makes all answers slow at
once. A fixed patience takes them for lost, asks again on new connections, and so keeps the link
full: 2,671 of 3,000 calls were given up on a link of 2 Mbit/s that had lost nothing. So it follows
what answers have taken, as TCP's retransmission timer does.
"""

from __future__ import annotations

# Answers take 2 to 5 ms. A task of the shortest kind runs for 60 ms, so a lost answer that is
# noticed after this many seconds makes its caller wait a third longer.
MIN_ANSWER_TIMEOUT_S = 0.02
# Seconds after which a connection counts as silent in any case. A take-over takes 0.55 s of a lease
# of 1 s; what is left bears one call that is given up.
MAX_ANSWER_TIMEOUT_S = 0.25
# Weights of the newest answer in the usual time and in its variation, and how many variations are
# waited for: those of TCP's timer (RFC 6298).
TIME_WEIGHT = 1 / 8
VARIATION_WEIGHT = 1 / 4
VARIATIONS = 4
# A call that was given up doubles the patience until an answer comes.
BACK_OFF = 2


class AnswerTimeoutEstimator:
    """Follows how long one worker takes to answer."""

    def __init__(self) -> None:
        self._usual_s: float | None = None
        self._variation_s = 0.0
        self._back_off = 1

    def note(self, answer_s: float) -> None:
        """Take note of how long an answer took, beyond what it was asked to wait."""
        self._back_off = 1
        if self._usual_s is None:
            self._usual_s = answer_s
            self._variation_s = answer_s / 2
            return
        error_s = abs(answer_s - self._usual_s)
        self._variation_s += VARIATION_WEIGHT * (error_s - self._variation_s)
        self._usual_s += TIME_WEIGHT * (answer_s - self._usual_s)

    def note_timeout(self) -> None:
        """Take note of a call that got no answer in time."""
        self._back_off *= BACK_OFF

    def answer_timeout_s(self) -> float:
        """Return after how many seconds without an answer a call is taken for lost."""
        if self._usual_s is None:
            return MAX_ANSWER_TIMEOUT_S
        usual_s = self._usual_s + VARIATIONS * self._variation_s
        return min(max(usual_s, MIN_ANSWER_TIMEOUT_S) * self._back_off, MAX_ANSWER_TIMEOUT_S)
