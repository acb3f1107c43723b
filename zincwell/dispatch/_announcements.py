"""Announcements of an owner's jobs to the owners of the other cells.

The jobs are named in the reports that owners exchange. See `decisions/_job_leases.py` for when a
job ends that could not be announced.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from zincwell.dispatch._jobs import Job
from zincwell.dispatch._messages import CellReport
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.decisions import ANNOUNCE_BY_S, is_out_of_contact, must_end_job

log = logging.getLogger("zincwell.cells")


@dataclass(slots=True, kw_only=True)
class _CellView:
    """What the owner of another cell was told.

    :param owner: incarnation of the owner.
    :param report: the report that was sent to it last.
    :param made_at: when that report was made.
    :param acknowledged_at: when the newest report that it or an owner before it has acknowledged
        was made.
    """

    owner: str
    report: CellReport | None = None
    made_at: float = -math.inf
    acknowledged_at: float = -math.inf


class Announcements:
    """Tracks which reports the owners of the other cells have acknowledged."""

    def __init__(self) -> None:
        self._views_by_cell: dict[str, _CellView] = {}
        # Ids of open jobs that were logged as unannounced.
        self._unannounced: set[str] = set()
        self._loop = asyncio.get_running_loop()

    def set_owners(self, owners_by_cell: Mapping[str, EntryInfo]) -> None:
        """Update the owners of the other cells."""
        views_by_cell = {}
        for cell, owner in owners_by_cell.items():
            view = self._views_by_cell.get(cell) or _CellView(owner=owner.incarnation)
            view.owner = owner.incarnation
            views_by_cell[cell] = view
        self._views_by_cell = views_by_cell

    def note_sent(self, cell: str, report: CellReport) -> None:
        """Record that a report is on its way to the owner of a cell."""
        view = self._views_by_cell[cell]
        view.report, view.made_at = report, self._loop.time()

    def note_delivered(self, owner: str, report: CellReport) -> None:
        """Record that an owner has acknowledged a report.

        :param owner: its incarnation.
        """
        for view in self._views_by_cell.values():
            if view.owner == owner and view.report is report:
                view.acknowledged_at = view.made_at

    def find_jobs_to_end(self, jobs: Iterable[Job]) -> list[Job]:
        """Return the jobs that must end because another cell might run them as well."""
        now = self._loop.time()
        views = self._views_by_cell.values()
        old_jobs = [job for job in jobs if now - job.arrived_at > ANNOUNCE_BY_S]
        self._log_unannounced(old_jobs)
        return [job for job in old_jobs if any(_must_end(job, view, now) for view in views)]

    def _log_unannounced(self, old_jobs: list[Job]) -> None:
        """Log the jobs that go on although the owner of another cell was not told of them."""
        known = self._unannounced
        self._unannounced = set()
        for job in old_jobs:
            for cell, view in self._views_by_cell.items():
                if not is_out_of_contact(job.arrived_at, acknowledged_at=view.acknowledged_at):
                    continue
                if job.request.id not in known | self._unannounced:
                    log.info("job_unannounced job=%s cell=%s", job.request.id, cell)
                self._unannounced.add(job.request.id)


def _must_end(job: Job, view: _CellView, now: float) -> bool:
    return must_end_job(
        requested_at=job.arrived_at,
        accepted_at=job.accepted_at,
        acknowledged_at=view.acknowledged_at,
        now=now,
    )
