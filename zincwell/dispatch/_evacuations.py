"""Failure domains that operators have evacuated, as known to this entry."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import Evacuations

log = logging.getLogger("zincwell.evacuation")


class EvacuationTracker:
    """Tracks the newest state of the evacuations, from the store or from another entry.

    An evacuation lasts until operators revoke it. It must survive a change of owner and reach
    entries that have no access to the store, so the entries exchange the state with each message.
    They do so only after there has been an evacuation.

    :param on_change: called when the set of evacuated domains has changed.
    """

    def __init__(self, *, on_change: Callable[[], None], metrics: Metrics) -> None:
        self.current = Evacuations()
        self._on_change = on_change
        self._metrics = metrics
        self._is_shared = False

    @property
    def domains(self) -> list[str]:
        """The evacuated failure domains."""
        return self.current.domains

    def state_to_share(self) -> Evacuations | None:
        """Return the state to send to other entries, or None if there was no evacuation so far.

        After an evacuation, its end must be sent as well: an entry without access to the store
        would otherwise never use the domain again.
        """
        return self.current if self._is_shared else None

    def update_from_store(self, domains: Iterable[str], *, offset: int) -> None:
        """Adopt all evacuations in the store, read up to an offset of its log."""
        self._adopt(Evacuations(place=offset, domains=sorted(domains)), source="store")

    def update_from_peer(self, state: Evacuations | None, *, entry: str) -> None:
        """Adopt the state that another entry has sent, if it is newer."""
        if state is None:
            return
        self._is_shared = True
        self._adopt(state, source=entry)

    def _adopt(self, state: Evacuations, *, source: str) -> None:
        if state.place < self.current.place:
            return
        previous, self.current = self.current, state
        self._is_shared = self._is_shared or bool(state.domains)
        if state.domains == previous.domains:
            return
        self._metrics.count("evacuation_changes", f'source="{source}"')
        log.info(
            "evacuations_in_force domains=%s before=%s place=%d from=%s",
            ",".join(state.domains) or "none",
            ",".join(previous.domains) or "none",
            state.place,
            source,
        )
        self._on_change()
