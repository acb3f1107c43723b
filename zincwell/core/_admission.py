"""Admission control: which work is accepted, and when refused work may be retried.

A refusal is answered at once and, if a retry can help, says when to retry. No part of refused
work has been started, so its outcome is ``not_run``.
"""

from __future__ import annotations

import abc
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

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
QUOTA_RETRY_AFTER_MS = 500
CAPACITY_RETRY_AFTER_MS = 1_000
MAX_SCHEDULED_TENANTS = 1_000


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why work was refused.

    :ivar reason: machine-readable reason.
    :ivar detail: text for the caller.
    :ivar retry_after_ms: delay after which a retry may succeed; None if it never can.
    """

    reason: str
    detail: str
    retry_after_ms: int | None = None


class DelayRule(abc.ABC):
    """Decides on admission by the expected queueing delay."""

    @abc.abstractmethod
    def admits(self, *, wait_s: float, limit_s: float) -> bool:
        """Return whether work is admitted.

        :param wait_s: expected wait until its first task starts, in seconds.
        :param limit_s: longest wait after which the work is still useful, in seconds.
        """


class BoundedRule(DelayRule):
    """Admits all work; the bound on queued tasks is checked elsewhere."""

    def admits(self, *, wait_s: float, limit_s: float) -> bool:
        """Return whether work is admitted."""
        return True


class FeasibleRule(DelayRule):
    """Admits work that can start within its limit."""

    def admits(self, *, wait_s: float, limit_s: float) -> bool:
        """Return whether work is admitted."""
        return wait_s <= limit_s


class RetrySchedule:
    """Spreads the retries of refused work over time, for each tenant.

    If all callers were given the time at which the queue is short enough again, they would
    retry together and nearly all be refused again: tens of refusals for each job. So each retry
    time leaves room for the work of the same tenant that was refused before.
    """

    def __init__(self) -> None:
        self._next_retry_at_by_tenant: dict[str, float] = {}

    def reserve(self, tenant: str, *, now: float, wait_s: float, work_s: float) -> float:
        """Reserve time for refused work and return the delay until its retry, in seconds.

        :param now: monotonic time, in seconds.
        :param wait_s: time until the queue is short enough, in seconds.
        :param work_s: time that the work takes on all slots of the pool, in seconds.
        """
        if len(self._next_retry_at_by_tenant) > MAX_SCHEDULED_TENANTS:
            self._drop_past(now)
        retry_at = max(self._next_retry_at_by_tenant.get(tenant, 0.0), now + wait_s)
        self._next_retry_at_by_tenant[tenant] = retry_at + work_s
        return retry_at - now

    def _drop_past(self, now: float) -> None:
        """Drop past reservations, which bounds the memory for tenants that are no longer active."""
        reserved = self._next_retry_at_by_tenant.items()
        self._next_retry_at_by_tenant = {tenant: at for tenant, at in reserved if at > now}


class Admission:
    """Admits or refuses work on arrival.

    :param run_times: expected run times of services.
    :param queued_by_tenant: returns the number of tasks queued in this entry by tenant.
    :param peer_loads: returns the loads that the domain's other entries last reported.
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
        self._retry_schedule = RetrySchedule()

    def check(self, job: Job, *, document: Document, pool: Pool) -> Refusal | None:
        """Return why a job is refused, or None if it is admitted."""
        rules = document.tenants.get(job.tenant)
        if rules is None and not document.open_tenants:
            return Refusal(reason="unknown_tenant", detail=f"no tenant {job.tenant!r}")
        rules = rules or Tenant()
        return (
            self._check_memory(job, pool)
            or self._check_quota(job, rules)
            or self._check_capacity(job, pool)
            or self._check_delay(job, pool, document)
        )

    def _check_memory(self, job: Job, pool: Pool) -> Refusal | None:
        largest_mb = pool.largest_memory_mb()
        needed_mb = max(task.spec.memory_mb for task in job.tasks)
        if pool.worker_by_name and needed_mb > largest_mb:
            detail = f"a task asks for {needed_mb} MB, the largest worker has {largest_mb} MB"
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
            retry_after_ms=QUOTA_RETRY_AFTER_MS if len(job.tasks) <= rules.max_queued else None,
        )

    def _check_capacity(self, job: Job, pool: Pool) -> Refusal | None:
        max_tasks = self._memory.max_queued_tasks
        if len(job.tasks) > max_tasks:
            detail = f"{len(job.tasks)} tasks, an entry queues {max_tasks} at the most"
            return Refusal(reason="queue_full", detail=detail)
        if pool.queue.size + len(job.tasks) > max_tasks:
            detail = f"{pool.queue.size} tasks are queued"
            return Refusal(
                reason="queue_full", detail=detail, retry_after_ms=CAPACITY_RETRY_AFTER_MS
            )
        if pool.slots() == 0:
            detail = "no worker of the pool is usable"
            return Refusal(
                reason="no_worker", detail=detail, retry_after_ms=CAPACITY_RETRY_AFTER_MS
            )
        return None

    def _check_delay(self, job: Job, pool: Pool, document: Document) -> Refusal | None:
        """Refuse work whose expected wait exceeds its limit."""
        now = self._clock.monotonic()
        wait_s = pool.queue.expected_wait_s(job, slots=self._own_slots(pool))
        limit_s = self._limit_s(job, pool, document, now)
        if DELAY_RULES[pool.rules.admission].admits(wait_s=wait_s, limit_s=limit_s):
            return None
        work_s = len(job.tasks) * self._run_times.expected_s(job.service) / pool.slots()
        retry_s = self._retry_schedule.reserve(
            job.tenant, now=now, wait_s=max(wait_s - limit_s, 0.0), work_s=work_s
        )
        retry_ms = min(max(round(retry_s * 1000), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        detail = f"it would wait {wait_s:.1f} s, the limit is {limit_s:.1f} s"
        return Refusal(reason="overload", detail=detail, retry_after_ms=retry_ms)

    def _limit_s(self, job: Job, pool: Pool, document: Document, now: float) -> float:
        limit_ms = pool.rules.queue_target_ms
        if job.urgency in document.urgencies:
            limit_ms = document.urgencies[job.urgency].max_queue_ms or limit_ms
        return min(limit_ms / 1000, job.deadline_at - now)

    def _own_slots(self, pool: Pool) -> float:
        """Return the slots that serve our queue: an even share among the entries with a backlog."""
        peers_with_queue = sum(
            1 for load in self._peer_loads() if load.queued_by_pool.get(pool.name, 0)
        )
        return pool.slots() / (1 + peers_with_queue)


#: Shared by all pools, as the rules are stateless.
DELAY_RULES: dict[AdmissionKind, DelayRule] = {
    AdmissionKind.BOUNDED: BoundedRule(),
    AdmissionKind.FEASIBLE: FeasibleRule(),
}
