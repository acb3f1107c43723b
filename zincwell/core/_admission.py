"""Admission: which work is taken in, and what the rest is told.

A refusal is answered at once and says when to come back. Work that is refused here has not
been started anywhere, so its outcome is ``not_run``.
"""

from __future__ import annotations

import abc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from zincwell.core._jobs import Job
from zincwell.core._messages import Load
from zincwell.core._pool import Pool
from zincwell.core._runtimes import RunTimes
from zincwell.document import Admission as AdmissionKind
from zincwell.document import Document, Tenant
from zincwell.ports import Clock
from zincwell.settings import MemorySettings

SHORTEST_RETRY_MS = 50
LONGEST_RETRY_MS = 30_000
QUOTA_RETRY_MS = 500
FULL_RETRY_MS = 1_000

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


class Turns:
    """Tells those who are refused when their turn may come.

    If all were told the time at which the queue is short enough again, all would come back
    together and nearly all be refused again: one sees tens of refused attempts for each job.
    So each is told to come after the work of those who were refused before it.
    """

    def __init__(self) -> None:
        self._free_at_by_tenant: dict[str, float] = {}

    def take(self, tenant: str, *, now: float, wait_s: float, work_s: float) -> float:
        """Return in how many seconds to come back.

        :param wait_s: time until the queue is short enough.
        :param work_s: time that the work itself takes with the tenant's share of the slots.
        """
        earliest = max(self._free_at_by_tenant.get(tenant, 0.0), now + wait_s)
        self._free_at_by_tenant[tenant] = earliest + work_s
        return earliest - now


class Admission:
    """Admits or refuses work at arrival.

    :param peer_loads: returns what the domain's other entries have told of their use.
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
        self._turns = Turns()
        self._rule_by_pool: dict[str, tuple[AdmissionKind, DelayRule]] = {}

    def check(self, job: Job, *, document: Document, pool: Pool) -> Refusal | None:
        """Return why a job is refused, or None if it is admitted."""
        rules = document.tenants.get(job.tenant)
        if rules is None and not document.open_tenants:
            return Refusal(reason="unknown_tenant", detail=f"no tenant {job.tenant!r}")
        rules = rules or Tenant()
        return (
            self._check_fit(job, pool)
            or self._check_quota(job, rules)
            or self._check_room(job, pool)
            or self._check_delay(job, pool, rules, document)
        )

    def _check_fit(self, job: Job, pool: Pool) -> Refusal | None:
        largest_mb = pool.largest_memory_mb()
        asked_mb = max(task.spec.memory_mb for task in job.tasks)
        if pool.worker_by_name and asked_mb > largest_mb:
            detail = f"a task asks for {asked_mb} MB, the largest worker has {largest_mb} MB"
            return Refusal(reason="fits_no_worker", detail=detail)
        return None

    def _check_quota(self, job: Job, rules: Tenant) -> Refusal | None:
        if not rules.max_queued:
            return None
        queued = self._queued_by_tenant().get(job.tenant, 0)
        queued += sum(load.queued_by_tenant.get(job.tenant, 0) for load in self._peer_loads())
        if queued + len(job.tasks) <= rules.max_queued:
            return None
        return Refusal(
            reason="quota",
            detail=f"{queued} of {rules.max_queued} tasks are queued",
            retry_after_ms=QUOTA_RETRY_MS if len(job.tasks) <= rules.max_queued else None,
        )

    def _check_room(self, job: Job, pool: Pool) -> Refusal | None:
        if pool.queue.size + len(job.tasks) > self._memory.max_queued_tasks:
            detail = f"{pool.queue.size} tasks are queued"
            return Refusal(reason="queue_full", detail=detail, retry_after_ms=FULL_RETRY_MS)
        if pool.slots() == 0:
            detail = "no worker of the pool is usable"
            return Refusal(reason="no_worker", detail=detail, retry_after_ms=FULL_RETRY_MS)
        return None

    def _check_delay(
        self, job: Job, pool: Pool, rules: Tenant, document: Document
    ) -> Refusal | None:
        """Refuse what would wait longer than is of use to it."""
        now = self._clock.monotonic()
        wait_s = pool.queue.expected_wait_s(job, slots=self._own_slots(pool))
        limit_s = self._limit_s(job, pool, document, now)
        queued = pool.queue.size_by_tenant.get(job.tenant, 0)
        offer = Offer(
            limit_ms=limit_s * 1000,
            wait_ms=wait_s * 1000,
            value=rules.weight / (1 + queued),
            now=now,
        )
        if self._rule(pool).admits(offer):
            return None
        work_s = len(job.tasks) * self._run_times.expected_s(job.service) / pool.slots()
        back_s = self._turns.take(
            job.tenant, now=now, wait_s=max(wait_s - limit_s, 0.0), work_s=work_s
        )
        retry_ms = min(max(round(back_s * 1000), SHORTEST_RETRY_MS), LONGEST_RETRY_MS)
        detail = f"it would wait {wait_s:.1f} s, the limit is {limit_s:.1f} s"
        return Refusal(reason="overload", detail=detail, retry_after_ms=retry_ms)

    def _limit_s(self, job: Job, pool: Pool, document: Document, now: float) -> float:
        limit_ms = pool.rules.queue_target_ms
        if job.urgency in document.urgencies:
            limit_ms = document.urgencies[job.urgency].max_queue_ms or limit_ms
        return min(limit_ms / 1000, job.deadline_at - now)

    def _own_slots(self, pool: Pool) -> float:
        """Return the slots that serve our queue: all, or our part if peers have queues too."""
        waiting = sum(1 for load in self._peer_loads() if load.queued_by_pool.get(pool.name, 0))
        return pool.slots() / (1 + waiting)

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
