"""Tests of papayatack.proxy.node_selector."""

import random
import unittest

from papayatack.core.identity import IncarnationId, PeerAddress, ShardId
from papayatack.proxy.interface import Route
from papayatack.proxy.node_selector import NodeSelector
from tests.network.test_peers import build_peer_request

NONE = frozenset()


def make_route(number):
    """Return a node of the service."""
    return Route(
        shard=ShardId(""),
        local=False,
        incarnation=IncarnationId(f"127.0.0.1:{number}#x"),
        address=PeerAddress(f"127.0.0.1:{number}"),
    )


class TogetherTests(unittest.TestCase):
    """Requests that come at the same moment."""

    def setUp(self):
        self.balance = NodeSelector(rng=random.Random(1))
        self.routes = tuple(make_route(number) for number in range(4))

    def choose(self, now, tried=NONE, routes=None):
        """Return the node of one request."""
        routes = self.routes if routes is None else routes
        request = build_peer_request()
        route = self.balance.choose(now, request, routes, tried).unwrap()
        use = self.balance.start_attempt(now, request.service, route.incarnation)
        use.finish(now + 0.0002, None)
        return route

    def test_calls_of_one_parent_go_to_one_node(self):
        """They come at once, on connections of their own."""
        for moment in range(20):
            first = self.choose(moment * 1.0)
            self.assertIs(self.choose(moment + 0.0005), first)

    def test_later_requests_are_spread(self):
        """The work is still shared evenly."""
        chosen = {self.choose(moment * 0.01).incarnation for moment in range(40)}
        self.assertEqual(len(chosen), len(self.routes))

    def test_request_that_was_tried_there_goes_elsewhere(self):
        """A further attempt is not bound to what came before it."""
        first = self.choose(1.0)
        again = self.choose(1.0, tried=frozenset({first.incarnation}))
        self.assertIsNot(again, first)

    def test_node_that_has_left_is_not_chosen(self):
        """The list may change within the moment."""
        first = self.choose(1.0)
        left = tuple(route for route in self.routes if route is not first)
        self.assertIsNot(self.choose(1.0, routes=left), first)
