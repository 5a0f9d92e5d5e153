"""Tests of told loads between nodes: from the gate of one to the choice of another."""

import asyncio
import unittest

from papayatack.core.node_load import TOLD_MAX_AGE_S, NodeLoad
from standins.upstream import UpstreamStandin
from tests.proxy.fakes import Node, build_peer_request

REQUESTS = 60
PAUSE_S = 0.003
"""Longer than the time in which requests go to one node together."""

IDLE = NodeLoad(wait_s=0.0, work_s=0.0, slots=4, service_s=5.0)
FULL = NodeLoad(wait_s=20.0, work_s=100.0, slots=4, service_s=5.0)


class ToldLoadTests(unittest.IsolatedAsyncioTestCase):
    """One node that sends, and two that serve beside an upstream each."""

    async def asyncSetUp(self):
        """Start the upstreams and the nodes."""
        self.upstreams = [UpstreamStandin() for _ in range(2)]
        for upstream in self.upstreams:
            await upstream.start()
        self.servers = [
            await Node(name=f"server{number}").start(upstream.port)
            for number, upstream in enumerate(self.upstreams)
        ]
        self.entry = await Node(name="entry").start()
        self.entry.network.loads.on_news = self.entry.engine.record_load
        self.entry.ownership.nodes = tuple(
            server.build_route(local=False) for server in self.servers
        )

    async def asyncTearDown(self):
        """Stop the nodes and the upstreams."""
        for node in (self.entry, *self.servers):
            await node.stop()
        for upstream in self.upstreams:
            await upstream.stop(timeout_s=0)

    async def count_served(self):
        """Send requests one after the other; return how many each node served."""
        before = [server.gate.acquired for server in self.servers]
        for number in range(REQUESTS):
            request = build_peer_request(f"r{number}")
            request.request.headers = ((b"host", b"test"),)
            result = await self.entry.engine._attempts.run(request)
            self.assertEqual(result.unwrap().status, 200)
            await asyncio.sleep(PAUSE_S)
        return [
            server.gate.acquired - served
            for server, served in zip(self.servers, before, strict=True)
        ]

    async def test_node_that_tells_that_it_is_full_gets_few_requests(self):
        """What a node tells with its responses steers those that follow."""
        self.servers[0].network.loads.read = lambda: FULL
        self.servers[1].network.loads.read = lambda: IDLE
        served = await self.count_served()
        self.assertLess(served[0], REQUESTS / 6)

    async def test_requests_return_once_old_news_has_lapsed(self):
        """A node of which nothing was heard is tried again, and tells of its room."""
        self.servers[0].network.loads.read = lambda: FULL
        self.servers[1].network.loads.read = lambda: IDLE
        await self.count_served()
        self.servers[0].network.loads.read = lambda: IDLE
        self.servers[1].network.loads.read = lambda: FULL
        await asyncio.sleep(TOLD_MAX_AGE_S)
        served = await self.count_served()
        self.assertGreater(served[0], REQUESTS / 2)

    async def test_absurd_load_is_counted_and_steers_nothing(self):
        """A load out of its bounds counts as none: both nodes get requests."""
        absurd = NodeLoad(wait_s=0.0, work_s=0.0, slots=0, service_s=5.0)
        for server in self.servers:
            server.network.loads.read = lambda: absurd
        await self.count_served()
        counted = self.entry.metrics.read_count("told_loads_malformed")
        self.assertEqual(counted, REQUESTS)
