"""Messages between entries, as JSON."""

from __future__ import annotations

from msgspec import Struct

from zincwell.dispatch._cells import Layout
from zincwell.dispatch._types import EntryInfo, Evacuations, JobRequest, Outcome, WorkerInfo


class Submit(Struct, frozen=True, kw_only=True, tag="submit", omit_defaults=True):
    """Entry to owner: run this job.

    :param age_s: seconds since the caller's request came.
    :param exposed: whether an earlier owner may have started tasks of it.
    :param done: tasks known to be done, as pairs of step and index.
    """

    job: JobRequest
    age_s: float = 0.0
    exposed: bool = False
    done: list[tuple[int, int]] = []


class Cancel(Struct, frozen=True, kw_only=True, tag="cancel"):
    """Entry to owner: nobody waits for this job any more."""

    job: str


class TasksDone(Struct, frozen=True, kw_only=True, tag="done"):
    """Owner to entry: these tasks need not run again if the owner is lost."""

    job: str
    tasks: list[tuple[int, int]]


class JobEnded(Struct, frozen=True, kw_only=True, tag="ended", omit_defaults=True):
    """Owner to entry: the answer to a job.

    :param fence: fencing token of the owner that says so.
    :param shared: other entries wait for the job as well and are told the same.
    """

    job: str
    outcome: Outcome
    fence: int
    shared: bool = False


class CellReport(Struct, frozen=True, kw_only=True, tag="cell", omit_defaults=True):
    """Owner to owners of other cells, and to entries elsewhere whose jobs it has: how it stands.

    :param cell: name of its cell.
    :param fence: fencing token that the owner gives its orders under.
    :param free_cpu: thousandths of a core that its workers have free.
    :param backlog_s: how long its workers would need for what waits.
    :param age_s: how old the report is; one that is passed on was made earlier.
    :param pending: by route, jobs of which no task has started.
    """

    cell: str
    fence: int
    free_cpu: int = 0
    backlog_s: float = 0.0
    age_s: float = 0.0
    pending: dict[str, int] = {}


class OwnerHeartbeat(Struct, frozen=True, kw_only=True, tag="beat", omit_defaults=True):
    """Owner to entry: heartbeat.

    :param fence: fencing token that the owner gives its orders under.
    :param successors: names of entries in the order in which they take over.
    :param leaving: the owner shuts down or is too slow; the first successor takes over now.
    :param domain: failure domain that a stand-in serves, empty for the owner of all.
    :param pending: by route, jobs of which no task has started.
    :param complete_s: for how long the owner has heard an entry of each failure domain.
    :param cell: name of its cell.
    :param reports: how this cell and others stand, in some of the heartbeats.
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


class WorkerListSnapshot(Struct, frozen=True, kw_only=True, tag="workers", omit_defaults=True):
    """Owner to owner or successor: the listed workers of your cell.

    :param place: place in the store's log up to which the list is known; of two lists the one with
        the higher place is the newer one, whichever comes first.
    :param age_s: how long ago the list was read.
    """

    cell: str
    place: int
    workers: list[WorkerInfo]
    age_s: float = 0.0


class LayoutNotice(Struct, frozen=True, kw_only=True, tag="layout"):
    """Entry to entry: a layout that is newer than the one that you follow, and its place."""

    layout: Layout
    offset: int


class Ping(Struct, frozen=True, kw_only=True, tag="hello"):
    """Entry to entry: are you there, and do you hear the owner?"""


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

    :param sequence: rises by one; a repeated delivery carries the same number.
    :param sent_at: the sender's clock, in seconds from a moment of its own.
    :param waited_s: how long its first message has waited for this try. What messages say of now,
        and the ages in them, are that much older.
    :param version: newest version of the configuration that the sender knows.
    :param fence: fencing token of the sender if it is owner, else 0.
    :param evacuations: what the sender knows of them; None if it never heard of any.
    """

    sender: EntryInfo
    sequence: int
    sent_at: float
    messages: list[Message]
    waited_s: float = 0.0
    version: int = 0
    fence: int = 0
    evacuations: Evacuations | None = None


class Receipt(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Acknowledgement of an envelope.

    :param receiver: the entry that answers; a new life of it knows nothing of earlier messages.
    :param fence: highest fencing token of an owner of its cell that the receiver has heard of.
    :param cell: name of that cell.
    :param layout_offset: where in the store the layout stands that the receiver follows.
    :param owner_silence_s: for how long the receiver has not heard the owner.
    :param leaving: the receiver takes nothing over: it shuts down, or was too slow as owner.
    :param version: newest version of the configuration that the receiver knows.
    :param late: the envelope came so late that jobs in it were not taken.
    :param evacuations: what the receiver knows of them; None if it never heard of any.
    """

    receiver: EntryInfo
    fence: int = 0
    cell: str = ""
    layout_offset: int = -1
    owner_silence_s: float = 0.0
    leaving: bool = False
    version: int = 0
    late: bool = False
    evacuations: Evacuations | None = None
