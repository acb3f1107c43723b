"""Whether a new owner knows every worker on which an earlier owner may have runs.

Load condition: some workers lose the path to the store, but not to the entries. Their list entries
expire although the workers run on, and the owner goes on using them. A successor that has started
since then has never seen them listed, and would start their tasks a second time.
"""

from __future__ import annotations

# Status report intervals without a report after which the store drops a worker's list entry.
REPORTS_MISSED_AT_EXPIRY = 3
# An owner that no entry has heard for this long has ended its jobs: it ends those of entries that
# it has not heard for 3 s, and a stop takes up to 0.2 s.
SILENT_OWNER_HAS_ENDED_JOBS_S = 5.0


def knows_every_worker(*, reported_at: float, listed_at: float, entry_expiry_s: float) -> bool:
    """Return whether a report of an earlier owner and a list name all workers that it has used.

    It uses workers that were listed once. One that the report does not name was listed after the
    report. Its list entry lasts for the expiry time at least, so the list of the new owner still
    has it unless more time than that has passed between the two.

    :param reported_at: when the earlier owner had read the list that its report is based on.
    :param listed_at: when the new owner received a list that it requested in its own term.
    :param entry_expiry_s: time without a report of a worker after which its entry is dropped.
    """
    return listed_at - reported_at < entry_expiry_s


def may_have_left_runs(*, silence_s: float) -> bool:
    """Return whether runs of the previous owner may be active when its successor is elected.

    :param silence_s: time since any entry has heard the previous owner.
    """
    return silence_s < SILENT_OWNER_HAS_ENDED_JOBS_S
