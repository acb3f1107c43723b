"""How many cells a pool needs, and which failure domains belong to each.

Load condition: hundreds of workers. A single queue over all of them places jobs best: with 24
workers, one owner serves 0.95 of the jobs where one owner for each of four failure domains serves
0.87. But each start costs an owner 0.6 to 0.8 ms of processor time, so an owner of 270 workers that
start 2,200 tasks a second is late with all of them. The plan therefore has as few cells as the
owners can carry: all domains in one cell, else a few domains in each, else a domain split into
parts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Workers that an owner with one whole core can serve. A worker starts up to 8 tasks a second, at
# 0.8 ms of processor time each; an owner that is busy for more than 0.4 of its time delays the
# starts of short tasks.
WORKERS_PER_CORE = 64
# A part of a domain needs an owner and two successors that can take over from it.
MIN_ENTRIES_PER_PART = 3
# Hysteresis in the number of cells, because a change of the layout moves all runs: the current
# layout stays if it has at least the cells needed with owners of MAX_CAPACITY_SHARE times their
# capacity, and at most those needed with owners of MIN_CAPACITY_SHARE times their capacity.
MAX_CAPACITY_SHARE = 1.25
MIN_CAPACITY_SHARE = 0.6
# Number of shares of the owners' capacity that are tried to make the cells equally large.
CAPACITY_STEPS = 20


@dataclass(frozen=True, kw_only=True)
class DomainSize:
    """The workers and entries of a failure domain.

    :param workers: number of its workers.
    :param cores: cores of each of its entries.
    """

    workers: int = 0
    cores: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CellShape:
    """Failure domains that share a queue; a single domain may be split into equal parts."""

    domains: tuple[str, ...]
    parts: int = 1


@dataclass(kw_only=True)
class _DomainGroup:
    domains: list[str] = field(default_factory=list)
    workers: int = 0
    cores: list[float] = field(default_factory=list)

    def with_domain(self, name: str, size: DomainSize) -> _DomainGroup:
        return _DomainGroup(
            domains=[*self.domains, name],
            workers=self.workers + size.workers,
            cores=sorted([*self.cores, *size.cores], reverse=True),
        )

    def worker_capacity(self) -> float:
        """Return how many workers the second strongest entry can serve.

        The strongest one may fail, and its successor has to serve the cell as well.
        """
        if not self.cores:
            return math.inf
        return WORKERS_PER_CORE * self.cores[min(1, len(self.cores) - 1)]


def plan_cells(
    domains: Mapping[str, DomainSize], current: Sequence[CellShape]
) -> Sequence[CellShape]:
    """Return the cells that the pool should have; ``current`` if these are good enough."""
    covered = {domain for shape in current for domain in shape.domains}
    if covered == set(domains):
        fewest = _count_cells(_pack_domains(domains, capacity_share=MAX_CAPACITY_SHARE))
        most = _count_cells(_pack_domains(domains, capacity_share=MIN_CAPACITY_SHARE))
        if fewest <= _count_cells(current) <= most:
            return current
    return _pack_evenly(domains)


def _count_cells(shapes: Sequence[CellShape]) -> int:
    return sum(shape.parts for shape in shapes)


def _pack_evenly(domains: Mapping[str, DomainSize]) -> list[CellShape]:
    """Return the fewest cells, as equal in size as possible.

    Filling cells one after the other could give three domains an owner near its limit and the
    fourth domain an owner of its own: bursts would wait in one cell while the workers of the other
    are idle.
    """
    fewest = _pack_domains(domains, capacity_share=1.0)
    for step in range(1, CAPACITY_STEPS):
        shapes = _pack_domains(domains, capacity_share=step / CAPACITY_STEPS)
        if _count_cells(shapes) == _count_cells(fewest):
            return shapes
    return fewest


def _pack_domains(domains: Mapping[str, DomainSize], *, capacity_share: float) -> list[CellShape]:
    """Return the fewest cells if owners use a share of their capacity, in order of domain names."""
    shapes: list[CellShape] = []
    group = _DomainGroup()
    for name in sorted(domains):
        joined = group.with_domain(name, domains[name])
        if group.domains and joined.workers > joined.worker_capacity() * capacity_share:
            shapes.append(_make_shape(group, capacity_share))
            joined = _DomainGroup().with_domain(name, domains[name])
        group = joined
    if group.domains:
        shapes.append(_make_shape(group, capacity_share))
    return shapes


def _make_shape(group: _DomainGroup, capacity_share: float) -> CellShape:
    parts = 1
    if len(group.domains) == 1:
        wanted = math.ceil(group.workers / (group.worker_capacity() * capacity_share))
        parts = max(1, min(wanted, len(group.cores) // MIN_ENTRIES_PER_PART))
    return CellShape(domains=tuple(group.domains), parts=parts)
