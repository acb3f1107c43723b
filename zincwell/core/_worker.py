"""One worker as this entry sees it: its lease, its slots, and the tasks placed on it."""

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
LEASE_RESERVE_S = 0.2
ASK_AGAIN_S = 0.2
SHORTEST_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 1.0

log = logging.getLogger("zincwell.worker")
TaskHandler = Callable[[Task, WorkerEvent], None]


class Worker:
    """A worker and the tasks that this entry has placed on it.

    :param on_event: called with each event of a task.
    :param on_lost: called with tasks of which the worker can't be asked any more.
    :param on_unsent: called with tasks that were provably not sent.
    :param on_change: called when there may be room again.
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
        self.held = 0
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
        self._says_leaving = False
        self._heard_at = 0.0
        self._streams: set[asyncio.Task] = set()

    @property
    def name(self) -> str:
        """Name of its VM."""
        return self.vm.vm

    def is_usable(self) -> bool:
        """Tell whether a task may be started on it at this moment."""
        if self._says_leaving or self.vm.state is VmState.LEAVING:
            return False
        return self._lease is not None and self._clock.monotonic() < self._lease_until

    def is_backing_off(self) -> bool:
        """Tell whether it has just refused a start."""
        return self._clock.monotonic() < self._backing_off_until

    @property
    def open_streams(self) -> int:
        """Number of streams open to it."""
        return len(self._streams)

    @property
    def answers(self) -> bool:
        """Whether it has granted a lease that still holds."""
        return self._lease is not None and self._clock.monotonic() < self._lease_until

    async def run(self) -> None:
        """Keep a lease until cancelled."""
        period_s = self._timing.worker_lease_s / RENEWALS_PER_LEASE
        while True:
            ok = await self._renew()
            await asyncio.sleep(period_s if ok else ASK_AGAIN_S)

    def place(self, tasks: list[Task]) -> None:
        """Start tasks on it, all in one message."""
        for task in tasks:
            task.state = TaskState.PLACED
            task.placement += 1
            task.worker = self.name
            self.placed_by_id[task.id] = task
        stream = asyncio.create_task(self._follow(tasks))
        self._streams.add(stream)
        stream.add_done_callback(self._streams.discard)

    def hold_slot(self, left_s: float) -> None:
        """Keep the slot of a fast failure for as long as a run usually takes.

        Otherwise a worker that fails all at once always has most room and draws the whole
        queue: one would notice one worker's ledger holding nearly all failed tasks.

        :param left_s: what is left of a usual run in seconds; nothing is kept below 0.
        """
        if left_s <= 0:
            return
        self.held += 1

        def release() -> None:
            self.held -= 1
            self._on_change()

        asyncio.get_running_loop().call_later(left_s, release)

    async def stop(self, tasks: list[Task]) -> None:
        """Stop tasks by one message; what is missed by it ends by itself."""
        ids = [task.id for task in tasks]
        try:
            await self._transport.stop(ids=ids)
        except WorkerError as error:
            log.info("stop_lost", extra={"worker": self.name, "error": error})

    async def retire(self) -> None:
        """Release the connections once what runs there has come to its end."""
        while self._streams:
            await asyncio.wait(list(self._streams))
        await self._transport.close()

    async def close(self) -> None:
        """Release the connections at once."""
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
        # Counted from when we asked: the worker's own count starts later, never earlier.
        self._lease_until = asked_at + lease.ttl_s - LEASE_RESERVE_S
        self._says_leaving = lease.leaving
        self.slots = lease.slots
        self._on_change()
        return True

    async def _follow(self, tasks: list[Task]) -> None:
        """Start tasks and see each to its end, on further connections if this one is lost."""
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
        # The process may have been paused since these tasks were chosen, and the lease may
        # have lapsed meanwhile; so it is compared right before sending.
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
        await self._take(events, open_by_id)

    async def _recover(self, open_by_id: dict[str, Task], run: str) -> None:
        """Ask on new connections what became of tasks whose stream was lost.

        The worker fences what it has not seen, so that a start still on its way is refused
        when it arrives; only then is it true that the task has not run. One that has restarted
        has not seen what its earlier run started, so it is asked by the name of the run.
        """
        lost_at = self._clock.monotonic()
        while open_by_id:
            try:
                events = self._transport.watch(ids=list(open_by_id), fence=True, run=run)
                await self._take(events, open_by_id)
                return
            except WorkerError as error:
                log.info("watch_lost", extra={"worker": self.name, "error": error})
            heard_at = max(lost_at, self._heard_at)
            if self._clock.monotonic() > heard_at + self._timing.lost_grace_s:
                self._lease_until = 0.0
                self._release(open_by_id)
                self._on_lost(list(open_by_id.values()))
                return
            await asyncio.sleep(ASK_AGAIN_S)

    async def _take(self, events, open_by_id: dict[str, Task]) -> None:
        async for event in events:
            self._heard_at = self._clock.monotonic()
            task = open_by_id.get(event.id)
            if task is not None:
                self._take_one(task, event, open_by_id)

    def _take_one(self, task: Task, event: WorkerEvent, open_by_id: dict[str, Task]) -> None:
        if event.kind is EventKind.ACCEPTED:
            self._refusals = 0
        elif event.kind is EventKind.REFUSED:
            self._back_off()
        if event.kind not in (EventKind.ACCEPTED, EventKind.RUNNING):
            del open_by_id[event.id]
            self.placed_by_id.pop(event.id, None)
        self._on_event(task, event)

    def _back_off(self) -> None:
        """Send nothing for a while after a refusal, longer each time.

        A refusal means that our view of its slots is wrong; asked again at once, it would
        refuse again, one wasted message each time, until the view is put right.
        """
        if self.is_backing_off():
            return
        pause_s = min(SHORTEST_BACKOFF_S * 2**self._refusals, LONGEST_BACKOFF_S)
        self._refusals += 1
        self._backing_off_until = self._clock.monotonic() + pause_s
        asyncio.get_running_loop().call_later(pause_s, self._on_change)

    def _release(self, open_by_id: dict[str, Task]) -> None:
        for task_id in open_by_id:
            self.placed_by_id.pop(task_id, None)
