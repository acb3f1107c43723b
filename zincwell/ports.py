"""Ports: abstract base classes of the external services that zincwell depends on.

``zincwell.adapters`` implements them over HTTP; docs/protocols.md describes the protocols.
"""

from __future__ import annotations

import abc
import enum
from collections.abc import AsyncIterator
from typing import Any

from msgspec import Raw, Struct

from zincwell.models import NO_VALUE


class Clock(abc.ABC):
    """Source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease and that advance while the VM is suspended."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch (1970)."""


class Record(Struct, frozen=True):
    """One record of a log stream."""

    offset: int
    value: dict[str, Any]


class LogService(abc.ABC):
    """The platform's append-only log."""

    @abc.abstractmethod
    async def append(self, *, stream: str, value: dict[str, Any]) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: if the append was not confirmed; the record may have been
            stored.
        """

    @abc.abstractmethod
    async def read(self, *, stream: str, start: int, wait_s: float) -> list[Record]:
        """Return the records from an offset on, waiting up to ``wait_s`` if there is none.

        :raises LogUnavailableError: if there is no response.
        :raises RecordsExpiredError: if the offset is no longer stored.
        """


class VmState(enum.StrEnum):
    """State of a VM in the platform's directory."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Struct, frozen=True, kw_only=True):
    """One VM of the platform's directory.

    :param vm: name of the VM.
    :param role: ``entry`` or ``worker``.
    :param domain: failure domain.
    :param url: base URL of a worker, or of an entry's listener for peers.
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
    """The platform's directory of VMs; its contents may be out of date."""

    @abc.abstractmethod
    async def list_vms(self) -> list[Vm]:
        """Return all VMs.

        :raises DirectoryUnavailableError: if there is no response.
        """


class WorkerLease(Struct, frozen=True, kw_only=True):
    """Lease under which an entry may start tasks on a worker.

    :param ttl_s: lifetime in seconds, counted from when the lease was requested.
    :param running: number of tasks that the worker runs now, for all entries.
    :param run: id of the current run of the worker's process; tasks sent to one run are unknown
        to another.
    :param leaving: whether the worker is about to leave and takes no new tasks.
    """

    lease: str
    ttl_s: float
    slots: int
    run: str = ""
    running: int = 0
    leaving: bool = False


class Start(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One task as sent to a worker.

    :param id: id of this placement of the task; a worker starts each id at most once.
    """

    id: str
    service: str
    payload: Raw
    run_ms: int = 0


class EventKind(enum.StrEnum):
    """Kind of a worker's event.

    ``lost`` means that the outcome can't be known. A worker reports it for a task that was sent
    to an earlier run of its process, and so does an entry that runs a task for another entry.
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
    """One line of a worker's event stream.

    :param length: length of ``output`` in bytes, to detect a truncated output.
    :param running: number of tasks that the worker runs now, for all entries.
    """

    kind: EventKind
    id: str = ""
    reason: str = ""
    output: Raw = NO_VALUE
    length: int = 0
    running: int = 0


class WorkerTransport(abc.ABC):
    """Connection to one worker."""

    @abc.abstractmethod
    async def lease(self, *, entry: str, ttl_s: float) -> WorkerLease:
        """Request or renew a lease.

        :raises WorkerError: if there is no valid response.
        """

    @abc.abstractmethod
    def start(self, *, entry: str, lease: str, tasks: list[Start]) -> AsyncIterator[WorkerEvent]:
        """Start tasks and yield their events until each task has a final one.

        :raises WorkerUnreachableError: if nothing was sent.
        :raises WorkerConnectionError: if the request may have been sent.
        """

    @abc.abstractmethod
    def watch(self, *, ids: list[str], fence: bool, run: str) -> AsyncIterator[WorkerEvent]:
        """Yield the events of tasks sent earlier until each has a final one.

        The events are read on a new connection.

        :param fence: make the worker refuse for good the ids that it has not seen.
        :param run: run of the worker's process that the tasks were sent to; another run reports
            them as ``lost``.
        :raises WorkerError: if there is no response or the stream breaks.
        """

    @abc.abstractmethod
    async def stop(self, *, ids: list[str]) -> list[WorkerEvent]:
        """Stop tasks and return their events; an unknown id is fenced.

        :raises WorkerError: if there is no valid response.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class PeerTransport(abc.ABC):
    """Transport of messages to other entries."""

    @abc.abstractmethod
    async def call(self, *, url: str, path: str, body: bytes, timeout_s: float) -> bytes:
        """Send one message and return the response.

        :raises PeerUnavailableError: if there is no response in time.
        """
