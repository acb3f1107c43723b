"""Which incarnation of a worker a record or a response comes from.

Load condition: workers restart under their id while orders, responses and lists of workers are on
the way. A list is up to seconds old and an order may be executed 12 s after it was sent, so the
old and the new incarnation are seen in any order, and in turn.

An incarnation is identified by the Unix time in ms at which the worker process started. Only a
higher value is a new incarnation. 0 stands for none: the sender does not know incarnations, so the
message says nothing about them.
"""

from __future__ import annotations

import enum


class Sighting(enum.Enum):
    """The incarnation in a message, compared with the newest one known."""

    CURRENT = enum.auto()
    NEWER = enum.auto()
    OLDER = enum.auto()


def compare_incarnation(seen_ms: int, *, known_ms: int | None) -> Sighting:
    """Compare the incarnation in a message with the newest one known of that worker.

    :param known_ms: None before the first message. 0 if the worker sends no incarnation; a process
        does not begin to send one, so a higher value belongs to another process.
    """
    if known_ms is None or seen_ms in (0, known_ms):
        return Sighting.CURRENT
    return Sighting.NEWER if seen_ms > known_ms else Sighting.OLDER


def is_record_missing(*, record_ms: int, known_ms: int | None) -> bool:
    """Return whether a worker has restarted and no record of the new incarnation was seen.

    Its capacity, kind and rack may differ from those in the earlier record. Without incarnations
    in the records there is none to wait for.

    :param record_ms: newest incarnation in the worker's records, 0 if they have none.
    :param known_ms: newest incarnation in any message of the worker.
    """
    return 0 < record_ms < (known_ms or 0)


def may_start_late(
    *, now: float, ordered_at: float, max_order_delay_s: float, max_lease_s: float
) -> bool:
    """Return whether a restarted worker may still execute an order, or run its task.

    The deadline of an order is a time on the clock of the incarnation that it was sent to. The
    clock of the next one starts from the beginning, so that it may accept the order as long as the
    network holds it.
    """
    return now < ordered_at + max_order_delay_s + max_lease_s
