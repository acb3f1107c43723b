"""Quotas of tenants over several entries, without a coordinator.

The quota is split evenly among the failure domains that have entries. Within a domain it is
split among the entries, and what a peer does not use is lent by what its heartbeats say. An
entry that hears nothing from a peer keeps to its even split, so that a cut leads to too few
running tasks, never to more than the quota for longer than a heartbeat.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from zincwell.core._messages import Load


@dataclass(frozen=True, kw_only=True)
class Neighbours:
    """The entries that share quotas with us.

    :ivar domains: number of domains that have entries.
    :ivar peers: number of other entries in our domain.
    :ivar loads: what those that are heard have told of their use.
    """

    domains: int
    peers: int
    loads: list[Load]


class Quotas:
    """Counts the running tasks of tenants and tells whether one more may start.

    :param limit: returns a tenant's quota of running tasks; 0 for none.
    :param neighbours: returns the entries that share the quotas.
    """

    def __init__(self, *, limit: Callable[[str], int], neighbours: Callable[[], Neighbours]):
        self.running_by_tenant: dict[str, int] = {}
        self._limit = limit
        self._neighbours = neighbours

    def note_start(self, tenant: str) -> None:
        """Count a task that is placed."""
        self.running_by_tenant[tenant] = self.running_by_tenant.get(tenant, 0) + 1

    def note_end(self, tenant: str) -> None:
        """Count a task that is no longer placed."""
        left = self.running_by_tenant[tenant] - 1
        if left:
            self.running_by_tenant[tenant] = left
        else:
            del self.running_by_tenant[tenant]

    def may_start(self, tenant: str) -> bool:
        """Tell whether one more task of a tenant may be placed."""
        limit = self._limit(tenant)
        if not limit:
            return True
        return self.running_by_tenant.get(tenant, 0) < self._allowed(tenant, limit)

    def _allowed(self, tenant: str, limit: int) -> int:
        near = self._neighbours()
        in_domain = max(1, limit // max(1, near.domains))
        even = max(1, in_domain // (near.peers + 1))
        unheard = near.peers - len(near.loads)
        if any(load.queued_by_tenant.get(tenant, 0) for load in near.loads):
            return even
        used = sum(load.running_by_tenant.get(tenant, 0) for load in near.loads)
        # Rounded up for those that are not heard, or the parts of all would pass the quota.
        theirs = math.ceil(in_domain / (near.peers + 1))
        return max(even, in_domain - used - unheard * theirs)
