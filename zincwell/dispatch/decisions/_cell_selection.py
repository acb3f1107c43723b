"""Which cell a job is sent to.

Load condition: callers move from one failure domain to another, one domain gets a burst, or a cell
has no owner for half a second. The workers of the home cell are near, and a resent job is found
there; so a job goes elsewhere only if it would have to wait at home, or was refused there. If no
cell can start it at once, it goes to one where it waits much less. A cell whose workers are
evacuated has none, so all jobs of its callers go elsewhere.

Reports are a few tenths of a second old, and many entries read the same ones. Each entry picks at
random among all cells with free capacity, in proportion to it, so that they don't all fill the
same cell.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass

# A backlog that the workers clear in fewer seconds does not count: one or two jobs wait for the
# next end of a short task.
MAX_IDLE_BACKLOG_S = 0.01
# A job that could wait at home goes to another cell only if that has room for this many of its
# size, because other entries see the same free capacity. A job that can't be served at home needs
# room only for itself.
FREE_CAPACITY_FACTOR = 2
# A job leaves a queue for a shorter one only if that saves at least this many seconds. Queues
# change by as much between two reports, and the objective of the shortest jobs is twice as long.
MIN_WAIT_SAVING_S = 0.05
# Backlog reported by a cell without workers, in seconds.
NO_WORKERS_BACKLOG_S = 3600.0
# Age in seconds from which a report, or an owner's last sign of life, says nothing about the
# present.
STALE_AFTER_S = 1.0
# An owner that was silent for this many seconds may be gone; its heartbeats come every 0.1 s.
SUSPECT_AFTER_S = 0.25


@dataclass(frozen=True, kw_only=True)
class CellState:
    """What an entry knows of a cell.

    :param free_cpu: thousandths of a core that are free on its workers.
    :param backlog_s: time that its workers need for the waiting tasks.
    :param age_s: age of these two values.
    :param silence_s: time since the last sign of life of its owner.
    """

    free_cpu: int = 0
    backlog_s: float = 0.0
    age_s: float = 0.0
    silence_s: float = 0.0

    def can_start_now(self, cpu: int) -> bool:
        """Return whether, by the last report, tasks would start there at once.

        :param cpu: thousandths of a core that they need together.
        """
        idle = self.backlog_s < MAX_IDLE_BACKLOG_S
        return self.is_current() and idle and self.free_cpu >= cpu

    def is_current(self) -> bool:
        """Return whether the cell has an owner and its report is not stale."""
        return self.age_s < STALE_AFTER_S and self.silence_s < STALE_AFTER_S

    def has_workers(self) -> bool:
        """Return whether the cell has workers that a queued job can wait for."""
        return self.backlog_s < NO_WORKERS_BACKLOG_S


def should_use_home_cell(home: CellState) -> bool:
    """Return whether a new job should stay in the home cell."""
    return home.silence_s < SUSPECT_AFTER_S and home.backlog_s < MAX_IDLE_BACKLOG_S


def choose_other_cell(
    job_id: str, cpu: int, others: Mapping[str, CellState], *, home_wait_s: float = math.inf
) -> str | None:
    """Return the name of another cell that would start a job sooner, or None to stay at home.

    :param cpu: thousandths of a core that all tasks of the job need together.
    :param home_wait_s: backlog of the home cell; infinite if it refused the job or can't run it.
    """
    needed_cpu = cpu if math.isinf(home_wait_s) else cpu * FREE_CAPACITY_FACTOR
    names = sorted(name for name, state in others.items() if state.can_start_now(needed_cpu))
    if not names:
        return _choose_shorter_queue(job_id, others, home_wait_s)
    total = sum(others[name].free_cpu for name in names)
    point = zlib.crc32(job_id.encode()) / 2**32 * total
    for name in names:
        point -= others[name].free_cpu
        if point < 0:
            return name
    return names[-1]


def _choose_shorter_queue(
    job_id: str, others: Mapping[str, CellState], home_wait_s: float
) -> str | None:
    """Return a cell where a job waits much less than at home, or None if there is none.

    The job goes to the shorter queue of two cells picked by a hash of its id. If all entries chose
    the shortest queue of all, it would be the longest by the next report.
    """
    limit_s = min(home_wait_s, NO_WORKERS_BACKLOG_S) - MIN_WAIT_SAVING_S
    names = sorted(
        name for name, state in others.items() if state.is_current() and state.backlog_s < limit_s
    )
    if not names:
        return None
    job_hash = zlib.crc32(job_id.encode())
    first = names[job_hash % len(names)]
    second = names[job_hash // len(names) % len(names)]
    return min(first, second, key=lambda name: others[name].backlog_s)
