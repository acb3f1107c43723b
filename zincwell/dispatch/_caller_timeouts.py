"""When entries and owners must answer a job so that its caller gets the answer in time."""

from __future__ import annotations

from zincwell.dispatch._types import JobRequest

# Share of the caller's timeout that is reserved for sending the answer to the caller: 37 ms of
# 1.5 s.
ENTRY_MARGIN_SHARE = 1 / 40
# The same for the way from the owner over the entry to the caller. It includes the interval of the
# owner's review, 20 ms.
OWNER_MARGIN_SHARE = 1 / 20


def entry_answer_by_s(request: JobRequest) -> float:
    """Return the age in seconds by which an entry answers the caller of a job."""
    return request.timeout_ms / 1000 * (1 - ENTRY_MARGIN_SHARE)


def owner_answer_by_s(request: JobRequest) -> float:
    """Return the age in seconds by which an owner refuses a job that it has not started.

    Only the owner can prove that a job that was sent to it was not started.
    """
    return request.timeout_ms / 1000 * (1 - OWNER_MARGIN_SHARE)
