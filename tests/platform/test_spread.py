"""Tests of how soon a large configuration is in force on all nodes."""

import asyncio
import unittest

from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.records import CONFIG_STREAM
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from tests.fakes.clocks import FreezableLoop
from tests.fakes.links import RatedLog, RatedNetwork
from tests.fakes.nodes import NodeFixture
from tests.platform.documents import PLACES, build_large_manifest

NODES = 77
LINK_BYTES_PER_S = 5_000_000 / 8
ROUTES_BEFORE = 122
ROUTES = 1522
IN_FORCE_S = 2.5
SETTLE_S = 15.0
LONGEST_S = 20.0
DATA_CENTRES = 5


class _Fixture(NodeFixture):
    """Nodes on the platform's manifests, with slow links."""

    def __init__(self):
        super().__init__(tailing=TailPolicy(all_members=2, per_data_centre=1))
        self.network = RatedNetwork(bytes_per_s=LINK_BYTES_PER_S)

    def build_log(self, address):
        """Return the log behind the node's link."""
        return RatedLog(store=self.store, network=self.network, address=address)

    def build_options(self):
        """Return what makes a node follow manifests."""
        return {
            "config": ManifestFold(places=PLACES),
            "decoder": ManifestDecoder(places=PLACES, metrics=Metrics()),
            "lease_s": 3.0,
        }

    async def wait_in_force(self, version):
        """Return how long it takes until all nodes have a version."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        nodes = self.network.nodes.values()
        while any(node.config.version < version for node in nodes):
            if loop.time() - start_s > LONGEST_S:
                break
            await asyncio.sleep(0.01)
        return loop.time() - start_s


class SpreadTests(unittest.TestCase):
    """77 nodes of which the links carry 5 Mbit/s."""

    @classmethod
    def setUpClass(cls):
        """Let a configuration grow by 1,400 routes, once for all tests."""
        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            runner.run(cls.spread())

    @classmethod
    async def spread(cls):
        """Note how long it takes, and what was sent."""
        fixture = _Fixture()
        before = build_large_manifest(version="00000001", routes=ROUTES_BEFORE)
        fixture.store.append(CONFIG_STREAM, before)
        for number in range(NODES):
            fixture.start(f"n{number}", f"dc{number % DATA_CENTRES}")
            await asyncio.sleep(1 / NODES)
        await asyncio.sleep(SETTLE_S)
        fixture.network.batches.clear()
        fixture.network.batch_bytes = 0
        after = build_large_manifest(version="00000002", routes=ROUTES)
        fixture.store.append(CONFIG_STREAM, after)
        cls.duration_s = await fixture.wait_in_force(2)
        await asyncio.sleep(1.0)
        cls.batches = {
            address: count
            for (address, stream), count in fixture.network.batches.items()
            if stream == CONFIG_STREAM
        }
        cls.batch_bytes = fixture.network.batch_bytes
        await fixture.stop()

    def test_large_configuration_is_in_force_in_time(self):
        """All nodes have it within the users' bound."""
        self.assertLessEqual(self.duration_s, IN_FORCE_S)

    def test_no_node_is_sent_a_configuration_twice(self):
        """It comes along the tree, and from nobody else while it is under way."""
        self.assertEqual(set(self.batches.values()), {1})
