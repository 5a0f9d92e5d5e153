"""Load balancing among the nodes of a service without keys.

Two nodes are picked at random and the one with the lower expected time is chosen (power
of two choices). The expected time is derived from this node's own measurements: its
requests in flight at the other node and their latency. The load that a node reports is
used only while there is no measurement.

Nodes that tell the room and the work left at their upstream are compared by the
expected end there of a request that is sent now. Those with the newest news are
compared with the two. News that is older than a request takes does not say where a slot
is free; own measurements then decide alone.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable, Hashable, Sequence
from typing import Generic, TypeVar

from papayatack.core.errors import ErrorKind
from papayatack.core.health import NODE_FAILURES, HealthTracker
from papayatack.core.node_load import NodeLoad, ToldLoad

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

WAIT_WEIGHT = 4.0
"""Weight of the expected wait for a slot against the service time. A request that waits
at a fast node while slots of slower ones are free also delays those behind it."""

MAX_SENT_TIMES = 64
"""Latest requests to a node of which the time of sending is kept."""

HEARD_NODES = 4
"""Nodes with the newest news of their load that are compared with those drawn."""

LOCAL_EXCESS_FACTOR = 2.0
"""Multiple of the expected time by which local nodes may exceed it on average before
the excess is added to what they tell."""

PENALISED_ERRORS = NODE_FAILURES | {
    ErrorKind.UPSTREAM_SHED,
    ErrorKind.QUEUE_FULL,
    ErrorKind.DEADLINE_UNREACHABLE,
    ErrorKind.UPSTREAM_COLD,
}
"""Errors that temporarily make a node less likely to be chosen."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _NodeStats:
    """Measurements of one node, and its reported load.

    Attributes:
        told: What the node told of its load; ``None`` if its last response told none.
        is_local: Whether it is in the caller's data centre.
        sent_s: When the latest requests were sent to it, in seconds.
        expected_s: Time that was expected of the last request to it, in seconds.
        mean_expected_s: Mean of that, averaged like the latency.
    """

    in_flight: int = 0
    latency_s: float | None = None
    latency_updated_s: float = float("-inf")
    error_rate: float = 0.0
    error_rate_updated_s: float = 0.0
    reported_load: float = 0.0
    reported_s: float = float("-inf")
    paused_until_s: float = float("-inf")
    told: ToldLoad | None = None
    sent_s: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SENT_TIMES)
    )
    is_local: bool = True
    expected_s: float = 0.0
    mean_expected_s: float = 0.0

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
        self._heard: dict[bool, collections.deque[Node]] = {
            is_local: collections.deque(maxlen=HEARD_NODES)
            for is_local in (True, False)
        }

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

        def is_allowed(node: Node) -> bool:
            return health.allows(now, node, repeatable=repeatable)

        def is_usable(node: Node) -> bool:
            return node not in excluded and is_allowed(node)

        def is_preferred(node: Node) -> bool:
            return not self.is_paused(now, node) and is_usable(node)

        node = self._pick(now, local_nodes, remote_nodes, is_preferred)
        if node is None:
            node = self._pick(now, local_nodes, remote_nodes, is_usable)
        if node is None and excluded:
            tried = [node for node in (*local_nodes, *remote_nodes) if node in excluded]
            return self._find_lowest(now, self._draw_two(tried, is_allowed))
        return node

    def start_request(self, node: Node, now: float = -math.inf) -> None:
        """Record that a request was sent to the node."""
        stats = self._find_stats(node)
        stats.in_flight += 1
        stats.sent_s.append(now)

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

    def record_told_load(
        self,
        now: float,
        node: Node,
        load: NodeLoad | None,
        *,
        formed_s: float | None = None,
        ended: int = 0,
    ) -> None:
        """Record what a node tells of the room and the work left at its upstream.

        What a node tells to which no request was sent is not kept.

        Args:
            now: The current time, in seconds.
            node: The node.
            load: What it tells; ``None`` if it told nothing with its response.
            formed_s: When the news was formed; by default half the way there ago.
            ended: Own requests that have ended there, but are still recorded as in
                flight.
        """
        stats = self._stats.get(node)
        if stats is None:
            return
        if load is None:
            stats.told = None
            return
        if formed_s is None:
            formed_s = now if stats.is_local else now - self._find_excess(stats) / 2.0
        sent_later = sum(sent_s > formed_s for sent_s in stats.sent_s)
        own = max(0, stats.in_flight - ended - sent_later)
        if stats.told is None or not stats.told.is_current(now):
            stats.told = ToldLoad(formed_s, load, own=own)
        else:
            stats.told.update(formed_s, load, own=own)
        heard = self._heard[stats.is_local]
        if node in heard:
            heard.remove(node)
        heard.append(node)

    def remove_node(self, node: Node) -> None:
        """Discard the measurements of a node that has been removed."""
        self._stats.pop(node, None)
        for heard in self._heard.values():
            if node in heard:
                heard.remove(node)

    def _pick(
        self,
        now: float,
        local_nodes: Sequence[Node],
        remote_nodes: Sequence[Node],
        is_usable: Callable[[Node], bool],
    ) -> Node | None:
        """Prefer local nodes unless they are much slower than remote ones."""
        local_best = self._pick_one(now, local_nodes, is_usable, are_local=True)
        remote_best = self._pick_one(now, remote_nodes, is_usable, are_local=False)
        if local_best is None or remote_best is None:
            return local_best if remote_best is None else remote_best
        local_s, remote_s = self._estimate_both(now, local_best, remote_best)
        if local_s > SPILLOVER_FACTOR * remote_s:
            self._count_reason("spilled")
            return remote_best
        self._count_reason("near")
        return local_best

    def _pick_one(
        self,
        now: float,
        nodes: Sequence[Node],
        is_usable: Callable[[Node], bool],
        *,
        are_local: bool,
    ) -> Node | None:
        """Return the best of some usable nodes.

        These are two that are drawn and, if at least two are known by fresh news, those
        with the newest news.
        """
        drawn = self._draw_two(nodes, is_usable)
        fresh = [
            node
            for node in self._heard[are_local]
            if self._is_fresh(now, node) and is_usable(node)
        ]
        if len(fresh) < min(2, len(drawn)):
            best = self._find_lowest(now, drawn)
        else:
            picked = dict.fromkeys((*drawn, *fresh))
            best = self._find_first_end(now, list(picked))
        if best is not None:
            stats = self._find_stats(best)
            stats.is_local = are_local
            stats.expected_s = self._estimate_told(now, stats)
        return best

    def _find_lowest(self, now: float, nodes: list[Node]) -> Node | None:
        """Return the node with the lowest score by own measurements."""
        return min(nodes, key=lambda node: self._score(now, node), default=None)

    def _find_first_end(self, now: float, nodes: list[Node]) -> Node | None:
        """Return the node at which a request is expected to end first.

        A node of which nothing is known is taken for an average one.
        """
        known_s = {
            node: self._estimate_end(now, node, wait_weight=WAIT_WEIGHT)
            for node in nodes
            if self._tells(now, node) or self._is_measured(now, self._find_stats(node))
        }
        if not known_s:
            return nodes[0] if nodes else None
        mean_s = sum(known_s.values()) / len(known_s)
        return min(nodes, key=lambda node: known_s.get(node, mean_s))

    def _draw_two(
        self, nodes: Sequence[Node], is_usable: Callable[[Node], bool]
    ) -> list[Node]:
        """Return two usable nodes drawn at random, or all if fewer were drawn."""
        picked: list[Node] = []
        for _ in range(MAX_DRAWS):
            if not nodes:
                return picked
            node = self._rng.choice(nodes)
            if node not in picked and is_usable(node):
                picked.append(node)
            if len(picked) == 2:
                break
        return picked or [node for node in nodes if is_usable(node)]

    def _tells(self, now: float, node: Node) -> bool:
        """Return whether there is recent news of the load of a node."""
        stats = self._stats.get(node)
        return (
            stats is not None and stats.told is not None and stats.told.is_current(now)
        )

    def _is_fresh(self, now: float, node: Node) -> bool:
        """Return whether a node told its load recently enough to show free slots."""
        stats = self._stats.get(node)
        return stats is not None and stats.told is not None and stats.told.is_fresh(now)

    def _estimate_both(
        self, now: float, local: Node, remote: Node
    ) -> tuple[float, float]:
        """Return the expected times of a request at a local and at a remote node."""
        if self._is_fresh(now, local) or self._is_fresh(now, remote):
            return self._estimate_end(now, local), self._estimate_end(now, remote)
        return self._estimate_time(now, local), self._estimate_time(now, remote)

    def _estimate_end(
        self, now: float, node: Node, *, wait_weight: float = 1.0
    ) -> float:
        """Return the expected time of a request, from what the node tells if it does.

        Args:
            now: The current time, in seconds.
            node: The node.
            wait_weight: Weight of the wait for a slot.
        """
        if not self._tells(now, node):
            return self._estimate_time(now, node)
        stats = self._stats[node]
        wait_s, service_s = stats.told.estimate_times(now, stats.in_flight)
        penalty = 1.0 + ERROR_RATE_WEIGHT * stats.decayed_error_rate(now)
        excess_s = self._find_excess(stats)
        return excess_s + (wait_weight * wait_s + service_s) * penalty

    def _estimate_told(self, now: float, stats: _NodeStats) -> float:
        """Return the time of a request by what its node told, 0 if it told nothing."""
        if stats.told is None or not stats.told.is_current(now):
            return 0.0
        return sum(stats.told.estimate_times(now, stats.in_flight))

    def _find_excess(self, stats: _NodeStats) -> float:
        """Return by how much a node takes longer than it tells, in seconds.

        For a remote node this is the way there and back. A local one that takes much
        longer tells the wrong load.
        """
        if stats.latency_s is None or not stats.mean_expected_s:
            return 0.0
        factor = LOCAL_EXCESS_FACTOR if stats.is_local else 1.0
        return max(0.0, stats.latency_s - factor * stats.mean_expected_s)

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
        if self._is_measured(now, stats):
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

    def _is_measured(self, now: float, stats: _NodeStats) -> bool:
        """Return whether the latency of a node was measured lately."""
        age_s = now - stats.latency_updated_s
        return stats.latency_s is not None and (
            stats.in_flight > 0 or age_s < MEASUREMENT_MAX_AGE_S
        )

    def _record_latency(self, now: float, stats: _NodeStats, latency_s: float) -> None:
        """Add a latency sample, weighted by the time since the previous one."""
        previous_s = stats.latency_s
        elapsed_s = now - stats.latency_updated_s
        stats.latency_updated_s = now
        if previous_s is None or elapsed_s > MEASUREMENT_MAX_AGE_S:
            stats.latency_s = latency_s
            stats.mean_expected_s = stats.expected_s
            return
        weight = max(-math.expm1(-elapsed_s / LATENCY_TIME_CONSTANT_S), 0.05)
        stats.latency_s = previous_s + (latency_s - previous_s) * weight
        if not stats.mean_expected_s:
            stats.mean_expected_s = stats.expected_s
        difference_s = stats.expected_s - stats.mean_expected_s
        stats.mean_expected_s += difference_s * weight

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
