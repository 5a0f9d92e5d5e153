"""Tests of papayatack.control.replication."""

import asyncio
import unittest

from papayatack.core.messages import ConfigPosition
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.records import OWNERSHIP_STREAM, Retire
from papayatack.observability.events import Event
from papayatack.wire.records import encode_record
from standins.logstore import Outage
from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import INVENTORY, NodeFixture

DATA_CENTRES = ("east", "west", "south")
NODES = 30
STARTUP_S = 20.0
SPREAD_S = 1.0


class ConfigurationLineTests(unittest.TestCase):
    """The log lines of a configuration that takes effect on a fleet."""

    def collect_lines(self):
        """Publish a configuration; return the log lines of all nodes."""

        async def run():
            fixture = NodeFixture(
                tailing=TailPolicy(small_fleet_size=2, tailers_per_data_centre=1)
            )
            fixture.publish()
            for number in range(NODES):
                place = DATA_CENTRES[number % len(DATA_CENTRES)]
                fixture.start(f"n{number}", place)
            await asyncio.sleep(STARTUP_S)
            changed = INVENTORY.replace("slots = 4", "slots = 5")
            with self.assertLogs("papayatack", "INFO") as logged:
                fixture.publish(changed, base_version=1, record_id="p2")
                await asyncio.sleep(SPREAD_S)
            await fixture.stop()
            return logged.records

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            records = runner.run(run())
        name = Event.CONFIGURATION_IN_FORCE.name
        return [record for record in records if record.getMessage() == name]

    def test_line_names_the_source_and_the_hops_of_a_configuration(self):
        """Each node has a line; nodes that got the records from others name them."""
        lines = self.collect_lines()
        self.assertEqual(len(lines), NODES)
        for line in lines:
            self.assertEqual(line.source == "log", line.hops == 0)
        forwarded = [line for line in lines if line.hops]
        self.assertGreaterEqual(len(forwarded), NODES - len(DATA_CENTRES) - 1)
        self.assertTrue(all(line.source.startswith("n") for line in forwarded))
        self.assertGreater(max(line.hops for line in forwarded), 1)
        self.assertLess(max(line.age_ms for line in forwarded), SPREAD_S * 1000)


class VerdictTests(unittest.TestCase):
    """The counters of what became of a node's own records."""

    def test_own_records_are_counted_by_kind_and_verdict(self):
        """Void ones count with the reason; those of other nodes do not count."""

        async def run():
            fixture = NodeFixture()
            fixture.publish()
            node = fixture.start("n0", "east")
            await asyncio.sleep(STARTUP_S)
            record = Retire(record_id="r", writer=node.core.incarnation, incarnation="")
            fixture.store.append(OWNERSHIP_STREAM, encode_record(record))
            other = Retire(record_id="o", writer="another", incarnation="")
            fixture.store.append(OWNERSHIP_STREAM, encode_record(other))
            await asyncio.sleep(SPREAD_S)
            await fixture.stop()
            return node.metrics

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            metrics = runner.run(run())
        name = "own_ownership_records"
        self.assertEqual(metrics.read_count(name, "Announce effective"), 1)
        self.assertEqual(metrics.read_count(name, "Retire unknown incarnation"), 1)


class EarlyPositionTests(unittest.TestCase):
    """A node that is told of a newer configuration before it has read the log."""

    def test_position_before_the_first_read_does_not_end_the_node(self):
        """It does not know any age that it could pass on."""

        async def run():
            fixture = NodeFixture(tailing=TailPolicy(small_fleet_size=2))
            fixture.publish()
            fixture.store.faults.outage = Outage.HANG
            node = fixture.start("n0", "east")
            position = ConfigPosition(offset=7, age_us=0)
            node.receive("n1#1", node.core.incarnation, position)
            await asyncio.sleep(SPREAD_S)
            has_ended = fixture.tasks["n0"].done()
            await fixture.stop()
            return has_ended

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            self.assertFalse(runner.run(run()))
