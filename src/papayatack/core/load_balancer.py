"""Load balancing among the nodes of a service without keys.

Two nodes are picked at random and the one with the lower expected time is chosen (power
of two choices). The expected time is derived from this node's own measurements: its
requests in flight at the other node and their latency. The load that a node reports is
used only while there is no measurement.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Hashable, Sequence
from typing import Generic, TypeVar

from papayatack.core.errors import ErrorKind
from papayatack.core.health import NODE_FAILURES, HealthTracker

__all__ = ["LoadBalancer"]

Node = TypeVar("Node", bound=Hashable)

LATENCY_TIME_CONSTANT_S = 2.0
"""Time constant of the moving average of the latency, in seconds."""

ERROR_RATE_TIME_CONSTANT_S = 2.0
"""Time constant with which the error rate decays, in seconds."""

ERROR_RATE_WEIGHT = 10.0
"""Penalty at an error rate of 1, as a multiple of the expected time."""

MEASUREMENT_MAX_AGE_S = 10.0
"""Age in seconds after which the latency of an unused node is no longer used."""

REPORT_MAX_AGE_S = 5.0
"""Age in seconds after which a reported load is ignored."""

SPILLOVER_FACTOR = 2.0
"""Ratio of the expected times of local and remote nodes above which requests spill
over to remote nodes."""

DEFAULT_LATENCY_S = 0.01
"""Latency in seconds that is assumed before any measurement."""

MAX_PAUSE_S = 2.0
"""Longest time in seconds for which a node is avoided because its upstream is cold."""

MAX_DRAWS = 4
"""Random draws to find two usable nodes, before all nodes are compared."""

PENALISED_ERRORS = NODE_FAILURES | {
    ErrorKind.UPSTREAM_SHED,
    ErrorKind.QUEUE_FULL,
    ErrorKind.DEADLINE_UNREACHABLE,
    ErrorKind.UPSTREAM_COLD,
}
"""Errors that temporarily make a node less likely to be chosen."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _NodeStats:
    """Measurements of one node, and its reported load."""

    in_flight: int = 0
    latency_s: float | None = None
    latency_updated_s: float = float("-inf")
    error_rate: float = 0.0
    error_rate_updated_s: float = 0.0
    reported_load: float = 0.0
    reported_s: float = float("-inf")
    paused_until_s: float = float("-inf")

    def decayed_error_rate(self, now: float) -> float:
        """Return the share of recent requests that were refused or failed."""
        elapsed_s = max(0.0, now - self.error_rate_updated_s)
        return self.error_rate * math.exp(-elapsed_s / ERROR_RATE_TIME_CONSTANT_S)


