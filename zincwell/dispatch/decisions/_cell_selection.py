"""To which cell a job goes.

Load that it answers: callers who move from one failure domain to another, bursts in one of them,
and the half second in which a cell has no owner. The own cell's workers are near, and a resend of
a job finds it there; so a job goes elsewhere only if it would have to wait at home, or was refused.
Where no cell begins it at once, it goes to one where it waits much less. A cell whose workers are
evacuated has none, so the jobs of its callers all go elsewhere.

Reports are a few tenths of a second old, and many entries read the same: each picks among all
cells with room, by chance in proportion to it, so that they don't all fill the same one.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass

# A queue at home that its workers would need less than this many seconds for is no reason to go
# elsewhere: a job or two wait for the next end of a short task.
BEARABLE_BACKLOG_S = 0.01
# A job that could wait at home goes to another cell only if that has room for this many of its
# size, since others see the room, too. One that can't be served at home needs room just for itself.
ROOM_FACTOR = 2
# A job leaves a queue for a shorter one if that saves at least this many seconds. Queues change by
# as much between two reports, and the objective of the shortest jobs is twice as long.
WORTH_MOVING_S = 0.05
# The backlog of a cell without workers, in seconds.
NO_WORKERS_BACKLOG_S = 3600.0
# What a cell said of itself longer ago says nothing about now, in seconds.
FRESH_S = 1.0
# An owner that was not heard for this many seconds may be gone: its heartbeats come each 0.1 s.
SUSPECT_AFTER_S = 0.25


@dataclass(frozen=True, kw_only=True)
class CellState:
    """What an entry knows of a cell.

    :param free_cpu: thousandths of a core that its workers have free.
    :param backlog_s: how long its workers would need for what waits.
    :param age_s: how old that is.
    :param silence_s: for how long its owner was not heard.
    """

    free_cpu: int = 0
    backlog_s: float = 0.0
    age_s: float = 0.0
    silence_s: float = 0.0

    def takes(self, cpu: int) -> bool:
        """Return whether tasks of a size would begin there at once, as far as anybody knows."""
        idle = self.backlog_s < BEARABLE_BACKLOG_S
        return self.is_heard() and idle and self.free_cpu >= cpu

    def is_heard(self) -> bool:
        """Return whether the cell has an owner, and what is known of it is young enough."""
        return self.age_s < FRESH_S and self.silence_s < FRESH_S

    def has_workers(self) -> bool:
        """Return whether there is anything to wait for."""
        return self.backlog_s < NO_WORKERS_BACKLOG_S


def should_use_home_cell(home: CellState) -> bool:
    """Return whether a new job should stay in the own cell."""
    return home.silence_s < SUSPECT_AFTER_S and home.backlog_s < BEARABLE_BACKLOG_S


def choose_other_cell(
    job_id: str, cpu: int, others: Mapping[str, CellState], *, home_wait_s: float = math.inf
) -> str | None:
    """Return the name of a cell that would begin a job soonest, None if that is the own one.

    :param cpu: thousandths of a core that all tasks of the job take together.
    :param home_wait_s: backlog of the own cell; infinite if it has refused the job or can't run it.
    """
    needed = cpu if math.isinf(home_wait_s) else cpu * ROOM_FACTOR
    names = sorted(name for name, state in others.items() if state.takes(needed))
    if not names:
        return _choose_queue(job_id, others, home_wait_s)
    total = sum(others[name].free_cpu for name in names)
    point = zlib.crc32(job_id.encode()) / 2**32 * total
    for name in names:
        point -= others[name].free_cpu
        if point < 0:
            return name
    return names[-1]


def _choose_queue(job_id: str, others: Mapping[str, CellState], home_wait_s: float) -> str | None:
    """Return the cell where a job waits much less than at home, None if there is none.

    Of two that chance picks it is the one with the shorter queue: if all entries sent their jobs
    to the shortest of all, that one would be the longest at the next report.
    """
    limit_s = min(home_wait_s, NO_WORKERS_BACKLOG_S) - WORTH_MOVING_S
    names = sorted(
        name for name, state in others.items() if state.is_heard() and state.backlog_s < limit_s
    )
    if not names:
        return None
    chance = zlib.crc32(job_id.encode())
    first = names[chance % len(names)]
    second = names[chance // len(names) % len(names)]
    return min(first, second, key=lambda name: others[name].backlog_s)
