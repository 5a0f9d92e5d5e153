"""Counts of one run and what is read from them."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from papayatack.core.inventory import RequestClass
from papayatack.observability.metrics import LatencyHistogram

__all__ = ["Tally", "compute_jain_index", "share_max_min"]


def compute_jain_index(values: Iterable[float]) -> float:
    """Return 1 if all values are equal, down to 1/n if one has everything."""
    values = list(values)
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def share_max_min(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair shares of a capacity among equal partners."""
    shares: dict[str, float] = {}
    left = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(ordered):
        shares[name] = min(demand, left / (len(ordered) - index))
        left -= shares[name]
    return shares


@dataclasses.dataclass(slots=True, kw_only=True)
class Tally:
    """Counts of the requests that come after the warm-up.

    Attributes:
        measure_from_s: End of the warm-up.
    """

    measure_from_s: float
    offered: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    offered_work: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    good: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    good_work: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    errors: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    attempts: int = 0
    refusal_waits: LatencyHistogram = dataclasses.field(
        default_factory=LatencyHistogram
    )
    partner_latencies: dict[str, LatencyHistogram] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(LatencyHistogram)
    )
    latencies: dict[RequestClass, LatencyHistogram] = dataclasses.field(
        default_factory=lambda: {kind: LatencyHistogram() for kind in RequestClass}
    )

    def is_counted(self, request) -> bool:
        """Return whether a request came after the warm-up."""
        return request.arrival_s >= self.measure_from_s

    def read_steady_p99_ms(self, partners: Iterable[str]) -> float:
        """Return the 99th percentile of the answers to some partners, the worst one."""
        return max(
            self.partner_latencies[partner].read_quantiles()["p99_us"] / 1000
            for partner in partners
        )

    def record_offer(self, request) -> None:
        """Count a request that came."""
        if self.is_counted(request):
            self.offered[request.partner, request.request_class] += 1
            self.offered_work[request.partner] += request.service_s

    def record_attempt(self, request) -> None:
        """Count an attempt."""
        if self.is_counted(request):
            self.attempts += 1

    def record_refusal(self, now: float, request, kind) -> None:
        """Count a refusal by the gate."""
        self.record_error(request, kind)
        if self.is_counted(request):
            self.refusal_waits.record(now - request.arrival_s)

    def record_error(self, request, kind) -> None:
        """Count a failed attempt."""
        if self.is_counted(request):
            self.errors[kind] += 1

    def record_answer(self, now: float, request) -> None:
        """Count an answer; one after the deadline is of no use.

        Work counts by when it is done, so that a queue at the begin and at the end
        of the measured time does not distort the goodput.
        """
        if now > request.deadline_s:
            self.record_end(now, request)
            return
        if now >= self.measure_from_s:
            self.good_work[request.partner] += request.service_s
        if not self.is_counted(request):
            return
        self.good[request.partner, request.request_class] += 1
        self._record_latency(request, now - request.arrival_s)

    def record_end(self, now: float, request) -> None:
        """Count a request without an answer in time as one of its whole deadline."""
        if self.is_counted(request):
            self._record_latency(request, request.deadline_s - request.arrival_s)

    def _record_latency(self, request, latency_s: float) -> None:
        self.latencies[request.request_class].record(latency_s)
        self.partner_latencies[request.partner].record(latency_s)

    def read_goodput(self) -> float:
        """Return the slot seconds of the answers in time."""
        return sum(self.good_work.values())

    def read_good_share(self, request_class: RequestClass) -> float:
        """Return the share of a class's requests that were answered in time."""
        offered = self._sum(self.offered, request_class)
        return self._sum(self.good, request_class) / offered if offered else 1.0

    def read_p99_ms(self, request_class: RequestClass) -> float:
        """Return the 99th percentile of the time to the answer."""
        return self.latencies[request_class].read_quantiles()["p99_us"] / 1000

    def read_attempts_per_request(self) -> float:
        """Return the attempts for each request that came."""
        return self.attempts / max(1, sum(self.offered.values()))

    def read_fair_ratios(self) -> dict[str, float]:
        """Return each partner's work against its max-min share of all work done."""
        shares = share_max_min(dict(self.offered_work), self.read_goodput())
        return {
            partner: self.good_work[partner] / share if share else 0.0
            for partner, share in shares.items()
        }

    @staticmethod
    def _sum(counter: collections.Counter, request_class: RequestClass) -> int:
        return sum(
            count for (_, kind), count in counter.items() if kind is request_class
        )
