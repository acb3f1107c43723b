"""The workers on which the previous owner of the cell may have runs, as it has reported them."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

import msgspec

from zincwell.dispatch._messages import WorkerListSnapshot
from zincwell.dispatch._types import WorkerInfo
from zincwell.dispatch.decisions import knows_every_worker

log = logging.getLogger("zincwell.workers")

# Logged as the age of a report that was never received.
MAX_LOGGED_AGE_S = 3600.0


class PreviousWorkers:
    """Keeps the newest report of an owner, for the owner that follows it.

    Workers that have lost the path to the store are in no list that a new owner can read, and their
    runs go on. An owner reports all workers that it uses to its first successors. These pass the
    report on to a new owner that lacks it, for instance because its process has just started.
    Without it, runs of the term before may be active on unknown workers until the last leases of
    that term have expired.

    :param entry_expiry_s: time without a report of a worker after which its list entry is dropped.
    :param lease_s: time after the end of a term in which leases of that term may be in force.
    :param clock: monotonic clock that includes the time during which the VM was suspended.
    """

    def __init__(
        self, *, entry_expiry_s: float, lease_s: float, clock: Callable[[], float]
    ) -> None:
        self._entry_expiry_s = entry_expiry_s
        self._lease_s = lease_s
        self._clock = clock
        self._report: WorkerListSnapshot | None = None
        # When the list was read that the report is based on.
        self._reported_at = -math.inf
        # Of the present or last term as owner: the owner before, the begin, and the receipt of the
        # first worker list that was requested in the term.
        self._previous_fence = 0
        self._elected_at = -math.inf
        self._listed_at = math.inf
        self._forwarded_to = 0

    def note_report(self, report: WorkerListSnapshot, *, delay_s: float) -> None:
        """Keep the report of an owner, unless that of a later one is known.

        :param delay_s: greatest possible age of the message in seconds.
        """
        reported_at = self._clock() - report.age_s - delay_s
        if not report.fence or (report.fence, reported_at) < (self._fence(), self._reported_at):
            return
        self._report, self._reported_at = report, reported_at

    def workers(self) -> list[WorkerInfo]:
        """Return the workers that the newest report names."""
        return [*self._report.workers, *self._report.unlisted] if self._report is not None else []

    def take_report_for(
        self, owner_fence: int, *, previous_fence: int
    ) -> WorkerListSnapshot | None:
        """Return the report that a new owner lacks, once for each owner; None if it is not known.

        :param previous_fence: fencing token of the owner whose report it lacks.
        """
        if self._report is None or self._fence() != previous_fence:
            return None
        if self._forwarded_to >= owner_fence:
            return None
        self._forwarded_to = owner_fence
        return self.current_report()

    def current_report(self) -> WorkerListSnapshot | None:
        """Return the newest report with its present age."""
        if self._report is None:
            return None
        age_s = round(self._clock() - self._reported_at, 3)
        return msgspec.structs.replace(self._report, age_s=age_s)

    def begin_term(self, *, previous_fence: int) -> None:
        """Begin a term as owner of the cell.

        :param previous_fence: fencing token of the previous owner, 0 if there was none.
        """
        self._previous_fence = previous_fence
        self._elected_at = self._clock()
        self._listed_at = math.inf
        log.info(
            "worker_report previous_fence=%d reported=%s complete=%s age_ms=%d",
            previous_fence,
            self._has_report(),
            self._report is not None and self._report.complete,
            min(self._elected_at - self._reported_at, MAX_LOGGED_AGE_S) * 1000,
        )

    def missing_fence(self) -> int:
        """Return the fencing token of the previous owner if its report is missing, else 0."""
        if self._has_report() or self._have_leases_expired():
            return 0
        return self._previous_fence

    def are_all_known(self, *, list_read_at: float) -> bool:
        """Return whether no worker is unknown on which the previous owner may have runs.

        :param list_read_at: when the newest worker list was requested, on this entry's clock.
        """
        if self._listed_at == math.inf and list_read_at >= self._elected_at:
            self._listed_at = self._clock()
        if not self._previous_fence or self._have_leases_expired():
            return True
        if not self._has_report() or not self._report.complete:
            return False
        return knows_every_worker(
            reported_at=self._reported_at,
            listed_at=min(self._listed_at, self._clock()),
            entry_expiry_s=self._entry_expiry_s,
        )

    def _fence(self) -> int:
        return self._report.fence if self._report is not None else 0

    def _has_report(self) -> bool:
        return self._fence() == self._previous_fence

    def _have_leases_expired(self) -> bool:
        return self._clock() - self._elected_at > self._lease_s
