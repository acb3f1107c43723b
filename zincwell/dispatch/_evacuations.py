"""The failure domains that operators have evacuated, as far as this entry knows."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._types import Evacuations

log = logging.getLogger("zincwell.evacuation")


class EvacuationTracker:
    """Keeps the newest account of the evacuations, from the store or from another entry.

    An evacuation is a state that lasts until operators take it back, so it must outlive owners
    and reach entries that the store does not answer. All entries tell each other what they know
    with each message, but only where somebody has heard of an evacuation at all.

    :param on_change: called when other failure domains are evacuated than before.
    """

    def __init__(self, *, on_change: Callable[[], None], metrics: Metrics) -> None:
        self.current = Evacuations()
        self._on_change = on_change
        self._metrics = metrics
        self._is_news = False

    @property
    def domains(self) -> list[str]:
        """The evacuated failure domains."""
        return self.current.domains

    def state_to_share(self) -> Evacuations | None:
        """Return what other entries should be told, None if nobody has heard of an evacuation.

        Once one has been heard of, its end must be told as well: an entry that the store does not
        answer would keep the domain empty for good.
        """
        return self.current if self._is_news else None

    def update_from_store(self, domains: Iterable[str], *, offset: int) -> None:
        """Take over all evacuations that the store lists up to a place in its log."""
        self._take(Evacuations(place=offset, domains=sorted(domains)), source="store")

    def update_from_peer(self, account: Evacuations | None, *, entry: str) -> None:
        """Take note of what another entry knows."""
        if account is None:
            return
        self._is_news = True
        self._take(account, source=entry)

    def _take(self, account: Evacuations, *, source: str) -> None:
        if account.place < self.current.place:
            return
        before, self.current = self.current, account
        self._is_news = self._is_news or bool(account.domains)
        if account.domains == before.domains:
            return
        self._metrics.count("evacuation_changes", f'source="{source}"')
        log.info(
            "evacuations_in_force domains=%s before=%s place=%d from=%s",
            ",".join(account.domains) or "none",
            ",".join(before.domains) or "none",
            account.place,
            source,
        )
        self._on_change()
