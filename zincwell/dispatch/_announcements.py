"""Announcements of an owner's jobs to the owners of the other cells.

The jobs are named in the reports that owners exchange. See `decisions/_job_leases.py` for when a
job ends that could not be announced.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._messages import CellReport
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.decisions import (
    ANNOUNCE_BY_S,
    CellContact,
    may_start_job,
    must_end_job,
)

log = logging.getLogger("zincwell.cells")

# A job without a run that another cell has as well ends after this time, in seconds: the other one
# has handed it over by then, or runs it.
CONFLICT_TIMEOUT_S = 3.0


@dataclass(slots=True, kw_only=True)
class _CellView:
    """What the owner of another cell was told.

    :param owner: incarnation of the owner.
    :param contact: whether it has acknowledged reports of this owner. Those that an owner before it
        has acknowledged count.
    :param report: the report that was sent to it last.
    :param made_at: when that report was made.
    :param jobs_there: jobs in the last acknowledged report that the other cell has itself.
    """

    owner: str
    contact: CellContact
    report: CellReport | None = None
    made_at: float = -math.inf
    jobs_there: frozenset[str] = frozenset()

    def may_start(self, job: Job, now: float) -> bool:
        """Return whether a task of a job may start, with regard to this cell."""
        held_back = job.moved or job.times.must_be_announced_first()
        if held_back and job.request.id in self.jobs_there:
            return False
        return may_start_job(job.times, self._contact_for(job), now=now)

    def must_end(self, job: Job, now: float) -> bool:
        """Return whether a job must end, with regard to this cell."""
        if not job.started and job.request.id in self.jobs_there:
            # Both owners may wait for each other.
            return now - job.times.accepted_at > CONFLICT_TIMEOUT_S
        return must_end_job(job.times, self._contact_for(job), now=now)

    def _contact_for(self, job: Job) -> CellContact:
        """Return the contact as it counts for a job: a job that runs here goes on in a cut."""
        return replace(self.contact, opened_at=-math.inf) if job.started else self.contact


class Announcements:
    """Tracks which reports the owners of the other cells have acknowledged.

    :param clock: clock of this entry, including time during which the VM was suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._views_by_cell: dict[str, _CellView] = {}
        # Ids of open jobs that were logged as unannounced.
        self._unannounced: set[str] = set()
        # When the newest job was accepted that must be announced before it starts.
        self._awaited_since = -math.inf
        self._has_held_back = False
        self._clock = clock

    def begin_term(self) -> None:
        """Forget what was told in an earlier term as owner."""
        self._views_by_cell.clear()
        self._awaited_since = -math.inf

    def set_owners(self, owners_by_cell: Mapping[str, EntryInfo]) -> None:
        """Update the owners of the other cells."""
        views_by_cell = {}
        for cell, owner in owners_by_cell.items():
            view = self._views_by_cell.get(cell)
            if view is None:
                contact = CellContact(opened_at=self._clock())
                view = _CellView(owner=owner.incarnation, contact=contact)
            view.owner = owner.incarnation
            views_by_cell[cell] = view
        self._views_by_cell = views_by_cell

    def note_sent(self, cell: str, report: CellReport) -> None:
        """Record that a report is on its way to the owner of a cell."""
        view = self._views_by_cell[cell]
        view.report, view.made_at = report, self._clock()

    def note_delivered(
        self, owner: str, report: CellReport, *, jobs_there: Collection[str]
    ) -> None:
        """Record that an owner has acknowledged a report.

        :param owner: its incarnation.
        :param jobs_there: the jobs in the report that its cell has itself.
        """
        for view in self._views_by_cell.values():
            if view.owner == owner and view.report is report:
                view.contact = replace(view.contact, acknowledged_at=view.made_at)
                view.jobs_there = frozenset(jobs_there)

    def note_accepted(self, job: Job) -> None:
        """Record that a job was accepted; it may have to be announced before it starts."""
        if job.times.must_be_announced_first():
            self._awaited_since = max(self._awaited_since, job.times.accepted_at)

    def cells_to_tell(self) -> list[str]:
        """Return the cells whose last report did not name a job that waits to be announced."""
        views = self._views_by_cell.items()
        return [cell for cell, view in views if view.made_at < self._awaited_since]

    def may_start(self, job: Job) -> bool:
        """Return whether a task of a job may start, as no other cell can run it."""
        now = self._clock()
        if now - job.times.sent_since <= ANNOUNCE_BY_S and not job.times.must_be_announced_first():
            return True
        if all(view.may_start(job, now) for view in self._views_by_cell.values()):
            return True
        self._has_held_back = True
        return False

    def take_held_back(self) -> bool:
        """Return whether `may_start` has held a job back since the last call."""
        held_back, self._has_held_back = self._has_held_back, False
        return held_back

    def find_jobs_to_end(self, jobs: Iterable[Job]) -> list[Job]:
        """Return the jobs that must end because another cell might run them as well."""
        now = self._clock()
        old_jobs = [job for job in jobs if now - job.times.sent_since > ANNOUNCE_BY_S]
        self._log_unannounced(old_jobs)
        views = self._views_by_cell.values()
        return [job for job in old_jobs if any(view.must_end(job, now) for view in views)]

    def _log_unannounced(self, old_jobs: list[Job]) -> None:
        """Log the jobs that go on although the owner of another cell was not told of them."""
        known = self._unannounced
        self._unannounced = set()
        for job in old_jobs:
            for cell, view in self._views_by_cell.items():
                if not view.contact.was_lost_before(job.times):
                    continue
                if job.request.id not in known | self._unannounced:
                    log.info("job_unannounced job=%s cell=%s", job.request.id, cell)
                self._unannounced.add(job.request.id)
