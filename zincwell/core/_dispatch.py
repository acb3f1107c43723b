"""Dispatch of owned jobs: queueing, placement on workers, worker events and answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from zincwell._supervision import supervisor
from zincwell.core._jobs import SPILLED_TENANT, Job, Task, TaskState, make_answer
from zincwell.core._ordering import Queue, make_queue
from zincwell.core._pool import Pool
from zincwell.core._quotas import QuotaPeers, Quotas
from zincwell.core._runtimes import RunTimes
from zincwell.core._slot_shares import Shares
from zincwell.core._worker import Worker
from zincwell.document import Document
from zincwell.document import Pool as PoolRules
from zincwell.models import Answer, Outcome
from zincwell.ports import Clock, EventKind, Vm, WorkerEvent, WorkerTransport
from zincwell.settings import TimingSettings

RUN_LIMIT_CHECK_PERIOD_S = 0.1
SPILLED_WEIGHT = 0.1

log = logging.getLogger("zincwell.dispatch")


class Dispatcher:
    """Queues jobs, places their tasks on workers and completes their answers.

    :param entry: seat id of this entry, by which workers know the owner of its tasks.
    :param domain: failure domain of this entry.
    :param shares: this entry's share of the slots and connections of each worker.
    :param quota_peers: returns the entries that share the quotas of running tasks.
    :param open_worker: creates the transport to a worker.
    :param on_backlog: called when queued tasks are left after all free slots are taken.
    :param observe: called with each task that reaches its final state, for metrics.
    :param observe_waste: called with the kind of each wasted message.
    """

    def __init__(
        self,
        *,
        entry: str,
        domain: str,
        clock: Clock,
        timing: TimingSettings,
        shares: Shares,
        quota_peers: Callable[[], QuotaPeers],
        open_worker: Callable[[Vm], WorkerTransport],
        on_backlog: Callable[[], None],
        observe: Callable[[Task], None],
        observe_waste: Callable[[str], None],
    ):
        self.document: Document | None = None
        self.pool_by_name: dict[str, Pool] = {}
        self.run_times = RunTimes(default_s=self._declared_run_s)
        self.quotas = Quotas(limit=self._max_running, quota_peers=quota_peers)
        self._entry = entry
        self._domain = domain
        self._clock = clock
        self._timing = timing
        self._shares = shares
        self._on_backlog = on_backlog
        self._open_worker = open_worker
        self._observe = observe
        self._observe_waste = observe_waste
        self._lease_task_by_worker: dict[str, asyncio.Task] = {}
        self._background_tasks: set[asyncio.Task] = set()

    # -- configuration and workers -------------------------------------------------------

    def configure(self, document: Document) -> None:
        """Apply the configuration that is now in force."""
        self.document = document
        for name, rules in document.pools.items():
            pool = self.pool_by_name.get(name)
            if pool is None:
                self.pool_by_name[name] = self._make_pool(name, document)
            else:
                self._update_rules(pool, rules)

    def update_workers(self, vms: list[Vm]) -> None:
        """Add and drop workers to match the list of VMs of this domain.

        A worker whose pool has changed is dropped from the old pool and added to the new one;
        workers of unknown pools are ignored.
        """
        listed_by_name = {vm.vm: vm for vm in vms if vm.pool in self.pool_by_name}
        for pool in self.pool_by_name.values():
            kept = {vm.vm for vm in listed_by_name.values() if vm.pool == pool.name}
            for name in [name for name in pool.worker_by_name if name not in kept]:
                self._drop_worker(pool, name)
        for vm in listed_by_name.values():
            pool = self.pool_by_name[vm.pool]
            worker = pool.worker_by_name.get(vm.vm)
            if worker is None:
                self._add_worker(pool, vm)
            else:
                worker.vm = vm

    # -- jobs ----------------------------------------------------------------------------

    def pool_of(self, service: str) -> Pool | None:
        """Return the pool that runs a service, or None if the service is not configured."""
        if self.document is None or service not in self.document.services:
            return None
        return self.pool_by_name[self.document.services[service].pool]

    def run(self, job: Job) -> None:
        """Queue a job; its answer is set on ``job.answer`` no later than its deadline."""
        pool = self.pool_by_name[job.pool]
        if job.idempotent:
            pool.retry_budget.note_request(self.document.retries)
        pool.queue.push(job)
        delay_s = max(0.0, job.deadline_at - self._clock.monotonic())
        timer = asyncio.get_running_loop().call_later(delay_s, self.give_up, job, "deadline")
        job.answer.add_done_callback(lambda _: timer.cancel())
        pool.wake()

    def give_up(self, job: Job, reason: str) -> None:
        """End a job at once: drop its queued tasks, stop its placed ones and answer it."""
        if job.is_answered:
            return
        pool = self.pool_by_name[job.pool]
        for task in pool.queue.discard(job):
            _finish(task, Outcome.NOT_RUN, reason)
        self._stop_placed(pool, job)
        self._answer(job, make_answer(job, reason=reason))

    def wake(self) -> None:
        """Schedule a placement round in each pool."""
        for pool in self.pool_by_name.values():
            pool.wake()

    def workers(self) -> list[Worker]:
        """Return the workers of all pools."""
        pools = self.pool_by_name.values()
        return [worker for pool in pools for worker in pool.worker_by_name.values()]

    def has_demand(self, pool: str) -> bool:
        """Return whether tasks are queued in a pool."""
        found = self.pool_by_name.get(pool)
        return found is not None and found.queue.size > 0

    def queued_by_tenant(self) -> dict[str, int]:
        """Return the number of queued tasks by tenant."""
        queued: dict[str, int] = {}
        for pool in self.pool_by_name.values():
            for tenant, count in pool.queue.size_by_tenant.items():
                queued[tenant] = queued.get(tenant, 0) + count
        return queued

    async def enforce_run_limits(self) -> None:
        """Stop tasks that exceed the run time limit of their urgency class, until cancelled."""
        while True:
            await asyncio.sleep(RUN_LIMIT_CHECK_PERIOD_S)
            for pool in self.pool_by_name.values():
                for worker in pool.all_workers():
                    for task in list(worker.placed_by_id.values()):
                        self._stop_if_over_limit(task)

    def _stop_if_over_limit(self, task: Task) -> None:
        rules = self.document.urgencies.get(task.job.urgency)
        if rules is None or not rules.max_run_ms or not task.started_at:
            return
        ran_ms = (self._clock.monotonic() - task.started_at) * 1000
        if ran_ms > rules.max_run_ms and not task.job.is_answered:
            log.info("task_stopped", extra={"task": task.id, "ran_ms": round(ran_ms)})
            self.give_up(task.job, "ran_too_long")

    async def close(self) -> None:
        """Stop renewing leases and close the connections to all workers."""
        for lease_task in self._lease_task_by_worker.values():
            lease_task.cancel()
        for pool in self.pool_by_name.values():
            for worker in pool.worker_by_name.values():
                await worker.close()

    # -- worker events -------------------------------------------------------------------

    def _on_event(self, task: Task, event: WorkerEvent) -> None:
        pool = self.pool_by_name[task.job.pool]
        worker = pool.worker_by_name.get(task.worker)
        if event.kind in (EventKind.ACCEPTED, EventKind.RUNNING):
            task.started = task.started or event.kind is EventKind.ACCEPTED
            task.started_at = task.started_at or self._clock.monotonic()
            if task.started and task.job.on_accepted is not None:
                task.job.on_accepted(task)
            return
        self.quotas.note_end(task.job.tenant)
        if task.state is TaskState.FINAL:
            pool.wake()
            return
        if event.kind is EventKind.COMPLETED:
            self._handle_completed(task, worker, event)
        elif event.kind is EventKind.FAILED:
            self._handle_failed(pool, task, worker, event)
        elif event.kind is EventKind.STOPPED:
            self._end(task, Outcome.OUTCOME_UNKNOWN, "stopped")
        elif event.kind is EventKind.LOST:
            self._handle_lost(pool, task)
        else:
            self._observe_waste(f"{event.kind}_{event.reason}".replace(" ", "_"))
            self._requeue(pool, task, event.reason)
        pool.wake()

    def _handle_completed(self, task: Task, worker: Worker | None, event: WorkerEvent) -> None:
        self._note_run_time(task, worker)
        task.output = event.output
        self._end(task, Outcome.COMPLETED, "")

    def _note_run_time(self, task: Task, worker: Worker | None) -> None:
        """Record a run time, if it is known.

        The start time is unknown if the stream broke before the worker's acceptance arrived.
        """
        if not task.started_at:
            return
        run_s = self._clock.monotonic() - task.started_at
        expected_s = self.run_times.expected_s(task.job.service)
        self.run_times.note(task.job.service, run_s)
        if worker is not None:
            now = self._clock.monotonic()
            worker.health.note_success(ratio=run_s / max(expected_s, 0.001), now=now)

    def _handle_failed(
        self, pool: Pool, task: Task, worker: Worker | None, event: WorkerEvent
    ) -> None:
        if worker is not None:
            worker.health.note_failure(now=self._clock.monotonic())
            expected_end_at = task.started_at + self.run_times.expected_s(task.job.service)
            worker.hold_slot(expected_end_at - self._clock.monotonic())
            if pool.eject_if_outlier(worker):
                log.warning("worker_ejected", extra={"worker": worker.name, "pool": pool.name})
        if not self._retry(pool, task, event.reason):
            self._end(task, Outcome.FAILED, event.reason)

    def _retry(self, pool: Pool, task: Task, reason: str) -> bool:
        """Requeue an idempotent request if its attempts and the retry budget allow it."""
        job = task.job
        if not job.idempotent or job.retries_left <= 0 or job.is_answered:
            return False
        if not pool.retry_budget.take():
            self._observe_waste("retry_denied")
            return False
        job.retries_left -= 1
        self._observe_waste("retry")
        self._requeue(pool, task, reason)
        return True

    def _requeue(self, pool: Pool, task: Task, reason: str) -> None:
        """Queue a task again that has provably not run, or that may run again."""
        task.started = False
        task.started_at = 0.0
        if task.job.is_answered:
            self._end(task, Outcome.NOT_RUN, reason or "no_worker")
            return
        task.state = TaskState.QUEUED
        pool.queue.requeue(task)

    def _on_unsent(self, tasks: list[Task], reason: str) -> None:
        for task in tasks:
            pool = self.pool_by_name[task.job.pool]
            self.quotas.note_end(task.job.tenant)
            if task.state is not TaskState.FINAL:
                self._requeue(pool, task, reason)
            pool.wake()

    def _on_lost(self, tasks: list[Task]) -> None:
        for task in tasks:
            log.warning("task_lost", extra={"task": task.id, "worker": task.worker})
            pool = self.pool_by_name[task.job.pool]
            self.quotas.note_end(task.job.tenant)
            if task.state is not TaskState.FINAL:
                self._handle_lost(pool, task)

    def _handle_lost(self, pool: Pool, task: Task) -> None:
        if not self._retry(pool, task, "worker_lost"):
            self._end(task, Outcome.OUTCOME_UNKNOWN, "worker_lost")

    # -- answers -------------------------------------------------------------------------

    def _end(self, task: Task, outcome: Outcome, reason: str) -> None:
        _finish(task, outcome, reason)
        self._observe(task)
        job = task.job
        if job.is_answered:
            return
        if outcome is not Outcome.COMPLETED:
            self.give_up(job, reason)
        elif job.unfinished == 0:
            self._answer(job, make_answer(job))

    def _answer(self, job: Job, answer: Answer) -> None:
        job.answer.set_result(answer)
        log.info(
            "job_answered",
            extra={
                "job": job.key,
                "tenant": job.tenant,
                "service": job.service,
                "outcome": answer.outcome,
                "reason": answer.reason,
                "tasks": len(answer.tasks),
                "ms": round((self._clock.monotonic() - job.arrived_at) * 1000, 1),
            },
        )

    def _stop_placed(self, pool: Pool, job: Job) -> None:
        """Stop a job's placed tasks with one message per worker."""
        placed_by_worker: dict[str, list[Task]] = {}
        for task in job.tasks:
            if task.state is TaskState.PLACED:
                placed_by_worker.setdefault(task.worker, []).append(task)
        for name, tasks in placed_by_worker.items():
            worker = pool.find_worker(name)
            if worker is not None:
                self._run_in_background(worker.stop(tasks))

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    # -- pools and workers ---------------------------------------------------------------

    def _make_pool(self, name: str, document: Document) -> Pool:
        rules = document.pools[name]
        queue = self._make_queue(rules)
        return Pool(
            name=name,
            rules=rules,
            queue=queue,
            shares=self._shares,
            quotas=self.quotas,
            clock=self._clock,
            seed=f"{self._entry}/{name}",
            on_backlog=self._on_backlog,
        )

    def _update_rules(self, pool: Pool, rules: PoolRules) -> None:
        if rules.ordering is not pool.rules.ordering:
            queue = self._make_queue(rules)
            for job in pool.queue.jobs():
                queue.push(job)
            pool.queue = queue
        pool.rules = rules

    def _make_queue(self, rules: PoolRules) -> Queue:
        return make_queue(
            rules.ordering,
            weight=self._weight,
            class_weight=self._class_weight,
            run_s=self.run_times.expected_s,
            may_start=self.quotas.may_start,
        )

    def make_worker(
        self, pool: Pool, vm: Vm, *, transport: WorkerTransport, timing: TimingSettings
    ) -> Worker:
        """Create a worker whose task events are handled by this dispatcher.

        :param transport: transport to the worker, or to an entry that lends slots.
        :param timing: lease and timeout settings that apply to it.
        """
        return Worker(
            vm=vm,
            entry=self._entry,
            transport=transport,
            clock=self._clock,
            timing=timing,
            on_event=self._on_event,
            on_lost=self._on_lost,
            on_unsent=self._on_unsent,
            on_change=pool.wake,
        )

    def _add_worker(self, pool: Pool, vm: Vm) -> None:
        worker = self.make_worker(pool, vm, transport=self._open_worker(vm), timing=self._timing)
        pool.worker_by_name[vm.vm] = worker
        self._lease_task_by_worker[vm.vm] = asyncio.create_task(
            supervisor.keep_running(worker.run, name="worker_lease", essential=False)
        )
        log.info("worker_added", extra={"worker": vm.vm, "pool": pool.name})

    def _drop_worker(self, pool: Pool, name: str) -> None:
        """Start no more tasks on a worker; the streams of its running tasks stay open."""
        self._lease_task_by_worker.pop(name).cancel()
        self._run_in_background(pool.finish_retiring(pool.start_retiring(name)))
        log.info("worker_dropped", extra={"worker": name, "pool": pool.name})

    def _max_running(self, tenant: str) -> int:
        rules = self.document.tenants.get(tenant)
        return rules.max_running if rules is not None else 0

    def _weight(self, tenant: str) -> float:
        if tenant == SPILLED_TENANT:
            return SPILLED_WEIGHT
        rules = self.document.tenants.get(tenant)
        return rules.weight if rules is not None else 1.0

    def _class_weight(self, urgency: str) -> float:
        rules = self.document.urgencies.get(urgency)
        return rules.weight if rules is not None else 1.0

    def _declared_run_s(self, service: str) -> float:
        if self.document is None or service not in self.document.services:
            return 0.25
        return self.document.services[service].run_ms / 1000


def _finish(task: Task, outcome: Outcome, reason: str) -> None:
    task.state = TaskState.FINAL
    task.outcome = outcome
    task.reason = reason
    task.job.unfinished -= 1
