"""Messages between callers and an entry, validated on arrival by msgspec."""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Raw, Struct

from zincwell.exceptions import BadRequestError

#: Stands for an absent JSON value, and is left out when a message is encoded.
NO_VALUE = Raw(b"null")
MAX_TASKS = 1_200
MAX_KEY_LENGTH = 200
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 60_000

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_LENGTH, pattern=r"^[A-Za-z0-9_./:-]+$")]
DeadlineMs = Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]


class Outcome(enum.StrEnum):
    """What became of a task, a job or a request; a closed set."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class TaskSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """One task as its caller declares it.

    :param payload: any JSON value, handed to the worker as it is.
    :param run_ms: declared run time in milliseconds; a hint that is often far off.
    :param memory_mb: declared memory in MB; a task that fits no worker is refused.
    """

    payload: Raw
    run_ms: Annotated[int, Meta(ge=0, le=MAX_DEADLINE_MS)] = 0
    memory_mb: Annotated[int, Meta(ge=0)] = 0


class Submission(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A job of 1 to 1,200 tasks, each started at most once.

    :param key: idempotency key; ``domain/...`` gives it a home in that failure domain.
    :param created_at: when the key was made, in seconds since 1970, the same at each resend.
    :param attempt: number of the attempt, from 1; left out where the caller does not count.
    :param never_run: every earlier attempt with the key was answered ``not_run``, or there was
        none. An attempt that was not answered at all may have run.
    :param sent_at: when this attempt was sent, by the same clock as ``created_at``, which
        counts if it is left out. A caller that has sent a later attempt no longer goes by the
        answer to this one.
    :param urgency: class by which admission and metrics tell jobs apart.
    :param deadline_ms: milliseconds from arrival until the caller has no more use for it.
    """

    key: Key
    created_at: Annotated[float, Meta(gt=0)]
    tenant: Name
    service: Name
    tasks: Annotated[list[TaskSpec], Meta(min_length=1, max_length=MAX_TASKS)]
    urgency: Name = "normal"
    deadline_ms: DeadlineMs = DEFAULT_DEADLINE_MS
    attempt: Annotated[int, Meta(ge=1)] | None = None
    never_run: bool = False
    sent_at: Annotated[float, Meta(gt=0)] | None = None


class Request(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A single call.

    :param idempotent: whether a second start does no harm; only then is it ever retried.
    """

    tenant: Name
    service: Name
    payload: Raw
    idempotent: bool = False
    urgency: Name = "normal"
    run_ms: Annotated[int, Meta(ge=0, le=MAX_DEADLINE_MS)] = 0
    memory_mb: Annotated[int, Meta(ge=0)] = 0
    deadline_ms: DeadlineMs = DEFAULT_DEADLINE_MS


class TaskAnswer(Struct, frozen=True, omit_defaults=True, kw_only=True):
    """What became of one task; ``output`` only in a completed answer."""

    index: int
    outcome: Outcome
    reason: str = ""
    output: Raw = NO_VALUE

    def json(self) -> Any:
        """Return the output as Python values; None if there is none."""
        return msgspec.json.decode(self.output)


class Answer(Struct, frozen=True, omit_defaults=True, kw_only=True):
    """The whole answer to a submission or a request, also the shape of every error.

    :param outcome: completed, failed, not_run or outcome_unknown; absent in a 4xx or 202.
    :param reason: short code for what happened, listed in the operators' guide.
    :param detail: the same for a reader.
    :param retry_after_ms: when coming back helps, in milliseconds; absent when it does not.
    """

    key: str = ""
    outcome: Outcome | None = None
    reason: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
    tasks: list[TaskAnswer] = []


_submission_decoder = msgspec.json.Decoder(Submission)
_request_decoder = msgspec.json.Decoder(Request)
_answer_decoder = msgspec.json.Decoder(Answer)


def decode_submission(body: bytes) -> Submission:
    """Read a submission.

    :raises BadRequestError: naming the field that is wrong.
    """
    return _decode(_submission_decoder, body)


def decode_request(body: bytes) -> Request:
    """Read a single request.

    :raises BadRequestError: naming the field that is wrong.
    """
    return _decode(_request_decoder, body)


def decode_answer(body: bytes) -> Answer:
    """Read an answer.

    :raises BadRequestError: if it is not one.
    """
    return _decode(_answer_decoder, body)


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadRequestError(str(error)) from error
    except RecursionError as error:
        raise BadRequestError("the JSON is nested too deeply") from error
