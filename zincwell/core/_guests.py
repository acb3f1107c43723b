"""Guests: tasks that this entry runs on its domain's workers for entries of other domains.

To their owner we look like one more worker: it takes a lease, starts tasks, watches and stops
them, and every proof that it has of a worker holds of us. What we answer is as binding:

* an id is accepted once, and one that we have fenced or refused is never run;
* ``refused`` and ``fenced`` are only said of a task that no worker of ours has started;
* of a task whose worker we lost we say ``lost``, which proves nothing.

An id is remembered for longer than any job's deadline, after which its owner acts upon no
answer. Forgotten earlier, it would be fenced as never seen although it has run: one would
notice two starts of one task in the ledgers of two domains. See docs/design/spill.md.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field

from zincwell.core._dispatch import Dispatcher
from zincwell.core._jobs import GUEST_TENANT, Job, Task, TaskState
from zincwell.core._pool import Pool
from zincwell.models import MAX_DEADLINE_MS, Answer, Outcome, TaskSpec
from zincwell.ports import Clock, EventKind, Start, WorkerEvent, WorkerLease
from zincwell.settings import TimingSettings

LONGEST_LEASE_S = 1.0
HEADROOM_PARTS = 4
GUEST_WAIT_S = 0.1
MOST_WAITING = 4
CALM_S = 1.0
BEAT_S = 0.3
MAX_REMEMBERED = 50_000
MAX_OUTPUT_BYTES = 16 * 1024 * 1024
OUTPUT_KEPT_S = 10.0
DRAIN_POLL_S = 0.02
KIND_BY_OUTCOME = {
    Outcome.COMPLETED: EventKind.COMPLETED,
    Outcome.FAILED: EventKind.FAILED,
    Outcome.NOT_RUN: EventKind.REFUSED,
    Outcome.OUTCOME_UNKNOWN: EventKind.LOST,
}

log = logging.getLogger("zincwell.guests")


@dataclass(kw_only=True, eq=False)
class Guest:
    """One id that we have accepted, or fenced.

    :ivar job: the job that runs it here; None once it is final.
    :ivar streams: queues of the streams that wait for its events.
    """

    id: str
    entry: str = ""
    pool: str = ""
    job: Job | None = None
    is_started: bool = False
    final: WorkerEvent | None = None
    final_at: float = 0.0
    streams: list[asyncio.Queue[WorkerEvent]] = field(default_factory=list)

    def tell(self, kind: EventKind) -> None:
        """Tell all streams that something has happened to it."""
        event = self.final or WorkerEvent(kind=kind, id=self.id)
        for stream in self.streams:
            stream.put_nowait(event)


@dataclass(frozen=True, kw_only=True)
class Grant:
    """Slots promised to an entry of another domain for a short time."""

    entry: str
    pool: str
    slots: int
    until: float


class Guests:
    """Runs tasks of other domains' entries.

    :param is_draining: returns whether this entry is leaving.
    :param observe_waste: called with the kind of each wasted message.
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
        self._remember_s = max(timing.resubmission_window_s, MAX_DEADLINE_MS / 1000)
        self._remember_s += timing.lost_grace_s
        self._guest_by_id: dict[str, Guest] = {}
        self._grant_by_lease: dict[str, Grant] = {}
        self._running_by_owner: dict[tuple[str, str], int] = {}
        self._with_output: deque[Guest] = deque()
        self._output_bytes = 0
        self._open_streams = 0

    # -- the worker protocol -------------------------------------------------------------

    def lease(self, *, pool: str, entry: str, ttl_s: float) -> WorkerLease:
        """Promise an entry the slots that are idle now."""
        now = self._clock.monotonic()
        ttl_s = min(ttl_s, LONGEST_LEASE_S)
        slots = self._slots_for(pool, entry)
        if slots == 0:
            self._observe_waste("spill_empty_lease")
        lease = uuid.uuid4().hex
        self._grant_by_lease[lease] = Grant(entry=entry, pool=pool, slots=slots, until=now + ttl_s)
        return WorkerLease(lease=lease, ttl_s=ttl_s, slots=slots, leaving=self._is_draining())

    async def start(
        self, *, pool: str, entry: str, lease: str, tasks: list[Start]
    ) -> AsyncIterator[WorkerEvent]:
        """Take tasks in and yield what becomes of them until each is final."""
        refused, accepted = [], []
        for task in tasks:
            reason = self._reason_to_refuse(pool, entry, lease, task)
            if reason:
                self._observe_waste("spill_refused")
                event = WorkerEvent(kind=EventKind.REFUSED, id=task.id, reason=reason)
                refused.append(event)
            else:
                accepted.append(self._take_in(pool, entry, task))
        async for event in self._follow(accepted, said=refused):
            yield event

    async def watch(self, *, ids: list[str], fence: bool) -> AsyncIterator[WorkerEvent]:
        """Yield what becomes of tasks; ids never seen are fenced, or end the stream."""
        self._observe_waste("spill_watch")
        guests = []
        for task_id in ids:
            guest = self._guest_by_id.get(task_id)
            if guest is None and fence:
                guest = self._fence(task_id)
            if guest is None:
                return
            guests.append(guest)
        said = [_running(guest.id) for guest in guests if guest.is_started or guest.job]
        finals = [guest.final for guest in guests if guest.final is not None]
        open_guests = [guest for guest in guests if guest.final is None]
        async for event in self._follow(open_guests, said=said + finals):
            yield event

    def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        """Stop tasks; an id never seen is fenced."""
        events = []
        for task_id in ids:
            guest = self._guest_by_id.get(task_id) or self._fence(task_id)
            if guest is None:
                continue
            if guest.job is not None:
                self._dispatcher.give_up(guest.job, "stopped")
            else:
                self._observe_waste("spill_stop_of_finished")
            events.append(guest.final or _running(task_id))
        return events

    # -- life ----------------------------------------------------------------------------

    async def drain(self) -> None:
        """Wait until no guest runs and every open stream has told its end."""
        while self._running_by_owner or self._open_streams:
            await asyncio.sleep(DRAIN_POLL_S)

    def forget_old(self) -> None:
        """Drop what no owner can act upon any more."""
        now = self._clock.monotonic()
        while self._with_output and self._with_output[0].final_at < now - OUTPUT_KEPT_S:
            self._drop_oldest_output()
        for guest in list(self._guest_by_id.values()):
            if guest.final is None:
                continue
            if guest.final_at > now - self._remember_s:
                break
            del self._guest_by_id[guest.id]

    # -- taking in -----------------------------------------------------------------------

    def _slots_for(self, pool_name: str, entry: str) -> int:
        """Return the slots for an entry's guests, those that it uses now included."""
        running = self._running_by_owner.get((pool_name, entry), 0)
        pool = self._dispatcher.pool_by_name.get(pool_name)
        if pool is None or not pool.rules.spill or self._is_draining() or pool.queue.size:
            return running
        # Slots idle between two waves of our own work would be gone when the guests arrive,
        # and each be a refused start.
        if self._clock.monotonic() - pool.own_waited_at < CALM_S:
            return running
        idle = pool.room() - pool.capacity() // HEADROOM_PARTS - self._promised(pool_name, entry)
        return running + max(0, idle)

    def _promised(self, pool: str, entry: str) -> int:
        """Return the slots promised to other entries that they do not use yet."""
        now = self._clock.monotonic()
        grants = {lease: g for lease, g in self._grant_by_lease.items() if g.until > now}
        self._grant_by_lease = grants
        latest = {g.entry: g for g in grants.values() if g.pool == pool and g.entry != entry}
        unused = (g.slots - self._running_by_owner.get((pool, g.entry), 0) for g in latest.values())
        return sum(max(0, slots) for slots in unused)

    def _reason_to_refuse(self, pool_name: str, entry: str, lease: str, task: Start) -> str:
        grant = self._grant_by_lease.get(lease)
        pool = self._dispatcher.pool_by_name.get(pool_name)
        if task.id in self._guest_by_id:
            return "seen"
        # After a pause of this process the start may have lain in a socket for long, and its
        # owner have given it up; its lease has lapsed by then.
        if grant is None or grant.pool != pool_name or grant.until <= self._clock.monotonic():
            return "lease"
        if self._is_draining():
            return "leaving"
        if pool is None or self._dispatcher.pool_of(task.service) is not pool:
            return "unknown_service"
        if self._running_by_owner.get((pool_name, entry), 0) >= grant.slots:
            return "full"
        return "full" if self._is_full(pool) else ""

    def _is_full(self, pool: Pool) -> bool:
        guests = pool.queue.size_by_tenant.get(GUEST_TENANT, 0)
        own = pool.queue.size - guests
        # A few may wait for a moment: a refusal costs a message, and slots lent within the
        # domain come back by the next heartbeat.
        is_short = pool.room() <= guests and guests >= MOST_WAITING
        return own > 0 or is_short or len(self._guest_by_id) >= MAX_REMEMBERED

    def _take_in(self, pool: str, entry: str, start: Start) -> Guest:
        now = self._clock.monotonic()
        job = Job(
            key=start.id,
            tenant=GUEST_TENANT,
            service=start.service,
            pool=pool,
            urgency="",
            created_at=self._clock.wall(),
            deadline_at=now + MAX_DEADLINE_MS / 1000,
            arrived_at=now,
        )
        job.add_tasks([TaskSpec(payload=start.payload, run_ms=start.run_ms)], now=now)
        guest = Guest(id=start.id, entry=entry, pool=pool, job=job)
        self._guest_by_id[guest.id] = guest
        owner = (pool, entry)
        self._running_by_owner[owner] = self._running_by_owner.get(owner, 0) + 1
        job.on_accepted = lambda _: self._note_started(guest)
        job.answer.add_done_callback(lambda answer: self._finish(guest, answer.result()))
        self._dispatcher.run(job)
        self._refuse_later(guest, job.tasks[0])
        return guest

    def _refuse_later(self, guest: Guest, task: Task) -> None:
        """Refuse a guest that still waits for a slot after a while.

        Without this, a guest would wait behind our own burst, while its owner could place it
        sooner; it has not been started, so the refusal is true.
        """

        def check() -> None:
            if guest.final is not None or guest.is_started:
                return
            if task.state is TaskState.QUEUED:
                self._observe_waste("spill_refused")
                self._dispatcher.give_up(task.job, "full")
            else:
                asyncio.get_running_loop().call_later(GUEST_WAIT_S, check)

        asyncio.get_running_loop().call_later(GUEST_WAIT_S, check)

    def _fence(self, task_id: str) -> Guest | None:
        """Refuse an id for good, or return None if no more can be remembered."""
        if len(self._guest_by_id) >= MAX_REMEMBERED:
            return None
        final = WorkerEvent(kind=EventKind.FENCED, id=task_id, reason="never seen")
        guest = Guest(id=task_id, final=final, final_at=self._clock.monotonic())
        self._guest_by_id[task_id] = guest
        return guest

    # -- what becomes of them ------------------------------------------------------------

    def _note_started(self, guest: Guest) -> None:
        guest.is_started = True
        guest.tell(EventKind.ACCEPTED)

    def _finish(self, guest: Guest, answer: Answer) -> None:
        task = answer.tasks[0]
        stopped = answer.reason == "stopped" and task.outcome is Outcome.OUTCOME_UNKNOWN
        kind = EventKind.STOPPED if stopped else KIND_BY_OUTCOME[task.outcome]
        guest.final = WorkerEvent(
            kind=kind,
            id=guest.id,
            reason=answer.reason,
            output=task.output,
            length=len(bytes(task.output)) if kind is EventKind.COMPLETED else 0,
        )
        guest.final_at = self._clock.monotonic()
        guest.job = None
        self._count_out(guest)
        guest.tell(kind)
        if kind is EventKind.COMPLETED:
            self._keep_output(guest)

    def _count_out(self, guest: Guest) -> None:
        owner = (guest.pool, guest.entry)
        self._running_by_owner[owner] -= 1
        if not self._running_by_owner[owner]:
            del self._running_by_owner[owner]

    def _keep_output(self, guest: Guest) -> None:
        self._with_output.append(guest)
        self._output_bytes += guest.final.length
        while self._output_bytes > MAX_OUTPUT_BYTES:
            self._drop_oldest_output()

    def _drop_oldest_output(self) -> None:
        """Drop an output; that the task has run is still remembered."""
        guest = self._with_output.popleft()
        self._output_bytes -= guest.final.length
        guest.final = WorkerEvent(kind=EventKind.LOST, id=guest.id, reason="answer_dropped")

    async def _follow(
        self, guests: Iterable[Guest], *, said: list[WorkerEvent]
    ) -> AsyncIterator[WorkerEvent]:
        """Yield what is to be said at once, then each guest's events until all are final."""
        events: asyncio.Queue[WorkerEvent] = asyncio.Queue()
        open_by_id = {guest.id: guest for guest in guests}
        for guest in open_by_id.values():
            guest.streams.append(events)
        self._open_streams += 1
        try:
            for event in said:
                yield event
            while open_by_id:
                event = await _next_event(events)
                yield event
                if event.kind not in (EventKind.BEAT, EventKind.ACCEPTED):
                    del open_by_id[event.id]
        finally:
            self._open_streams -= 1
            for guest in open_by_id.values():
                guest.streams.remove(events)


async def _next_event(events: asyncio.Queue[WorkerEvent]) -> WorkerEvent:
    """Return the next event, or a beat after a silence, so that the owner knows we live."""
    try:
        return await asyncio.wait_for(events.get(), BEAT_S)
    except TimeoutError:
        return WorkerEvent(kind=EventKind.BEAT)


def _running(task_id: str) -> WorkerEvent:
    return WorkerEvent(kind=EventKind.RUNNING, id=task_id)
