"""What an entry knows about all cells: the layout, the owners, and their load."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zincwell.dispatch._cells import SINGLE_CELL_LAYOUT, Cell, Layout
from zincwell.dispatch._messages import CellReport
from zincwell.dispatch._types import EntryInfo, JobRequest
from zincwell.dispatch.decisions import (
    ANNOUNCEMENT_KEPT_S,
    SUSPECT_AFTER_S,
    CellState,
    choose_other_cell,
    should_use_home_cell,
)

log = logging.getLogger("zincwell.cells")

# Reports older than this are not forwarded to other entries.
MAX_FORWARD_AGE_S = 1.0
# Leases of a lost owner expire within this time: 1 s by a clock that may be 2% slow, and 0.3 s for
# workers that resume after a pause.
FORMER_LEASE_S = 1.5


@dataclass(slots=True, kw_only=True)
class CellView:
    """What is known about one cell.

    :param claimed_at: when its newest claim was received.
    :param made_at: when its newest report was created.
    :param jobs: ids of the jobs that its owner has announced last.
    :param jobs_fence: fencing token of that owner.
    :param jobs_at: when the report that announced them was received.
    :param former_jobs: ids of the jobs that the owner before has announced last.
    :param former_until: until when these may still run, under leases of that owner.
    """

    owner: EntryInfo | None = None
    fence: int = 0
    claimed_at: float = -math.inf
    report: CellReport | None = None
    made_at: float = -math.inf
    jobs: frozenset[str] = frozenset()
    jobs_fence: int = 0
    jobs_at: float = -math.inf
    former_jobs: frozenset[str] = frozenset()
    former_until: float = -math.inf

    def note_jobs(self, report: CellReport, *, now: float) -> None:
        """Record the jobs that the cell's owner announces.

        A new owner may not see all runs of the one before, whose leases have not expired.
        """
        if report.fence > self.jobs_fence:
            self.former_jobs, self.former_until = self.jobs, now + FORMER_LEASE_S
        self.jobs, self.jobs_fence, self.jobs_at = frozenset(report.jobs), report.fence, now

    def has_job(self, job_id: str, *, now: float) -> bool:
        """Return whether the cell has a job, by its announcements."""
        if job_id in self.jobs and now - self.jobs_at < ANNOUNCEMENT_KEPT_S:
            return True
        return job_id in self.former_jobs and now < self.former_until


class CellDirectory:
    """Stores the layout and the newest report of each cell, and chooses the cell for a job."""

    def __init__(self, *, me: EntryInfo) -> None:
        self.layout = SINGLE_CELL_LAYOUT
        self.layout_offset = -1
        self.home = SINGLE_CELL_LAYOUT.cells[0]
        self._me = me
        self._views_by_cell: dict[str, CellView] = {}
        self._loop = asyncio.get_running_loop()

    def set_layout(self, offset: int, layout: Layout) -> None:
        """Switch to a newer layout."""
        self.layout, self.layout_offset = layout, offset
        self.home = layout.cell_of(self._me.zone, self._me.name)
        names = {cell.name for cell in layout.cells}
        self._views_by_cell = {
            name: view for name, view in self._views_by_cell.items() if name in names
        }
        log.info("layout_followed offset=%d cells=%d home=%s", offset, len(names), self.home.name)

    def covers(self, domain: str, name: str) -> bool:
        """Return whether a worker or entry belongs to the home cell."""
        return self.layout.cell_of(domain, name) is self.home

    def other_cells(self) -> list[Cell]:
        """Return all cells but the home cell."""
        return [cell for cell in self.layout.cells if cell is not self.home]

    def note_owner(self, cell: str, owner: EntryInfo, fence: int) -> bool:
        """Record the owner of a cell; return whether it is a new one."""
        view = self._views_by_cell.setdefault(cell, CellView())
        if fence <= view.fence:
            return False
        view.owner, view.fence, view.claimed_at = owner, fence, self._loop.time()
        view.report, view.made_at = None, -math.inf
        return True

    def note_report(self, report: CellReport, *, delay_s: float = 0.0) -> None:
        """Record an owner's report on its cell, received directly or forwarded.

        :param delay_s: how long the message took to arrive.
        """
        view = self._views_by_cell.get(report.cell)
        made_at = self._loop.time() - report.age_s - delay_s
        if view is None or report.fence < view.fence or made_at <= view.made_at:
            return
        view.report, view.made_at = report, made_at

    def note_jobs(self, report: CellReport) -> None:
        """Record the jobs that the owner of another cell announces.

        They count also while this entry does not know of that owner's claim. The announcements of
        the owner before count until then. An owner that lags announces jobs of a dissolved cell,
        which their entries have moved. Reports of one owner arrive in order, and the time from
        which they count is that of the arrival, for their owner relies on the receipt.
        """
        if all(cell.name != report.cell for cell in self.layout.cells):
            return
        view = self._views_by_cell.setdefault(report.cell, CellView())
        if report.fence >= max(view.fence, view.jobs_fence):
            view.note_jobs(report, now=self._loop.time())

    def cell_with_job(self, job_id: str, *, refused_by: Iterable[str]) -> str | None:
        """Return the name of another cell whose owner has announced a job, or None.

        :param refused_by: names of the cells that have refused the job since.
        """
        now = self._loop.time()
        ignored = {self.home.name, *refused_by}
        for name, view in self._views_by_cell.items():
            if name not in ignored and view.has_job(job_id, now=now):
                return name
        return None

    def owner_of(self, cell: str) -> EntryInfo | None:
        """Return the owner of a cell, None if none is known."""
        view = self._views_by_cell.get(cell)
        return view.owner if view is not None else None

    def fence_of(self, cell: str) -> int:
        """Return the fencing token of a cell's owner, 0 if none is known."""
        view = self._views_by_cell.get(cell)
        return view.fence if view is not None else 0

    def silence_s(self, cell: str) -> float:
        """Return the time since a cell's last report or claim, in seconds."""
        view = self._views_by_cell.get(cell)
        if view is None:
            return math.inf
        return self._loop.time() - max(view.made_at, view.claimed_at)

    def fresh_reports(self) -> list[CellReport]:
        """Return the reports of other cells that are recent enough to be forwarded."""
        now = self._loop.time()
        return [
            CellReport(
                cell=view.report.cell,
                fence=view.report.fence,
                free_cpu=view.report.free_cpu,
                backlog_s=round(view.report.backlog_s, 3),
                age_s=round(now - view.made_at, 3),
                pending=view.report.pending,
            )
            for name, view in self._views_by_cell.items()
            if name != self.home.name and view.report and now - view.made_at < MAX_FORWARD_AGE_S
        ]

    def pending_by_route(self) -> dict[str, int]:
        """Return the number of jobs without a started task in all cells, by route."""
        counts: dict[str, int] = {}
        for view in self._views_by_cell.values():
            for route, count in (view.report.pending if view.report else {}).items():
                counts[route] = counts.get(route, 0) + count
        return counts

    def choose(
        self,
        request: JobRequest,
        *,
        home_silence_s: float,
        refused_by: Iterable[str],
        is_reachable: Callable[[str], bool] = lambda cell: True,
    ) -> str | None:
        """Return the cell to submit a job to, or None if every suitable cell has refused it.

        :param home_silence_s: time without contact to the owner of the home cell.
        :param refused_by: names of the cells that have refused the job.
        :param is_reachable: returns whether the owner of another cell has answered lately. Asked
            only while the owner of the home cell is silent, since its heartbeats carry the reports
            of the other cells: a partition may have cut them off as well.
        """
        refused = set(refused_by)
        home = self.home.name
        home_state = self._state_of(home, home_silence_s)
        if home not in refused and should_use_home_cell(home_state):
            return home
        others = {
            cell.name: self._state_of(cell.name, self.silence_s(cell.name))
            for cell in self.other_cells()
            if cell.name not in refused
            and (home_silence_s < SUSPECT_AFTER_S or is_reachable(cell.name))
        }
        cpu = sum(step.count * step.cpu for step in request.steps)
        can_wait = (
            home not in refused and home_silence_s < SUSPECT_AFTER_S and home_state.has_workers()
        )
        home_wait_s = home_state.backlog_s if can_wait else math.inf
        chosen = choose_other_cell(request.id, cpu, others, home_wait_s=home_wait_s)
        if chosen is not None:
            log.info(
                "sent_elsewhere job=%s cell=%s refused_by=%d", request.id, chosen, len(refused)
            )
            return chosen
        return home if home not in refused else None

    def _state_of(self, cell: str, silence_s: float) -> CellState:
        view = self._views_by_cell.get(cell)
        if view is None or view.report is None:
            return CellState(silence_s=silence_s, age_s=math.inf)
        return CellState(
            free_cpu=view.report.free_cpu,
            backlog_s=view.report.backlog_s,
            age_s=self._loop.time() - view.made_at,
            silence_s=silence_s,
        )
