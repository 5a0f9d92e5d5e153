"""Tests of papayatack.control.node."""

import asyncio
import unittest

import looptime
from returns.result import Success

from papayatack.core.errors import ErrorKind
from papayatack.core.idempotency import KeptAnswer, Replay, Run
from standins.logstore import Outage
from tests.fakes.nodes import NodeFixture

KEYS = [f"key-{number}" for number in range(40)]
PLACES = {"a": "east", "b": "west", "c": "south", "d": "east"}
TARGET_S = 2.0


class ControlNodeTests(unittest.TestCase):
    """Nodes with a log in memory."""

    def run_fleet(self, scenario):
        """Run a scenario with four nodes that serve all keys."""

        async def run():
            fixture = NodeFixture()
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await fixture.wait_served(KEYS, 15)
            await asyncio.sleep(5)
            await scenario(fixture)
            await fixture.stop()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    def test_keys_are_served_once(self):
        """Each key has one server, and every node knows which."""

        async def scenario(fixture):
            for key in KEYS:
                (server,) = fixture.list_servers(key)
                for node in fixture.network.nodes.values():
                    route = node.ownership.locate("orders", key).unwrap()
                    self.assertEqual(route.address, server)

        self.run_fleet(scenario)

    def test_loss_is_taken_over(self):
        """After a kill the keys are served again within the target."""

        async def scenario(fixture):
            await fixture.kill("a")
            self.assertLess(await fixture.wait_served(KEYS, 10), TARGET_S)

        self.run_fleet(scenario)

    def test_takeover_begins_a_tenure(self):
        """A new owner is not the first, and a kept shard stays in its tenure."""

        async def scenario(fixture):
            before = fixture.list_tenures(KEYS)
            start_s = asyncio.get_running_loop().time()
            await fixture.kill("a")
            await fixture.wait_served(KEYS, 10)
            after = fixture.list_tenures(KEYS)
            self.assertTrue(any(tenure.is_first for _, tenure in before.values()))
            moved = [key for key, (address, _) in before.items() if address == "a"]
            self.assertTrue(moved)
            for key in moved:
                self.assertFalse(after[key][1].is_first)
                self.assertGreaterEqual(after[key][1].since_s, start_s)
            for key in set(KEYS) - set(moved):
                address, tenure = after[key]
                if address == before[key][0]:
                    self.assertEqual(tenure.number, before[key][1].number)

        self.run_fleet(scenario)

    def test_loss_is_taken_over_without_log(self):
        """The same holds while the log is down."""

        async def scenario(fixture):
            fixture.store.faults.outage = Outage.HANG
            await asyncio.sleep(30)
            await fixture.kill("b")
            self.assertLess(await fixture.wait_served(KEYS, 10), TARGET_S)

        self.run_fleet(scenario)

    def test_departure_hands_all_over(self):
        """A node that leaves ends by itself, and its keys are served elsewhere."""

        async def scenario(fixture):
            node = fixture.network.nodes["c"]
            node.start_departure()
            async with asyncio.timeout(20):
                self.assertTrue(await node.wait_finished())
            await fixture.kill("c")
            await fixture.wait_served(KEYS, TARGET_S)

        self.run_fleet(scenario)

    def test_departure_hands_outcomes_over(self):
        """Repeats of requests to a node that left are answered by the new owners."""

        async def scenario(fixture):
            memories = fixture.remember()
            before = fixture.list_tenures(KEYS)
            keys = [key for key, (address, _) in before.items() if address == "c"]
            self.assertTrue(keys)
            for key in keys:
                self.assertIsInstance(fixture.begin(memories, key), Run)
                fixture.complete(memories, key, KeptAnswer(status=201, body=b"x"))
            node = fixture.network.nodes["c"]
            node.start_departure()
            async with asyncio.timeout(20):
                self.assertTrue(await node.wait_finished())
            now = asyncio.get_running_loop().time
            async with asyncio.timeout(TARGET_S):
                while node.outcomes.has_left(now()):
                    await asyncio.sleep(0.01)
            await fixture.kill("c")
            await fixture.wait_served(KEYS, TARGET_S)
            for key in keys:
                decision = fixture.begin(memories, key)
                self.assertIsInstance(decision, Replay)
                self.assertEqual(decision.answer.status, 201)

        self.run_fleet(scenario)

    def test_refused_grants_are_not_served(self):
        """No request goes to an upstream that did not accept the grant."""

        async def scenario(fixture):
            fixture.upstreams["d"].accepting = False
            await fixture.kill("d")
            node = fixture.start("d", "east")
            await asyncio.sleep(20)
            for shard in node.core.state.shards:
                self.assertNotIsInstance(node.ownership.authorize(shard), Success)

        self.run_fleet(scenario)

    def test_unknown_service(self):
        """A service that is not published has no route."""

        async def scenario(fixture):
            result = fixture.network.nodes["a"].ownership.locate("other", "k")
            self.assertIs(result.failure().kind, ErrorKind.NO_SUCH_SERVICE)

        self.run_fleet(scenario)
