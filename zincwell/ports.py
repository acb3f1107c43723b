"""Ports: what zincwell asks of the world, as abstract base classes.

Adapters over HTTP are in ``zincwell.adapters``; the protocols are in docs/protocols.md.
"""

from __future__ import annotations

import abc
import enum
from collections.abc import AsyncIterator
from typing import Any

from msgspec import Raw, Struct

from zincwell.models import NO_VALUE


class Clock(abc.ABC):
    """Source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back and count while the VM is suspended."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970."""


class Record(Struct, frozen=True):
    """One record of the log."""

    offset: int
    value: dict[str, Any]


class LogService(abc.ABC):
    """The platform's append-only log."""

    @abc.abstractmethod
    async def append(self, *, stream: str, value: dict[str, Any]) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: if no answer came; the record may be there all the same.
        """

    @abc.abstractmethod
    async def read(self, *, stream: str, start: int, wait_s: float) -> list[Record]:
        """Return the records from an offset on, waiting for one if there is none yet.

        :raises LogUnavailableError: if no answer came.
        :raises RecordsExpiredError: if the offset is no longer kept.
        """


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Struct, frozen=True, kw_only=True):
    """One row of the platform's list of VMs.

    :param role: ``entry`` or ``worker``.
    :param url: base URL; of an entry, of its listener for peers.
    """

    vm: str
    role: str
    domain: str
    url: str
    state: VmState = VmState.LIVE
    pool: str = ""
    rack: str = ""
    slots: int = 0
    connections: int = 64
    memory_mb: int = 0


class VmDirectory(abc.ABC):
    """The platform's lagging list of VMs."""

    @abc.abstractmethod
    async def list_vms(self) -> list[Vm]:
        """Return all rows.

        :raises DirectoryUnavailableError: if no answer came.
        """


class WorkerLease(Struct, frozen=True, kw_only=True):
    """A worker's permission to start tasks on it.

    :param ttl_s: lifetime in seconds from when it was asked for.
    :param running: tasks that it runs now, of all entries.
    :param run: names this run of the worker's process; another run knows nothing of its tasks.
    """

    lease: str
    ttl_s: float
    slots: int
    run: str = ""
    running: int = 0
    leaving: bool = False


class Start(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One task as sent to a worker.

    :param id: names the task at this placement; a worker starts an id once.
    """

    id: str
    service: str
    payload: Raw
    run_ms: int = 0


class EventKind(enum.StrEnum):
    """What a worker says of a task.

    ``lost``: nobody can know the outcome. Said by a worker of a task that was sent to an earlier
    run of it, and by an entry that runs a task for another.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    FENCED = "fenced"
    LOST = "lost"
    BEAT = "beat"


class WorkerEvent(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One line of a worker's stream.

    :param length: length of ``output`` in bytes, to tell a truncated one.
    :param running: tasks that the worker runs now, of all entries.
    """

    kind: EventKind
    id: str = ""
    reason: str = ""
    output: Raw = NO_VALUE
    length: int = 0
    running: int = 0


class WorkerTransport(abc.ABC):
    """The way to one worker."""

    @abc.abstractmethod
    async def lease(self, *, entry: str, ttl_s: float) -> WorkerLease:
        """Ask for a lease, or renew it.

        :raises WorkerError: if there is no answer.
        """

    @abc.abstractmethod
    def start(self, *, entry: str, lease: str, tasks: list[Start]) -> AsyncIterator[WorkerEvent]:
        """Start tasks and yield what becomes of them until each is final.

        :raises WorkerUnreachableError: if nothing was sent.
        :raises WorkerConnectionError: if bytes may have left.
        """

    @abc.abstractmethod
    def watch(self, *, ids: list[str], fence: bool, run: str) -> AsyncIterator[WorkerEvent]:
        """Ask on a new connection what became of tasks and yield until each is final.

        :param fence: make the worker refuse for good the ids that it has not seen.
        :param run: run of the worker that the tasks were sent to; of ids sent to another run
            it says ``lost``.
        :raises WorkerError: if there is no answer or it breaks.
        """

    @abc.abstractmethod
    async def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        """Stop tasks; an unknown id is fenced.

        :raises WorkerError: if there is no answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the connections."""


class PeerTransport(abc.ABC):
    """The way to another entry."""

    @abc.abstractmethod
    async def call(self, *, url: str, path: str, body: bytes, timeout_s: float) -> bytes:
        """Send one message and return the answer.

        :raises PeerUnavailableError: if there is no answer in time.
        """
