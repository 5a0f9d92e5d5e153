"""Tests of the time until a large configuration is in force on all nodes."""

import asyncio
import functools
import unittest

from papayatack.core.ownership.selection import TailPolicy, list_tree_children
from papayatack.core.records import CONFIG_STREAM
from papayatack.observability.metrics import Metrics
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from tests.fakes.clocks import FreezableLoop
from tests.fakes.links import RatedLog, RatedNetwork
from tests.fakes.nodes import NodeFixture
from tests.platform.documents import PLACES, build_large_manifest

NODES = 77
LINK_BYTES_PER_S = 5_000_000 / 8
INITIAL_ROUTES = 122
ROUTES = 1522
MAX_ROLLOUT_S = 2.5
SETTLE_S = 15.0
TIMEOUT_S = 20.0
DATA_CENTRES = 5


class _Fixture(NodeFixture):
    """Nodes that use the platform's manifests, with slow links."""

    def __init__(self):
        super().__init__(
            tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
        )
        self.network = RatedNetwork(bytes_per_s=LINK_BYTES_PER_S)

    def build_log(self, address):
        """Return the log as seen through the node's link."""
        return RatedLog(store=self.store, network=self.network, address=address)

    def build_options(self):
        """Return the node options for manifests."""
        return {
            "config": ManifestFold(places=PLACES),
            "decoder": ManifestDecoder(places=PLACES, metrics=Metrics()),
            "lease_s": 3.0,
        }

    async def wait_in_force(self, version):
        """Wait until all nodes have a version; return the time in seconds."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        nodes = self.network.nodes.values()
        while any(node.config.version < version for node in nodes):
            if loop.time() - start_s > TIMEOUT_S:
                break
            await asyncio.sleep(0.01)
        return loop.time() - start_s

    def list_senders(self, data_centre):
        """Return a data centre's root of the forwarding tree and an inner node."""
        nodes = {
            node.core.incarnation: (
                address,
                list_tree_children(node.core.state, node.core.incarnation),
            )
            for address, node in self.network.nodes.items()
            if node.core.state.members[node.core.incarnation].data_centre == data_centre
        }
        receivers = {name for _, children in nodes.values() for name in children}
        senders = [name for name, (_, children) in nodes.items() if children]
        senders.sort(key=lambda name: name in receivers)
        return [nodes[name][0] for name in senders[:2]]


async def run_rollout(fixture, choose_killed):
    """Publish a larger configuration, kill nodes, and return the time it takes."""
    before = build_large_manifest(version="00000001", routes=INITIAL_ROUTES)
    fixture.store.append(CONFIG_STREAM, before)
    for number in range(NODES):
        fixture.start(f"n{number}", f"dc{number % DATA_CENTRES}")
        await asyncio.sleep(1 / NODES)
    await asyncio.sleep(SETTLE_S)
    fixture.network.batches.clear()
    for address in choose_killed():
        await fixture.kill(address)
    after = build_large_manifest(version="00000002", routes=ROUTES)
    fixture.store.append(CONFIG_STREAM, after)
    duration_s = await fixture.wait_in_force(2)
    await asyncio.sleep(1.0)
    await fixture.stop()
    return duration_s


class RolloutTests(unittest.TestCase):
    """A configuration on 77 nodes with links of 5 Mbit/s."""

    def play(self, choose_killed):
        """Return the time in seconds until all nodes have it, and the batches sent."""

        async def run():
            fixture = _Fixture()
            duration_s = await run_rollout(
                fixture, functools.partial(choose_killed, fixture)
            )
            return duration_s, fixture.network.batches

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            return runner.run(run())

    def test_large_configuration_is_in_force_in_time(self):
        """All nodes have it within the users' time limit; none receives it twice."""
        duration_s, batches = self.play(lambda fixture: [])
        sent = {
            count for (_, stream), count in batches.items() if stream == CONFIG_STREAM
        }
        self.assertLessEqual(duration_s, MAX_ROLLOUT_S)
        self.assertEqual(sent, {1})

    def test_nodes_below_killed_nodes_have_it_in_time(self):
        """The root of one data centre's tree and another's inner node are killed."""

        def choose(fixture):
            root, _ = fixture.list_senders("dc0")
            _, inner = fixture.list_senders("dc1")
            return [root, inner]

        duration_s, _ = self.play(choose)
        self.assertLessEqual(duration_s, MAX_ROLLOUT_S)
