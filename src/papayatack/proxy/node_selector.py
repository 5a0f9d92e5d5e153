"""Node selection for services without keys, based on local health and load data."""

import dataclasses
import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.health import Attempt, HealthTracker
from papayatack.core.identity import IncarnationId
from papayatack.core.load_balancer import LoadBalancer
from papayatack.core.node_load import NodeLoad
from papayatack.network.exchanges import PeerRequest
from papayatack.proxy.interface import Route

__all__ = ["NodeSelector", "NodeAttempt"]

BURST_WINDOW_S = 0.001
"""Requests that arrive within this time after a selection go to the same node."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServiceNodes:
    """The nodes of one service, with their health and load."""

    balancer: LoadBalancer[IncarnationId]
    health: HealthTracker[IncarnationId]
    routes: tuple[Route, ...] = ()
    near: list[IncarnationId] = dataclasses.field(default_factory=list)
    far: list[IncarnationId] = dataclasses.field(default_factory=list)
    by_incarnation: dict[IncarnationId, Route] = dataclasses.field(default_factory=dict)
    local: IncarnationId | None = None
    last_choice: tuple[float, Route] | None = None

    def find_recent(self, now: float, *, repeatable: bool) -> Route | None:
        """Return the last selected node if that was within the burst window.

        The calls that one parent request makes arrive together, and their responses
        are useful only if all calls succeed. One node admits or refuses them together.
        """
        if self.last_choice is None or now - self.last_choice[0] > BURST_WINDOW_S:
            return None
        route = self.last_choice[1]
        allowed = self.health.allows(now, route.incarnation, repeatable=repeatable)
        if self.balancer.is_paused(now, route.incarnation):
            return None
        return route if route in self.routes and allowed else None

    def update_routes(self, routes: tuple[Route, ...]) -> None:
        """Replace the list of nodes and drop the state of removed ones."""
        if routes == self.routes:
            return
        incarnations = {route.incarnation for route in routes}
        for route in self.routes:
            if route.incarnation not in incarnations:
                self.balancer.remove_node(route.incarnation)
        self.health.set_nodes(incarnations)
        self.routes = routes
        self.by_incarnation = {route.incarnation: route for route in routes}
        self.near, self.far = [], []
        self.local = None
        for route in routes:
            nodes = self.near if route.in_local_data_centre else self.far
            nodes.append(route.incarnation)
            if route.local:
                self.local = route.incarnation


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeAttempt:
    """One attempt at a node.

    Attributes:
        nodes: The nodes of the service.
        incarnation: The incarnation that the request is sent to.
        attempt: The health tracker's record of the attempt.
        started_s: Time at which the attempt started, in seconds.
        finished: Whether the outcome has been recorded.
    """

    nodes: _ServiceNodes
    incarnation: IncarnationId
    attempt: Attempt
    started_s: float
    finished: bool = False

    def finish(
        self,
        now: float,
        error: ErrorKind | None,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        """Record the outcome of the attempt; calls after the first have no effect.

        Args:
            now: The current time, in seconds.
            error: Why the attempt failed, ``None`` if it succeeded.
            retry_after_s: Seconds after which a refused attempt may succeed.
        """
        if self.finished:
            return
        self.finished = True
        self.nodes.health.finish_attempt(
            now, self.incarnation, self.attempt, error=error
        )
        latency_s = now - self.started_s
        self.nodes.balancer.finish_request(
            now,
            self.incarnation,
            latency_s=latency_s,
            error=error,
            retry_after_s=retry_after_s,
        )


class NodeSelector:
    """Selects a node for each request, with separate state for each service.

    Args:
        rng: Source of randomness for sampling nodes and for the jitter of probes.
        count: Called with the name of a counter and a reason.
        read_local_load: Returns the room and the work left at the local upstream,
            ``None`` if it reports no load.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        count: Callable[[str, str], None] | None = None,
        read_local_load: Callable[[], NodeLoad | None] = lambda: None,
    ) -> None:
        self._read_local_load = read_local_load
        self._rng = rng
        self._count = count
        self._services: dict[str, _ServiceNodes] = {}

    def choose(
        self,
        now: float,
        peer_request: PeerRequest,
        routes: tuple[Route, ...],
        tried: frozenset[IncarnationId],
    ) -> Result[Route, Refusal]:
        """Return the route to the node selected for a request.

        Args:
            now: The current time, in seconds.
            peer_request: The request.
            routes: Routes to the nodes of the service.
            tried: Nodes at which the request has failed; they are selected only if no
                other node is available.

        Returns:
            The route, or a refusal if the service has no node or all are ejected.
        """
        nodes = self._get_nodes(peer_request.service)
        nodes.update_routes(routes)
        nodes.health.check(now)
        recent = nodes.find_recent(now, repeatable=peer_request.repeatable)
        if recent is not None and not tried:
            return Success(recent)
        if nodes.local is not None:
            nodes.balancer.record_told_load(now, nodes.local, self._read_local_load())
        chosen = nodes.balancer.choose(
            now,
            local_nodes=nodes.near,
            remote_nodes=nodes.far,
            health=nodes.health,
            repeatable=peer_request.repeatable,
            excluded=tried,
        )
        if chosen is None:
            return Failure(_build_refusal(routes))
        route = nodes.by_incarnation[chosen]
        nodes.last_choice = (now, route)
        return Success(route)

    def record_load(
        self,
        now: float,
        service: str,
        incarnation: IncarnationId,
        load: NodeLoad | None,
    ) -> None:
        """Record what a node tells of its load with the response to a request.

        Args:
            now: The current time, in seconds.
            service: The service of the request.
            incarnation: The node.
            load: What it tells, ``None`` if nothing.
        """
        nodes = self._services.get(service)
        if nodes is not None:
            nodes.balancer.record_told_load(now, incarnation, load, ended=1)

    def start_attempt(
        self, now: float, service: str, incarnation: IncarnationId
    ) -> NodeAttempt:
        """Record that a request is sent to the selected node."""
        nodes = self._get_nodes(service)
        nodes.balancer.start_request(incarnation, now)
        attempt = nodes.health.start_attempt(now, incarnation)
        return NodeAttempt(
            nodes=nodes, incarnation=incarnation, attempt=attempt, started_s=now
        )

    def _get_nodes(self, service: str) -> _ServiceNodes:
        nodes = self._services.get(service)
        if nodes is None:
            nodes = _ServiceNodes(
                balancer=LoadBalancer(rng=self._rng, count=self._count),
                health=HealthTracker(nodes=(), rng=self._rng, count=self._count),
            )
            self._services[service] = nodes
        return nodes


def _build_refusal(routes: tuple[Route, ...]) -> Refusal:
    if routes:
        detail = "all nodes of the service are ejected"
        return Refusal(kind=ErrorKind.UPSTREAM_EJECTED, detail=detail)
    return Refusal(kind=ErrorKind.NO_OWNER, detail="the service has no nodes")
