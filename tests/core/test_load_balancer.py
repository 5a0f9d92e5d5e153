"""Tests of papayatack.core.load_balancer."""

import collections
import heapq
import random
import unittest

from papayatack.core.errors import ErrorKind
from papayatack.core.health import HealthTracker
from papayatack.core.load_balancer import LoadBalancer

INTERVAL_S = 0.002


def serve(latencies_s, *, local_nodes=None, reports=None, failing=(), requests=4000):
    """Send requests through a load balancer; return how often each node was chosen.

    Args:
        latencies_s: Service time of each node, in seconds.
        local_nodes: Nodes in the caller's data centre, by default all.
        reports: Share of busy slots that each node reports, which may be wrong.
        failing: Nodes whose requests fail immediately.
        requests: Number of requests.
    """
    rng = random.Random(7)
    balancer = LoadBalancer(rng=rng)
    health = HealthTracker(nodes=latencies_s, max_ejected_share=0.0, rng=rng)
    local_nodes = list(latencies_s) if local_nodes is None else local_nodes
    remote_nodes = [node for node in latencies_s if node not in local_nodes]
    chosen = collections.Counter()
    ends = []
    for number in range(requests):
        now = number * INTERVAL_S
        while ends and ends[0][0] <= now:
            end_s, node, latency_s, error = heapq.heappop(ends)
            balancer.finish_request(end_s, node, latency_s=latency_s, error=error)
        for node, busy in (reports or {}).items():
            balancer.record_reported_load(now, node, busy=busy)
        node = balancer.choose(
            now, local_nodes=local_nodes, remote_nodes=remote_nodes, health=health
        )
        chosen[node] += 1
        balancer.start_request(node)
        error = ErrorKind.UPSTREAM_LOST if node in failing else None
        latency_s = 0.0001 if error else latencies_s[node] * rng.uniform(0.8, 1.2)
        heapq.heappush(ends, (now + latency_s, node, latency_s, error))
    return chosen


class BalancerTests(unittest.TestCase):
    """Choices by measured latency and errors."""

    def test_equal_nodes_share_equally(self):
        """Three equal nodes get about a third of the requests each."""
        chosen = serve({"a": 0.02, "b": 0.02, "c": 0.02})
        for node in "abc":
            self.assertAlmostEqual(chosen[node] / 4000, 1 / 3, delta=0.03)

    def test_slow_node_gets_less(self):
        """A node with four times the latency gets less than half of an equal share."""
        chosen = serve({"a": 0.02, "b": 0.02, "c": 0.08})
        self.assertLess(chosen["c"], 4000 / 3 / 2)

    def test_fast_failures_attract_no_requests(self):
        """A node that fails immediately has a low latency, but gets few requests."""
        chosen = serve({"a": 0.02, "b": 0.02, "c": 0.02}, failing=("c",))
        self.assertLess(chosen["c"], 4000 / 3 / 2)

    def test_local_nodes_are_preferred(self):
        """Local nodes get nearly all requests while they are not much slower."""
        chosen = serve({"a": 0.02, "b": 0.02, "remote": 0.02}, local_nodes=["a", "b"])
        self.assertLess(chosen["remote"] / 4000, 0.05)

    def test_requests_spill_over_from_slow_local_nodes(self):
        """Remote nodes get requests if the local ones are much slower."""
        chosen = serve({"a": 0.2, "b": 0.2, "remote": 0.02}, local_nodes=["a", "b"])
        self.assertGreater(chosen["remote"] / 4000, 0.3)

    def test_excluded_nodes_are_chosen_last(self):
        """A retry uses another node, or the same one if there is no other."""
        balancer = LoadBalancer(rng=random.Random(1))
        health = HealthTracker(nodes="ab", rng=random.Random(1))
        for _ in range(20):
            node = balancer.choose(
                0.0,
                local_nodes="ab",
                remote_nodes=(),
                health=health,
                excluded=frozenset("a"),
            )
            self.assertEqual(node, "b")
        only = balancer.choose(
            0.0,
            local_nodes="a",
            remote_nodes=(),
            health=health,
            excluded=frozenset("a"),
        )
        self.assertEqual(only, "a")

    def test_returns_none_without_usable_node(self):
        """No node is chosen while all are ejected."""
        balancer = LoadBalancer(rng=random.Random(1))
        health = HealthTracker(nodes=("a",), max_ejected_share=1.0)
        for _ in range(5):
            number = health.start_attempt(0.0, "a")
            health.finish_attempt(0.0, "a", number, error=ErrorKind.UPSTREAM_LOST)
        self.assertIsNone(
            balancer.choose(0.1, local_nodes="a", remote_nodes=(), health=health)
        )


class WrongReportTests(unittest.TestCase):
    """Load reports that are late or wrong."""

    def test_report_of_no_load_attracts_no_requests(self):
        """A slow node that reports no load gets the share that fits its latency."""
        latencies_s = {"a": 0.02, "b": 0.02, "c": 0.08}
        correct = serve(latencies_s)
        wrong = serve(latencies_s, reports={"a": 1.0, "b": 1.0, "c": 0.0})
        self.assertLess(wrong["c"], 1.2 * correct["c"])

    def test_report_of_full_load_repels_no_requests(self):
        """A node with equal latency that reports full load keeps its share."""
        latencies_s = {"a": 0.02, "b": 0.02, "c": 0.02}
        wrong = serve(latencies_s, reports={"a": 0.0, "b": 0.0, "c": 1.0})
        self.assertGreater(wrong["c"], 0.8 * 4000 / 3)


class ColdNodeTests(unittest.TestCase):
    """Nodes that refuse requests because their upstream is cold."""

    def setUp(self):
        self.balancer = LoadBalancer(rng=random.Random(1))
        self.health = HealthTracker(nodes="ab")

    def choose(self, now, nodes="ab"):
        """Return the node that is chosen."""
        return self.balancer.choose(
            now, local_nodes=nodes, remote_nodes=(), health=self.health
        )

    def refuse(self, now, node, retry_after_s):
        """Let a node refuse a request."""
        self.balancer.start_request(node)
        self.balancer.finish_request(
            now,
            node,
            latency_s=0.001,
            error=ErrorKind.UPSTREAM_COLD,
            retry_after_s=retry_after_s,
        )

    def test_node_is_not_chosen_before_it_has_room(self):
        self.refuse(0.0, "a", 1.0)
        chosen = [self.choose(step / 100) for step in range(100)]
        self.assertEqual(set(chosen), {"b"})
        chosen = [self.choose(10.0 + step / 100) for step in range(100)]
        self.assertEqual(set(chosen), {"a", "b"})

    def test_node_is_chosen_if_there_is_no_other(self):
        self.refuse(0.0, "a", 1.0)
        self.assertEqual(self.choose(0.1, "a"), "a")

    def test_pause_is_bounded(self):
        self.refuse(0.0, "a", 1e9)
        chosen = [self.choose(60.0 + step / 100) for step in range(100)]
        self.assertIn("a", chosen)

    def test_far_node_goes_before_a_near_cold_one(self):
        self.refuse(0.0, "a", 1.0)
        node = self.balancer.choose(
            0.1, local_nodes="a", remote_nodes="b", health=self.health
        )
        self.assertEqual(node, "b")
