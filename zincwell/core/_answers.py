"""Answers that an entry makes without running anything, and answers between entries."""

from __future__ import annotations

import msgspec
from msgspec import Raw

from zincwell.core._jobs import Job
from zincwell.core._messages import AttachKind, AttachReply
from zincwell.models import Answer, Outcome


def not_run(key: str, reason: str, retry_after_ms: int | None) -> Answer:
    """Say that a key has provably not run."""
    return Answer(key=key, outcome=Outcome.NOT_RUN, reason=reason, retry_after_ms=retry_after_ms)


def unknown(key: str, reason: str, retry_after_ms: int | None) -> Answer:
    """Say that nobody can know whether a key has run, now or for good."""
    return Answer(
        key=key, outcome=Outcome.OUTCOME_UNKNOWN, reason=reason, retry_after_ms=retry_after_ms
    )


def reused(key: str) -> Answer:
    """Say that a key was sent before with other tasks."""
    detail = "the key stands for a different submission - at `$.key`"
    return Answer(key=key, reason="key_reused", detail=detail)


def attach_reply_of(job: Job) -> AttachReply:
    """Return what a peer is told of a job that we own."""
    if not job.is_answered:
        return AttachReply(kind=AttachKind.PENDING)
    answer = Raw(msgspec.json.encode(job.answer.result()))
    return AttachReply(kind=AttachKind.ANSWER, answer=answer)


def answer_of(reply: AttachReply) -> Answer | None:
    """Return the answer that an owner gave, or None if it has none yet."""
    if reply.kind is not AttachKind.ANSWER:
        return None
    return msgspec.json.decode(reply.answer, type=Answer)
