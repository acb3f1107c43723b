"""Admission: which work is taken in, and what the rest is told.

A refusal is answered at once and says when to come back. Work that is refused here has not
been started anywhere, so its outcome is ``not_run``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from zincwell.core._messages import Load
from zincwell.core._pool import Pool
from zincwell.core._runtimes import RunTimes
from zincwell.document import Document, Tenant
from zincwell.models import TaskSpec
from zincwell.settings import MemorySettings

SHORTEST_RETRY_MS = 50
LONGEST_RETRY_MS = 30_000
QUOTA_RETRY_MS = 500


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why work was not taken in.

    :ivar retry_after_ms: when coming back helps; None if it never does.
    :ivar is_quota: whether the tenant's own use is the reason.
    """

    reason: str
    detail: str
    retry_after_ms: int | None = None
    is_quota: bool = False


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
        own_load: Callable[[], Load],
        peer_loads: Callable[[], list[Load]],
    ):
        self._memory = memory
        self._run_times = run_times
        self._own_load = own_load
        self._peer_loads = peer_loads

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
        return (
            self._check_fit(pool, tasks)
            or self._check_quota(rules or Tenant(), tenant, len(tasks))
            or self._check_delay(document, pool, service, urgency, deadline_ms, tasks)
        )

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
        loads = [self._own_load(), *self._peer_loads()]
        queued = sum(load.queued_by_tenant.get(tenant, 0) for load in loads)
        if queued + count <= rules.max_queued:
            return None
        return Refusal(
            reason="quota",
            detail=f"{queued} of {rules.max_queued} tasks are queued",
            retry_after_ms=QUOTA_RETRY_MS if count <= rules.max_queued else None,
            is_quota=True,
        )

    def _check_delay(
        self,
        document: Document,
        pool: Pool,
        service: str,
        urgency: str,
        deadline_ms: int,
        tasks: list[TaskSpec],
    ) -> Refusal | None:
        """Refuse what would wait longer than the target, or past its own deadline."""
        if pool.queue.size + len(tasks) > self._memory.max_queued_tasks:
            return Refusal(
                reason="queue_full", detail="too many tasks queued", retry_after_ms=1_000
            )
        slots = pool.slots()
        if slots == 0:
            return Refusal(reason="no_worker", detail="no usable worker", retry_after_ms=1_000)
        run_s = self._run_times.expected_s(service)
        wait_ms = pool.queue.size * run_s / slots * 1000
        limit_ms = pool.rules.queue_target_ms
        if urgency in document.urgencies:
            limit_ms = document.urgencies[urgency].max_queue_ms or limit_ms
        limit_ms = min(limit_ms, deadline_ms)
        if wait_ms <= limit_ms:
            return None
        retry_ms = min(max(round(wait_ms - limit_ms), SHORTEST_RETRY_MS), LONGEST_RETRY_MS)
        detail = f"the queue stands at {round(wait_ms)} ms, the limit is {limit_ms} ms"
        return Refusal(reason="overload", detail=detail, retry_after_ms=retry_ms)
