"""Metrics: histograms by tenant and urgency class, and counters.

Recording a value in an OpenTelemetry histogram costs about as much as a dispatch, so values are
collected in HDR histograms and exported through observable instruments.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource

UNITS_PER_SECOND = 10_000
MAX_UNITS = 3_600 * UNITS_PER_SECOND
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 100.0)
HISTOGRAMS = ("queueing", "run", "response")

Label = tuple[str, str]


class Metrics:
    """Histograms of queueing, run and response time, and counters, by name and label."""

    def __init__(self) -> None:
        self._histogram_by_label: dict[tuple[str, Label], HdrHistogram] = {}
        self._count_by_label: dict[tuple[str, Label], int] = {}
        self._provider: MeterProvider | None = None

    def observe(self, name: str, seconds: float, *, tenant: str, urgency: str) -> None:
        """Record one duration.

        :param name: one of ``HISTOGRAMS``.
        """
        label = (name, (tenant, urgency))
        histogram = self._histogram_by_label.get(label)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
            self._histogram_by_label[label] = histogram
        histogram.record_value(max(1, round(seconds * UNITS_PER_SECOND)))

    def count(self, name: str, *, kind: str = "", tenant: str = "", by: int = 1) -> None:
        """Increment a counter.

        :param by: number of events.
        """
        label = (name, (kind, tenant))
        self._count_by_label[label] = self._count_by_label.get(label, 0) + by

    def total(self, name: str, *, kind: str) -> int:
        """Return the value of a counter, summed over all tenants."""
        counts = self._count_by_label.items()
        return sum(
            count for (event, (label, _)), count in counts if event == name and label == kind
        )

    async def snapshot(self) -> dict[str, Any]:
        """Return all metrics as plain JSON values, times in milliseconds.

        Yields to the event loop after each histogram. Reading one takes milliseconds, so reading
        hundreds at once would block the loop for seconds, and the peers would declare this entry
        dead.
        """
        histograms = []
        for label, histogram in list(self._histogram_by_label.items()):
            histograms.append(_describe(label, histogram))
            await asyncio.sleep(0)
        counters = [
            {"name": name, "kind": kind, "tenant": tenant, "count": count}
            for (name, (kind, tenant)), count in self._count_by_label.items()
        ]
        return {"histograms": histograms, "counters": counters}

    def export(self, endpoint: str, *, vm: str) -> None:
        """Start to export the metrics to an OTLP collector periodically."""
        # The resource is set explicitly, because the SDK's resource detectors inspect the host
        # and may start other processes.
        resource = Resource({"service.name": "zincwell", "service.instance.id": vm})
        reader = PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=endpoint))
        self._provider = MeterProvider(metric_readers=[reader], resource=resource)
        meter = self._provider.get_meter("zincwell")
        meter.create_observable_counter("zincwell.events", callbacks=[self._observe_counters])
        for name in HISTOGRAMS:
            meter.create_observable_gauge(
                f"zincwell.{name}_ms", callbacks=[self._make_gauge(name)], unit="ms"
            )

    def close(self) -> None:
        """Export the remaining values and stop exporting."""
        if self._provider is not None:
            self._provider.shutdown()

    def _observe_counters(self, _: CallbackOptions) -> Iterable[Observation]:
        for (name, (kind, tenant)), count in list(self._count_by_label.items()):
            yield Observation(count, {"event": name, "kind": kind, "tenant": tenant})

    def _make_gauge(self, exported_name: str):
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for (name, (tenant, urgency)), histogram in list(self._histogram_by_label.items()):
                if name != exported_name:
                    continue
                for quantile in QUANTILES:
                    attributes = {"tenant": tenant, "urgency": urgency, "quantile": quantile}
                    yield Observation(_milliseconds(histogram, quantile), attributes)

        return observe


def _describe(label: tuple[str, Label], histogram: HdrHistogram) -> dict[str, Any]:
    name, (tenant, urgency) = label
    return {
        "name": name,
        "tenant": tenant,
        "urgency": urgency,
        "count": histogram.get_total_count(),
        "mean_ms": round(histogram.get_mean_value() * 1000 / UNITS_PER_SECOND, 1),
        **{f"p{quantile:g}_ms": _milliseconds(histogram, quantile) for quantile in QUANTILES},
    }


def _milliseconds(histogram: HdrHistogram, quantile: float) -> float:
    units = histogram.get_value_at_percentile(quantile)
    return round(units * 1000 / UNITS_PER_SECOND, 1)
