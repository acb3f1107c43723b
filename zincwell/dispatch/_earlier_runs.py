"""Runs that an earlier owner has started and that the present owner may not know."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._types import Limits
from zincwell.dispatch._worker_calls import max_lease_s
from zincwell.dispatch._worker_set import WorkerSet

log = logging.getLogger("zincwell.owner")

# Added to the time by which every lease that a previous owner requested must have expired. Until
# then a new owner starts no task that may still be running on a worker it can't reach.
LEASE_EXPIRY_MARGIN_S = 0.05


@dataclass(slots=True, frozen=True, kw_only=True)
class EntryLoss:
    """What a new owner knows of entries that ended shortly before its term.

    :param callers_may_return: whether an entry may have ended, so that its callers send their jobs
        again, which no entry has submitted to this owner.
    :param left_runs: whether, besides, the previous owner was heard shortly before, so that it may
        have runs of these jobs on any worker that it knew.
    """

    callers_may_return: bool = False
    left_runs: bool = False


@dataclass(slots=True, frozen=True, kw_only=True)
class RunVisibility:
    """Whether all runs were visible to the owner at a time of the event loop's clock."""

    at: float = -1.0
    complete: bool = False


class EarlierRuns:
    """Decides for how long the tasks of a job wait because an earlier owner may have started them.

    Starting a task that is active on a worker that does not answer would run it twice. This is
    ruled out once all workers have reported their runs, or once every lease that the previous owner
    can have requested has expired.

    :param reaches_all_domains: returns whether every failure domain has been reachable through an
        entry for a while.
    :param knows_all_workers: returns whether no worker is unknown on which the previous owner may
        have runs.
    :param stands_in: whether the owner has the workers of one failure domain only.
    :param previous_owner_active_until: event loop time until which an owner that is cut off from a
        stand-in may request leases.
    :param loss: what is known of the entries that ended before the term.
    """

    def __init__(
        self,
        *,
        workers: WorkerSet,
        limits: Limits,
        reaches_all_domains: Callable[[], bool],
        knows_all_workers: Callable[[], bool],
        stands_in: bool,
        previous_owner_active_until: float = -math.inf,
        loss: EntryLoss,
    ) -> None:
        self.stands_in = stands_in
        self._workers = workers
        self._limits = limits
        self._reaches_all_domains = reaches_all_domains
        self._knows_all_workers = knows_all_workers
        self._previous_owner_active_until = previous_owner_active_until
        self._visibility = RunVisibility()
        self._loop = asyncio.get_running_loop()
        self._begin_term(loss)

    def promote(self, *, loss: EntryLoss) -> None:
        """Begin the term of a stand-in that has become the owner of all workers."""
        self.stands_in = False
        self._begin_term(loss)

    def _begin_term(self, loss: EntryLoss) -> None:
        self._loss = loss
        self._leases_expire_at = (
            self._loop.time() + max_lease_s(self._limits) + LEASE_EXPIRY_MARGIN_S
        )

    def are_all_seen(self, now: float) -> bool:
        """Return whether every run in the cell has been reported by its worker.

        The list entries of workers in a partitioned failure domain expire, so while a domain is
        unreachable there may be workers that are not listed. Those of workers that reach the
        entries but not the store expire as well. The result is cached for one time of the event
        loop, since hundreds of jobs ask for it right after a take-over.
        """
        if self._visibility.at != now:
            complete = (
                not self.stands_in and self._reaches_all_domains() and self._knows_all_workers()
            )
            self._visibility = RunVisibility(at=now, complete=complete and self._workers.all_held())
        return self._visibility.complete

    def may_be_hidden(self, now: float) -> bool:
        """Return whether runs of jobs that no entry has may be active without being seen here.

        They are on workers that are unknown here or do not answer. A job may have such runs
        although its entry has never submitted it before: its caller may have sent it through
        another entry, which is gone. A stand-in takes over only workers of its own domain, from an
        owner that has ended the jobs of that domain.
        """
        if self.stands_in or now >= self._leases_expire_at:
            return False
        if self._loss.callers_may_return and not self._workers.all_held():
            return True
        return self._loss.left_runs and not self._knows_all_workers()

    def start_delay_s(self, job: Job, now: float) -> float:
        """Return the seconds until no run of an earlier owner can exist.

        Runs of a job that has moved from another cell may be on workers of any cell, so only the
        leases count for it.
        """
        if not job.may_run_unseen():
            is_waiting = job.may_be_resent and self.may_be_hidden(now)
            return self._leases_expire_at - now if is_waiting else 0.0
        if not job.moved and self.are_all_seen(now):
            return 0.0
        requested_at = max(job.accepted_at, self._previous_owner_active_until)
        expired_at = requested_at + max_lease_s(self._limits) + LEASE_EXPIRY_MARGIN_S
        return max(expired_at - now, 0.0)

    def note_excluded(self, job: Job) -> None:
        """Log once for a job what rules out that tasks of it run unseen."""
        is_affected = job.may_run_unseen() or job.may_be_resent
        if job.earlier_runs_excluded or not is_affected:
            return
        job.earlier_runs_excluded = True
        now = self._loop.time()
        seen = not job.moved and self.are_all_seen(now)
        log.info(
            "earlier_runs_excluded job=%s by=%s waited_ms=%d",
            job.request.id,
            "all_workers_held" if seen else "leases_expired",
            (now - job.accepted_at) * 1000,
        )
