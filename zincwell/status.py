"""An entry's state as operators see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from zincwell.entry import Entry


class WorkerStatus(Struct, frozen=True, kw_only=True):
    """A worker as this entry sees it."""

    worker: str
    pool: str
    usable: bool
    slots: int
    placed: int
    failure_rate: float
    slowness: float
    ejected: bool


class Status(Struct, frozen=True, kw_only=True):
    """An entry's state, for operators.

    :param may_grant: whether it now grants keys as a home.
    :param config_version: version of the configuration in force here; -1 for none.
    :param keys: keys that it remembers as a home.
    :param jobs: jobs that it owns or keeps answers of.
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
    """Return what this entry is and knows, for operators."""
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
        jobs=len(entry.book.jobs_by_key),
        queued_by_pool=entry.load().queued_by_pool,
        workers=workers,
    )
