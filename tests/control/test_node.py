"""Tests of papayatack.control.node."""

import asyncio
import random
import time
import unittest
from unittest import mock

import looptime
from returns.result import Success

from papayatack.control import planning
from papayatack.control.loading import load_streams
from papayatack.core.errors import ErrorKind
from papayatack.core.idempotency import Replay, Run, StoredResponse
from papayatack.core.messages import LogBatch
from papayatack.core.ownership import dump_state
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.ownership.state import EndKind
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from papayatack.observability.events import Event
from papayatack.observability.metrics import Metrics
from standins.logstore import InProcessLog, Outage
from tests.fakes.clocks import FreezableLoop
from tests.fakes.cuts import CutFixture
from tests.fakes.nodes import INVENTORY, NodeFixture

KEYS = [f"key-{number}" for number in range(40)]
DATA_CENTRE_BY_NODE = {"a": "east", "b": "west", "c": "south", "d": "east"}
TAKEOVER_TARGET_S = 2.0
RETENTION_S = 120.0
CONFIG_TARGET_S = 1.0
RECORDS_FORWARDED = 10
MANY_NODES = 90
STARTED_NODES = 60
CUT_NODES = 10
CUT_DATA_CENTRES = 3
STARTUP_S = 20.0
START_SPREAD_S = 1.0
LOG_DELAY_S = 0.004
DATA_CENTRES = 5
RECORDS_PER_S = 29
MEASURED_S = 10


