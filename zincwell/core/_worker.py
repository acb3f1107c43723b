"""A worker as this entry sees it: its lease, its slots and the tasks placed on it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.core._health import Health
from zincwell.core._jobs import Task, TaskState
from zincwell.exceptions import WorkerError, WorkerUnreachableError
from zincwell.ports import (
    Clock,
    EventKind,
    Start,
    Vm,
    VmState,
    WorkerEvent,
    WorkerLease,
    WorkerTransport,
)
from zincwell.settings import TimingSettings

RENEWALS_PER_LEASE = 3
LEASE_SAFETY_MARGIN_S = 0.2
RETRY_DELAY_S = 0.2
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0

log = logging.getLogger("zincwell.worker")
TaskHandler = Callable[[Task, WorkerEvent], None]


class Worker:
    """A worker and the tasks that this entry has placed on it.

    :param entry: name of this entry.
    :param on_event: called with each event of a task.
    :param on_lost: called with tasks whose outcome the worker can no longer report.
    :param on_unsent: called with tasks that were provably not sent, and the reason.
    :param on_change: called when slots may have become free.
    """

    def __init__(
        self,
        *,
        vm: Vm,
        entry: str,
        transport: WorkerTransport,
        clock: Clock,
        timing: TimingSettings,
        on_event: TaskHandler,
        on_lost: Callable[[list[Task]], None],
        on_unsent: Callable[[list[Task], str], None],
        on_change: Callable[[], None],
    ):
        self.vm = vm
        self.health = Health()
        self.placed_by_id: dict[str, Task] = {}
        self.slots = vm.slots
        self.held_slots = 0
        self._refusals = 0
        self._backing_off_until = 0.0
        self._entry = entry
        self._transport = transport
        self._clock = clock
        self._timing = timing
        self._on_event = on_event
        self._on_lost = on_lost
        self._on_unsent = on_unsent
        self._on_change = on_change
        self._lease: WorkerLease | None = None
        self._lease_until = 0.0
        self._reports_leaving = False
        self._last_event_at = 0.0
        self._streams: set[asyncio.Task] = set()

    @property
    def name(self) -> str:
        """Name of the worker's VM."""
        return self.vm.vm

    def is_usable(self) -> bool:
        """Tell whether a task may be started on the worker now."""
        if self._reports_leaving or self.vm.state is VmState.LEAVING:
            return False
        return self._lease is not None and self._clock.monotonic() < self._lease_until

    def is_backing_off(self) -> bool:
        """Tell whether the worker is in backoff after refusing a start."""
        return self._clock.monotonic() < self._backing_off_until

    @property
    def open_streams(self) -> int:
        """Number of open streams to the worker."""
        return len(self._streams)

    @property
    def has_valid_lease(self) -> bool:
        """Whether the worker has granted a lease that has not expired."""
        return self._lease is not None and self._clock.monotonic() < self._lease_until

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        period_s = self._timing.worker_lease_s / RENEWALS_PER_LEASE
        while True:
            ok = await self._renew()
            await asyncio.sleep(period_s if ok else RETRY_DELAY_S)

    def place(self, tasks: list[Task]) -> None:
        """Start tasks on the worker in one message."""
        for task in tasks:
            task.state = TaskState.PLACED
            task.placement += 1
            task.worker = self.name
            self.placed_by_id[task.id] = task
        stream = asyncio.create_task(self._follow(tasks))
        self._streams.add(stream)
        stream.add_done_callback(self._streams.discard)

    def hold_slot(self, remaining_s: float) -> None:
        """Keep the slot of a task that failed fast occupied for the usual run time.

        Otherwise a worker on which every task fails at once always has the most free slots, and
        nearly the whole queue is sent to it and fails there.

        :param remaining_s: rest of the usual run time in seconds; no slot is held if it is 0 or
            less.
        """
        if remaining_s <= 0:
            return
        self.held_slots += 1

        def release() -> None:
            self.held_slots -= 1
            self._on_change()

        asyncio.get_running_loop().call_later(remaining_s, release)

    async def stop(self, tasks: list[Task]) -> None:
        """Stop tasks with one message; if it is lost, the tasks run to their end."""
        ids = [task.id for task in tasks]
        try:
            await self._transport.stop(ids=ids)
        except WorkerError as error:
            log.info("stop_lost", extra={"worker": self.name, "error": error})

    async def retire(self) -> None:
        """Close the connections after all streams have ended."""
        while self._streams:
            await asyncio.wait(list(self._streams))
        await self._transport.close()

    async def close(self) -> None:
        """Close the connections at once."""
        for stream in self._streams:
            stream.cancel()
        await self._transport.close()

    async def _renew(self) -> bool:
        asked_at = self._clock.monotonic()
        try:
            lease = await self._transport.lease(
                entry=self._entry, ttl_s=self._timing.worker_lease_s
            )
        except WorkerError as error:
            log.debug("lease_refused", extra={"worker": self.name, "error": error})
            return False
        self._lease = lease
        # The lease is counted from the time of the request. The worker counts it from a later
        # time, so it does not expire at the worker before it expires here.
        self._lease_until = asked_at + lease.ttl_s - LEASE_SAFETY_MARGIN_S
        self._reports_leaving = lease.leaving
        self.slots = lease.slots
        self._on_change()
        return True

    async def _follow(self, tasks: list[Task]) -> None:
        """Start tasks and follow each to its end, on new connections if the stream is lost."""
        open_by_id = {task.id: task for task in tasks}
        run = self._lease.run if self._lease is not None else ""
        try:
            await self._start(tasks, open_by_id)
        except WorkerUnreachableError as error:
            self._lease_until = 0.0
            self._release(open_by_id)
            self._on_unsent(list(open_by_id.values()), f"unreachable: {error}")
        except WorkerError as error:
            log.warning(
                "stream_lost",
                extra={"worker": self.name, "tasks": len(open_by_id), "error": error},
            )
            await self._recover(open_by_id, run)

    async def _start(self, tasks: list[Task], open_by_id: dict[str, Task]) -> None:
        # The process may have been paused since these tasks were chosen, and the lease may have
        # expired meanwhile, so it is checked right before sending.
        if not self.is_usable():
            self._release(open_by_id)
            self._on_unsent(tasks, "lease")
            open_by_id.clear()
            return
        starts = [
            Start(
                id=task.id,
                service=task.job.service,
                payload=task.spec.payload,
                run_ms=task.spec.run_ms,
            )
            for task in tasks
        ]
        events = self._transport.start(entry=self._entry, lease=self._lease.lease, tasks=starts)
        await self._handle_events(events, open_by_id)

    async def _recover(self, open_by_id: dict[str, Task], run: str) -> None:
        """Watch tasks whose stream was lost on new connections.

        The worker fences ids that it has not seen, so that a start still in transit is refused
        when it arrives; only then is it certain that the task has not run. A restarted worker
        has not seen the tasks that its earlier run started, so the request names the run.
        """
        lost_at = self._clock.monotonic()
        while open_by_id:
            try:
                events = self._transport.watch(ids=list(open_by_id), fence=True, run=run)
                await self._handle_events(events, open_by_id)
                return
            except WorkerError as error:
                log.info("watch_lost", extra={"worker": self.name, "error": error})
            last_event_at = max(lost_at, self._last_event_at)
            if self._clock.monotonic() > last_event_at + self._timing.lost_grace_s:
                self._lease_until = 0.0
                self._release(open_by_id)
                self._on_lost(list(open_by_id.values()))
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _handle_events(self, events, open_by_id: dict[str, Task]) -> None:
        async for event in events:
            self._last_event_at = self._clock.monotonic()
            task = open_by_id.get(event.id)
            if task is not None:
                self._handle_event(task, event, open_by_id)

    def _handle_event(self, task: Task, event: WorkerEvent, open_by_id: dict[str, Task]) -> None:
        if event.kind is EventKind.ACCEPTED:
            self._refusals = 0
        elif event.kind is EventKind.REFUSED:
            self._back_off()
        if event.kind not in (EventKind.ACCEPTED, EventKind.RUNNING):
            del open_by_id[event.id]
            self.placed_by_id.pop(event.id, None)
        self._on_event(task, event)

    def _back_off(self) -> None:
        """Pause starts after a refusal, exponentially longer with each one.

        A refusal means that this entry's view of the worker's slots is wrong. Until the view is
        corrected, each further start would be refused and waste a message.
        """
        if self.is_backing_off():
            return
        backoff_s = min(MIN_BACKOFF_S * 2**self._refusals, MAX_BACKOFF_S)
        self._refusals += 1
        self._backing_off_until = self._clock.monotonic() + backoff_s
        asyncio.get_running_loop().call_later(backoff_s, self._on_change)

    def _release(self, open_by_id: dict[str, Task]) -> None:
        for task_id in open_by_id:
            self.placed_by_id.pop(task_id, None)
