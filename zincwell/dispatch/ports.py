"""Ports: what the dispatcher asks of the platform and of other entries."""

from __future__ import annotations

import abc
import enum

from msgspec import Struct

from zincwell.dispatch._messages import Envelope, Receipt
from zincwell.dispatch._types import Configuration, Evacuation, TaskId, WorkerInfo
from zincwell.exceptions import ZincwellError


class StoreUnavailableError(ZincwellError):
    """The store gave no answer, or turned the call away; an append may have taken effect."""


class StoreConflictError(ZincwellError):
    """The store refused an append because its condition does not hold."""


class RecordsGoneError(ZincwellError):
    """The store no longer keeps the records asked for."""


class WorkerCallError(ZincwellError):
    """A worker gave no answer, so the order may have been carried out or still be."""


class WorkerFencedError(ZincwellError):
    """The worker has seen a higher fencing token."""


class WorkerReplacedError(ZincwellError):
    """Another life of the worker answered; what ran in the earlier one is gone."""


class PeerCallError(ZincwellError):
    """Another entry gave no answer."""


class Topic(enum.Enum):
    """What is kept in the store.

    Operators write their document and evacuations to ``CONFIGURATION``.
    """

    CONFIGURATION = enum.auto()
    WORKERS = enum.auto()
    CLAIMS = enum.auto()
    ENTRIES = enum.auto()
    LIVENESS = enum.auto()


class StoreRecord(Struct, frozen=True, kw_only=True):
    """The newest value of a key; ``None`` if the key was dropped.

    Values of the topics that entries write are bytes; the others are decoded by the adapter.
    """

    key: str
    offset: int
    value: Configuration | Evacuation | WorkerInfo | bytes | None


class StorePage(Struct, frozen=True, kw_only=True):
    """Records in order, and the offset that the next one will have.

    :param complete: whether the topic had no more records when it was read; a long answer is cut.
    """

    records: list[StoreRecord]
    end: int
    complete: bool = True


class Store(abc.ABC):
    """The platform's store of keyed records.

    All methods raise ``StoreUnavailableError``.
    """

    @abc.abstractmethod
    async def newest(self, topic: Topic) -> StorePage:
        """Return the newest record of each key."""

    @abc.abstractmethod
    async def changes(self, topic: Topic, *, start: int, wait_s: float) -> StorePage:
        """Return records from an offset on, waiting for one for a limited time.

        :raises RecordsGoneError: if the offset is no longer kept.
        """

    @abc.abstractmethod
    async def append(self, topic: Topic, *, key: str, value: bytes, at: int | None = None) -> int:
        """Append a record and return its offset.

        :param at: append only if the topic ends at this offset.
        :raises StoreConflictError: if it does not.
        """


class StartStatus(enum.Enum):
    """What a worker answers to a start.

    All but ``STARTED`` mean that this order starts nothing.
    """

    STARTED = enum.auto()
    NO_ROOM = enum.auto()
    TOO_LATE = enum.auto()
    SUPERSEDED = enum.auto()
    UNHEALTHY = enum.auto()
    INVALID = enum.auto()


class StartOrder(Struct, frozen=True, kw_only=True):
    """Start one run of a task.

    :param run: number of the run; a worker refuses one that is not higher than an ended one.
    :param deadline_ms: time on the worker's clock after which it refuses the order, and until
        which at least everything on it may run.
    """

    task: TaskId
    run: int
    spec: str
    deadline_ms: int
    fence: int


class StartReply(Struct, frozen=True, kw_only=True):
    """Answer to a start, with the worker's clock in ms."""

    status: StartStatus
    clock_ms: int | None = None


class ActiveRun(Struct, frozen=True, kw_only=True):
    """A run at work; ``percent`` is how far it is."""

    task: TaskId
    run: int
    percent: float


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"


class EndedRun(Struct, frozen=True, kw_only=True):
    """A run that has ended; ``number`` rises by one within a life of the worker."""

    number: int
    task: TaskId
    run: int
    kind: EndKind


class HoldReply(Struct, frozen=True, kw_only=True):
    """What a worker runs and what ended since the acknowledged number."""

    clock_ms: int
    running: list[ActiveRun]
    ended: list[EndedRun]


class WorkerClient(abc.ABC):
    """Calls to workers.

    All methods raise ``WorkerCallError``, ``WorkerFencedError`` and ``WorkerReplacedError``.
    """

    @abc.abstractmethod
    async def start(self, worker: WorkerInfo, order: StartOrder, *, timeout_s: float) -> StartReply:
        """Order a run."""

    @abc.abstractmethod
    async def stop(
        self, worker: WorkerInfo, *, task: TaskId, run: int, fence: int, timeout_s: float
    ) -> None:
        """Stop a run."""

    @abc.abstractmethod
    async def hold(
        self,
        worker: WorkerInfo,
        *,
        fence: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> HoldReply:
        """Extend the lease of everything on a worker, and learn what runs and what ended.

        :param acknowledged: number of the last end that need not be told again.
        :param wait_s: how long the worker may wait for an end before it answers.
        """


class PeerClient(abc.ABC):
    """Calls to other entries.

    All methods raise ``PeerCallError`` if there is no answer.
    """

    @abc.abstractmethod
    async def deliver(self, address: str, envelope: Envelope, *, timeout_s: float) -> Receipt:
        """Deliver an envelope."""

    @abc.abstractmethod
    async def fetch_configuration(self, address: str, *, timeout_s: float) -> Configuration:
        """Return the document that another entry has in force."""
