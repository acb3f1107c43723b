"""Messages between entries."""

from __future__ import annotations

import enum
from typing import Any

from msgspec import Raw, Struct

from zincwell.core._membership import Seat
from zincwell.models import NO_VALUE


class Load(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What an entry tells its domain peers of its use of the workers.

    :param queued_by_pool: tasks waiting for a slot.
    :param running_by_worker: tasks of this entry running there.
    :param running_by_tenant: tasks running here, for quotas.
    :param queued_by_tenant: tasks queued here, for quotas.
    """

    queued_by_pool: dict[str, int] = {}
    running_by_worker: dict[str, int] = {}
    running_by_tenant: dict[str, int] = {}
    queued_by_tenant: dict[str, int] = {}


class Lending(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Slots that an entry lends one of its domain peers.

    :param number: grows with each change.
    :param per_worker_by_pool: slots lent of each worker of a pool.
    :param less_by_worker: how many less of the workers named.
    """

    number: int = 0
    per_worker_by_pool: dict[str, int] = {}
    less_by_worker: dict[str, int] = {}


class Heartbeat(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Sent to each peer of the domain, and answered by the same.

    :param epoch: next offset of the sender's fold of the seats.
    :param config: next offset of its fold of the configuration.
    :param ack: in an answer: the receiver has not closed the sender's seat and is not about to.
    :param lending: in a call: what the sender lends the receiver.
    :param lending_seen: in an answer: number of the lending that the receiver goes by.
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
    """Both folds of an entry, for a peer that is behind."""

    epoch: int
    seats: dict[str, Any]
    config: int
    configuration: dict[str, Any]


class Intent(enum.StrEnum):
    """Why an entry asks a home about a key."""

    OWN = "own"
    LOOK_UP = "look_up"
    REFUSE = "refuse"


class Claim(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An entry asks the home of a key to become its owner, or just who owns it.

    :param intent: with ``refuse`` the asker is about to tell its caller that the key has not
        run; the home then grants it to no earlier attempt, which would make that untrue.
    :param attempt: number of the caller's attempt; 0 if the caller does not count.
    :param never_run: the caller states that no earlier attempt can have run.
    :param sent_at: when the caller sent this attempt, in seconds since 1970.
    :param disown: serial of a grant whose owner has said that it never started.
    """

    key: str
    created_at: float
    attempt: int = 0
    never_run: bool = False
    sent_at: float = 0.0
    intent: Intent = Intent.OWN
    disown: int = 0


class ClaimKind(enum.StrEnum):
    """What a home answers to a claim."""

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

    :param owner: the owner, if granted or owned.
    :param serial: number of the grant; grows each time that the key changes its owner.
    """

    kind: ClaimKind
    owner: Seat | None = None
    serial: int = 0
    reason: str = ""
    retry_after_ms: int | None = None


class ClaimBatch(Struct, frozen=True, kw_only=True):
    """Claims that one entry sends to one home together."""

    asker: Seat
    claims: list[Claim]


class OwnedKey(Struct, frozen=True, kw_only=True):
    """A key with its owner, as a home or an owner remembers it."""

    key: str
    owner: Seat
    serial: int
    created_at: float


class HandoverCall(Struct, frozen=True, kw_only=True):
    """A new home asks for what others know of its keys."""

    seat: Seat


class HandoverReply(Struct, frozen=True, kw_only=True):
    """Keys of the asking home.

    :param floor: keys created after this time (wall clock) that the answering seat was
        home to are all in the list.
    """

    seat: Seat
    epoch: int
    floor: float
    keys: list[OwnedKey]


class AttachCall(Struct, frozen=True, kw_only=True):
    """Ask the owner of a key for its answer, waiting up to ``wait_s`` seconds.

    :param owner: seat that the home named; a later run of the same VM knows nothing of it.
    :param digest: of the submission that the asker has; 0 if it has only the key.
    """

    key: str
    owner: str
    serial: int
    wait_s: float
    digest: int = 0


class AttachKind(enum.StrEnum):
    """What an owner answers to an attach."""

    ANSWER = "answer"
    PENDING = "pending"
    NEVER_STARTED = "never_started"
    REUSED = "reused"
    OTHER_RUN = "other_run"


class AttachReply(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to an attach; ``answer`` holds an Answer."""

    kind: AttachKind
    answer: Raw = NO_VALUE


class CancelCall(Struct, frozen=True, kw_only=True):
    """Ask the owner of a key to cancel its job."""

    key: str
    owner: str
