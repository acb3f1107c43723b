"""Start orders without an answer, which a worker may execute late or after a restart."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from zincwell.dispatch._types import TaskId
from zincwell.dispatch.decisions import may_start_late

# The network may hold an order for this long. A worker that has restarted meanwhile executes it,
# since the deadline of the order is on the clock of the earlier incarnation.
MAX_ORDER_DELAY_S = 12.0


@dataclass(slots=True, frozen=True, kw_only=True, eq=False)
class SentOrder:
    """One copy of a start order.

    :param number: number of the run.
    :param sent_at: event loop time at which it was sent.
    """

    worker_id: str
    task: TaskId
    number: int
    sent_at: float


class UnansweredOrders:
    """The start orders of an owner that a worker may still execute.

    An order is in it from the time when it is sent until it is answered, or until neither the order
    nor a run that it has started can be left.

    :param max_lease_s: longest time in seconds for which a lease may last on this entry's clock.
    """

    def __init__(self, *, max_lease_s: float) -> None:
        self._max_lease_s = max_lease_s
        # In the order in which they were sent.
        self._orders: dict[SentOrder, None] = {}
        self._orders_by_task: dict[TaskId, dict[SentOrder, None]] = {}
        self._loop = asyncio.get_running_loop()

    def __len__(self) -> int:
        return len(self._orders)

    def add(self, task: TaskId, number: int, *, worker_id: str) -> SentOrder:
        """Record an order that is about to be sent."""
        self._discard_expired()
        order = SentOrder(worker_id=worker_id, task=task, number=number, sent_at=self._loop.time())
        self._orders[order] = None
        self._orders_by_task.setdefault(task, {})[order] = None
        return order

    def discard(self, order: SentOrder) -> None:
        """Remove an order that was answered."""
        if order not in self._orders:
            return
        del self._orders[order]
        orders = self._orders_by_task[order.task]
        del orders[order]
        if not orders:
            del self._orders_by_task[order.task]

    def discard_task(self, task: TaskId) -> None:
        """Remove all orders of a task, which no worker would execute."""
        for order in list(self._orders_by_task.get(task, ())):
            self.discard(order)

    def may_start(self, task: TaskId) -> bool:
        """Return whether a worker may still start a task by an order without an answer."""
        orders = self._orders_by_task.get(task)
        return orders is not None and self._may_start_late(next(reversed(orders)))

    def of_worker(self, worker_id: str) -> Iterator[SentOrder]:
        """Iterate over the orders that a worker may still execute."""
        for order in list(self._orders):
            if order.worker_id == worker_id and self._may_start_late(order):
                yield order

    def is_expected_at(self, worker_id: str) -> bool:
        """Return whether a worker may still execute an order."""
        return next(self.of_worker(worker_id), None) is not None

    def _may_start_late(self, order: SentOrder) -> bool:
        return may_start_late(
            now=self._loop.time(),
            ordered_at=order.sent_at,
            max_order_delay_s=MAX_ORDER_DELAY_S,
            max_lease_s=self._max_lease_s,
        )

    def _discard_expired(self) -> None:
        while self._orders:
            oldest = next(iter(self._orders))
            if self._may_start_late(oldest):
                return
            self.discard(oldest)
