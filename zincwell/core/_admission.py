"""Admission: which work is taken in, and what the rest is told.

A refusal is answered at once and says when to come back. Work that is refused here has not
been started anywhere, so its outcome is ``not_run``.
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

SHORTEST_RETRY_MS = 50
LONGEST_RETRY_MS = 30_000
QUOTA_RETRY_MS = 500
FULL_RETRY_MS = 1_000
MOST_TENANTS = 1_000


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why work was not taken in.

    :ivar retry_after_ms: when coming back helps; None if it never does.
    """

    reason: str
    detail: str
    retry_after_ms: int | None = None


class DelayRule(abc.ABC):
    """Decides by the queueing delay."""

    @abc.abstractmethod
    def admits(self, *, wait_s: float, limit_s: float) -> bool:
        """Tell whether work is taken in.

        :param wait_s: expected wait for its first start, in seconds.
        :param limit_s: longest wait that is of use to it, in seconds.
        """


class BoundedQueue(DelayRule):
    """Takes in all; only the bound on queued tasks refuses."""

    def admits(self, *, wait_s: float, limit_s: float) -> bool:
        """Tell whether work is taken in."""
        return True


class Feasible(DelayRule):
    """Takes in what can be started before its limit."""

    def admits(self, *, wait_s: float, limit_s: float) -> bool:
        """Tell whether work is taken in."""
        return wait_s <= limit_s


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
        if len(self._free_at_by_tenant) > MOST_TENANTS:
            self._forget_past(now)
        earliest = max(self._free_at_by_tenant.get(tenant, 0.0), now + wait_s)
        self._free_at_by_tenant[tenant] = earliest + work_s
        return earliest - now

    def _forget_past(self, now: float) -> None:
        """Drop turns that are over, so that tenants that come and go don't pile up."""
        turns = self._free_at_by_tenant.items()
        self._free_at_by_tenant = {tenant: at for tenant, at in turns if at > now}


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
            or self._check_delay(job, pool, document)
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
        most = self._memory.max_queued_tasks
        if len(job.tasks) > most:
            detail = f"{len(job.tasks)} tasks, an entry queues {most} at the most"
            return Refusal(reason="queue_full", detail=detail)
        if pool.queue.size + len(job.tasks) > most:
            detail = f"{pool.queue.size} tasks are queued"
            return Refusal(reason="queue_full", detail=detail, retry_after_ms=FULL_RETRY_MS)
        if pool.slots() == 0:
            detail = "no worker of the pool is usable"
            return Refusal(reason="no_worker", detail=detail, retry_after_ms=FULL_RETRY_MS)
        return None

    def _check_delay(self, job: Job, pool: Pool, document: Document) -> Refusal | None:
        """Refuse what would wait longer than is of use to it."""
        now = self._clock.monotonic()
        wait_s = pool.queue.expected_wait_s(job, slots=self._own_slots(pool))
        limit_s = self._limit_s(job, pool, document, now)
        if RULES[pool.rules.admission].admits(wait_s=wait_s, limit_s=limit_s):
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


#: Neither rule keeps a state.
RULES: dict[AdmissionKind, DelayRule] = {
    AdmissionKind.BOUNDED: BoundedQueue(),
    AdmissionKind.FEASIBLE: Feasible(),
}
