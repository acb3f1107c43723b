"""Messages between callers and entries, validated by msgspec when decoded."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Raw, Struct

from zincwell._decoding import make_decoder
from zincwell.exceptions import BadRequestError, MalformedJsonError

T = TypeVar("T")

#: Placeholder for an absent JSON value; omitted when a message is encoded.
NO_VALUE = Raw(b"null")
MAX_TASKS = 1_200
MAX_KEY_LENGTH = 200
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 60_000

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.-]+$")]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_LENGTH, pattern=r"^[A-Za-z0-9_./:-]+$")]
DeadlineMs = Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]


class Outcome(enum.StrEnum):
    """Final outcome of a task, a job or a request; a closed set of values."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class TaskSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a submission.

    :param payload: any JSON value, passed to the worker unchanged.
    :param run_ms: declared run time in milliseconds; a hint that is often inaccurate.
    :param memory_mb: declared memory in MB; a task that fits no worker is refused.
    """

    payload: Raw
    run_ms: Annotated[int, Meta(ge=0, le=MAX_DEADLINE_MS)] = 0
    memory_mb: Annotated[int, Meta(ge=0)] = 0


class Submission(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A job of 1 to 1,200 tasks, each started at most once.

    :param key: idempotency key; the prefix ``domain/`` places its home in that failure domain.
    :param created_at: when the key was made, in seconds since the Unix epoch (1970); the same in
        each resubmission.
    :param attempt: number of the attempt, from 1; absent if the caller does not count attempts.
    :param never_run: whether every earlier attempt with the key, if any, was answered
        ``not_run``. An attempt without an answer may have run.
    :param sent_at: when this attempt was sent, by the same clock as ``created_at``, which is
        used if this is absent. A caller that has sent a later attempt ignores the answer to
        this one.
    :param urgency: urgency class, used by admission control and metrics.
    :param deadline_ms: milliseconds from arrival until the caller no longer needs the result.
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
    """A single call of a service.

    :param idempotent: whether a second start does no harm; only then may it be retried.
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
    """Result of one task; ``output`` is set only for a completed one."""

    index: int
    outcome: Outcome
    reason: str = ""
    output: Raw = NO_VALUE

    def json(self) -> Any:
        """Return the decoded output; None if there is none."""
        return msgspec.json.decode(self.output)


class Answer(Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Answer to a submission or a request; errors have the same form.

    :param outcome: completed, failed, not_run or outcome_unknown; absent with status 4xx or 202.
    :param reason: code of the reason, listed in the operators' guide.
    :param detail: the reason as text.
    :param retry_after_ms: milliseconds after which to retry; absent if a retry does not help.
    """

    key: str = ""
    outcome: Outcome | None = None
    reason: str = ""
    detail: str = ""
    retry_after_ms: int | None = None
    tasks: list[TaskAnswer] = []


_submission_decoder = make_decoder(Submission)
_request_decoder = make_decoder(Request)
_answer_decoder = make_decoder(Answer)


def decode_submission(body: bytes) -> Submission:
    """Decode a submission.

    :raises BadRequestError: if it is invalid; the message names the field.
    """
    return _decode(_submission_decoder, body)


def decode_request(body: bytes) -> Request:
    """Decode a single request.

    :raises BadRequestError: if it is invalid; the message names the field.
    """
    return _decode(_request_decoder, body)


def decode_answer(body: bytes) -> Answer:
    """Decode an answer.

    :raises BadRequestError: if it is invalid.
    """
    return _decode(_answer_decoder, body)


def _decode(decoder: Callable[[bytes], T], body: bytes) -> T:
    try:
        return decoder(body)
    except MalformedJsonError as error:
        raise BadRequestError(str(error)) from error
