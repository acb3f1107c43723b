"""How many owners a pool needs, and which workers each of them has.

Load that it answers: hundreds of workers. One queue over all of them places jobs best, and with 24
workers one owner serves 0.95 where one for each of four failure domains serves 0.87. But a start
costs an owner 0.6 to 0.8 ms of processor, so an owner of 270 workers that start 2,200 tasks a
second is late with all of them. So there are as few cells as the owners can carry: all domains in
one, else a few domains in each, else a domain in parts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Workers that an owner with one whole core carries. A worker begins up to 8 tasks a second, at
# 0.8 ms of processor each; an owner that is busy for more than 0.4 of its time makes short tasks
# wait for their starts.
WORKERS_PER_CORE = 64
# A part of a domain needs an owner and two that can take over from it.
ENTRIES_PER_PART = 3
# The layout stays while its cells are at most this many times too large, and as long as not even
# owners of this share of their strength would do with fewer cells: a change moves all runs.
TOO_LARGE = 1.25
TOO_SMALL = 0.6
# Strengths of owners, as parts of the whole, that are tried for the most equal cells.
EVEN_STEPS = 20


@dataclass(frozen=True, kw_only=True)
class DomainSize:
    """What a failure domain has.

    :param cores: processor of each of its entries.
    """

    workers: int = 0
    cores: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CellShape:
    """Failure domains that share a queue; one domain may be split into parts of equal size."""

    domains: tuple[str, ...]
    parts: int = 1


@dataclass(kw_only=True)
class _Group:
    domains: list[str] = field(default_factory=list)
    workers: int = 0
    cores: list[float] = field(default_factory=list)

    def joined(self, name: str, size: DomainSize) -> _Group:
        return _Group(
            domains=[*self.domains, name],
            workers=self.workers + size.workers,
            cores=sorted([*self.cores, *size.cores], reverse=True),
        )

    def capacity(self) -> float:
        """Return how many workers the second strongest entry carries, as the first may be lost."""
        if not self.cores:
            return math.inf
        return WORKERS_PER_CORE * self.cores[min(1, len(self.cores) - 1)]


def plan_cells(
    domains: Mapping[str, DomainSize], current: Sequence[CellShape]
) -> Sequence[CellShape]:
    """Return the cells that the pool should have; ``current`` if these will do."""
    covered = {domain for shape in current for domain in shape.domains}
    if covered == set(domains):
        fewest = _count(_divide(domains, strength=TOO_LARGE))
        most = _count(_divide(domains, strength=TOO_SMALL))
        if fewest <= _count(current) <= most:
            return current
    return _divide_evenly(domains)


def _count(shapes: Sequence[CellShape]) -> int:
    return sum(shape.parts for shape in shapes)


def _divide_evenly(domains: Mapping[str, DomainSize]) -> list[CellShape]:
    """Return the fewest cells, as equal as they can be.

    Filled one after the other, three domains would share an owner near its limit and the fourth
    would have one for itself: bursts wait in the one while the other's workers stand empty.
    """
    fewest = _divide(domains, strength=1.0)
    for step in range(1, EVEN_STEPS):
        shapes = _divide(domains, strength=step / EVEN_STEPS)
        if _count(shapes) == _count(fewest):
            return shapes
    return fewest


def _divide(domains: Mapping[str, DomainSize], *, strength: float) -> list[CellShape]:
    """Return the fewest cells for owners of a strength, in the order of the domains' names."""
    shapes: list[CellShape] = []
    group = _Group()
    for name in sorted(domains):
        joined = group.joined(name, domains[name])
        if group.domains and joined.workers > joined.capacity() * strength:
            shapes.append(_shape_of(group, strength))
            joined = _Group().joined(name, domains[name])
        group = joined
    if group.domains:
        shapes.append(_shape_of(group, strength))
    return shapes


def _shape_of(group: _Group, strength: float) -> CellShape:
    parts = 1
    if len(group.domains) == 1:
        wanted = math.ceil(group.workers / (group.capacity() * strength))
        parts = max(1, min(wanted, len(group.cores) // ENTRIES_PER_PART))
    return CellShape(domains=tuple(group.domains), parts=parts)
