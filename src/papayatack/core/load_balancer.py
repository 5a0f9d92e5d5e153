"""Choice among the nodes of a service without keys.

Two nodes are drawn at random and the one with the lesser expected time is taken.
The expected time comes from what this node measured: its requests under way there
and their latency. A node's reported load is used only while nothing was measured.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Hashable, Sequence
from typing import Generic, TypeVar

from papayatack.core.errors import ErrorKind
from papayatack.core.health import FAILURES, HealthTracker

__all__ = ["LoadBalancer"]

Node = TypeVar("Node", bound=Hashable)

LATENCY_TIME_CONSTANT_S = 2.0
TROUBLE_TIME_CONSTANT_S = 2.0
TROUBLE_WEIGHT = 10.0
MEASUREMENT_FRESH_S = 10.0
REPORT_FRESH_S = 5.0
SPILL_FACTOR = 2.0
DEFAULT_LATENCY_S = 0.01
MAX_DRAWS = 4

TROUBLES = FAILURES | {
    ErrorKind.UPSTREAM_SHED,
    ErrorKind.QUEUE_FULL,
    ErrorKind.DEADLINE_UNREACHABLE,
}
"""Errors that make a node less likely to be chosen for a while."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _NodeLoad:
    """What was measured of one node, and what it reports."""

    in_flight: int = 0
    latency_s: float | None = None
    measured_s: float = float("-inf")
    trouble: float = 0.0
    trouble_s: float = 0.0
    reported: float = 0.0
    reported_s: float = float("-inf")

    def read_trouble(self, now: float) -> float:
        """Return the share of recent attempts that were refused or failed."""
        elapsed_s = max(0.0, now - self.trouble_s)
        return self.trouble * math.exp(-elapsed_s / TROUBLE_TIME_CONSTANT_S)


class LoadBalancer(Generic[Node]):
    """Chooses a node for each request of a service without keys.

    Args:
        slots: Requests that a node runs at once.
        rng: Draws the nodes that are compared.
        count: Called with ``balance`` and how the choice was made.
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
        self._loads: dict[Node, _NodeLoad] = {}

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
        """Return the node for a request, or ``None`` if none may be asked.

        Args:
            now: The current time.
            near: The service's nodes in the caller's data centre.
            far: Its other nodes.
            health: Says which nodes are in use.
            repeatable: Whether the request may be run more than once.
            avoid: Nodes that this request was tried at; taken if there is no other.
        """

        def is_usable(node: Node) -> bool:
            return node not in excluded and health.allows(
                now, node, repeatable=repeatable
            )

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
        """Note that a request goes to the node."""
        self._find(node).in_flight += 1

    def finish_request(
        self, now: float, node: Node, *, latency_s: float, error: ErrorKind | None
    ) -> None:
        """Note how a request to the node ended."""
        load = self._find(node)
        load.in_flight = max(0, load.in_flight - 1)
        if error is ErrorKind.CALLER_LEFT:
            return
        self._record_trouble(now, load, 1.0 if error in TROUBLES else 0.0)
        if error is None:
            self._record_latency(now, load, latency_s)

    def report(self, now: float, node: Node, *, busy: float) -> None:
        """Note the share of its slots that a node says are in use."""
        load = self._find(node)
        load.reported = min(max(busy, 0.0), 1.0) if math.isfinite(busy) else 1.0
        load.reported_s = now

    def remove_node(self, node: Node) -> None:
        """Drop what is known of a node that is gone."""
        self._loads.pop(node, None)

    def _pick(
        self,
        now: float,
        near: Sequence[Node],
        far: Sequence[Node],
        is_usable: Callable[[Node], bool],
    ) -> Node | None:
        """Prefer nearby nodes until they are clearly slower than distant ones."""
        near_best = self._draw(now, near, is_usable)
        far_best = self._draw(now, far, is_usable)
        if near_best is None or far_best is None:
            return near_best if far_best is None else far_best
        near_s = self._expect_time(now, near_best)
        if near_s > SPILL_FACTOR * self._expect_time(now, far_best):
            self._note("spilled")
            return far_best
        self._note("near")
        return near_best

    def _draw(
        self, now: float, nodes: Sequence[Node], is_usable: Callable[[Node], bool]
    ) -> Node | None:
        """Return the better of two usable nodes drawn at random."""
        drawn: list[Node] = []
        for _ in range(MAX_DRAWS):
            if not nodes:
                return None
            node = self._rng.choice(nodes)
            if node not in drawn and is_usable(node):
                drawn.append(node)
            if len(drawn) == 2:
                break
        if not drawn:
            drawn = [node for node in nodes if is_usable(node)]
        return min(drawn, key=lambda node: self._score(now, node), default=None)

    def _score(self, now: float, node: Node) -> float:
        """Return the node's expected work, to share the load evenly."""
        load = self._find(node)
        return (load.in_flight + 1) * self._expect_time(now, node)

    def _expect_time(self, now: float, node: Node) -> float:
        """Return the time that a request is expected to take there."""
        load = self._find(node)
        penalty = 1.0 + TROUBLE_WEIGHT * load.read_trouble(now)
        queued = max(1.0, (load.in_flight + 1) / self._slots)
        return self._expect_latency(now, load) * penalty * queued

    def _expect_latency(self, now: float, load: _NodeLoad) -> float:
        if load.latency_s is not None and (
            load.in_flight or now - load.measured_s < MEASUREMENT_FRESH_S
        ):
            return load.latency_s
        known_s = [
            other.latency_s
            for other in self._loads.values()
            if other.latency_s is not None
        ]
        latency_s = min(known_s, default=DEFAULT_LATENCY_S)
        if now - load.reported_s < REPORT_FRESH_S:
            latency_s *= 1.0 + load.reported
        return latency_s

    def _record_latency(self, now: float, load: _NodeLoad, latency_s: float) -> None:
        """Add a sample, weighted by the time since the last one."""
        previous_s = load.latency_s
        elapsed_s = now - load.measured_s
        load.measured_s = now
        if previous_s is None or elapsed_s > MEASUREMENT_FRESH_S:
            load.latency_s = latency_s
            return
        weight = -math.expm1(-elapsed_s / LATENCY_TIME_CONSTANT_S)
        load.latency_s = previous_s + (latency_s - previous_s) * max(weight, 0.05)

    def _record_trouble(self, now: float, load: _NodeLoad, sample: float) -> None:
        current = load.read_trouble(now)
        load.trouble = current + 0.2 * (sample - current)
        load.trouble_s = now

    def _find(self, node: Node) -> _NodeLoad:
        load = self._loads.get(node)
        if load is None:
            load = _NodeLoad()
            self._loads[node] = load
        return load

    def _note(self, reason: str) -> None:
        if self._count is not None:
            self._count("balance", reason)
