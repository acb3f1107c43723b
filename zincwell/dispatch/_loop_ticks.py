"""How long data can have waited in the sockets of this process before it was read."""

from __future__ import annotations

from collections.abc import Callable


class LoopTicks:
    """Times at which the event loop was seen to turn.

    Between two ticks the loop has polled all sockets. Data that is read now was not there at the
    last poll but one, so it has waited for no longer than since the tick before. After a pause of
    the process or its VM, that is as long as the pause.

    :param clock: clock of this entry, in seconds, including time during which the VM was suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last = self._before = clock()

    def note(self) -> None:
        """Record that the event loop has turned; called by a timer."""
        self._before, self._last = self._last, self._clock()

    def now(self) -> float:
        """Return the present time by the same clock."""
        return self._clock()

    def unread_since(self) -> float:
        """Return the earliest time at which data that is read now can have arrived."""
        return self._before
