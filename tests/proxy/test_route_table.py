"""Tests of papayatack.proxy.route_table."""

import time
import unittest

from hypothesis import given, strategies as st

from papayatack.core.inventory import HostRoute, RequestClass, Target
from papayatack.proxy.route_table import RouteTable

HOSTS = st.sampled_from(["a.example", "b.example"])
PATHS = st.text(alphabet="/xy", max_size=8)
LOOKUPS = 300
MANY_ROUTES = 10_000
FEW_ROUTES = 10
MAX_GROWTH = 10


def build_route(number, host, prefix):
    """Return a route to a service of its own."""
    return HostRoute(
        name=f"r{number}",
        host=host,
        prefix=prefix,
        targets=(Target(service=f"s{number}"),),
        repeatable=True,
        request_class=RequestClass.BROWSE,
        timeout_s=1.0,
        target_latency_s=0.5,
    )


def find_by_search(routes, host, path):
    """Return the first route with the longest prefix, by comparing with each."""
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


class RouteTableTests(unittest.TestCase):
    """Lookups in tables of random routes, and how long they take."""

    @given(st.lists(st.tuples(HOSTS, PATHS), max_size=12), HOSTS, PATHS)
    def test_lookup_agrees_with_a_search_of_all_routes(self, pairs, host, path):
        """Prefixes of any form, the empty one and duplicates included."""
        routes = [build_route(number, *pair) for number, pair in enumerate(pairs)]
        found = RouteTable(routes=routes).find(host, path)
        self.assertIs(found, find_by_search(routes, host, path))

    def measure(self, count):
        """Return the seconds that lookups take among so many routes of one host."""
        prefixes = [f"/{number:05d}/" for number in range(count)]
        routes = [build_route(n, "h", prefix) for n, prefix in enumerate(prefixes)]
        table = RouteTable(routes=routes)
        started_s = time.process_time()
        for number in range(LOOKUPS):
            self.assertIsNotNone(table.find("h", f"{prefixes[number % count]}rest"))
        return time.process_time() - started_s

    def test_lookup_time_does_not_grow_with_the_number_of_routes(self):
        """A search would take a thousand times as long."""
        few_s = min(self.measure(FEW_ROUTES) for _ in range(5))
        many_s = min(self.measure(MANY_ROUTES) for _ in range(5))
        self.assertLess(many_s, MAX_GROWTH * few_s)
