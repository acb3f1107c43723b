"""The set of workers that an owner has sessions with."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable

from zincwell.dispatch._placement import could_ever_fit
from zincwell.dispatch._types import JobRequest, Step, WorkerInfo
from zincwell.dispatch._worker_session import WorkerSession

log = logging.getLogger("zincwell.owner")


class WorkerSet:
    """Opens and closes sessions according to the platform's worker list.

    :param is_assigned: returns whether a worker belongs to the owner.
    :param make_session: creates a session with a worker without opening it.
    """

    def __init__(
        self,
        *,
        is_assigned: Callable[[WorkerInfo], bool],
        make_session: Callable[[WorkerInfo], WorkerSession],
    ) -> None:
        self.sessions_by_id: dict[str, WorkerSession] = {}
        self._is_assigned = is_assigned
        self._evacuated: frozenset[str] = frozenset()
        # Incremented with each change, for the validation of cached results about all workers.
        self.version = 0
        self._make_session = make_session

    def close(self) -> None:
        """Close all sessions."""
        for session in self.sessions_by_id.values():
            session.close()
        self.sessions_by_id.clear()

    def update(self, infos: dict[str, WorkerInfo]) -> None:
        """Update the sessions from the platform's list."""
        self.version += 1
        for worker_id, info in infos.items():
            if not self._is_assigned(info):
                continue
            session = self.sessions_by_id.get(worker_id)
            if session is None:
                self._open_session(info)
            elif session.info != info:
                log.info(
                    "worker_changed worker=%s draining=%s cpu=%d cpu_before=%d",
                    worker_id,
                    info.draining,
                    info.cpu,
                    session.info.cpu,
                )
                session.update(info)
        for worker_id, session in list(self.sessions_by_id.items()):
            session.set_listed(worker_id in infos)
            if session.is_gone():
                log.info("worker_gone worker=%s", worker_id)
                session.close()
                del self.sessions_by_id[worker_id]

    def probe_unlisted(self, infos: Iterable[WorkerInfo]) -> None:
        """Open sessions with workers that have left the list but may still answer."""
        for info in infos:
            if info.id not in self.sessions_by_id and self._is_assigned(info):
                self._open_session(info).set_listed(False)

    def raise_fence(self, fence: int) -> None:
        """Use a higher fencing token for all workers from now on."""
        for session in self.sessions_by_id.values():
            session.raise_fence(fence)

    def all_held(self) -> bool:
        """Return whether every worker has accepted the fencing token and reported its runs."""
        sessions = self.sessions_by_id.values()
        return bool(sessions) and all(session.held or session.replaced for session in sessions)

    def all_probed(self) -> bool:
        """Return whether every worker has reported its runs or does not answer."""
        return all(
            session.held or session.silent or session.replaced
            for session in self.sessions_by_id.values()
        )

    def evacuate(self, domains: Collection[str]) -> None:
        """Mark the workers of these failure domains, and no others, as evacuated."""
        self.version += 1
        self._evacuated = frozenset(domains)
        for session in self.sessions_by_id.values():
            session.evacuated = session.info.zone in self._evacuated

    def could_ever_fit(self, request: JobRequest) -> bool:
        """Return whether non-evacuated workers are large enough for a job.

        True if no worker of the service is known.
        """
        sessions = self._sessions_of(request.service)
        usable = [session for session in sessions if not session.evacuated]
        return not sessions or _are_large_enough(usable, request.steps)

    def could_fit_but_for_evacuation(self, request: JobRequest) -> bool:
        """Return whether the workers would be large enough for a job without evacuations.

        False if no worker of the service is evacuated.
        """
        sessions = self._sessions_of(request.service)
        evacuated = any(session.evacuated for session in sessions)
        return evacuated and _are_large_enough(sessions, request.steps)

    def _sessions_of(self, service: str) -> list[WorkerSession]:
        return [s for s in self.sessions_by_id.values() if s.info.service == service]

    def _open_session(self, info: WorkerInfo) -> WorkerSession:
        self.version += 1
        log.info("worker_listed worker=%s domain=%s cpu=%d", info.id, info.zone, info.cpu)
        session = self._make_session(info)
        session.evacuated = info.zone in self._evacuated
        self.sessions_by_id[info.id] = session
        session.open()
        return session


def _are_large_enough(sessions: Iterable[WorkerSession], steps: Iterable[Step]) -> bool:
    return all(any(could_ever_fit(session, step=step) for session in sessions) for step in steps)
