"""The state of an entry, as shown to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from zincwell.entry import Entry


class WorkerStatus(Struct, frozen=True, kw_only=True):
    """The state of a worker, as seen by this entry."""

    worker: str
    pool: str
    usable: bool
    slots: int
    placed: int
    failure_rate: float
    slowness: float
    ejected: bool


class Status(Struct, frozen=True, kw_only=True):
    """The state of an entry, for operators.

    :param may_grant: whether it may currently grant keys as a home.
    :param config_version: version of the configuration in force; -1 for none.
    :param keys: number of keys that it remembers as a home.
    :param jobs: number of jobs that it owns or whose answers it keeps.
    """

    vm: str
    domain: str
    incarnation: str
    ready: bool
    draining: bool
    may_grant: bool
    log_reached: bool
    config_version: int
    seats: list[str]
    keys: int
    jobs: int
    queued_by_pool: dict[str, int]
    workers: list[WorkerStatus]


def describe(entry: Entry) -> Status:
    """Return the state of an entry, for operators."""
    workers = [
        WorkerStatus(
            worker=worker.name,
            pool=pool.name,
            usable=worker.is_usable(),
            slots=worker.slots,
            placed=len(worker.placed_by_id),
            failure_rate=round(worker.health.failure_rate, 3),
            slowness=round(worker.health.slowness, 2),
            ejected=worker.health.is_ejected(now=entry.clock.monotonic()),
        )
        for pool in entry.dispatcher.pool_by_name.values()
        for worker in pool.worker_by_name.values()
    ]
    return Status(
        vm=entry.settings.vm,
        domain=entry.settings.domain,
        incarnation=entry.incarnation,
        ready=entry.is_ready(),
        draining=entry.is_draining,
        may_grant=entry.keeper.may_grant(),
        log_reached=entry.keeper.has_log(),
        config_version=entry.configuration.version,
        seats=sorted(entry.membership.seats_by_vm),
        keys=entry.home.size,
        jobs=len(entry.owned_jobs.jobs_by_key),
        queued_by_pool=entry.load().queued_by_pool,
        workers=workers,
    )
