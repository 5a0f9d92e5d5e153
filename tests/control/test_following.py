"""Tests of papayatack.control.following."""

import asyncio
import unittest

import looptime

from papayatack.control import following
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.records import CONFIG_STREAM, OWNERSHIP_STREAM
from tests.fakes.clocks import FreezableLoop
from tests.fakes.cuts import CutFixture
from tests.fakes.nodes import INVENTORY, NodeFixture
from tests.fakes.spread import SpreadFixture

SETTLE_S = 5.0
AGED_S = 1.0
MIN_AGED_MS = 600
SLOW_READ_S = 1.0
MS_PER_S = 1000
STANDSTILLS = 20
STANDSTILL_S = 0.5
BETWEEN_S = 0.37
CUT_S = 3.0
POLICY = TailPolicy(small_fleet_size=1, tailers_per_data_centre=1)
QUICK_S = 0.1
PLACES = {"a": "east", "b": "east", "c": "west"}


class UnreachableLogTests(unittest.TestCase):
    """Nodes of which some are cut off from the log."""

    def run_nodes(self, scenario):
        """Run a scenario with three nodes in two data centres."""

        async def run():
            fixture = CutFixture(tailing=POLICY)
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await asyncio.sleep(SETTLE_S)
            await scenario(fixture)
            await fixture.stop()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    def count_reports(self, fixture):
        """Return how many messages report that the log is unreachable."""
        sent = fixture.network.sent.items()
        return sum(count for (_, kind), count in sent if kind == "LogUnreachable")

    def test_tailer_reports_at_intervals_until_it_reaches_the_log(self):
        """Nothing is reported before the cut, nor after it."""

        async def scenario(fixture):
            self.assertEqual(self.count_reports(fixture), 0)
            tailers = {
                address
                for address, node in fixture.network.nodes.items()
                if node._follower.is_tailer
            }
            fixture.cut |= tailers
            await asyncio.sleep(CUT_S)
            reports = self.count_reports(fixture)
            self.assertGreater(reports, 0)
            fixture.cut.clear()
            await asyncio.sleep(SETTLE_S)
            settled = self.count_reports(fixture)
            await asyncio.sleep(SETTLE_S)
            self.assertEqual(self.count_reports(fixture), settled)

        self.run_nodes(scenario)

    def test_unknown_stream_is_ignored(self):
        """A message of another version does no harm."""

        async def scenario(fixture):
            follower = fixture.network.nodes["a"]._follower
            follower.note_unreachable("other", asyncio.get_running_loop().time())
            self.assertEqual(
                follower._read_directly_until_s.keys(),
                {CONFIG_STREAM, OWNERSHIP_STREAM},
            )

        self.run_nodes(scenario)


class AgedConfigurationLineTests(unittest.TestCase):
    """Lines of nodes that look for a newer configuration themselves."""

    def collect_lines(self, scenario):
        """Return the fields of the lines that three nodes log in a scenario."""

        async def run():
            fixture = CutFixture(tailing=POLICY)
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await asyncio.sleep(SETTLE_S)
            with self.assertLogs(following.LOGGER) as logs:
                await scenario(fixture)
            await fixture.stop()
            return [record.__dict__ for record in logs.records]

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(run())

    def test_line_says_that_the_configuration_is_too_old(self):
        """One line each of the nodes that read the log in place of the lead."""

        async def scenario(fixture):
            leads = [a for a, n in fixture.network.nodes.items() if n._follower.is_lead]
            fixture.cut.update(leads)
            await asyncio.sleep(AGED_S)

        lines = self.collect_lines(scenario)
        aged = [line for line in lines if line["msg"] == "CONFIGURATION_AGED"]
        self.assertTrue(aged)
        self.assertTrue(all(line["age_ms"] >= MIN_AGED_MS for line in aged))
        self.assertTrue(all(line["rank"] > 0 for line in aged))

    def test_line_says_that_the_log_has_become_slow_and_fast_again(self):
        """It names the time that the log took for an answer."""

        async def scenario(fixture):
            fixture.store.faults.delay_s = SLOW_READ_S
            await asyncio.sleep(SETTLE_S)
            fixture.store.faults.delay_s = 0.0
            await asyncio.sleep(SETTLE_S)

        lines = self.collect_lines(scenario)
        speeds = [line for line in lines if line["msg"] == "LOG_SPEED_CHANGED"]
        self.assertEqual({line["slow"] for line in speeds}, {True, False})
        self.assertGreaterEqual(speeds[0]["response_ms"], SLOW_READ_S * MS_PER_S)
        self.assertFalse(speeds[-1]["slow"])


class StalledReaderTests(unittest.TestCase):
    """Nodes of which the one that reads the log for all stands still for a while."""

    def test_standstill_of_a_node_does_not_pass_for_a_slow_log(self):
        """The log answers at once; the node hears it late."""

        async def run(loop):
            fixture = SpreadFixture(seed=1, tailing=POLICY)
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await asyncio.sleep(SETTLE_S)
            with self.assertLogs(following.LOGGER) as logs:
                following.LOGGER.info("begun")
                for _ in range(STANDSTILLS):
                    lead = fixture.find_lead()
                    loop.freeze(lead)
                    await asyncio.sleep(STANDSTILL_S)
                    loop.thaw(lead)
                    await asyncio.sleep(BETWEEN_S)
            await fixture.stop()
            return {record.msg for record in logs.records}

        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            messages = runner.run(run(runner.get_loop()))
        self.assertNotIn("LOG_SPEED_CHANGED", messages)


class DirectReadTests(unittest.TestCase):
    """Nodes that do not forward records to each other."""

    def test_records_in_quick_succession_are_read_at_once(self):
        """No node pauses between its reads, as it would learn of records late."""

        async def run():
            fixture = NodeFixture()
            fixture.publish()
            for address, place in PLACES.items():
                fixture.start(address, place)
            await asyncio.sleep(SETTLE_S)
            for version in (1, 2, 3):
                changed = INVENTORY.replace("slots = 4", f"slots = {4 + version}")
                fixture.publish(changed, base_version=version, record_id=f"q{version}")
                await asyncio.sleep(QUICK_S)
            versions = {node.config.version for node in fixture.network.nodes.values()}
            await fixture.stop()
            return versions

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            self.assertEqual(runner.run(run()), {4})
