"""When a start order without an answer is sent again.

Load condition: a share of the start orders gets no answer and is executed up to 12 s later, by a
worker that may have restarted meanwhile. Nothing that is sent afterwards reaches the restarted
worker for certain before such an order does. While an order may still be executed, its task
therefore starts on no other worker: the same order is sent again to the same worker, which executes
a run once however often it is ordered.

Most orders are lost independently of each other, so the first copies follow each other quickly. A
worker that leaves several of them unanswered gets further ones at growing intervals, since each of
them may be executed later as well.
"""

from __future__ import annotations

# The interval between copies grows after this many of them.
QUICK_COPIES = 2
MAX_RETRY_INTERVAL_S = 0.8
# A worker that leaves this many copies of an order unanswered gets one run at a time.
MAX_UNANSWERED_COPIES = 3


def choose_order_retry_s(*, copies: int, answer_timeout_s: float) -> float:
    """Return after how many seconds without an answer an order is sent again.

    :param copies: how often the order was sent.
    :param answer_timeout_s: time after which a call without an answer counts as lost.
    """
    doublings = max(copies - QUICK_COPIES, 0)
    return min(answer_timeout_s * 2.0**doublings, MAX_RETRY_INTERVAL_S)


def leaves_orders_unanswered(*, copies: int) -> bool:
    """Return whether the copies of one order without an answer show a fault of the worker.

    :param copies: how often the order was sent.
    """
    return copies >= MAX_UNANSWERED_COPIES
