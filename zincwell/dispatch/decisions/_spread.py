"""To which cell a job goes.

Load that it answers: callers who move from one failure domain to another, bursts in one of them,
and the half second in which a cell has no owner. The own cell's workers are near, and a resend of
a job finds it there; so a job goes elsewhere only if it would have to wait at home, or was refused.
Reports are a few tenths of a second old, and many entries read the same: each picks among all
cells with room, by chance in proportion to it, so that they don't all fill the same one.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

# A queue at home that its workers would need less than this many seconds for is no reason to go
# elsewhere: a job or two wait for the next end of a short task.
BEARABLE_BACKLOG_S = 0.01
# A job that could wait at home goes to another cell only if that has room for this many of its
# size, since others see the room, too. One that can't be served at home needs room just for itself.
ROOM_FACTOR = 2
# What a cell said of itself longer ago says nothing about now, in seconds.
FRESH_S = 1.0
# An owner that was not heard for this many seconds may be gone: its heartbeats come each 0.1 s.
SUSPECT_S = 0.25


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
        heard = self.age_s < FRESH_S and self.silence_s < FRESH_S
        idle = self.backlog_s < BEARABLE_BACKLOG_S
        return heard and idle and self.free_cpu >= cpu


def is_served_at_home(home: CellState) -> bool:
    """Return whether a new job should stay in the own cell."""
    return home.silence_s < SUSPECT_S and home.backlog_s < BEARABLE_BACKLOG_S


def choose_other_cell(
    job_id: str, cpu: int, others: Mapping[str, CellState], *, may_wait: bool = False
) -> str | None:
    """Return the name of a cell that would begin a job at once, None if there is none.

    :param cpu: thousandths of a core that all tasks of the job take together.
    :param may_wait: the own cell has not refused the job, and has an owner.
    """
    needed = cpu * (ROOM_FACTOR if may_wait else 1)
    names = sorted(name for name, state in others.items() if state.takes(needed))
    if not names:
        return None
    total = sum(others[name].free_cpu for name in names)
    point = zlib.crc32(job_id.encode()) / 2**32 * total
    for name in names:
        point -= others[name].free_cpu
        if point < 0:
            return name
    return names[-1]
