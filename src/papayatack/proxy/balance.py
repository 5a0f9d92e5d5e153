"""Choice among the nodes of services without keys, by what this node measures."""

import dataclasses
import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.health import Attempt, HealthTracker
from papayatack.core.identity import IncarnationId
from papayatack.core.load_balancer import LoadBalancer
from papayatack.network.exchanges import PeerRequest
from papayatack.proxy.interface import Route

__all__ = ["NodeBalance", "NodeUse"]

TOGETHER_S = 0.001


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServiceNodes:
    """The nodes of one service and what was measured of them."""

    balancer: LoadBalancer[IncarnationId]
    health: HealthTracker[IncarnationId]
    routes: tuple[Route, ...] = ()
    last: tuple[float, Route] | None = None

    def find_last(self, now: float, *, repeatable: bool) -> Route | None:
        """Return the node of the last request if that came at the same moment.

        The calls of one parent come together and are of use only if all are served: at
        one node they are admitted or refused together.
        """
        if self.last is None or now - self.last[0] > TOGETHER_S:
            return None
        route = self.last[1]
        allows = self.health.allows(now, route.incarnation, repeatable=repeatable)
        return route if route in self.routes and allows else None

    def follow(self, routes: tuple[Route, ...]) -> None:
        """Take in a changed list of nodes."""
        if routes == self.routes:
            return
        known = {route.incarnation for route in routes}
        for route in self.routes:
            if route.incarnation not in known:
                self.balancer.remove_node(route.incarnation)
        self.health.set_nodes(known)
        self.routes = routes


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeUse:
    """One attempt at a node, to be ended once."""

    nodes: _ServiceNodes
    incarnation: IncarnationId
    attempt: Attempt
    started_s: float
    ended: bool = False

    def end(self, now: float, error: ErrorKind | None) -> None:
        """Note how the attempt ended; later calls change nothing."""
        if self.ended:
            return
        self.ended = True
        self.nodes.health.finish_attempt(
            now, self.incarnation, self.attempt, error=error
        )
        latency_s = now - self.started_s
        self.nodes.balancer.finish_request(
            now, self.incarnation, latency_s=latency_s, error=error
        )


class NodeBalance:
    """Chooses nodes, service by service.

    Args:
        rng: Draws the nodes that are compared, and spreads probes.
        count: Called with a counter's name and a reason.
    """

    def __init__(
        self, *, rng: random.Random, count: Callable[[str, str], None] | None = None
    ) -> None:
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
        """Return the node for a request.

        Args:
            now: The current time.
            peer_request: The request.
            routes: The service's nodes.
            tried: Nodes at which the request failed, taken if there is no other.
        """
        nodes = self._find(peer_request.service)
        nodes.follow(routes)
        nodes.health.check(now)
        last = nodes.find_last(now, repeatable=peer_request.repeatable)
        if last is not None and not tried:
            return Success(last)
        chosen = nodes.balancer.choose(
            now,
            local_nodes=[
                route.incarnation for route in routes if route.in_local_data_centre
            ],
            remote_nodes=[
                route.incarnation for route in routes if not route.in_local_data_centre
            ],
            health=nodes.health,
            repeatable=peer_request.repeatable,
            excluded=tried,
        )
        for route in routes:
            if route.incarnation == chosen:
                nodes.last = (now, route)
                return Success(route)
        return Failure(_refuse(routes))

    def begin(self, now: float, service: str, incarnation: IncarnationId) -> NodeUse:
        """Note a request on its way to a chosen node."""
        nodes = self._find(service)
        nodes.balancer.start_request(incarnation)
        attempt = nodes.health.start_attempt(now, incarnation)
        return NodeUse(
            nodes=nodes, incarnation=incarnation, attempt=attempt, started_s=now
        )

    def _find(self, service: str) -> _ServiceNodes:
        nodes = self._services.get(service)
        if nodes is None:
            nodes = _ServiceNodes(
                balancer=LoadBalancer(rng=self._rng, count=self._count),
                health=HealthTracker(nodes=(), rng=self._rng, count=self._count),
            )
            self._services[service] = nodes
        return nodes


def _refuse(routes: tuple[Route, ...]) -> Refusal:
    if routes:
        detail = "all nodes of the service are out of use"
        return Refusal(kind=ErrorKind.UPSTREAM_EJECTED, detail=detail)
    return Refusal(kind=ErrorKind.NO_OWNER, detail="the service has no node")
