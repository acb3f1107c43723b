"""Counters and latency histograms of one entry, rendered as text for metric collectors.

Recording one value through the OpenTelemetry SDK takes 21 us, and the SDK some 8 MB of memory; an
owner records three values for each task. Values are therefore kept here, in the bucket layout of
the SDK, and served in the text format that OpenTelemetry collectors read.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

# Upper bounds of the buckets. Tasks take 50 ms to several seconds, a round trip 1 ms.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0)


class Histogram:
    """Number of values in each bucket, and their sum."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum = 0.0

    def record(self, value: float) -> None:
        """Count one value in seconds."""
        self.counts[bisect_left(BUCKETS_S, value)] += 1
        self.sum += value


class Metrics:
    """The counters and histograms of one entry."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], int] = defaultdict(int)
        self._histograms: dict[tuple[str, str], Histogram] = defaultdict(Histogram)

    def count(self, name: str, labels: str = "") -> None:
        """Increment a counter; labels are in the text format, such as ``verdict="failed"``."""
        self._counters[name, labels] += 1

    def record(self, name: str, value_s: float, labels: str = "") -> None:
        """Record a duration in a histogram."""
        self._histograms[name, labels].record(value_s)

    def render(self, gauges: dict[str, float]) -> str:
        """Return counters, histograms and the given gauges as text."""
        lines = [f"zincwell_{name} {value:g}" for name, value in gauges.items()]
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"zincwell_{name}_total{_format_labels(labels)} {value}")
        for (name, labels), histogram in sorted(self._histograms.items()):
            lines.extend(_render_histogram(f"zincwell_{name}_seconds", labels, histogram))
        return "\n".join(lines) + "\n"


def _format_labels(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""


def _render_histogram(name: str, labels: str, histogram: Histogram) -> list[str]:
    lines = []
    total = 0
    prefix = f"{labels}," if labels else ""
    for bound, count in zip((*BUCKETS_S, "+Inf"), histogram.counts, strict=True):
        total += count
        lines.append(f'{name}_bucket{{{prefix}le="{bound}"}} {total}')
    lines.append(f"{name}_sum{_format_labels(labels)} {histogram.sum:.6f}")
    lines.append(f"{name}_count{_format_labels(labels)} {total}")
    return lines
