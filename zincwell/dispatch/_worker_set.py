"""The set of workers that an owner has sessions with."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from zincwell.dispatch._placement import could_ever_fit
from zincwell.dispatch._types import JobRequest, Step, WorkerInfo
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch.decisions import Sighting, compare_incarnation

log = logging.getLogger("zincwell.owner")


class WorkerSet:
    """Opens and closes sessions according to the platform's worker list.

    :param is_assigned: returns whether a worker belongs to the owner.
    :param make_session: creates a session with a worker without opening it.
    :param on_restarted: called with the id of a worker that has restarted.
    """

    def __init__(
        self,
        *,
        is_assigned: Callable[[WorkerInfo], bool],
        make_session: Callable[[WorkerInfo], WorkerSession],
        on_restarted: Callable[[str], None],
    ) -> None:
        self.sessions_by_id: dict[str, WorkerSession] = {}
        self._is_assigned = is_assigned
        self._evacuated: frozenset[str] = frozenset()
        # Of the listed workers.
        self._ids_by_address: defaultdict[str, set[str]] = defaultdict(set)
        # Incremented with each change, for the validation of cached results about all workers.
        self.version = 0
        self._make_session = make_session
        self._on_restarted = on_restarted

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
                self._update_session(session, info)
        self._ids_by_address.clear()
        for worker_id, info in infos.items():
            self._ids_by_address[info.address].add(worker_id)
        for worker_id, session in list(self.sessions_by_id.items()):
            session.set_listed(worker_id in infos)
            self.review_replaced(session)
            if session.is_gone():
                log.info("worker_gone worker=%s", worker_id)
                session.close()
                del self.sessions_by_id[worker_id]

    def replace(self, session: WorkerSession, *, info: WorkerInfo, born_ms: int) -> None:
        """Open a session with a newer incarnation of a worker instead of the present one.

        :param info: newest known record, which may be that of the previous incarnation.
        """
        if self.sessions_by_id.get(info.id) is not session:
            return
        log.warning(
            "worker_restarted worker=%s born_ms=%d born_before_ms=%d runs=%d",
            info.id,
            born_ms,
            session.born_ms or 0,
            len(session.runs),
        )
        successor = self._add_session(info)
        successor.take_over_from(session, born_ms=born_ms)
        self._on_restarted(info.id)
        successor.open()

    def review_replaced(self, session: WorkerSession) -> None:
        """Give up the runs of a worker at whose address another one answers and is listed.

        If it is not listed, the first one may have lost its address only, and work on.
        """
        listed_ids = self._ids_by_address.get(session.info.address, set())
        if session.replaced and listed_ids - {session.info.id}:
            session.abandon_runs()

    def probe_unlisted(self, infos: Iterable[WorkerInfo]) -> None:
        """Open sessions with workers that have left the list but may still answer."""
        for info in infos:
            if info.id not in self.sessions_by_id and self._is_assigned(info):
                self._open_session(info).set_listed(False)

    def unlisted(self) -> list[WorkerInfo]:
        """Return the workers that have left the list, but may be running tasks."""
        return [s.info for s in self.sessions_by_id.values() if s.may_run_unlisted()]

    def raise_fence(self, fence: int) -> None:
        """Use a higher fencing token for all workers from now on."""
        for session in self.sessions_by_id.values():
            session.raise_fence(fence)

    def all_held(self) -> bool:
        """Return whether every worker has accepted the fencing token and reported its runs."""
        sessions = self.sessions_by_id.values()
        return bool(sessions) and not any(session.may_hide_runs() for session in sessions)

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

    def _update_session(self, session: WorkerSession, info: WorkerInfo) -> None:
        sighting = compare_incarnation(info.born_ms, known_ms=session.born_ms)
        if sighting is Sighting.OLDER:
            return
        if sighting is Sighting.NEWER:
            self.replace(session, info=info, born_ms=info.born_ms)
            return
        log.info(
            "worker_changed worker=%s draining=%s cpu=%d cpu_before=%d",
            info.id,
            info.draining,
            info.cpu,
            session.info.cpu,
        )
        session.update(info)

    def _open_session(self, info: WorkerInfo) -> WorkerSession:
        log.info("worker_listed worker=%s domain=%s cpu=%d", info.id, info.zone, info.cpu)
        session = self._add_session(info)
        session.open()
        return session

    def _add_session(self, info: WorkerInfo) -> WorkerSession:
        """Add a session with a worker without opening it."""
        self.version += 1
        session = self._make_session(info)
        session.evacuated = info.zone in self._evacuated
        self.sessions_by_id[info.id] = session
        return session


def _are_large_enough(sessions: Iterable[WorkerSession], steps: Iterable[Step]) -> bool:
    return all(any(could_ever_fit(session, step=step) for session in sessions) for step in steps)
