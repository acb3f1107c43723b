"""Reports of the workers that an owner uses, for the owner that follows it."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._earlier_runs import LEASE_EXPIRY_MARGIN_S
from zincwell.dispatch._messages import OwnerHeartbeat, WorkerListSnapshot
from zincwell.dispatch._owner import Owner
from zincwell.dispatch._previous_workers import PreviousWorkers
from zincwell.dispatch._types import EntryInfo, Limits, WorkerInfo
from zincwell.dispatch._worker_calls import max_lease_s
from zincwell.dispatch._worker_list import WorkerList
from zincwell.dispatch._worker_list_sender import WorkerListSender
from zincwell.dispatch.decisions import REPORTS_MISSED_AT_EXPIRY

log = logging.getLogger("zincwell.workers")


class WorkerReports:
    """Exchanges reports of the workers in use between successive owners of a cell.

    See `PreviousWorkers` for what a new owner concludes from them.

    :param clock: monotonic clock that includes the time during which the VM was suspended.
    """

    def __init__(
        self,
        *,
        cell_directory: CellDirectory,
        directory: EntryDirectory,
        worker_list: WorkerList,
        limits: Limits,
        clock: Callable[[], float],
    ) -> None:
        self._cell_directory = cell_directory
        self._directory = directory
        self._worker_list = worker_list
        self._sender = WorkerListSender(
            cell_directory=cell_directory, directory=directory, worker_list=worker_list
        )
        self._previous = PreviousWorkers(
            entry_expiry_s=REPORTS_MISSED_AT_EXPIRY * limits.report_interval_s,
            lease_s=max_lease_s(limits) + LEASE_EXPIRY_MARGIN_S,
            clock=clock,
        )

    # -- as owner ---------------------------------------------------------------------------

    def begin_term(self, *, previous_fence: int) -> None:
        """Begin a term as owner of the cell; see `PreviousWorkers.begin_term`."""
        self._previous.begin_term(previous_fence=previous_fence)

    def previous_workers(self) -> list[WorkerInfo]:
        """Return the workers that the newest known report names."""
        return self._previous.workers()

    def missing_fence(self) -> int:
        """Return the fencing token of the previous owner if its report is missing, else 0."""
        return self._previous.missing_fence()

    def are_all_workers_known(self) -> bool:
        """Return whether no worker is unknown on which the previous owner may have runs."""
        return self._previous.are_all_known(list_read_at=self._worker_list.read_at())

    def send_due(self, owner: Owner, heartbeat_count: int) -> None:
        """Send the list of workers to the entries that are due.

        :param heartbeat_count: number of heartbeats sent so far.
        """
        self._sender.send_due(
            heartbeat_count, fence=owner.fence, make_report=lambda: self._make_report(owner)
        )

    def end_term(self, owner: Owner) -> None:
        """Keep the last report of an owner that this entry hosts, for the next one."""
        report = self._make_report(owner) if owner.domain is None else None
        if report is not None:
            self._previous.note_report(report, delay_s=0.0)

    def _make_report(self, owner: Owner) -> WorkerListSnapshot | None:
        """Return the list of all workers that an owner uses, None while it is not known."""
        snapshot = self._worker_list.make_snapshot(self._cell_directory.home)
        if snapshot is None:
            return None
        return msgspec.structs.replace(
            snapshot,
            fence=owner.fence,
            unlisted=owner.unlisted_workers(),
            complete=self.are_all_workers_known(),
        )

    # -- reports of others ------------------------------------------------------------------

    def note_report(
        self, report: WorkerListSnapshot, *, delay_s: float, owner: Owner | None
    ) -> None:
        """Keep the report of an owner, and let the one that lacks it hold its workers.

        :param delay_s: greatest possible age of the message in seconds.
        :param owner: the owner that this entry hosts.
        """
        if report.cell != self._cell_directory.home.name:
            return
        is_missing = report.fence and self._previous.missing_fence() == report.fence
        self._previous.note_report(report, delay_s=delay_s)
        if owner is not None and is_missing:
            log.info("worker_report_late fence=%d workers=%d", report.fence, len(report.workers))
            owner.probe_unlisted_workers([*report.workers, *report.unlisted])
            owner.on_capacity_available()

    def forward(self, heartbeat: OwnerHeartbeat) -> None:
        """Send a new owner the report of its predecessor, if it lacks that and this entry has it.

        To be called before its jobs are sent, which it could not judge without the report.
        """
        if not heartbeat.missing_fence or heartbeat.cell != self._cell_directory.home.name:
            return
        report = self._previous.take_report_for(
            heartbeat.fence, previous_fence=heartbeat.missing_fence
        )
        if report is not None:
            self._directory.note(heartbeat.owner, named=True)
            self._directory.link(heartbeat.owner).send(report)

    def send_last(self, owner: EntryInfo) -> None:
        """Send the report of the term that has just ended here to the next owner.

        That one may have started too late for an earlier report.
        """
        report = self._previous.current_report()
        if report is not None:
            self._directory.link(owner).send(report)
