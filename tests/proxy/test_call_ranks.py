"""Tests of papayatack.proxy.call_ranks."""

import unittest

from papayatack.proxy.call_ranks import MAX_ROUTES, CallRanks
from tests.proxy.fakes import build_peer_request


class CallRanksTests(unittest.TestCase):
    """Ranks of calls with and without a known parent."""

    def setUp(self):
        self.ranks = CallRanks()

    def apply(self, parent_rank, route="calls"):
        """Give a call the rank of a parent."""
        call = build_peer_request(route=route, rank=1)
        self.ranks.apply(call, build_peer_request(rank=parent_rank))
        return call.rank

    def limit(self, rank, route="calls"):
        """Return the rank of a request that is only named like a call."""
        request = build_peer_request(route=route, rank=rank)
        self.ranks.limit(request)
        return request.rank

    def test_worst_rank_of_known_calls_limits_unknown_ones(self):
        self.assertEqual([self.apply(rank) for rank in (0, 2, 1)], [0, 2, 1])
        self.assertEqual([self.limit(rank) for rank in (0, 2, 3)], [2, 2, 3])

    def test_route_without_known_calls_keeps_its_rank(self):
        self.apply(2)
        self.assertEqual(self.limit(0, route="other"), 0)

    def test_number_of_routes_is_bounded(self):
        for number in range(MAX_ROUTES + 1):
            self.apply(2, route=str(number))
        self.assertEqual(self.limit(0, route="0"), 0)
        self.assertEqual(self.limit(0, route=str(MAX_ROUTES)), 2)
