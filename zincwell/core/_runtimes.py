"""Expected run times of services.

Measured on completed tasks, as the run times that services declare are inaccurate.
"""

from __future__ import annotations

from collections.abc import Callable

DECAY = 0.98
MIN_SAMPLES = 5


class RunTimes:
    """Exponentially weighted mean run time by service.

    :param default_s: returns the run time of a service to assume, in seconds, until
        ``MIN_SAMPLES`` runs were measured.
    """

    def __init__(self, *, default_s: Callable[[str], float]):
        self._default_s = default_s
        self._mean_by_service: dict[str, float] = {}
        self._count_by_service: dict[str, int] = {}

    def note(self, service: str, run_s: float) -> None:
        """Record a measured run time in seconds."""
        mean = self._mean_by_service.get(service, run_s)
        self._mean_by_service[service] = DECAY * mean + (1 - DECAY) * run_s
        self._count_by_service[service] = self._count_by_service.get(service, 0) + 1

    def expected_s(self, service: str) -> float:
        """Return the expected run time of a service in seconds."""
        if self._count_by_service.get(service, 0) < MIN_SAMPLES:
            return self._default_s(service)
        return self._mean_by_service[service]
