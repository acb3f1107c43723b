"""Admission: which work is taken in, and what the rest is told.

A refusal is answered at once and says when to come back. Work that is refused here has not
been started anywhere, so its outcome is ``not_run``.
"""

from __future__ import annotations

import abc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from zincwell.core._messages import Load
from zincwell.core._pool import Pool
from zincwell.core._runtimes import RunTimes
from zincwell.document import Admission as AdmissionKind
from zincwell.document import Document, Tenant
from zincwell.models import TaskSpec
from zincwell.ports import Clock
from zincwell.settings import MemorySettings

SHORTEST_RETRY_MS = 50
LONGEST_RETRY_MS = 30_000
QUOTA_RETRY_MS = 500

#: Gains and period of the delay controller, after PIE (Pan et al., HPSR 2013) as used by
#: Laki et al., "Take your own share of the PIE" (ANRW 2017): refuse below a value threshold
#: that is the percentile, at the drop probability, of the values seen lately.
PROPORTIONAL_GAIN = 0.125
INTEGRAL_GAIN = 1.25
CONTROL_PERIOD_S = 0.032
VALUES_KEPT = 512


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why work was not taken in.

    :ivar retry_after_ms: when coming back helps; None if it never does.
    """

    reason: str
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, kw_only=True)
class Offer:
    """Work at arrival, as the rules look at it.

    :ivar limit_ms: longest queueing delay that is of use to it.
    :ivar wait_ms: expected queueing delay now.
    :ivar value: worth by its tenant's weight against what the tenant has queued; the more a
        tenant has queued for its weight, the less one more of its jobs is worth.
    """

    limit_ms: float
    wait_ms: float
    value: float
    now: float


class DelayRule(abc.ABC):
    """Decides by the queueing delay."""

    @abc.abstractmethod
    def admits(self, offer: Offer) -> bool:
        """Tell whether work is taken in."""


class BoundedQueue(DelayRule):
    """Takes in all; only the bound on queued tasks refuses. The baseline."""

    def admits(self, offer: Offer) -> bool:
        """Tell whether work is taken in."""
        return True


class Feasible(DelayRule):
    """Takes in what can be started before its limit."""

    def admits(self, offer: Offer) -> bool:
        """Tell whether work is taken in."""
        return offer.wait_ms <= offer.limit_ms


class DelayController(DelayRule):
    """Holds the delay at a target by refusing the least valuable of what comes.

    :param target_ms: returns the queueing delay to hold.
    """

    def __init__(self, *, target_ms: Callable[[], float]):
        self._target_ms = target_ms
        self._probability = 0.0
        self._last_wait_s = 0.0
        self._updated_at = 0.0
        self._values: deque[float] = deque(maxlen=VALUES_KEPT)

    def admits(self, offer: Offer) -> bool:
        """Tell whether work is taken in."""
        self._values.append(offer.value)
        self._update(offer)
        if offer.wait_ms > 2 * max(offer.limit_ms, self._target_ms()):
            return False
        return offer.value >= self._threshold()

    def _update(self, offer: Offer) -> None:
        if offer.now - self._updated_at < CONTROL_PERIOD_S:
            return
        wait_s = offer.wait_ms / 1000
        error_s = wait_s - self._target_ms() / 1000
        change = PROPORTIONAL_GAIN * error_s + INTEGRAL_GAIN * (wait_s - self._last_wait_s)
        self._probability = min(1.0, max(0.0, self._probability + change))
        self._last_wait_s = wait_s
        self._updated_at = offer.now

    def _threshold(self) -> float:
        if self._probability * len(self._values) < 1:
            return 0.0
        ranked = sorted(self._values)
        place = min(int(self._probability * len(ranked)), len(ranked) - 1)
        return ranked[place]


class Admission:
    """Admits or refuses work at arrival.

    :param peer_loads: returns what the domain's other entries have told of their use.
    :param own_load: returns our own use.
    """

    def __init__(
        self,
        *,
        memory: MemorySettings,
        run_times: RunTimes,
        clock: Clock,
        queued_by_tenant: Callable[[], dict[str, int]],
        peer_loads: Callable[[], list[Load]],
    ):
        self._memory = memory
        self._run_times = run_times
        self._clock = clock
        self._queued_by_tenant = queued_by_tenant
        self._peer_loads = peer_loads
        self._rule_by_pool: dict[str, tuple[AdmissionKind, DelayRule]] = {}

    def check(
        self,
        *,
        document: Document,
        pool: Pool,
        tenant: str,
        service: str,
        urgency: str,
        deadline_ms: int,
        tasks: list[TaskSpec],
    ) -> Refusal | None:
        """Return why work is refused, or None if it is admitted."""
        rules = document.tenants.get(tenant)
        if rules is None and not document.open_tenants:
            return Refusal(reason="unknown_tenant", detail=f"no tenant {tenant!r}")
        rules = rules or Tenant()
        refusal = self._check_fit(pool, tasks) or self._check_quota(rules, tenant, len(tasks))
        if refusal is not None:
            return refusal
        limit_ms = pool.rules.queue_target_ms
        if urgency in document.urgencies:
            limit_ms = document.urgencies[urgency].max_queue_ms or limit_ms
        limit_ms = min(limit_ms, deadline_ms)
        return self._check_delay(pool, service, tenant, rules, limit_ms, len(tasks))

    def _check_fit(self, pool: Pool, tasks: list[TaskSpec]) -> Refusal | None:
        largest_mb = pool.largest_memory_mb()
        asked_mb = max(task.memory_mb for task in tasks)
        if pool.worker_by_name and asked_mb > largest_mb:
            detail = f"a task asks for {asked_mb} MB, the largest worker has {largest_mb} MB"
            return Refusal(reason="fits_no_worker", detail=detail)
        return None

    def _check_quota(self, rules: Tenant, tenant: str, count: int) -> Refusal | None:
        if not rules.max_queued:
            return None
        queued = self._queued_by_tenant().get(tenant, 0)
        queued += sum(load.queued_by_tenant.get(tenant, 0) for load in self._peer_loads())
        if queued + count <= rules.max_queued:
            return None
        return Refusal(
            reason="quota",
            detail=f"{queued} of {rules.max_queued} tasks are queued",
            retry_after_ms=QUOTA_RETRY_MS if count <= rules.max_queued else None,
        )

    def _check_delay(
        self, pool: Pool, service: str, tenant: str, rules: Tenant, limit_ms: float, count: int
    ) -> Refusal | None:
        """Refuse what would wait longer than is of use to it."""
        if pool.queue.size + count > self._memory.max_queued_tasks:
            detail = f"{pool.queue.size} tasks are queued"
            return Refusal(reason="queue_full", detail=detail, retry_after_ms=1_000)
        slots = pool.slots()
        if slots == 0:
            detail = "no worker of the pool is usable"
            return Refusal(reason="no_worker", detail=detail, retry_after_ms=1_000)
        run_s = self._run_times.expected_s(service)
        wait_ms = pool.queue.size * run_s / slots * 1000
        queued = pool.queue.size_by_tenant.get(tenant, 0)
        offer = Offer(
            limit_ms=limit_ms,
            wait_ms=wait_ms,
            value=rules.weight / (1 + queued),
            now=self._clock.monotonic(),
        )
        if self._rule(pool).admits(offer):
            return None
        retry_ms = min(max(round(wait_ms - limit_ms), SHORTEST_RETRY_MS), LONGEST_RETRY_MS)
        detail = f"the queue stands at {round(wait_ms)} ms, the limit is {round(limit_ms)} ms"
        return Refusal(reason="overload", detail=detail, retry_after_ms=retry_ms)

    def _rule(self, pool: Pool) -> DelayRule:
        kind = pool.rules.admission
        known = self._rule_by_pool.get(pool.name)
        if known is None or known[0] is not kind:
            known = (kind, _make_rule(kind, pool))
            self._rule_by_pool[pool.name] = known
        return known[1]


def _make_rule(kind: AdmissionKind, pool: Pool) -> DelayRule:
    if kind is AdmissionKind.BOUNDED:
        return BoundedQueue()
    if kind is AdmissionKind.CONTROLLED:
        return DelayController(target_ms=lambda: pool.rules.queue_target_ms)
    return Feasible()