class ControlNodeTests(unittest.TestCase):
    """Control nodes of one process with an in-memory log."""

    def run_nodes(self, scenario, **options):
        """Run a scenario with four nodes that together serve all keys."""

        async def run():
            fixture = NodeFixture(**options)
            fixture.publish()
            for address, place in DATA_CENTRE_BY_NODE.items():
                fixture.start(address, place)
            await fixture.wait_served(KEYS, 15)
            await asyncio.sleep(5)
            await scenario(fixture)
            await fixture.stop()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    def test_each_key_has_one_server(self):
        """Every node routes a key to the only node that serves it."""

        async def scenario(fixture):
            for key in KEYS:
                (server,) = fixture.list_servers(key)
                for node in fixture.network.nodes.values():
                    route = node.ownership.locate("orders", key).unwrap()
                    self.assertEqual(route.address, server)

        self.run_nodes(scenario)

    def test_shards_of_lost_node_are_taken_over(self):
        """After a node is killed, all keys are served again within the target time."""

        async def scenario(fixture):
            await fixture.kill("a")
            self.assertLess(await fixture.wait_served(KEYS, 10), TAKEOVER_TARGET_S)

        self.run_nodes(scenario)

    def test_suspended_node_does_not_serve_under_expired_promises(self):
        """The event loop's clock does not advance while the VM is suspended.

        A node that trusted it would serve under promises that expired meanwhile.
        """
        read_clock = time.clock_gettime

        def read_suspended(clock):
            return read_clock(clock) + 5.0 * (clock == time.CLOCK_BOOTTIME)

        async def scenario(fixture):
            (server,) = fixture.list_servers(KEYS[0])
            ownership = fixture.network.nodes[server].ownership
            shard = ownership.locate("orders", KEYS[0]).unwrap().shard
            self.assertIsNone(ownership.find_obstacle(shard))
            with mock.patch("time.clock_gettime", read_suspended):
                obstacle = ownership.find_obstacle(shard)
                self.assertIsNotNone(obstacle)
                self.assertIs(obstacle.kind, ErrorKind.LEASE_EXPIRED)
                await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)

        self.run_nodes(scenario)

    def test_node_whose_records_are_no_part_of_the_stream_ends(self):
        """It must not go on beside nodes that have other records there."""

        async def scenario(fixture):
            node = fixture.network.nodes["a"]
            node.applied_records.abandon()
            self.assertFalse(await asyncio.wait_for(node.wait_finished(), 1.0))

        self.run_nodes(scenario)

    def test_takeover_starts_a_new_tenure(self):
        """The new tenure is not the first; shards that did not move keep theirs."""

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

        self.run_nodes(scenario)

    def test_shards_of_lost_node_are_taken_over_without_log(self):
        """The target time also holds while the log does not respond."""

        async def scenario(fixture):
            fixture.store.faults.outage = Outage.HANG
            await asyncio.sleep(30)
            await fixture.kill("b")
            self.assertLess(await fixture.wait_served(KEYS, 10), TAKEOVER_TARGET_S)

        self.run_nodes(scenario)

    def test_graceful_shutdown_transfers_all_shards(self):
        """The node finishes by itself, and other nodes serve its keys."""

        async def scenario(fixture):
            node = fixture.network.nodes["c"]
            node.start_departure()
            async with asyncio.timeout(20):
                self.assertTrue(await node.wait_finished())
            await fixture.kill("c")
            await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)

        self.run_nodes(scenario)

    def test_log_lines_show_the_order_of_a_transfer(self):
        """A shard is revoked and released before another upstream is granted it."""

        async def scenario(fixture):
            node = fixture.network.nodes["c"]
            with self.assertLogs("papayatack", "INFO") as lines:
                node.start_departure()
                async with asyncio.timeout(20):
                    await node.wait_finished()
                await fixture.kill("c")
                await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)
            records = [record for record in lines.records if hasattr(record, "shards")]
            released = next(
                record
                for record in records
                if record.getMessage() == Event.SHARDS_RELEASED.name
            )
            shard = released.shards[0]
            names = [
                record.getMessage() for record in records if shard in record.shards
            ]
            expected = [
                Event.SHARDS_REVOKED.name,
                Event.SHARDS_RELEASED.name,
                Event.GRANTS_CONFIRMED.name,
            ]
            self.assertEqual(names[:3], expected)

        self.run_nodes(scenario)

    def test_graceful_shutdown_transfers_outcomes(self):
        """New owners replay the responses to requests that the old owner completed."""

        async def scenario(fixture):
            registries = fixture.remember()
            before = fixture.list_tenures(KEYS)
            keys = [key for key, (address, _) in before.items() if address == "c"]
            self.assertTrue(keys)
            for key in keys:
                self.assertIsInstance(fixture.begin(registries, key), Run)
                fixture.complete(registries, key, StoredResponse(status=201, body=b"x"))
            node = fixture.network.nodes["c"]
            node.start_departure()
            async with asyncio.timeout(20):
                self.assertTrue(await node.wait_finished())
            now = asyncio.get_running_loop().time
            async with asyncio.timeout(TAKEOVER_TARGET_S):
                while node.outcomes.has_pending_exports(now()):
                    await asyncio.sleep(0.01)
            await fixture.kill("c")
            await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)
            for key in keys:
                decision = fixture.begin(registries, key)
                self.assertIsInstance(decision, Replay)
                self.assertEqual(decision.response.status, 201)

        self.run_nodes(scenario)

    def test_shards_with_refused_grants_are_not_served(self):
        """No request is authorized for an upstream that did not accept the grant."""

        async def scenario(fixture):
            fixture.upstreams["d"].accepting = False
            await fixture.kill("d")
            node = fixture.start("d", "east")
            await asyncio.sleep(20)
            for shard in node.core.state.shards:
                self.assertNotIsInstance(node.ownership.authorize(shard), Success)

        self.run_nodes(scenario)

    def count_shards_without_upstream(self, outage, limit_s):
        """Detach the upstream of a node; return its shard counts during and after."""
        counts = []

        async def scenario(fixture):
            fixture.store.faults.outage = outage
            node = fixture.network.nodes["a"]
            node.attach_upstream(service="")
            node.evacuate_shards()
            async with asyncio.timeout(limit_s):
                while node.core.context.owned_shards.owned:
                    await asyncio.sleep(0.01)
                await fixture.wait_served(KEYS, limit_s)
            counts.append(len(node.core.context.owned_shards.owned))
            fixture.store.faults.outage = Outage.NONE
            await asyncio.sleep(8)
            await fixture.wait_served(KEYS, limit_s)
            counts.append(len(node.core.context.owned_shards.owned))
            self.assertIsNotNone(node.core.state.find_live_lease(node.core.incarnation))
            self.assertFalse(node.is_leaving)

        self.run_nodes(scenario)
        return counts

    def test_node_without_upstream_evacuates_its_shards(self):
        """Other nodes serve all keys; the node stays a member and has a lease again."""
        self.assertEqual(
            self.count_shards_without_upstream(Outage.NONE, TAKEOVER_TARGET_S), [0, 0]
        )

    def test_shards_are_evacuated_while_the_log_is_unavailable(self):
        """The successors named in the chain of each shard take over."""
        self.assertEqual(
            self.count_shards_without_upstream(Outage.REFUSE, TAKEOVER_TARGET_S), [0, 0]
        )

    def test_changes_reach_nodes_that_are_not_tailers(self):
        """They get a new configuration without reading the log themselves."""

        async def scenario(fixture):
            await asyncio.sleep(40)
            nodes = fixture.network.nodes.values()
            tailing = [node for node in nodes if node._follower.is_tailer]
            self.assertEqual(len(tailing), 1)
            changed = INVENTORY.replace("slots = 4", "slots = 5")
            fixture.publish(changed, base_version=1, record_id="p2")
            await asyncio.sleep(CONFIG_TARGET_S)
            for node in nodes:
                self.assertEqual(node.config.version, 2)

        policy = TailPolicy(small_fleet_size=1, tailers_per_data_centre=0)
        self.run_nodes(scenario, tailing=policy)

    def count_batches(self, nodes):
        """Return the most batches per record that any of ``nodes`` nodes sends."""
        batches_per_node = []

        async def run():
            fixture = NodeFixture(
                tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
            )
            fixture.publish()
            places = sorted(set(DATA_CENTRE_BY_NODE.values()))
            for number in range(nodes):
                fixture.start(f"n{number}", places[number % len(places)])
            await fixture.wait_served(KEYS, 15)
            await asyncio.sleep(20)
            fixture.network.sent.clear()
            for version in range(1, RECORDS_FORWARDED + 1):
                changed = INVENTORY.replace("slots = 4", f"slots = {4 + version}")
                fixture.publish(changed, base_version=version, record_id=f"q{version}")
                await asyncio.sleep(0.5)
            await asyncio.sleep(CONFIG_TARGET_S)
            for node in fixture.network.nodes.values():
                self.assertEqual(node.config.version, 1 + RECORDS_FORWARDED)
            batches_per_node.extend(
                count
                for (_, kind), count in fixture.network.sent.items()
                if kind == "LogBatch"
            )
            await fixture.stop()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())
        return max(batches_per_node) / RECORDS_FORWARDED

    def test_forwarding_cost_per_node_does_not_grow_with_the_number_of_nodes(self):
        """The busiest of 90 nodes sends at most twice as much as the busiest of 12."""
        self.assertLessEqual(self.count_batches(MANY_NODES), 2 * self.count_batches(12))

    def test_start_of_many_nodes_takes_few_calls_to_the_log(self):
        """In the first 20 s, 60 nodes average less than one log call per second."""
        calls = []

        async def run():
            fixture = NodeFixture(
                tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
            )
            fixture.publish()
            fixture.store.faults.delay_s = LOG_DELAY_S
            places = sorted(set(DATA_CENTRE_BY_NODE.values()))
            for number in range(STARTED_NODES):
                fixture.start(f"n{number}", places[number % len(places)])
                await asyncio.sleep(START_SPREAD_S / STARTED_NODES)
            await fixture.wait_served(KEYS, 15)
            await asyncio.sleep(STARTUP_S - asyncio.get_running_loop().time())
            calls.append(fixture.store.read_count + fixture.store.append_count)
            await fixture.stop()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())
        self.assertLess(calls[0], STARTUP_S * STARTED_NODES)

    def test_records_in_quick_succession_share_calls_to_the_log(self):
        """At 29 records per second, nodes average less than one log call per second."""

        async def run():
            fixture = NodeFixture(
                tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
            )
            fixture.publish()
            fixture.store.faults.delay_s = LOG_DELAY_S
            for number in range(STARTED_NODES):
                fixture.start(f"n{number}", f"dc{number % DATA_CENTRES}")
            await asyncio.sleep(STARTUP_S)
            fixture.store.read_count = fixture.store.append_count = 0
            duplicate = fixture.store.get_stream(OWNERSHIP_STREAM).records[0][1]
            for _ in range(RECORDS_PER_S * MEASURED_S):
                fixture.store.append(OWNERSHIP_STREAM, duplicate)
                await asyncio.sleep(1 / RECORDS_PER_S)
            calls = fixture.store.read_count + fixture.store.append_count
            await fixture.stop()
            return calls

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            self.assertLess(runner.run(run()), MEASURED_S * STARTED_NODES)

    def test_nodes_that_reach_the_log_follow_it_while_all_tailers_are_cut_off(self):
        """A new configuration takes effect on them within the target time."""

        async def run():
            fixture = CutFixture(
                tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
            )
            fixture.publish()
            for number in range(CUT_NODES):
                fixture.start(f"n{number}", f"dc{number % CUT_DATA_CENTRES}")
            await asyncio.sleep(STARTUP_S)
            nodes = fixture.network.nodes
            fixture.cut |= {name for name in nodes if nodes[name]._follower.is_tailer}
            others = [nodes[name] for name in nodes if name not in fixture.cut]
            await asyncio.sleep(CONFIG_TARGET_S)
            fixture.publish(base_version=1, record_id="p2")
            await asyncio.sleep(CONFIG_TARGET_S)
            versions = {node.config.version for node in others}
            await fixture.stop()
            return versions

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            self.assertEqual(runner.run(run()), {2})

    def test_malformed_records_are_skipped(self):
        """Every node counts and skips the same payloads, and all states stay equal."""

        async def scenario(fixture):
            good = fixture.store.get_stream(OWNERSHIP_STREAM).records[0][1]
            for payload in (b"", b"\xff" * 10, good[:-5], b"{}", good):
                fixture.store.append(OWNERSHIP_STREAM, payload)
            await asyncio.sleep(1)
            await fixture.kill("a")
            await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)
            await asyncio.sleep(5)
            nodes = fixture.network.nodes.values()
            dumps = {dump_state(node.core.state) for node in nodes}
            self.assertEqual(len(dumps), 1)
            for node in nodes:
                count = node.metrics.read_count("log_records_skipped", "malformed")
                self.assertGreaterEqual(count, 3)

        self.run_nodes(scenario)

    def test_malformed_batch_is_rejected_and_read_from_the_log(self):
        """A batch that cannot be unpacked is counted; its records are not skipped."""

        async def scenario(fixture):
            node = fixture.network.nodes["a"]
            end = node.config.next_offset
            batch = LogBatch(stream=CONFIG_STREAM, first=end, packed=(b"\1broken",))
            with self.assertLogs("papayatack", "WARNING"):
                node.receive(
                    fixture.network.nodes["b"].core.incarnation,
                    node.core.incarnation,
                    batch,
                )
                await asyncio.sleep(0.1)
            refused = node.metrics.read_count("record_batches_refused", CONFIG_STREAM)
            self.assertEqual((refused, node.config.next_offset), (1, end))
            fixture.publish(base_version=1, record_id="p2")
            await asyncio.sleep(CONFIG_TARGET_S)
            self.assertEqual(node.config.next_offset, end + 1)

        self.run_nodes(scenario)

    def test_new_node_loads_its_state_from_the_log(self):
        """The loaded state equals that of the running nodes."""

        async def scenario(fixture):
            deadline_s = asyncio.get_running_loop().time() + 10
            result = await load_streams(
                log=InProcessLog(store=fixture.store),
                metrics=Metrics(),
                random=random.Random(1),
                deadline_s=deadline_s,
            )
            state, config = result.unwrap()
            node = fixture.network.nodes["a"]
            self.assertEqual(dump_state(state), dump_state(node.core.state))
            self.assertEqual(config.dump(), node.config.dump())

        self.run_nodes(scenario)

    def test_lost_node_is_declared_lost(self):
        """A node without a live lease is ended after ``DECLARE_LOST_AFTER_S``."""

        async def scenario(fixture):
            with mock.patch.object(planning, "DECLARE_LOST_AFTER_S", 20.0):
                await fixture.kill("b")
                await asyncio.sleep(15)
                state = fixture.network.nodes["a"].core.state
                self.assertIsNone(state.members["b#2"].ended)
                await asyncio.sleep(15)
                self.assertIs(state.members["b#2"].ended, EndKind.LOST)
                await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)

        self.run_nodes(scenario)

    def test_checkpoints_are_written(self):
        """At least two are written within the retention period of the log."""

        async def scenario(fixture):
            await asyncio.sleep(RETENTION_S)
            nodes = fixture.network.nodes.values()
            written = sum(
                node.metrics.read_count("checkpoints", "written") for node in nodes
            )
            self.assertGreaterEqual(written, 2)
            await fixture.kill("a")
            await fixture.wait_served(KEYS, TAKEOVER_TARGET_S)

        self.run_nodes(scenario, retention_s=RETENTION_S)

    def test_unpublished_service_has_no_route(self):
        """Locating a key of an unpublished service fails."""

        async def scenario(fixture):
            result = fixture.network.nodes["a"].ownership.locate("other", "k")
            self.assertIs(result.failure().kind, ErrorKind.NO_SUCH_SERVICE)

        self.run_nodes(scenario)
