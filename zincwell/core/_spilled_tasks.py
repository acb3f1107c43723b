"""Spilled tasks: tasks that this entry runs on its domain's workers for entries of other domains.

To the owner of a spilled task this entry acts as one more worker: the owner takes a lease,
starts tasks, watches and stops them. The guarantees of the worker protocol therefore hold here:

* a task id is accepted once, and an id that was fenced or refused is never run;
* ``refused`` and ``fenced`` are only reported for a task that no local worker has started;
* a task whose worker was lost is reported as ``lost``, which leaves its outcome open.

A task id is retained for longer than the longest job deadline, after which the owner acts on no
answer. If an id were dropped earlier, a task that has run would be fenced as never seen, and its
owner would start it a second time in its own domain. See docs/design/spill.md.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field

from zincwell.core._dispatch import Dispatcher
from zincwell.core._jobs import SPILLED_TENANT, Job, Task, TaskState
from zincwell.core._pool import Pool
from zincwell.models import MAX_DEADLINE_MS, Answer, Outcome, TaskSpec
from zincwell.ports import Clock, EventKind, Start, WorkerEvent, WorkerLease
from zincwell.settings import TimingSettings

MAX_LEASE_S = 1.0
HEADROOM_DIVISOR = 4  # one slot in 4 is not granted
MAX_SLOT_WAIT_S = 0.1
MAX_WAITING_TASKS = 4
MIN_TIME_WITHOUT_BACKLOG_S = 1.0
HEARTBEAT_INTERVAL_S = 0.3
MAX_KNOWN_IDS = 50_000
MAX_OUTPUT_BYTES = 16 * 1024 * 1024
OUTPUT_RETENTION_S = 10.0
DRAIN_POLL_INTERVAL_S = 0.02
KIND_BY_OUTCOME = {
    Outcome.COMPLETED: EventKind.COMPLETED,
    Outcome.FAILED: EventKind.FAILED,
    Outcome.NOT_RUN: EventKind.REFUSED,
    Outcome.OUTCOME_UNKNOWN: EventKind.LOST,
}

log = logging.getLogger("zincwell.guests")


@dataclass(kw_only=True, eq=False)
class SpilledTask:
    """A task id that this entry has accepted or fenced.

    :ivar entry: the entry that owns the task.
    :ivar job: the local job that runs the task; None once its result is final.
    :ivar final: the last event of the task; None while it is queued or running.
    :ivar final_at: monotonic time of the last event.
    :ivar streams: queues of the open streams that receive its events.
    """

    id: str
    entry: str = ""
    pool: str = ""
    job: Job | None = None
    is_started: bool = False
    final: WorkerEvent | None = None
    final_at: float = 0.0
    streams: list[asyncio.Queue[WorkerEvent]] = field(default_factory=list)

    def notify_streams(self, kind: EventKind) -> None:
        """Send an event to all open streams of this task; the final one if there is one."""
        event = self.final or WorkerEvent(kind=kind, id=self.id)
        for stream in self.streams:
            stream.put_nowait(event)


@dataclass(frozen=True, kw_only=True)
class Grant:
    """Slots promised to an entry of another domain until a monotonic time."""

    entry: str
    pool: str
    slots: int
    expires_at: float


class SpilledTaskRunner:
    """Runs tasks of entries of other domains.

    :param is_draining: returns whether this entry is shutting down.
    :param observe_waste: called with the kind of each message that moved no task forward.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        clock: Clock,
        timing: TimingSettings,
        is_draining: Callable[[], bool],
        observe_waste: Callable[[str], None],
    ):
        self._dispatcher = dispatcher
        self._clock = clock
        self._is_draining = is_draining
        self._observe_waste = observe_waste
        self._id_retention_s = max(timing.resubmission_window_s, MAX_DEADLINE_MS / 1000)
        self._id_retention_s += timing.lost_grace_s
        self._spilled_by_id: dict[str, SpilledTask] = {}
        self._grant_by_lease: dict[str, Grant] = {}
        self._running_by_owner: dict[tuple[str, str], int] = {}
        self._tasks_with_output: deque[SpilledTask] = deque()
        self._output_bytes = 0
        self._open_streams = 0

    # -- the worker protocol -------------------------------------------------------------

    def lease(self, *, pool: str, entry: str, ttl_s: float) -> WorkerLease:
        """Grant a lease on the slots that are idle now, for at most ``MAX_LEASE_S`` seconds."""
        now = self._clock.monotonic()
        ttl_s = min(ttl_s, MAX_LEASE_S)
        slots = self._count_grantable_slots(pool, entry)
        if slots == 0:
            self._observe_waste("spill_empty_lease")
        lease = uuid.uuid4().hex
        self._grant_by_lease[lease] = Grant(
            entry=entry, pool=pool, slots=slots, expires_at=now + ttl_s
        )
        return WorkerLease(lease=lease, ttl_s=ttl_s, slots=slots, leaving=self._is_draining())

    async def start(
        self, *, pool: str, entry: str, lease: str, tasks: list[Start]
    ) -> AsyncIterator[WorkerEvent]:
        """Start tasks and yield their events until each has a final one."""
        refused, accepted = [], []
        for task in tasks:
            reason = self._find_refusal_reason(pool, entry, lease, task)
            if reason:
                self._observe_waste("spill_refused")
                event = WorkerEvent(kind=EventKind.REFUSED, id=task.id, reason=reason)
                refused.append(event)
            else:
                accepted.append(self._accept(pool, entry, task))
        async for event in self._follow(accepted, initial_events=refused):
            yield event

    async def watch(self, *, ids: list[str], fence: bool) -> AsyncIterator[WorkerEvent]:
        """Yield the events of tasks until each has a final one.

        :param fence: whether to fence unknown ids; an id that is not fenced ends the stream.
        """
        self._observe_waste("spill_watch")
        spilled_tasks = []
        for task_id in ids:
            spilled = self._spilled_by_id.get(task_id)
            if spilled is None and fence:
                spilled = self._fence(task_id)
            if spilled is None:
                return
            spilled_tasks.append(spilled)
        initial_events = [
            _make_running_event(spilled.id)
            for spilled in spilled_tasks
            if spilled.is_started or spilled.job
        ]
        finals = [spilled.final for spilled in spilled_tasks if spilled.final is not None]
        open_tasks = [spilled for spilled in spilled_tasks if spilled.final is None]
        async for event in self._follow(open_tasks, initial_events=initial_events + finals):
            yield event

    def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        """Stop tasks and return the state of each; an unknown id is fenced."""
        events = []
        for task_id in ids:
            spilled = self._spilled_by_id.get(task_id) or self._fence(task_id)
            if spilled is None:
                continue
            if spilled.job is not None:
                self._dispatcher.give_up(spilled.job, "stopped")
            else:
                self._observe_waste("spill_stop_of_finished")
            events.append(spilled.final or _make_running_event(task_id))
        return events

    # -- lifecycle -----------------------------------------------------------------------

    async def drain(self) -> None:
        """Wait until no spilled task runs and every open stream has ended."""
        while self._running_by_owner or self._open_streams:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def expire_old(self) -> None:
        """Drop expired outputs, and ids old enough that no owner acts on an answer about them."""
        now = self._clock.monotonic()
        while (
            self._tasks_with_output
            and self._tasks_with_output[0].final_at < now - OUTPUT_RETENTION_S
        ):
            self._drop_oldest_output()
        for spilled in list(self._spilled_by_id.values()):
            if spilled.final is None:
                continue
            if spilled.final_at > now - self._id_retention_s:
                break
            del self._spilled_by_id[spilled.id]

    # -- admission -----------------------------------------------------------------------

    def _count_grantable_slots(self, pool_name: str, entry: str) -> int:
        """Return the number of slots to grant an entry, including those that it uses now."""
        running = self._running_by_owner.get((pool_name, entry), 0)
        pool = self._dispatcher.pool_by_name.get(pool_name)
        if pool is None or not pool.rules.spill or self._is_draining() or pool.queue.size:
            return running
        # Slots that are idle only between two bursts of local tasks are taken again before
        # spilled tasks arrive, and each of those starts would be refused.
        if self._clock.monotonic() - pool.own_backlog_at < MIN_TIME_WITHOUT_BACKLOG_S:
            return running
        idle = (
            pool.free_slots()
            - pool.capacity() // HEADROOM_DIVISOR
            - self._count_promised_slots(pool_name, entry)
        )
        return running + max(0, idle)

    def _count_promised_slots(self, pool: str, entry: str) -> int:
        """Return the number of slots promised to other entries and not in use yet."""
        now = self._clock.monotonic()
        grants = {lease: g for lease, g in self._grant_by_lease.items() if g.expires_at > now}
        self._grant_by_lease = grants
        latest = {g.entry: g for g in grants.values() if g.pool == pool and g.entry != entry}
        unused = (g.slots - self._running_by_owner.get((pool, g.entry), 0) for g in latest.values())
        return sum(max(0, slots) for slots in unused)

    def _find_refusal_reason(self, pool_name: str, entry: str, lease: str, task: Start) -> str:
        """Return the reason to refuse a start, or an empty string."""
        grant = self._grant_by_lease.get(lease)
        pool = self._dispatcher.pool_by_name.get(pool_name)
        if task.id in self._spilled_by_id:
            return "seen"
        # If this process was paused, the start may have waited in the socket buffer until its
        # owner stopped waiting for it. Its lease has expired by then.
        if grant is None or grant.pool != pool_name or grant.expires_at <= self._clock.monotonic():
            return "lease"
        if self._is_draining():
            return "leaving"
        if pool is None or self._dispatcher.pool_of(task.service) is not pool:
            return "unknown_service"
        if self._running_by_owner.get((pool_name, entry), 0) >= grant.slots:
            return "full"
        return "full" if self._is_full(pool) else ""

    def _is_full(self, pool: Pool) -> bool:
        """Tell whether a pool admits no further spilled task."""
        queued_spilled = pool.queue.size_by_tenant.get(SPILLED_TENANT, 0)
        queued_own = pool.queue.size - queued_spilled
        # A few tasks may wait briefly: a refusal costs a message, and slots that were lent
        # within the domain are returned by the next heartbeat.
        is_short = pool.free_slots() <= queued_spilled and queued_spilled >= MAX_WAITING_TASKS
        return queued_own > 0 or is_short or len(self._spilled_by_id) >= MAX_KNOWN_IDS

    def _accept(self, pool: str, entry: str, start: Start) -> SpilledTask:
        now = self._clock.monotonic()
        job = Job(
            key=start.id,
            tenant=SPILLED_TENANT,
            service=start.service,
            pool=pool,
            urgency="",
            created_at=self._clock.wall(),
            deadline_at=now + MAX_DEADLINE_MS / 1000,
            arrived_at=now,
        )
        job.add_tasks([TaskSpec(payload=start.payload, run_ms=start.run_ms)], now=now)
        spilled = SpilledTask(id=start.id, entry=entry, pool=pool, job=job)
        self._spilled_by_id[spilled.id] = spilled
        owner = (pool, entry)
        self._running_by_owner[owner] = self._running_by_owner.get(owner, 0) + 1
        job.on_accepted = lambda _: self._record_start(spilled)
        job.answer.add_done_callback(lambda answer: self._finish(spilled, answer.result()))
        self._dispatcher.run(job)
        self._schedule_wait_timeout(spilled, job.tasks[0])
        return spilled

    def _schedule_wait_timeout(self, spilled: SpilledTask, task: Task) -> None:
        """Refuse a spilled task that is still queued after ``MAX_SLOT_WAIT_S`` seconds.

        Otherwise it would wait behind a burst of local tasks while its owner could place it
        sooner elsewhere. It has not been started, so it may be reported as refused.
        """

        def check() -> None:
            if spilled.final is not None or spilled.is_started:
                return
            if task.state is TaskState.QUEUED:
                self._observe_waste("spill_refused")
                self._dispatcher.give_up(task.job, "full")
            else:
                asyncio.get_running_loop().call_later(MAX_SLOT_WAIT_S, check)

        asyncio.get_running_loop().call_later(MAX_SLOT_WAIT_S, check)

    def _fence(self, task_id: str) -> SpilledTask | None:
        """Fence an id permanently, or return None if the table of ids is full."""
        if len(self._spilled_by_id) >= MAX_KNOWN_IDS:
            return None
        final = WorkerEvent(kind=EventKind.FENCED, id=task_id, reason="never seen")
        spilled = SpilledTask(id=task_id, final=final, final_at=self._clock.monotonic())
        self._spilled_by_id[task_id] = spilled
        return spilled

    # -- results -------------------------------------------------------------------------

    def _record_start(self, spilled: SpilledTask) -> None:
        spilled.is_started = True
        spilled.notify_streams(EventKind.ACCEPTED)

    def _finish(self, spilled: SpilledTask, answer: Answer) -> None:
        task = answer.tasks[0]
        stopped = answer.reason == "stopped" and task.outcome is Outcome.OUTCOME_UNKNOWN
        kind = EventKind.STOPPED if stopped else KIND_BY_OUTCOME[task.outcome]
        spilled.final = WorkerEvent(
            kind=kind,
            id=spilled.id,
            reason=answer.reason,
            output=task.output,
            length=len(bytes(task.output)) if kind is EventKind.COMPLETED else 0,
        )
        spilled.final_at = self._clock.monotonic()
        spilled.job = None
        self._decrement_running(spilled)
        spilled.notify_streams(kind)
        if kind is EventKind.COMPLETED:
            self._retain_output(spilled)

    def _decrement_running(self, spilled: SpilledTask) -> None:
        owner = (spilled.pool, spilled.entry)
        self._running_by_owner[owner] -= 1
        if not self._running_by_owner[owner]:
            del self._running_by_owner[owner]

    def _retain_output(self, spilled: SpilledTask) -> None:
        self._tasks_with_output.append(spilled)
        self._output_bytes += spilled.final.length
        while self._output_bytes > MAX_OUTPUT_BYTES:
            self._drop_oldest_output()

    def _drop_oldest_output(self) -> None:
        """Drop the oldest output; the id stays known, so the task is not run again."""
        spilled = self._tasks_with_output.popleft()
        self._output_bytes -= spilled.final.length
        spilled.final = WorkerEvent(kind=EventKind.LOST, id=spilled.id, reason="answer_dropped")

    async def _follow(
        self, spilled_tasks: Iterable[SpilledTask], *, initial_events: list[WorkerEvent]
    ) -> AsyncIterator[WorkerEvent]:
        """Yield the initial events, then the events of each task until all are final."""
        events: asyncio.Queue[WorkerEvent] = asyncio.Queue()
        open_by_id = {spilled.id: spilled for spilled in spilled_tasks}
        for spilled in open_by_id.values():
            spilled.streams.append(events)
        self._open_streams += 1
        try:
            for event in initial_events:
                yield event
            while open_by_id:
                event = await _next_event(events)
                yield event
                if event.kind not in (EventKind.BEAT, EventKind.ACCEPTED):
                    del open_by_id[event.id]
        finally:
            self._open_streams -= 1
            for spilled in open_by_id.values():
                spilled.streams.remove(events)


async def _next_event(events: asyncio.Queue[WorkerEvent]) -> WorkerEvent:
    """Return the next event, or a heartbeat if none comes within the interval.

    The heartbeat tells the owner that this entry is alive.
    """
    try:
        return await asyncio.wait_for(events.get(), HEARTBEAT_INTERVAL_S)
    except TimeoutError:
        return WorkerEvent(kind=EventKind.BEAT)


def _make_running_event(task_id: str) -> WorkerEvent:
    return WorkerEvent(kind=EventKind.RUNNING, id=task_id)
