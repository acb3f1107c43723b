"""Ports: interfaces of the dispatcher to the platform and to other entries."""

from __future__ import annotations

import abc
import enum

from msgspec import Struct

from zincwell.dispatch._messages import Envelope, Receipt
from zincwell.dispatch._types import Configuration, Evacuation, TaskId, WorkerInfo
from zincwell.exceptions import ZincwellError


class StoreUnavailableError(ZincwellError):
    """The store did not answer or rejected the call; an append may have taken effect."""


class StoreConflictError(ZincwellError):
    """The store rejected an append because its condition does not hold."""


class RecordsGoneError(ZincwellError):
    """The store has already removed the requested records."""


class WorkerCallError(ZincwellError):
    """A worker did not answer; the call may have taken effect or may still take effect."""


class WorkerFencedError(ZincwellError):
    """The worker has seen a higher fencing token."""


class WorkerReplacedError(ZincwellError):
    """Another incarnation of the worker answered; the runs of the earlier one are lost."""


class PeerCallError(ZincwellError):
    """Another entry did not answer."""


class Topic(enum.Enum):
    """A topic of the store.

    Operators write the configuration document and evacuations to ``CONFIGURATION``.
    """

    CONFIGURATION = enum.auto()
    WORKERS = enum.auto()
    CLAIMS = enum.auto()
    ENTRIES = enum.auto()
    LIVENESS = enum.auto()


class StoreRecord(Struct, frozen=True, kw_only=True):
    """The newest value of a key; ``None`` if the key was deleted.

    Values of the topics that entries write are bytes; the others are decoded by the adapter.
    """

    key: str
    offset: int
    value: Configuration | Evacuation | WorkerInfo | bytes | None


class StorePage(Struct, frozen=True, kw_only=True):
    """Records ordered by offset.

    :param end: offset that the next record will have.
    :param complete: whether the topic had no more records when it was read; long answers are
        truncated.
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
        """Return the records from an offset on, waiting up to ``wait_s`` for the first one.

        :raises RecordsGoneError: if the store no longer has the record at the offset.
        """

    @abc.abstractmethod
    async def append(self, topic: Topic, *, key: str, value: bytes, at: int | None = None) -> int:
        """Append a record and return its offset.

        :param at: append only if the topic ends at this offset; None for no condition.
        :raises StoreConflictError: if the topic does not end there.
        """


class StartStatus(enum.Enum):
    """A worker's answer to a start order.

    All but ``STARTED`` mean that the order does not start a run.
    """

    STARTED = enum.auto()
    NO_ROOM = enum.auto()
    TOO_LATE = enum.auto()
    SUPERSEDED = enum.auto()
    UNHEALTHY = enum.auto()
    INVALID = enum.auto()


class StartOrder(Struct, frozen=True, kw_only=True):
    """Order to start one run of a task.

    :param run: number of the run; a worker refuses a number that is not higher than that of an
        ended run of the task.
    :param deadline_ms: time on the worker's clock after which it refuses the order, and until which
        its lease lasts at least.
    """

    task: TaskId
    run: int
    spec: str
    deadline_ms: int
    fence: int


class StartReply(Struct, frozen=True, kw_only=True):
    """Answer to a start order, with the worker's clock in ms."""

    status: StartStatus
    clock_ms: int | None = None


class ActiveRun(Struct, frozen=True, kw_only=True):
    """A run in progress; ``percent`` is its progress."""

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
    """A run that has ended.

    :param number: sequence number of the end; increases by one within an incarnation of the worker.
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind


class HoldReply(Struct, frozen=True, kw_only=True):
    """The active runs of a worker, and those that ended after the acknowledged number.

    :param born_ms: incarnation of the worker that answered, see `WorkerInfo`.
    :param has_more_ended: whether the worker may have more ended runs than the reply has.
    """

    clock_ms: int
    running: list[ActiveRun]
    ended: list[EndedRun]
    born_ms: int = 0
    has_more_ended: bool = False


class WorkerClient(abc.ABC):
    """Calls to workers.

    All methods raise ``WorkerCallError``, ``WorkerFencedError`` and ``WorkerReplacedError``.
    """

    @abc.abstractmethod
    async def start(self, worker: WorkerInfo, order: StartOrder, *, timeout_s: float) -> StartReply:
        """Order the start of a run."""

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
        """Extend the lease of all runs on a worker; return the active and the ended runs.

        :param acknowledged: number of the last end that need not be reported again.
        :param deadline_ms: new end of the lease on the worker's clock; None to leave it.
        :param wait_s: how long the worker may wait for a run to end before it answers.
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
        """Return the configuration document that another entry has in force."""
