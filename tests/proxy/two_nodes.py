"""Test case with two nodes, of which the second owns the shard."""

import unittest

from standins.upstream import UpstreamStandin
from tests.proxy.fakes import Node

__all__ = ["TwoNodesTestCase"]


class TwoNodesTestCase(unittest.IsolatedAsyncioTestCase):
    """Two nodes and the upstream of the second one.

    Attributes:
        connections: Most connections of the owner to its upstream.
        gate: Class of the owner's gate; ``None`` for one that admits all requests.
        upstream: The upstream.
        owner: The node that owns the shard.
        entry: The node that forwards requests to the owner.
    """

    connections = 130
    gate = None

    async def asyncSetUp(self):
        """Start the upstream and the nodes."""
        self.upstream = UpstreamStandin()
        await self.upstream.start()
        owner = Node(name="owner", connections=self.connections)
        if self.gate is not None:
            owner.gate = self.gate()
        self.owner = await owner.start(self.upstream.port)
        self.entry = await Node(name="entry").start()
        self.owner.ownership.route = self.owner.build_route(local=True)
        self.entry.ownership.route = self.owner.build_route(local=False)
        await self.owner.grant()

    async def asyncTearDown(self):
        """Stop the nodes and the upstream."""
        await self.entry.stop()
        await self.owner.stop()
        await self.upstream.stop(timeout_s=0)