class LoadBalancer(Generic[Node]):
    """Chooses a node for each request of a service without keys.

    Args:
        slots: Requests that a node runs concurrently.
        rng: Source of random numbers for picking the nodes to compare.
        count: Called with ``balance`` and the kind of choice, to count it.
    """

    def __init__(
        self,
        *,
        slots: int = 14,
        rng: random.Random | None = None,
        count: Callable[[str, str], None] | None = None,
    ) -> None:
        self._slots = slots
        self._rng = rng or random.Random()
        self._count = count
        self._stats: dict[Node, _NodeStats] = {}

    def choose(
        self,
        now: float,
        *,
        local_nodes: Sequence[Node],
        remote_nodes: Sequence[Node],
        health: HealthTracker[Node],
        repeatable: bool = True,
        excluded: frozenset[Node] = frozenset(),
    ) -> Node | None:
        """Return the node for a request, or ``None`` if no node is usable.

        Args:
            now: The current time.
            local_nodes: Nodes of the service in the caller's data centre.
            remote_nodes: Other nodes of the service.
            health: Determines which nodes are usable.
            repeatable: Whether the request may be run more than once.
            excluded: Nodes that have already been tried for this request; used only if
                there is no other, like those whose upstream is cold.
        """

        def is_usable(node: Node) -> bool:
            return node not in excluded and health.allows(
                now, node, repeatable=repeatable
            )

        def is_preferred(node: Node) -> bool:
            return not self.is_paused(now, node) and is_usable(node)

        node = self._pick(now, local_nodes, remote_nodes, is_preferred)
        if node is None:
            node = self._pick(now, local_nodes, remote_nodes, is_usable)
        if node is None and excluded:
            tried = [node for node in (*local_nodes, *remote_nodes) if node in excluded]
            return self.choose(
                now,
                local_nodes=tried,
                remote_nodes=(),
                health=health,
                repeatable=repeatable,
            )
        return node

    def start_request(self, node: Node) -> None:
        """Record that a request was sent to the node."""
        self._find_stats(node).in_flight += 1

    def is_paused(self, now: float, node: Node) -> bool:
        """Return whether the node had no room for requests to its cold upstream."""
        stats = self._stats.get(node)
        return stats is not None and now < stats.paused_until_s

    def finish_request(
        self,
        now: float,
        node: Node,
        *,
        latency_s: float,
        error: ErrorKind | None,
        retry_after_s: float | None = None,
    ) -> None:
        """Record the result of a request to the node.

        Args:
            now: The current time.
            node: The node.
            latency_s: How long the request took.
            error: Why it failed, ``None`` if it did not.
            retry_after_s: Seconds after which a refused request may succeed.
        """
        stats = self._find_stats(node)
        stats.in_flight = max(0, stats.in_flight - 1)
        if error is ErrorKind.CALLER_LEFT:
            return
        self._record_error(now, stats, 1.0 if error in PENALISED_ERRORS else 0.0)
        if error is ErrorKind.UPSTREAM_COLD:
            stats.paused_until_s = now + min(retry_after_s or 0.0, MAX_PAUSE_S)
        if error is None:
            self._record_latency(now, stats, latency_s)

    def record_reported_load(self, now: float, node: Node, *, busy: float) -> None:
        """Record the share of its slots that a node reports to be in use."""
        stats = self._find_stats(node)
        stats.reported_load = min(max(busy, 0.0), 1.0) if math.isfinite(busy) else 1.0
        stats.reported_s = now

    def remove_node(self, node: Node) -> None:
        """Discard the measurements of a node that has been removed."""
        self._stats.pop(node, None)

    def _pick(
        self,
        now: float,
        local_nodes: Sequence[Node],
        remote_nodes: Sequence[Node],
        is_usable: Callable[[Node], bool],
    ) -> Node | None:
        """Prefer local nodes unless they are much slower than remote ones."""
        local_best = self._pick_of_two(now, local_nodes, is_usable)
        remote_best = self._pick_of_two(now, remote_nodes, is_usable)
        if local_best is None or remote_best is None:
            return local_best if remote_best is None else remote_best
        local_s = self._estimate_time(now, local_best)
        if local_s > SPILLOVER_FACTOR * self._estimate_time(now, remote_best):
            self._count_reason("spilled")
            return remote_best
        self._count_reason("near")
        return local_best

    def _pick_of_two(
        self, now: float, nodes: Sequence[Node], is_usable: Callable[[Node], bool]
    ) -> Node | None:
        """Return the better of two usable nodes that are picked at random."""
        picked: list[Node] = []
        for _ in range(MAX_DRAWS):
            if not nodes:
                return None
            node = self._rng.choice(nodes)
            if node not in picked and is_usable(node):
                picked.append(node)
            if len(picked) == 2:
                break
        if not picked:
            picked = [node for node in nodes if is_usable(node)]
        return min(picked, key=lambda node: self._score(now, node), default=None)

    def _score(self, now: float, node: Node) -> float:
        """Return the expected total time of the node's requests; the lowest wins."""
        stats = self._find_stats(node)
        return (stats.in_flight + 1) * self._estimate_time(now, node)

    def _estimate_time(self, now: float, node: Node) -> float:
        """Return the expected time of a request at the node, in seconds."""
        stats = self._find_stats(node)
        penalty = 1.0 + ERROR_RATE_WEIGHT * stats.decayed_error_rate(now)
        queued = max(1.0, (stats.in_flight + 1) / self._slots)
        return self._estimate_latency(now, stats) * penalty * queued

    def _estimate_latency(self, now: float, stats: _NodeStats) -> float:
        if stats.latency_s is not None and (
            stats.in_flight or now - stats.latency_updated_s < MEASUREMENT_MAX_AGE_S
        ):
            return stats.latency_s
        known_s = [
            other.latency_s
            for other in self._stats.values()
            if other.latency_s is not None
        ]
        latency_s = min(known_s, default=DEFAULT_LATENCY_S)
        if now - stats.reported_s < REPORT_MAX_AGE_S:
            latency_s *= 1.0 + stats.reported_load
        return latency_s

    def _record_latency(self, now: float, stats: _NodeStats, latency_s: float) -> None:
        """Add a latency sample, weighted by the time since the previous one."""
        previous_s = stats.latency_s
        elapsed_s = now - stats.latency_updated_s
        stats.latency_updated_s = now
        if previous_s is None or elapsed_s > MEASUREMENT_MAX_AGE_S:
            stats.latency_s = latency_s
            return
        weight = -math.expm1(-elapsed_s / LATENCY_TIME_CONSTANT_S)
        stats.latency_s = previous_s + (latency_s - previous_s) * max(weight, 0.05)

    def _record_error(self, now: float, stats: _NodeStats, sample: float) -> None:
        current = stats.decayed_error_rate(now)
        stats.error_rate = current + 0.2 * (sample - current)
        stats.error_rate_updated_s = now

    def _find_stats(self, node: Node) -> _NodeStats:
        stats = self._stats.get(node)
        if stats is None:
            stats = _NodeStats()
            self._stats[node] = stats
        return stats

    def _count_reason(self, reason: str) -> None:
        if self._count is not None:
            self._count("balance", reason)
