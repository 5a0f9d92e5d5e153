"""Tests of papayatack.proxy.node_selector."""

import random
import unittest

from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.core.node_load import NodeLoad
from papayatack.proxy.interface import Route
from papayatack.proxy.node_selector import NodeSelector
from tests.network.two_networks import build_peer_request

NO_NODES = frozenset()
IDLE = NodeLoad(wait_s=0.0, work_s=0.0, slots=4, service_s=0.1)
FULL = NodeLoad(wait_s=0.5, work_s=2.0, slots=4, service_s=0.1)


def make_route(number, *, local=False):
    """Return a route to a node of the service."""
    return Route(
        shard=ShardId(""),
        local=local,
        incarnation=IncarnationId(f"127.0.0.1:{number}#x"),
        address=PeerAddress(f"127.0.0.1:{number}"),
    )


class BurstTests(unittest.TestCase):
    """Node selection for requests that arrive at nearly the same time."""

    def setUp(self):
        self.selector = NodeSelector(rng=random.Random(1))
        self.routes = tuple(make_route(number) for number in range(4))

    def choose(self, now, tried=NO_NODES, routes=None):
        """Return the route selected for one request, which then succeeds."""
        routes = self.routes if routes is None else routes
        request = build_peer_request()
        route = self.selector.choose(now, request, routes, tried).unwrap()
        attempt = self.selector.start_attempt(now, request.service, route.incarnation)
        attempt.finish(now + 0.0002, None)
        return route

    def test_requests_within_the_burst_window_go_to_the_same_node(self):
        """The calls of one parent arrive together, each on its own connection."""
        for moment in range(20):
            first = self.choose(moment * 1.0)
            self.assertIs(self.choose(moment + 0.0005), first)

    def test_requests_outside_the_burst_window_are_spread_over_all_nodes(self):
        """Requests that arrive further apart reach every node of the service."""
        chosen = {self.choose(moment * 0.01).incarnation for moment in range(40)}
        self.assertEqual(len(chosen), len(self.routes))

    def test_retry_goes_to_another_node_within_the_burst_window(self):
        """A retry is not bound to the node at which the request failed."""
        first = self.choose(1.0)
        second = self.choose(1.0, tried=frozenset({first.incarnation}))
        self.assertIsNot(second, first)

    def test_removed_node_is_not_selected_within_the_burst_window(self):
        """The list of nodes may change within the burst window."""
        first = self.choose(1.0)
        remaining = tuple(route for route in self.routes if route is not first)
        self.assertIsNot(self.choose(1.0, routes=remaining), first)


class ToldLoadTests(unittest.TestCase):
    """Node selection by the load that nodes tell."""

    def select(self, *, told=None, local_load=None):
        """Return how often each of three nodes was selected.

        Args:
            told: What the two other nodes tell with each response; ``None`` if no
                handler hears of it.
            local_load: What the local gate says.
        """
        routes = (make_route(0, local=True), make_route(1), make_route(2))
        selector = NodeSelector(
            rng=random.Random(1), read_local_load=lambda: local_load
        )
        counts = [0, 0, 0]
        for moment in range(600):
            now = moment * 0.01
            request = build_peer_request()
            route = selector.choose(now, request, routes, NO_NODES).unwrap()
            number = routes.index(route)
            counts[number] += 1
            attempt = selector.start_attempt(now, request.service, route.incarnation)
            if number and told is not None:
                selector.record_load(
                    now + 0.005, request.service, route.incarnation, told[number - 1]
                )
            attempt.finish(now + 0.005, None)
        return counts

    def test_full_nodes_get_few_requests(self):
        """A node that tells that it has room gets nearly all."""
        counts = self.select(told=(FULL, IDLE), local_load=FULL)
        self.assertGreater(counts[2], 400)
        self.assertLess(max(counts[:2]), 100)

    def test_local_node_is_read_directly(self):
        """The local node tells without any response."""
        counts = self.select(told=(FULL, FULL), local_load=IDLE)
        self.assertGreater(counts[0], 400)

    def test_selection_without_told_loads_is_as_before(self):
        """Responses that tell nothing leave the selection as it is."""
        self.assertEqual(self.select(told=(None, None)), self.select())

    def test_news_of_an_unknown_service_or_node_is_dropped(self):
        """No state is made for what was never selected."""
        selector = NodeSelector(rng=random.Random(1))
        selector.record_load(0.0, "other", make_route(0).incarnation, IDLE)
        self.assertEqual(selector._services, {})
