"""Messages exchanged between entries."""

from __future__ import annotations

import enum
from typing import Any

from msgspec import Raw, Struct

from zincwell.core._membership import Seat
from zincwell.models import NO_VALUE


class Load(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Use of the workers by one entry, reported to the peers of its domain.

    :param queued_by_pool: number of tasks waiting for a slot.
    :param running_by_worker: number of the entry's tasks running on each worker.
    :param running_by_tenant: number of running tasks, for quotas.
    :param queued_by_tenant: number of queued tasks, for quotas.
    """

    queued_by_pool: dict[str, int] = {}
    running_by_worker: dict[str, int] = {}
    running_by_tenant: dict[str, int] = {}
    queued_by_tenant: dict[str, int] = {}


class Lending(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Slots that an entry lends to one peer of its domain.

    :param number: version, incremented with each change.
    :param per_worker_by_pool: slots lent on each worker of a pool.
    :param less_by_worker: by how many slots the loan is reduced on single workers.
    """

    number: int = 0
    per_worker_by_pool: dict[str, int] = {}
    less_by_worker: dict[str, int] = {}


class Heartbeat(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Heartbeat to another entry; the answer is a heartbeat too.

    :param epoch: next log offset of the sender's list of seats.
    :param config: next log offset of its configuration.
    :param ack: in an answer: the receiver has not closed the sender's seat and is not about to.
    :param lending: in a call: slots that the sender lends to the receiver.
    :param lending_seen: in an answer: version of the lending that the receiver applies.
    :param used_by_worker: in an answer: slots borrowed from the sender that are in use.
    """

    seat: Seat
    epoch: int
    config: int
    load: Load = Load()
    ack: bool = False
    lending: Lending = Lending()
    lending_seen: int = 0
    used_by_worker: dict[str, int] = {}


class StateReply(Struct, frozen=True, kw_only=True):
    """Seats and configuration of an entry, with their next log offsets."""

    epoch: int
    seats: dict[str, Any]
    config: int
    configuration: dict[str, Any]


class Intent(enum.StrEnum):
    """Purpose of a claim."""

    OWN = "own"
    LOOK_UP = "look_up"
    REFUSE = "refuse"


class Claim(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Request of an entry to the home of a key, to become its owner or to look up the owner.

    :param intent: with ``refuse`` the asker is about to answer its caller that the key has not
        run; the home then grants it to no earlier attempt, which would make the answer false.
    :param attempt: number of the caller's attempt; 0 if the caller does not count.
    :param never_run: the caller states that no earlier attempt can have run.
    :param sent_at: when the caller sent this attempt, in seconds since 1970.
    :param disown: serial of a grant that its owner has refused to start for good.
    """

    key: str
    created_at: float
    attempt: int = 0
    never_run: bool = False
    sent_at: float = 0.0
    intent: Intent = Intent.OWN
    disown: int = 0


class ClaimKind(enum.StrEnum):
    """Decision of a home on a claim."""

    GRANTED = "granted"
    OWNED = "owned"
    MOVED = "moved"
    NOT_READY = "not_ready"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    SUPERSEDED = "superseded"
    STALE = "stale"


class ClaimReply(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to one claim.

    :param owner: the owner, if the kind is ``granted`` or ``owned``.
    :param serial: fencing number of the grant; incremented when the key changes its owner.
    :param reason: why the key was not granted.
    """

    kind: ClaimKind
    owner: Seat | None = None
    serial: int = 0
    reason: str = ""
    retry_after_ms: int | None = None


class ClaimBatch(Struct, frozen=True, kw_only=True):
    """Claims that one entry sends to one home in one message."""

    asker: Seat
    claims: list[Claim]


class OwnedKey(Struct, frozen=True, kw_only=True):
    """Ownership record of a key, as kept by its home and by its owner."""

    key: str
    owner: Seat
    serial: int
    created_at: float


class HandoverCall(Struct, frozen=True, kw_only=True):
    """Request of a new home for the ownership records of its keys.

    :param seat: the new home.
    """

    seat: Seat


class HandoverReply(Struct, frozen=True, kw_only=True):
    """Ownership records of the asking home's keys.

    :param seat: the answering seat.
    :param epoch: next log offset of its list of seats.
    :param floor: wall-clock time; the list is complete for keys that were created later and
        whose home was the answering seat.
    """

    seat: Seat
    epoch: int
    floor: float
    keys: list[OwnedKey]


class AttachCall(Struct, frozen=True, kw_only=True):
    """Request to the owner of a key for its answer, waiting up to ``wait_s`` seconds.

    :param owner: id of the seat that the home named; a later run of the entry on the same VM
        doesn't have the job.
    :param digest: of the asker's submission; 0 if the asker has only the key.
    """

    key: str
    owner: str
    serial: int
    wait_s: float
    digest: int = 0


class AttachKind(enum.StrEnum):
    """Kind of an owner's answer to an attach call."""

    ANSWER = "answer"
    PENDING = "pending"
    NEVER_STARTED = "never_started"
    REUSED = "reused"
    OTHER_RUN = "other_run"


class AttachReply(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to an attach or cancel call.

    :param answer: encoded ``Answer``, if the kind is ``answer``.
    """

    kind: AttachKind
    answer: Raw = NO_VALUE


class CancelCall(Struct, frozen=True, kw_only=True):
    """Request to the owner of a key to cancel its job."""

    key: str
    owner: str
