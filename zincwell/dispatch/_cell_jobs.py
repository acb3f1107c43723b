"""Keeping each job in one cell: announcing, handing over and redirecting jobs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.dispatch._announcements import Announcements
from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._cell_reporter import CellReporter
from zincwell.dispatch._jobs import Job
from zincwell.dispatch._messages import CellReport, Envelope, JobEnded, Message, Receipt, Submit
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._pending_jobs import RETRY_AFTER_S
from zincwell.dispatch._types import EntryInfo, Outcome, Verdict

log = logging.getLogger("zincwell.node")

# Pause before reports that a job waits for, which name all that come meanwhile.
ANNOUNCE_PAUSE_S = 0.01


class CellJobs:
    """Decides with the owners of the other cells which cell has a job that several received.

    :param get_owner: returns the owner that this entry hosts, None if it hosts none.
    :param send: sends a message to an entry, by its name.
    """

    def __init__(
        self,
        *,
        cell_directory: CellDirectory,
        announcements: Announcements,
        reporter: CellReporter,
        metrics: Metrics,
        get_owner: Callable[[], Owner | None],
        send: Callable[[str, Message], None],
    ) -> None:
        self._cell_directory = cell_directory
        self._announcements = announcements
        self._reporter = reporter
        self._metrics = metrics
        self._get_owner = get_owner
        self._send = send
        self._is_announcing = False
        self._loop = asyncio.get_running_loop()

    def note_accepted(self, job: Job) -> None:
        """Announce a job to the other cells if it must not start before."""
        self._announcements.note_accepted(job)
        self._announce_soon()

    def _announce_soon(self) -> None:
        """Send reports soon if a job waits for its announcement to other cells."""
        if not self._is_announcing and self._announcements.cells_to_tell():
            self._is_announcing = True
            self._loop.call_later(ANNOUNCE_PAUSE_S, self._announce_awaited)

    def _announce_awaited(self) -> None:
        self._is_announcing = False
        cells = self._announcements.cells_to_tell()
        owner = self._get_owner()
        if owner is not None and cells:
            self._reporter.tell(owner, cells)

    def note_announced(self, peer: EntryInfo, report: CellReport, receipt: Receipt) -> None:
        """Let jobs start that waited for a report to be acknowledged.

        Those that the other cell has itself go there, unless they may have runs here. A receiver
        that knows of a later owner of its cell, or a new process at its address, speaks for nobody.
        """
        is_replaced = receipt.receiver.incarnation != peer.incarnation
        if is_replaced or receipt.fence > self._cell_directory.fence_of(receipt.cell):
            return
        self._announcements.note_delivered(peer.incarnation, report, jobs_there=receipt.jobs_here)
        owner = self._get_owner()
        if owner is None or report.jobs is None:
            return
        for job_id in receipt.jobs_here:
            if owner.has_no_run(job_id):
                self._hand_over(owner, job_id, receipt.cell)
        if self._announcements.take_held_back():
            owner.on_capacity_available()
        self._announce_soon()

    def hand_over_announced(self, report: CellReport) -> None:
        """Hand the jobs over that another cell has announced and that have no run here.

        Of two cells without a run, the first by name keeps the job.
        """
        home, owner = self._cell_directory.home.name, self._get_owner()
        if owner is None or report.cell == home:
            return
        unstarted = set(report.unstarted)
        comes_first = report.cell < home
        for job_id in report.jobs:
            keeps = job_id in unstarted and not comes_first
            if owner.has_no_run(job_id, not_refused_by=report.cell) and not keeps:
                self._hand_over(owner, job_id, report.cell)

    def _hand_over(self, owner: Owner, job_id: str, cell: str) -> None:
        attempts = owner.jobs.hand_over(owner.jobs.jobs_by_id[job_id])
        for entry, attempt in sorted(attempts.items()):
            self.redirect(owner, entry, job_id, cell, attempt=attempt)

    def find_jobs_here(self, envelope: Envelope) -> list[str]:
        """Return the jobs announced in an envelope that are open here as well."""
        owner = self._get_owner()
        if owner is None:
            return []
        jobs_by_id = owner.jobs.jobs_by_id
        reports = [message for message in envelope.messages if isinstance(message, CellReport)]
        return [name for report in reports for name in report.jobs or () if name in jobs_by_id]

    def find_other_cell(self, owner: Owner, message: Submit) -> str | None:
        """Return the name of another cell that has a job, None if this one is to have it.

        The runs of a job that has moved here are announced by the owners of the workers, which
        stop them.
        """
        if message.moved or owner.has_job(message.job.id):
            return None
        return self._cell_directory.cell_with_job(message.job.id, refused_by=message.refused_by)

    def redirect(self, owner: Owner, entry: str, job_id: str, cell: str, *, attempt: int) -> None:
        """Tell an entry that its caller's job is in another cell, by another submission."""
        log.info("job_elsewhere job=%s entry=%s cell=%s", job_id, entry, cell)
        outcome = Outcome(
            verdict=Verdict.UNKNOWN, reason="runs in another cell", retry_after_s=RETRY_AFTER_S
        )
        message = JobEnded(
            job=job_id,
            outcome=outcome,
            fence=owner.fence,
            attempt=attempt,
            running_in=cell,
        )
        self._send(entry, message)

    def end_unannounced(self, owner: Owner) -> None:
        """End the jobs that the owner of another cell might start without knowing of them."""
        jobs = owner.jobs
        reason = "not announced to another cell"
        for job in self._announcements.find_jobs_to_end(jobs.jobs_by_id.values()):
            self._metrics.count("jobs_unannounced")
            if not job.started:
                jobs.refuse(job, reason)
                continue
            outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=RETRY_AFTER_S)
            jobs.end(job, outcome, remember=False)
