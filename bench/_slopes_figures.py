"""Figures of several runs, and lines through them."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from msgspec import Struct


@dataclass(frozen=True, kw_only=True)
class Sample:
    """One value of one run."""

    name: str
    value: float
    unit: str


class Figure(Struct, frozen=True, kw_only=True):
    """Values of the same name over all runs."""

    name: str
    unit: str
    median: float
    low: float
    high: float


@dataclass(frozen=True, kw_only=True)
class Line:
    """A straight line: ``base + sum(slope * size)``."""

    base: float
    slopes: list[float]


def summarize(samples: Sequence[Sample]) -> list[Figure]:
    """Return median, least and greatest value of each name, in order of appearance."""
    values_by_name: dict[tuple[str, str], list[float]] = {}
    for sample in samples:
        values_by_name.setdefault((sample.name, sample.unit), []).append(sample.value)
    return [
        Figure(
            name=name,
            unit=unit,
            median=_rounded(statistics.median(values)),
            low=_rounded(min(values)),
            high=_rounded(max(values)),
        )
        for (name, unit), values in values_by_name.items()
    ]


def fit_line(sizes: Sequence[Sequence[float]], values: Sequence[float]) -> Line:
    """Fit a line by least relative squares, so that large sizes don't drown the small.

    :param sizes: for each value the sizes that it depends on.
    """
    weights = 1 / numpy.maximum(numpy.abs(numpy.asarray(values, dtype=float)), 1e-9)
    rows = numpy.array([[1.0, *row] for row in sizes]) * weights[:, None]
    found, *_ = numpy.linalg.lstsq(rows, numpy.asarray(values) * weights, rcond=None)
    return Line(base=float(found[0]), slopes=[float(slope) for slope in found[1:]])


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")
