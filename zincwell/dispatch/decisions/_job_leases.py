"""When an owner must end a job because another cell might run it as well.

Load condition: several cells, of which each sees only its own runs, and callers that lose their
connections and send their jobs again to an entry of any cell. They come back no earlier than 1.3 s
after the loss. By then each owner has announced its jobs to the other owners, which don't start
them. A job that could not be announced in time must not run any longer: in a partition, the caller
may have come from the other side.

A cell that was out of contact before the job was requested is not waited for, or a failure domain
that is cut off could serve no long job.
"""

from __future__ import annotations

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


def is_out_of_contact(requested_at: float, *, acknowledged_at: float) -> bool:
    """Return whether a cell was out of contact before a job was requested.

    :param requested_at: when the caller sent the job, in seconds.
    :param acknowledged_at: when the newest report that an owner of the cell has acknowledged was
        made.
    """
    return acknowledged_at < requested_at - OUT_OF_CONTACT_S


def must_end_job(
    *, requested_at: float, accepted_at: float, acknowledged_at: float, now: float
) -> bool:
    """Return whether a job must end because the owner of another cell may not know of it.

    All times are in seconds, on the clock of the job's owner.

    :param requested_at: when the caller sent the job.
    :param accepted_at: when its owner got it.
    :param acknowledged_at: when the newest report that an owner of the other cell has acknowledged
        was made.
    """
    if is_out_of_contact(requested_at, acknowledged_at=acknowledged_at):
        return False
    if acknowledged_at >= max(requested_at + ANNOUNCE_AFTER_S, accepted_at):
        return now - acknowledged_at > ANNOUNCEMENT_LEASE_S
    return now > max(requested_at + ANNOUNCE_BY_S, accepted_at + ANNOUNCE_WITHIN_S)
