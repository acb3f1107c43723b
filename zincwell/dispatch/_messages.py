"""Messages between entries, encoded as JSON."""

from __future__ import annotations

from msgspec import Struct

from zincwell.dispatch._cells import Layout
from zincwell.dispatch._types import EntryInfo, Evacuations, JobRequest, Outcome, WorkerInfo


class Submit(Struct, frozen=True, kw_only=True, tag="submit", omit_defaults=True):
    """Entry to owner: run this job.

    :param age_s: time since the caller's request was read, in seconds.
    :param unsure_s: how long the request may have waited before that, since its entry stood still,
        in seconds.
    :param exposed: whether an earlier submission may have started tasks of it.
    :param attempt: number of the callers' attempt at this entry, which answers repeat; 0 from an
        earlier build.
    :param done: tasks known to be done, as pairs of step and index.
    :param cell: name of the cell whose owner is to run it; None from a build before cells were
        named here.
    :param refused_by: names of the cells whose owners have refused the job and have ended it.
    :param moved: whether tasks of it may run on workers of any cell, because the layout has
        dissolved the cell that had it, or an owner has announced runs of it.
    """

    job: JobRequest
    age_s: float = 0.0
    unsure_s: float = 0.0
    exposed: bool = False
    attempt: int = 0
    done: list[tuple[int, int]] = []
    cell: str | None = None
    moved: bool = False
    refused_by: list[str] = []


class Cancel(Struct, frozen=True, kw_only=True, tag="cancel", omit_defaults=True):
    """Entry to owner: cancel this job, because no caller of this entry waits for it.

    Sent at the cancellation, and again to each later owner of the cell.

    :param age_s: time from the cancellation to the queueing of the envelope's first message, in
        seconds; negative if the cancellation came after that. See `Envelope.waited_s`.
    :param by_request: whether a caller asked for it, which ends the job for all entries.
    """

    job: str
    age_s: float = 0.0
    by_request: bool = False


class TasksDone(Struct, frozen=True, kw_only=True, tag="done", omit_defaults=True):
    """Owner to entry: these tasks are done and must not run again under a later owner.

    :param fence: fencing token of the owner that reports it, 0 if it is of an earlier build.
    """

    job: str
    tasks: list[tuple[int, int]]
    fence: int = 0


class JobEnded(Struct, frozen=True, kw_only=True, tag="ended", omit_defaults=True):
    """Owner to entry: the outcome of a job.

    :param fence: fencing token of the owner that reports it.
    :param attempt: the attempt that it answers, see `Submit.attempt`.
    :param shared: whether other entries wait for the job as well and get the same outcome.
    :param running_in: name of another cell that has the job; this owner has not accepted it.
        Entries of earlier builds take the outcome for final.
    """

    job: str
    outcome: Outcome
    fence: int
    attempt: int = 0
    shared: bool = False
    running_in: str = ""


class CellReport(Struct, frozen=True, kw_only=True, tag="cell", omit_defaults=True):
    """Owner to other owners, and to entries of other cells with jobs here: state of its cell.

    :param cell: name of the cell.
    :param fence: fencing token of the cell's owner.
    :param free_cpu: free CPU of its workers, in thousandths of a core.
    :param backlog_s: time that its workers need for the queued jobs, in seconds.
    :param age_s: age of the report in seconds, above zero if it was forwarded.
    :param pending: number of jobs without a started task, by route.
    :param jobs: ids of the jobs that the cell has had for a while or may still run; None in reports
        to entries that are no owners.
    :param unstarted: those of them that certainly have no run in the cell.
    """

    cell: str
    fence: int
    free_cpu: int = 0
    backlog_s: float = 0.0
    age_s: float = 0.0
    pending: dict[str, int] = {}
    jobs: list[str] | None = None
    unstarted: list[str] = []


class OwnerHeartbeat(Struct, frozen=True, kw_only=True, tag="beat", omit_defaults=True):
    """Owner to entry: heartbeat.

    :param fence: fencing token of the owner.
    :param successors: names of entries in order of succession.
    :param leaving: whether the owner shuts down or is too slow, so that the first successor takes
        over now.
    :param domain: failure domain that a stand-in owner serves, empty for the owner of the cell.
    :param pending: number of jobs without a started task, by route.
    :param complete_s: time in seconds for which the owner has heard entries of all failure
        domains.
    :param cell: name of the cell.
    :param reports: reports of this cell and others; only some heartbeats have them.
    :param missing_fence: fencing token of the previous owner if the list of its workers is missing
        here, else 0. Entries that have it send it.
    """

    fence: int
    owner: EntryInfo
    successors: list[str] = []
    domain: str = ""
    leaving: bool = False
    pending: dict[str, int] = {}
    complete_s: float = 0.0
    cell: str = ""
    reports: list[CellReport] = []
    missing_fence: int = 0


