"""Data types of the dispatcher, independent of the formats of the platform."""

from __future__ import annotations

import enum
from typing import NamedTuple

from msgspec import Struct


class Limits(Struct, frozen=True, kw_only=True):
    """Time limits that the platform sets, in seconds.

    :param max_lease_s: longest lease that a worker grants.
    :param thaw_slack_s: how long a worker may go on past its lease when it resumes after a pause.
    :param stop_timeout_s: how long a run may be active after its stop order was answered.
    :param drain_grace_s: time between SIGTERM and SIGKILL.
    :param leave_notice_s: how long a worker may still receive tasks after it has announced its
        shutdown.
    :param report_interval_s: interval at which a worker renews its entry in the worker list.
    """

    max_lease_s: float = 1.0
    thaw_slack_s: float = 0.3
    stop_timeout_s: float = 0.05
    drain_grace_s: float = 6.0
    leave_notice_s: float = 2.0
    report_interval_s: float = 1.5


class TaskId(NamedTuple):
    """Identifies one task of a job."""

    job: str
    step: int
    index: int

    def __str__(self) -> str:
        """Return the task as formatted in log lines."""
        return f"{self.job}.{self.step}.{self.index}"


class Step(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of equal size that may run in parallel.

    :param cpu: thousandths of a core for each task.
    :param after: indexes of the steps that must be done first; only earlier ones.
    :param label: label that the worker must have, or empty.
    :param rack: rack that stores the input data, or empty.
    :param max_per_worker: maximum number of tasks of the step on one worker; 0 for no limit.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0


class JobRequest(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A caller's job, with the settings of its route.

    :param spec: what to run, opaque to the dispatcher.
    :param priority: 0 is served first.
    :param attempts: number of failed runs of one task after which the job fails.
    :param stretch: factor on the estimated run time in the response time objective.
    :param objective_ms: constant part of the response time objective.
    :param timeout_ms: how long the caller waits for the answer; 0 if it did not say.
    """

    id: str
    spec: str
    steps: list[Step]
    route: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 0

    def critical_path_ms(self) -> int:
        """Return the estimated run time of the longest chain of dependent steps."""
        ends: list[int] = []
        for step in self.steps:
            start = max((ends[number] for number in step.after), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends)

    def work(self) -> float:
        """Return the estimated work of all tasks, in thousandths of a core-second."""
        return sum(step.count * step.cpu * step.estimate_ms / 1000 for step in self.steps)

    def slo_s(self) -> float:
        """Return the response time objective in seconds, based on the estimates."""
        return (self.stretch * self.critical_path_ms() + self.objective_ms) / 1000


class Verdict(enum.StrEnum):
    """How a job ended for its caller.

    ``refused``: no task was started and none will be. ``unknown``: tasks may have run.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The answer to a job.

    :param retry_after_s: suggested delay of a retry; with ``refused`` and ``unknown``.
    """

    verdict: Verdict
    reason: str = ""
    retry_after_s: float = 0.0


class Route(Struct, frozen=True, kw_only=True):
    """Maps jobs to a service, and defines how urgent they are.

    :param ticketed: whether the worker accepts a start only with a ticket that another service
        issues.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    ticketed: bool = False


class Configuration(Struct, frozen=True, kw_only=True):
    """The operators' configuration document in force.

    :param guarded: by service, whether its workers refuse tasks beyond their capacity.
    """

    version: int
    routes: list[Route]
    guarded: dict[str, bool] = {}
    max_body_bytes: int = 1 << 20

    def has_service(self, service: str) -> bool:
        """Return whether the configuration names a service."""
        return service in self.guarded or any(route.service == service for route in self.routes)

    def find_route(self, *, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix, or None."""
        matching = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(matching, key=lambda route: len(route.prefix), default=None)


class Evacuation(Struct, frozen=True, kw_only=True):
    """An operator's request to start no more tasks on the workers of a failure domain."""

    domain: str


class Evacuations(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """All evacuations in force as of one offset of the store's log.

    :param place: offset in the store's log up to which they are known; a state with a higher offset
        replaces one with a lower. -1 while nothing is known.
    :param domains: the evacuated failure domains, sorted.
    """

    place: int = -1
    domains: list[str] = []


class WorkerInfo(Struct, frozen=True, kw_only=True):
    """A worker as listed by the platform.

    :param id: identifies one incarnation of the worker process, together with ``born_ms``.
    :param cpu: thousandths of a core.
    :param kind: hardware or software type; workers of one kind run tasks at a similar speed.
    :param born_ms: Unix time in ms at which the process started. 0 on platforms that give each
        incarnation a new id.
    """

    id: str
    service: str
    address: str
    zone: str
    cpu: int
    memory_mb: int
    gpu: int = 0
    labels: list[str] = []
    draining: bool = False
    kind: str = ""
    born_ms: int = 0


class EntryInfo(Struct, frozen=True, kw_only=True):
    """One incarnation of an entry.

    :param incarnation: unique among the incarnations on the same VM.
    :param registered: offset of its registration in the store's log, -1 while it is not known. A
        newer incarnation has a higher one, also if the clock of its VM has been set back.
    :param cores: number of processor cores that it may use.
    """

    name: str
    address: str
    zone: str
    incarnation: str
    registered: int = -1
    cores: float = 1.0

    def owner_preference_key(self) -> tuple[float, float, str]:
        """Return the sort key of candidates for ownership; the smallest is preferred.

        An owner of 176 workers uses a whole core, so entries with more cores come first. Among
        equals, the entry that started last comes first: in a rolling restart of all VMs, it is the
        last to stop.
        """
        return (-self.cores, -self.registered, self.name)

    def is_newer_incarnation(self, other: EntryInfo) -> bool:
        """Return whether this incarnation is known to be newer than another of the same VM."""
        known = self.registered >= 0 and other.registered >= 0
        return known and self.registered > other.registered


class OwnerClaim(Struct, frozen=True, kw_only=True):
    """Record in the store by which an entry becomes the owner of a cell.

    :param members: entries that may become the stand-in for their failure domain. Their positions
        in the list determine the fencing tokens reserved for them.
    """

    owner: EntryInfo
    members: list[EntryInfo]
