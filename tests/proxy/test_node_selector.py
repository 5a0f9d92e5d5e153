"""Tests of papayatack.proxy.node_selector."""

import random
import unittest

from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.proxy.interface import Route
from papayatack.proxy.node_selector import NodeSelector
from tests.network.test_peers import build_peer_request

NO_NODES = frozenset()


def make_route(number):
    """Return a route to a node of the service."""
    return Route(
        shard=ShardId(""),
        local=False,
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
