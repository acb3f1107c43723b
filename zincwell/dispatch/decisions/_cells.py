"""How many cells a pool needs, and which failure domains belong to each.

Load condition: hundreds of workers, and failure domains that get partitioned from each other. A
single queue over all workers places jobs best: with 24 workers, one owner serves 0.95 of the jobs
where one owner for each of four failure domains serves 0.87. But each start costs an owner 0.6 to
0.8 ms of processor time, so an owner of 270 workers that start 2,200 tasks a second is late with
all of them. And a partition separates the callers, the workers and the owner of a shared cell: the
callers of the domain without the owner wait for a stand-in, and the jobs that were sent to the
owner have an unknown outcome.

The plan therefore gives a cell of its own to each domain that is large enough to serve its callers
alone. The other domains share as few cells as the owners can carry. A domain that is too large for
one owner is split into parts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Workers that an owner with one whole core can serve. A worker starts up to 8 tasks a second, at
# 0.8 ms of processor time each; an owner that is busy for more than 0.4 of its time delays the
# starts of short tasks.
WORKERS_PER_CORE = 64
# A domain with at least this many workers is a cell of its own. The widest jobs have 32 tasks, and
# a worker runs at least two at once, so such a job takes less than a third of the cell. In smaller
# cells, wide jobs wait for several rounds of short tasks while others are refused.
MIN_OWN_CELL_WORKERS = 56
# An owner in the domain needs a successor there.
MIN_OWN_CELL_ENTRIES = 2
# A part of a domain needs an owner and two successors that can take over from it.
MIN_ENTRIES_PER_PART = 3
# Hysteresis in the number of cells, because a change of the layout moves all runs: the current
# layout stays if it has at least the cells needed with owners of MAX_CAPACITY_SHARE times their
# capacity, and at most those needed with owners of MIN_CAPACITY_SHARE times their capacity. Both
# factors also apply to MIN_OWN_CELL_WORKERS.
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

    def is_self_sufficient(self, own_cell_workers: float, capacity_share: float) -> bool:
        """Return whether these workers can serve their callers with owners of their own."""
        if self.workers < own_cell_workers or len(self.cores) < MIN_OWN_CELL_ENTRIES:
            return False
        return self.workers <= self.worker_capacity() * capacity_share


def plan_cells(
    domains: Mapping[str, DomainSize], current: Sequence[CellShape]
) -> Sequence[CellShape]:
    """Return the cells that the pool should have; ``current`` if these are good enough."""
    covered = {domain for shape in current for domain in shape.domains}
    if covered == set(domains):
        fewest = _count_cells(_plan_with_margin(domains, MAX_CAPACITY_SHARE))
        most = _count_cells(_plan_with_margin(domains, MIN_CAPACITY_SHARE))
        if fewest <= _count_cells(current) <= most:
            return current
    return _pack_evenly(domains, MIN_OWN_CELL_WORKERS)


def _plan_with_margin(domains: Mapping[str, DomainSize], share: float) -> list[CellShape]:
    """Return the cells needed if all limits are multiplied by a factor."""
    return _pack_domains(
        domains, capacity_share=share, own_cell_workers=MIN_OWN_CELL_WORKERS * share
    )


def _count_cells(shapes: Sequence[CellShape]) -> int:
    return sum(shape.parts for shape in shapes)


def _pack_evenly(domains: Mapping[str, DomainSize], own_cell_workers: float) -> list[CellShape]:
    """Return the fewest cells, as equal in size as possible.

    Filling cells one after the other could give three domains an owner near its limit and the
    fourth domain an owner of its own: bursts would wait in one cell while the workers of the other
    are idle.
    """
    fewest = _pack_domains(domains, capacity_share=1.0, own_cell_workers=own_cell_workers)
    for step in range(1, CAPACITY_STEPS):
        shapes = _pack_domains(
            domains, capacity_share=step / CAPACITY_STEPS, own_cell_workers=own_cell_workers
        )
        if _count_cells(shapes) == _count_cells(fewest):
            return shapes
    return fewest


def _pack_domains(
    domains: Mapping[str, DomainSize], *, capacity_share: float, own_cell_workers: float
) -> list[CellShape]:
    """Return the fewest cells if owners use a share of their capacity, in order of domain names.

    :param own_cell_workers: workers from which a domain is a cell of its own.
    """
    shapes: list[CellShape] = []
    group = _DomainGroup()
    for name in sorted(domains):
        alone = _DomainGroup().with_domain(name, domains[name])
        if alone.is_self_sufficient(own_cell_workers, capacity_share):
            shapes.append(_make_shape(alone, capacity_share))
            continue
        joined = group.with_domain(name, domains[name])
        if group.domains and joined.workers > joined.worker_capacity() * capacity_share:
            shapes.append(_make_shape(group, capacity_share))
            joined = alone
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
