"""Detection of duplicate envelopes, and of those that were on their way for too long."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from zincwell.dispatch._messages import Envelope

# Jobs in an envelope that was on its way for longer are dropped: it was held up on a partitioned
# link, or in the socket of a process that stood still, and its sender may have given them up.
# Senders time out after 0.25 s, and a VM that is five times slower needs 0.1 s.
LATE_DELIVERY_S = 0.6
# In place of a delay that has no bound.
UNKNOWN_DELAY_S = 3600.0
# Length of the window for the minimum clock offset. Clocks drift apart by up to 0.1 s per hour, so
# older samples would distort the result.
CLOCK_OFFSET_WINDOW_S = 60.0


class MinimumClockOffset:
    """Minimum clock difference to a sender over a sliding window.

    The window consists of the current and the previous interval.
    """

    def __init__(self) -> None:
        self._since = 0.0
        self._current = math.inf
        self._previous = math.inf

    def note(self, difference: float, *, now: float) -> None:
        """Add the clock difference seen at a delivery.

        :param now: time of the delivery, by the receiver's clock.
        """
        if now - self._since > CLOCK_OFFSET_WINDOW_S:
            self._since, self._previous, self._current = now, self._current, math.inf
        self._current = min(self._current, difference)

    def offset(self) -> float:
        """Return the minimum clock difference in seconds."""
        return min(self._current, self._previous)


@dataclass(slots=True, kw_only=True)
class _Sender:
    """What is remembered of the deliveries of one process.

    :param sequence: highest sequence number seen.
    :param dropped: whether the jobs in that envelope were dropped.
    :param min_offset: of a process of an earlier build.
    """

    sequence: int = 0
    dropped: bool = False
    min_offset: MinimumClockOffset = field(default_factory=MinimumClockOffset)


class Inbox:
    """Detects duplicate and delayed envelopes.

    :param incarnation: of this process.
    """

    def __init__(self, *, incarnation: str) -> None:
        self._incarnation = incarnation
        self._senders_by_incarnation: dict[str, _Sender] = {}

    def delay_s(self, envelope: Envelope, *, now: float) -> float:
        """Return how long an envelope was on its way at most, in seconds.

        The bound needs no history of the sender and no knowledge of its clock: the envelope names
        a time of this entry's clock that its sender had learned before it sent it. One that was
        meant for the process before this one, or that names no time, has no bound.

        :param now: time of the delivery, by this entry's clock.
        """
        if not envelope.receiver:
            return self._lateness_of_earlier_build_s(envelope, now=now)
        if envelope.receiver != self._incarnation or envelope.receiver_clock_s is None:
            return UNKNOWN_DELAY_S
        return max(now - envelope.receiver_clock_s, 0.0)

    def _lateness_of_earlier_build_s(self, envelope: Envelope, *, now: float) -> float:
        """Return the delay over the fastest envelope of the sender; a first one has none."""
        min_offset = self._sender_of(envelope).min_offset
        difference = now - envelope.sent_at
        min_offset.note(difference, now=now)
        return difference - min_offset.offset()

    def is_new(self, envelope: Envelope) -> bool:
        """Return whether the envelope is no duplicate, and record its sequence number."""
        sender = self._sender_of(envelope)
        if envelope.sequence <= sender.sequence:
            return False
        sender.sequence, sender.dropped = envelope.sequence, False
        return True

    def note_dropped(self, envelope: Envelope) -> None:
        """Record that the jobs in the newest envelope of a sender were dropped."""
        self._sender_of(envelope).dropped = True

    def has_dropped(self, envelope: Envelope) -> bool:
        """Return whether the jobs in an envelope were dropped, at this delivery or an earlier."""
        sender = self._sender_of(envelope)
        return sender.dropped and sender.sequence == envelope.sequence

    def _sender_of(self, envelope: Envelope) -> _Sender:
        return self._senders_by_incarnation.setdefault(envelope.sender.incarnation, _Sender())
