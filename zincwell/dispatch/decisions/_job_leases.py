"""When an owner must end a job because another cell might run it as well.

Load condition: several cells, of which each sees only its own runs, and callers that lose their
connections and send their jobs again to an entry of any cell. They come back no earlier than 1.3 s
after the loss. By then each owner has announced its jobs to the other owners, which don't start
them. A job that could not be announced in time must not run any longer: in a partition, the caller
may have come from the other side. One that came late in its caller's time starts only once each
other owner has acknowledged its announcement without naming the job as its own.

A cell that was out of contact before the job was requested is not waited for, or a failure domain
that is cut off could serve no long job.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Reports name the jobs that are at least this old. Most jobs have ended by then.
ANNOUNCE_AFTER_S = 0.2
# A job must be announced by this age. Callers come back after 1.3 s, a stop takes up to 0.2 s.
ANNOUNCE_BY_S = 1.0
# Least time for the announcement of a job that came to its owner late. Reports are sent every
# 0.2 s, and one of them may have to be sent again.
ANNOUNCE_WITHIN_S = 0.7
# A cell whose newest acknowledged report was made this long before the request counts as out of
# contact.
OUT_OF_CONTACT_S = 0.3
# How long an owner may go on with a job after the last acknowledged announcement.
ANNOUNCEMENT_LEASE_S = 10.0
# How long other owners rely on an announcement: the lease of the job, those of its runs (1 s by a
# clock that may be 2% slow, and 0.3 s for workers that resume after a pause), and a stop.
ANNOUNCEMENT_KEPT_S = ANNOUNCEMENT_LEASE_S + 2.0


@dataclass(frozen=True, kw_only=True)
class JobTimes:
    """When a job came, by the clock of its owner, in seconds.

    :param sent_since: earliest time at which its caller can have sent it.
    :param accepted_at: when the owner got it.
    """

    sent_since: float
    accepted_at: float

    def must_be_announced_first(self) -> bool:
        """Return whether the job may start only once it was announced.

        It came so late that its caller may be back in another cell before the announcement.
        """
        return self.accepted_at > self.sent_since + ANNOUNCE_BY_S - ANNOUNCE_WITHIN_S


@dataclass(frozen=True, kw_only=True)
class CellContact:
    """What the owner of another cell was told, by the clock of the owner that told it, in seconds.

    :param opened_at: when this owner began to report to the cell.
    :param acknowledged_at: when the newest report that an owner of the cell has acknowledged was
        made.
    """

    opened_at: float = -math.inf
    acknowledged_at: float = -math.inf

    def was_lost_before(self, job: JobTimes) -> bool:
        """Return whether the cell was out of contact before a job was requested.

        A new owner may have jobs that are older than its term. It has contact until the first of
        its reports should have been acknowledged.
        """
        opened_at = self.opened_at if job.accepted_at >= self.opened_at else -math.inf
        return max(self.acknowledged_at, opened_at) < job.sent_since - OUT_OF_CONTACT_S

    def knows(self, job: JobTimes) -> bool:
        """Return whether a report that was acknowledged named a job."""
        return self.acknowledged_at >= max(job.sent_since + ANNOUNCE_AFTER_S, job.accepted_at)


def may_start_job(job: JobTimes, cell: CellContact, *, now: float) -> bool:
    """Return whether a task of a job may start, with regard to another cell.

    :param now: by the same clock.
    """
    if cell.was_lost_before(job):
        return True
    if cell.knows(job):
        return now - cell.acknowledged_at <= ANNOUNCEMENT_LEASE_S
    return not job.must_be_announced_first() and now <= job.sent_since + ANNOUNCE_BY_S


def must_end_job(job: JobTimes, cell: CellContact, *, now: float) -> bool:
    """Return whether a job must end because the owner of another cell may not know of it.

    :param now: by the same clock.
    """
    if cell.was_lost_before(job):
        return False
    if cell.knows(job):
        return now - cell.acknowledged_at > ANNOUNCEMENT_LEASE_S
    return now > max(job.sent_since + ANNOUNCE_BY_S, job.accepted_at + ANNOUNCE_WITHIN_S)
