"""Counters by reason and latency histograms of one process."""

import dataclasses

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

__all__ = ["LatencyHistogram", "Metrics"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES_PERCENT = (50.0, 90.0, 99.0, 99.9, 100.0)


class LatencyHistogram:
    """A histogram of durations, readable as quantiles in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, duration_s: float) -> None:
        """Add one duration, in seconds."""
        microseconds = int(duration_s * 1_000_000)
        self._histogram.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))

    def read_quantiles(self) -> dict[str, int]:
        """Return the count and the quantiles, in microseconds."""
        values = {"count": self._histogram.get_total_count()}
        for percent in QUANTILES_PERCENT:
            value = self._histogram.get_value_at_percentile(percent)
            values[f"p{percent:g}_us"] = int(value)
        return values


@dataclasses.dataclass(slots=True, kw_only=True)
class Metrics:
    """All counters of one process, in a registry of its own."""

    registry: CollectorRegistry = dataclasses.field(default_factory=CollectorRegistry)
    latencies: dict[str, LatencyHistogram] = dataclasses.field(default_factory=dict)
    counters: dict[str, Counter] = dataclasses.field(default_factory=dict)
    gauges: dict[str, Gauge] = dataclasses.field(default_factory=dict)

    def count(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Add to the counter ``name`` under a reason."""
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
        """Set the gauge ``name``."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"papayatack_{name}", name, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set(value)

    def record_latency(self, name: str, duration_s: float) -> None:
        """Add a duration, in seconds, to the histogram ``name``."""
        latency = self.latencies.get(name)
        if latency is None:
            latency = self.latencies[name] = LatencyHistogram()
        latency.record(duration_s)

    def read_count(self, name: str, reason: str = "") -> float:
        """Return a counter's value, 0 if nothing was counted."""
        value = self.registry.get_sample_value(
            f"papayatack_{name}_total", {"reason": reason}
        )
        return value or 0.0

    def format_text(self) -> bytes:
        """Return all counters in the Prometheus text format."""
        return generate_latest(self.registry)
