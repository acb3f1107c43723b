"""The configuration document, shared by all entries of the system."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from zincwell.checking import Fault, find_faults
from zincwell.exceptions import DocumentError
from zincwell.models import Name

FORMAT = 1
Share = Annotated[float, Meta(ge=0, le=1)]


class Ordering(enum.StrEnum):
    """The order in which queued tasks are started."""

    FIFO = "fifo"
    FAIR_DEADLINE = "fair_deadline"
    FAIR_LEAST_WORK = "fair_least_work"


class Admission(enum.StrEnum):
    """How admission control limits the queueing delay.

    ``bounded`` accepts all tasks up to a maximum queue length; ``feasible`` accepts tasks that
    are expected to start before their limit.
    """

    BOUNDED = "bounded"
    FEASIBLE = "feasible"


class Service(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What callers name in a job.

    :param pool: the pool of workers that runs it.
    :param run_ms: run time assumed until one has been measured, in milliseconds.
    """

    pool: Name
    run_ms: Annotated[int, Meta(ge=1)] = 250


class Pool(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Workers that serve the same services.

    :param ordering: the order in which queued tasks are started.
    :param admission: how queueing delay is limited at arrival.
    :param queue_target_ms: queueing delay that admission holds, in milliseconds.
    :param eject_share: largest share of the pool that may be ejected as unhealthy.
    :param guards: whether unhealthy workers are ejected at all.
    :param spill: whether free workers of other domains may take queued tasks: shorter waits in a
        burst at one domain, for a few wasted messages.
    """

    ordering: Ordering = Ordering.FAIR_LEAST_WORK
    admission: Admission = Admission.FEASIBLE
    queue_target_ms: Annotated[int, Meta(ge=1)] = 2_000
    eject_share: Share = 0.34
    guards: bool = True
    spill: bool = False


class Tenant(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A customer and its share.

    :param weight: share against other tenants when not all can be served.
    :param max_running: tasks running at once over all entries; 0 for no quota.
    :param max_queued: tasks queued at once over all entries; 0 for no quota.
    """

    weight: Annotated[float, Meta(gt=0, le=1_000)] = 1.0
    max_running: Annotated[int, Meta(ge=0)] = 0
    max_queued: Annotated[int, Meta(ge=0)] = 0


class Urgency(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A class of urgency.

    :param weight: share against other classes of the same tenant.
    :param max_queue_ms: longest queueing delay accepted at arrival; 0 for the pool's target.
    :param max_run_ms: a task that runs longer is stopped and fails its job; 0 for no limit.
    """

    weight: Annotated[float, Meta(gt=0, le=1_000)] = 1.0
    max_queue_ms: Annotated[int, Meta(ge=0)] = 0
    max_run_ms: Annotated[int, Meta(ge=0)] = 0


class Retries(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on retrying idempotent requests.

    :param budget: retries as a share of recent requests of the same pool.
    :param max_attempts: starts of one idempotent request at the most.
    """

    budget: Share = 0.1
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 3


class Document(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole configuration, with the version of its format.

    :param format: version of this format.
    :param domains: failure domains that keys without a prefix are spread over.
    :param open_tenants: whether tenants that are not listed are served too, at weight 1.
    """

    format: Annotated[int, Meta(ge=1, le=FORMAT)] = FORMAT
    domains: Annotated[list[Name], Meta(min_length=1)]
    services: dict[Name, Service]
    pools: dict[Name, Pool]
    tenants: dict[Name, Tenant] = {}
    urgencies: dict[Name, Urgency] = {}
    retries: Retries = Retries()
    open_tenants: bool = True


def parse_document(value: object) -> Document:
    """Validate a document given as plain JSON or TOML values.

    :raises DocumentError: with each invalid field.
    """
    try:
        document = msgspec.convert(value, Document)
    except msgspec.ValidationError as error:
        faults = list(find_document_faults(value))
        raise DocumentError("; ".join(map(str, faults)) or str(error)) from error
    faults = list(_find_conflicts(value))
    if faults:
        raise DocumentError("; ".join(map(str, faults)))
    return document


def find_document_faults(value: object) -> Iterator[Fault]:
    """Yield all faults of a document, with the path of each field."""
    yield from find_faults(value, Document)
    if isinstance(value, dict):
        yield from _find_conflicts(value)


def _find_conflicts(value: dict[str, Any]) -> Iterator[Fault]:
    """Yield faults between fields that are valid on their own."""
    pools, services = value.get("pools"), value.get("services")
    if isinstance(pools, dict) and isinstance(services, dict):
        yield from _find_unknown_pools(pools, services)
    domains = value.get("domains")
    if isinstance(domains, list) and len({str(name) for name in domains}) != len(domains):
        yield Fault(path=("domains",), message="a domain stands twice")


def _find_unknown_pools(pools: dict, services: dict) -> Iterator[Fault]:
    for name, service in services.items():
        pool = service.get("pool") if isinstance(service, dict) else None
        if isinstance(pool, str) and pool and pool not in pools:
            yield Fault(path=("services", name, "pool"), message=f"unknown pool {pool!r}")
