"""What entries, workers and the store say to each other, in zincwell's words."""

from __future__ import annotations

import enum
from typing import NamedTuple

from msgspec import Struct


class Limits(Struct, frozen=True, kw_only=True):
    """Time limits that the platform sets, in seconds.

    :param max_lease_s: longest lease that a worker grants.
    :param thaw_slack_s: how long a worker that was paused may run on past its lease.
    :param drain_grace_s: time between SIGTERM and SIGKILL.
    :param leave_notice_s: how long after it has said that it leaves a worker may get new work.
    """

    max_lease_s: float = 1.0
    thaw_slack_s: float = 0.3
    drain_grace_s: float = 6.0
    leave_notice_s: float = 2.0


class TaskId(NamedTuple):
    """Names one task of one job."""

    job: str
    step: int
    index: int

    def __str__(self) -> str:
        """Return the task as logs show it."""
        return f"{self.job}.{self.step}.{self.index}"


class Step(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of the same size that may run side by side.

    :param cpu: thousandths of a core for each task.
    :param after: numbers of earlier steps that must be done first.
    :param label: label that the worker must have, or empty.
    :param rack: rack where the data is, or empty.
    :param max_per_worker: most tasks of the step on one worker; 0 for any number.
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
    """A caller's job, with what the route it came by says of it.

    :param spec: what to run, opaque to the dispatcher.
    :param priority: 0 is served first.
    :param attempts: failed runs of one task after which the job has failed.
    :param stretch: how many times its own run time a job may take within its objective.
    :param objective_ms: time that the objective allows on top.
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

    def critical_path_ms(self) -> int:
        """Return the estimated run time of the longest chain of steps."""
        ends: list[int] = []
        for step in self.steps:
            start = max((ends[number] for number in step.after), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends)

    def work(self) -> float:
        """Return the estimated core-seconds of all tasks, in thousandths of a core."""
        return sum(step.count * step.cpu * step.estimate_ms / 1000 for step in self.steps)

    def slo_s(self) -> float:
        """Return the time within which an answer counts as in time, by the estimates."""
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

    :param retry_after_s: when coming back is worth a try; with ``refused`` and ``unknown``.
    """

    verdict: Verdict
    reason: str = ""
    retry_after_s: float = 0.0


class Route(Struct, frozen=True, kw_only=True):
    """Which jobs go to which service, and how urgent they are.

    :param ticketed: a start is obeyed only with a ticket that another service gives.
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
    """The operators' document in force.

    :param guarded: by service, whether its workers refuse what exceeds their capacity.
    """

    version: int
    routes: list[Route]
    guarded: dict[str, bool] = {}
    max_body_bytes: int = 1 << 20

    def has_service(self, service: str) -> bool:
        """Return whether there is such a service."""
        return service in self.guarded or any(route.service == service for route in self.routes)

    def find_route(self, *, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path, or None."""
        matching = [r for r in self.routes if r.host == host and path.startswith(r.prefix)]
        return max(matching, key=lambda route: len(route.prefix), default=None)


class Evacuation(Struct, frozen=True, kw_only=True):
    """An operator's request that the workers of a failure domain get nothing more."""

    domain: str


class Evacuations(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """All evacuations in force at a moment.

    :param place: place in the store's log up to which they are known; of two accounts the one with
        the higher place holds. -1 while nothing is known.
    :param domains: the evacuated failure domains, sorted.
    """

    place: int = -1
    domains: list[str] = []


class WorkerInfo(Struct, frozen=True, kw_only=True):
    """A worker as the platform's list shows it.

    :param id: names one life of the worker's process.
    :param cpu: thousandths of a core.
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


class EntryInfo(Struct, frozen=True, kw_only=True):
    """One life of an entry.

    :param incarnation: differs between lives of the same VM.
    :param registered: place of its registration in the store's log, -1 while it is not known. A
        later life has a higher one, whatever the time of day on its VM has done.
    :param cores: processor that it may use.
    """

    name: str
    address: str
    zone: str
    incarnation: str
    registered: int = -1
    cores: float = 1.0

    def owner_preference_key(self) -> tuple[float, float, str]:
        """Return the sort key among entries that may own the pool; the first is the best.

        An owner of 176 workers uses a whole core, so strong VMs come first. Among equals the one
        that started last does: when all VMs are restarted in turn, it stays longest.
        """
        return (-self.cores, -self.registered, self.name)

    def is_newer_incarnation(self, other: EntryInfo) -> bool:
        """Return whether this is surely a later life of the same VM than another."""
        known = self.registered >= 0 and other.registered >= 0
        return known and self.registered > other.registered


class OwnerClaim(Struct, frozen=True, kw_only=True):
    """Record in the store by which an entry becomes owner of the pool.

    :param members: entries known to the claimant; each may stand in for the owner in its failure
        domain, with the fencing token reserved by its place in this list.
    """

    owner: EntryInfo
    members: list[EntryInfo]