class WorkerListSnapshot(Struct, frozen=True, kw_only=True, tag="workers", omit_defaults=True):
    """Owner to owner or successor: the listed workers of the receiver's cell.

    :param cell: name of the receiver's cell.
    :param place: log offset up to which the list is known. Of two lists the one with the higher
        offset is newer, in whichever order they arrive.
    :param age_s: time since the list was read, in seconds.
    :param fence: fencing token of the owner that reports all its workers to a successor by this
        list and the next two fields; 0 in a list for another cell, and from an earlier build.
    :param unlisted: workers that have left the list, on which that owner may have runs.
    :param complete: whether the owner knows all workers that the owners before it have used, or
        their leases have expired.
    """

    cell: str
    place: int
    workers: list[WorkerInfo]
    age_s: float = 0.0
    fence: int = 0
    unlisted: list[WorkerInfo] = []
    complete: bool = False


class LayoutNotice(Struct, frozen=True, kw_only=True, tag="layout"):
    """Entry to entry: a layout newer than the receiver's, and its log offset."""

    layout: Layout
    offset: int


class Ping(Struct, frozen=True, kw_only=True, tag="hello"):
    """Entry to entry: request for an acknowledgement, which tells when the owner was last heard."""


Message = (
    Submit
    | Cancel
    | TasksDone
    | JobEnded
    | CellReport
    | WorkerListSnapshot
    | LayoutNotice
    | OwnerHeartbeat
    | Ping
)


class Envelope(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One delivery between two entries.

    :param sequence: increasing sequence number; a retransmission carries the same number.
    :param sent_at: time of sending by the sender's monotonic clock, in seconds.
    :param receiver: incarnation that it is meant for; empty from an earlier build.
    :param receiver_clock_s: a time that the receiver's clock had reached when this was sent, None
        if the sender does not know any. The message was on its way for no longer than since then.
    :param waited_s: time from queueing of the first message to this attempt, in seconds. The
        content of messages, including the ages in them, is older by this much.
    :param version: newest configuration version known to the sender.
    :param fence: fencing token of the sender if it is an owner, else 0.
    :param evacuations: evacuations known to the sender, None if it never heard of any.
    :param layout_offset: log offset of the layout that the sender follows.
    """

    sender: EntryInfo
    sequence: int
    sent_at: float
    messages: list[Message]
    receiver: str = ""
    receiver_clock_s: float | None = None
    waited_s: float = 0.0
    version: int = 0
    fence: int = 0
    evacuations: Evacuations | None = None
    layout_offset: int = -1


class Receipt(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Acknowledgement of an envelope.

    :param receiver: the entry that answers; a new incarnation of it has not seen earlier messages.
    :param fence: highest fencing token of an owner of its cell that is known to the receiver.
    :param cell: name of that cell.
    :param layout_offset: log offset of the layout that the receiver follows.
    :param owner_silence_s: time since the receiver last heard the owner, in seconds.
    :param leaving: whether the receiver must not become owner, because it shuts down or was too
        slow as owner.
    :param version: newest configuration version known to the receiver.
    :param clock_s: time of the receiver's monotonic clock, in seconds; None from an earlier build.
    :param late: whether the jobs in the envelope were dropped, since they were on their way for too
        long, or may have been.
    :param evacuations: evacuations known to the receiver, None if it never heard of any.
    :param jobs_here: jobs announced in the envelope that the receiver, an owner, has itself.
    :param cancelled: cancellations that the receiver can't deliver to the sender, because only the
        other direction of the link works. Their ages are those at the time of the receipt.
    """

    receiver: EntryInfo
    fence: int = 0
    cell: str = ""
    layout_offset: int = -1
    owner_silence_s: float = 0.0
    leaving: bool = False
    version: int = 0
    clock_s: float | None = None
    late: bool = False
    evacuations: Evacuations | None = None
    jobs_here: list[str] = []
    cancelled: list[Cancel] = []
