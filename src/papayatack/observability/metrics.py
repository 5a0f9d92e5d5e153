"""Counters, gauges and latency histograms of one process."""

import dataclasses

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

__all__ = ["LatencyHistogram", "Metrics"]

MIN_LATENCY_US = 1
"""Shortest duration that a histogram distinguishes; shorter ones count as this."""

MAX_LATENCY_US = 600_000_000
"""Longest duration that a histogram distinguishes; longer ones count as this."""

SIGNIFICANT_DIGITS = 3
"""Number of significant decimal digits that a histogram retains."""

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
"""Percentiles that are reported."""


class LatencyHistogram:
    """Histogram of durations, in whole microseconds.

    Long durations are rounded to ``SIGNIFICANT_DIGITS`` significant digits.
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record(self, duration_s: float) -> None:
        """Record a duration in seconds."""
        microseconds = int(duration_s * 1_000_000)
        self._histogram.record_value(
            min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def read_quantiles(self) -> dict[str, int]:
        """Return the number of durations and their percentiles in microseconds."""
        values = {"count": self._histogram.get_total_count()}
        for percent in PERCENTILES:
            value = self._histogram.get_value_at_percentile(percent)
            values[f"p{percent:g}_us"] = int(value)
        return values


@dataclasses.dataclass(slots=True, kw_only=True)
class Metrics:
    """Metrics of one process, with a Prometheus registry of its own.

    Counters, gauges and histograms are created on first use. The registry has the
    counters and the gauges.
    """

    registry: CollectorRegistry = dataclasses.field(default_factory=CollectorRegistry)
    latencies: dict[str, LatencyHistogram] = dataclasses.field(default_factory=dict)
    counters: dict[str, Counter] = dataclasses.field(default_factory=dict)
    gauges: dict[str, Gauge] = dataclasses.field(default_factory=dict)

    def count(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Increase the counter ``name`` for the label ``reason`` by ``amount``."""
        counter = self.counters.get(name)
        if counter is None:
            counter = Counter(
                f"papayatack_{name}",
                f"{name} by reason",
                ["reason"],
                registry=self.registry,
            )
            self.counters[name] = counter
        counter.labels(reason).inc(amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name`` to ``value``."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"papayatack_{name}", name, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set(value)

    def record_latency(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds in the histogram ``name``."""
        latency = self.latencies.get(name)
        if latency is None:
            latency = self.latencies[name] = LatencyHistogram()
        latency.record(duration_s)

    def read_count(self, name: str, reason: str = "") -> float:
        """Return the value of the counter ``name`` for ``reason``; 0 if unset."""
        value = self.registry.get_sample_value(
            f"papayatack_{name}_total", {"reason": reason}
        )
        return value or 0.0

    def format_text(self) -> bytes:
        """Return all counters and gauges in the Prometheus text format."""
        return generate_latest(self.registry)
