"""Owners of cells that a new layout has dissolved, and the jobs that they may still run.

An owner ends its term when it follows a layout without its cell; its leases then expire. An entry
may follow the layout earlier than the owner, which goes on renewing leases until it learns of the
layout. So the entry submits no job of that owner to another cell before the owner has confirmed
that it follows the layout, or can't have kept the job any longer.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from zincwell.dispatch._types import EntryInfo

# An owner that hears nothing from an entry ends its jobs after 3 s, and after 0.9 s if it hears
# that the entry follows a later layout. The rest is for its check and for a message on its way.
TERM_TIMEOUT_S = 4.0
# Time after the end of a term in which its leases may not have expired: 1 s by a clock that may be
# 2% slow, and 0.3 s for workers that resume after a pause.
LEASE_EXPIRY_S = 2.0


@dataclass(slots=True, kw_only=True)
class _HeldJob:
    owner: EntryInfo
    held_at: float
    term_ended_at: float = math.inf


class FormerOwners:
    """Remembers which jobs the owners of dissolved cells may still run, by job id."""

    def __init__(self) -> None:
        self._held_by_id: dict[str, _HeldJob] = {}

    def hold(self, job_id: str, owner: EntryInfo, *, now: float) -> None:
        """Remember that a job was submitted to an owner whose term may not have ended."""
        self._held_by_id[job_id] = _HeldJob(owner=owner, held_at=now)

    def forget(self, job_id: str) -> None:
        """Forget a job that was never sent to its former owner."""
        self._held_by_id.pop(job_id, None)

    def holds(self, job_id: str) -> bool:
        """Return whether the term of a job's former owner may not have ended."""
        job = self._held_by_id.get(job_id)
        return job is not None and math.isinf(job.term_ended_at)

    def may_run(self, job_id: str) -> bool:
        """Return whether a job may still run under its former owner, or under its leases."""
        return job_id in self._held_by_id

    def owners(self) -> list[EntryInfo]:
        """Return the former owners whose terms may not have ended."""
        held = [job for job in self._held_by_id.values() if math.isinf(job.term_ended_at)]
        return list({job.owner.incarnation: job.owner for job in held}.values())

    def note_term_ended(self, incarnation: str, *, now: float) -> list[str]:
        """Record the end of an owner's term; return the ids of the jobs that waited for it."""
        released = []
        for job_id, job in self._held_by_id.items():
            if job.owner.incarnation == incarnation and math.isinf(job.term_ended_at):
                job.term_ended_at = now
                released.append(job_id)
        return released

    def note_job_ended(self, job_id: str, *, now: float) -> None:
        """Record that a job's former owner has ended it; its runs may not have stopped yet."""
        self._held_by_id[job_id].term_ended_at = now

    def release_overdue(self, *, now: float) -> list[str]:
        """Return the ids of the jobs that their former owners must have ended by now.

        Jobs whose leases have expired as well are forgotten.
        """
        released = []
        for job_id, job in list(self._held_by_id.items()):
            if math.isinf(job.term_ended_at) and now - job.held_at > TERM_TIMEOUT_S:
                job.term_ended_at = now
                released.append(job_id)
            elif now - job.term_ended_at > LEASE_EXPIRY_S:
                del self._held_by_id[job_id]
        return released
