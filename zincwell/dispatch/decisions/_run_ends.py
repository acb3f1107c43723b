"""Whether a run has ended of which its worker tells nothing.

Load condition: answers get lost, and a worker's list of runs may be behind: it names a run some
time after the answer to its start, and an end some time after the run has left the list. With a
hundred starts a second, most lists leave out some run. So a run that a list leaves out is only in
doubt. It has ended once its worker refuses it: a stop order was answered, which also ends a run
that is active within the time that the platform allows for a stop.
"""

from __future__ import annotations

import enum

# A run that was confirmed may be listed this much later, so that it need not be stopped.
FIRST_LISTING_DELAY_S = 0.05
# A lease lasts as long; a run that no list names for longer has ended.
MAX_LISTING_DELAY_S = 1.0


class ListingDelayEstimator:
    """Estimates how long after its start a run may be missing in its worker's lists.

    Workers of one kind are behind by the same time. If that is longer than the estimate, each run
    would be stopped and started elsewhere again and again.
    """

    def __init__(self) -> None:
        self.delay_s = FIRST_LISTING_DELAY_S

    def note_stopped_at_work(self) -> None:
        """Double the estimate, since a run that was missing for so long was at work."""
        self.delay_s = min(2 * self.delay_s, MAX_LISTING_DELAY_S)


class MissingRun(enum.Enum):
    """What a list says of a run that it leaves out.

    ``UNKNOWN``: nothing, as the list may be older than the run. ``IN_DOUBT``: the run may have
    ended. ``ENDED``: it is not active, and can't start any more.
    """

    UNKNOWN = enum.auto()
    IN_DOUBT = enum.auto()
    ENDED = enum.auto()


def judge_missing_run(
    *,
    asked_at: float,
    confirmed_at: float | None,
    refused_since: float | None,
    stop_timeout_s: float,
    may_start: bool,
) -> MissingRun:
    """Return what the absence of a run in a worker's list says of it.

    All times are in seconds of one clock.

    :param asked_at: when the list was asked for.
    :param confirmed_at: when the worker first confirmed the run; None if it never did.
    :param refused_since: when the worker answered a stop order of the run; None if it never did.
    :param stop_timeout_s: how long a run may be active after its stop order was answered.
    :param may_start: whether the worker may still execute an order of a run that was never
        confirmed.
    """
    if refused_since is not None:
        has_ended = asked_at >= refused_since + stop_timeout_s
        return MissingRun.ENDED if has_ended else MissingRun.UNKNOWN
    is_expected = not may_start if confirmed_at is None else asked_at > confirmed_at
    return MissingRun.IN_DOUBT if is_expected else MissingRun.UNKNOWN
