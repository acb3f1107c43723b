"""Answers that need no run, and conversion of answers to and from replies between entries."""

from __future__ import annotations

import msgspec
from msgspec import Raw

from zincwell.core._jobs import Job
from zincwell.core._messages import AttachKind, AttachReply
from zincwell.exceptions import BadRequestError
from zincwell.models import Answer, Outcome, decode_answer


def not_run_answer(key: str, reason: str, retry_after_ms: int | None) -> Answer:
    """Return the answer for a key that has certainly not run."""
    return Answer(key=key, outcome=Outcome.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms)


def unknown_answer(key: str, reason: str, retry_after_ms: int | None) -> Answer:
    """Return the answer for a key of which it is not known whether it has run.

    :param retry_after_ms: delay before a retry may give the outcome; None if none can.
    """
    return Answer(
        key=key, outcome=Outcome.OUTCOME_UNKNOWN, reason=reason, retry_after_ms=retry_after_ms
    )


def reused_answer(key: str) -> Answer:
    """Return the answer for a key that was submitted before with other tasks."""
    detail = "the key stands for a different submission - at `$.key`"
    return Answer(key=key, reason="key_reused", detail=detail)


def attach_reply_of(job: Job) -> AttachReply:
    """Return the reply to a peer that asks for the answer of a job of this entry."""
    if not job.is_answered:
        return AttachReply(kind=AttachKind.PENDING)
    answer = Raw(msgspec.json.encode(job.answer.result()))
    return AttachReply(kind=AttachKind.ANSWER, answer=answer)


def answer_from(reply: AttachReply) -> Answer | None:
    """Return the answer in an owner's reply, or None if it holds none that can be read."""
    if reply.kind is not AttachKind.ANSWER:
        return None
    try:
        return decode_answer(bytes(reply.answer))
    except BadRequestError:
        return None
