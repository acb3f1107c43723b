"""Quotas of running tasks per tenant, enforced by several entries without a coordinator.

A quota is split evenly among the failure domains that have entries. Within a domain it is
split among the entries; while no peer has tasks of the tenant queued, an entry may also use
what its peers leave unused according to their heartbeats. The part of a peer whose heartbeats
are missing stays reserved for it, so that a network partition leads to too few running tasks,
and the quota is never exceeded for longer than a heartbeat.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from zincwell.core._messages import Load


@dataclass(frozen=True, kw_only=True)
class QuotaPeers:
    """The entries that share quotas with this one.

    :ivar domains: number of domains that have entries.
    :ivar peers: number of other entries in our domain.
    :ivar loads: last reported loads of the peers whose heartbeats arrive.
    """

    domains: int
    peers: int
    loads: list[Load]


class Quotas:
    """Counts the running tasks of each tenant and decides whether one more may start.

    :param limit: returns a tenant's quota of running tasks; 0 for no limit.
    :param quota_peers: returns the entries that share the quotas.
    """

    def __init__(self, *, limit: Callable[[str], int], quota_peers: Callable[[], QuotaPeers]):
        self.running_by_tenant: dict[str, int] = {}
        self._limit = limit
        self._quota_peers = quota_peers

    def note_start(self, tenant: str) -> None:
        """Count a task that is placed."""
        self.running_by_tenant[tenant] = self.running_by_tenant.get(tenant, 0) + 1

    def note_end(self, tenant: str) -> None:
        """Count a task that is no longer placed."""
        remaining = self.running_by_tenant[tenant] - 1
        if remaining:
            self.running_by_tenant[tenant] = remaining
        else:
            del self.running_by_tenant[tenant]

    def may_start(self, tenant: str) -> bool:
        """Return whether one more task of a tenant may be placed."""
        limit = self._limit(tenant)
        if not limit:
            return True
        return self.running_by_tenant.get(tenant, 0) < self._allowed(tenant, limit)

    def _allowed(self, tenant: str, limit: int) -> int:
        quota_peers = self._quota_peers()
        domain_quota = max(1, limit // max(1, quota_peers.domains))
        even_share = max(1, domain_quota // (quota_peers.peers + 1))
        silent_peers = quota_peers.peers - len(quota_peers.loads)
        if any(load.queued_by_tenant.get(tenant, 0) for load in quota_peers.loads):
            return even_share
        used_by_peers = sum(load.running_by_tenant.get(tenant, 0) for load in quota_peers.loads)
        # Rounded up for silent peers: rounded down, the parts could add up to more than the quota.
        peer_share = math.ceil(domain_quota / (quota_peers.peers + 1))
        return max(even_share, domain_quota - used_by_peers - silent_peers * peer_share)
