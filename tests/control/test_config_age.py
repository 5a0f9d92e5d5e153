"""Tests of how old a configuration may get while nodes believe that it is young."""

import asyncio
import itertools
import unittest
from unittest import mock

from papayatack.core.ownership.exchange import RecordExchange
from papayatack.core.ownership.selection import rank_planners
from tests.fakes.clocks import FreezableLoop
from tests.fakes.nodes import INVENTORY
from tests.fakes.spread import POLICY, WATCHED_S, SpreadFixture
from tests.fakes.stalls import measure_stalled_spread

PROMISED_S = 2.0
NODES = 40
DATA_CENTRES = 5
LEASE_S = 3.0
STARTUP_S = 12.0
SETTLE_S = 4.0
LOOK_S = 0.01
SEEDS = (1, 2, 3)
USUAL_ANSWER_S = 0.004
BUSY_ANSWER_S = 0.15
BUSY_TRANSIT_S = 0.2
RENEWAL_S = 0.4
OFFSET = 5
STALLED_S = 0.2
RUNNING_S = 0.1


class _Fixture(SpreadFixture):
    """Nodes whose leases last as long as those of an installation."""

    def build_options(self):
        """Return the duration of the leases."""
        return {"lease_s": LEASE_S}

    def list_first(self, count):
        """Return the nodes of the lowest ranks as planners."""
        nodes = self.network.nodes
        first = rank_planners(next(iter(nodes.values())).core.state)[:count]
        return [a for a, node in nodes.items() if node.core.incarnation in first]


async def _measure(seed, lost, answer_s):
    """Return the longest time until a node has a new configuration.

    The nodes of the lowest ranks are lost as it is stored.
    """
    fixture = _Fixture(seed=seed, tailing=POLICY)
    fixture.publish()
    for number in range(NODES):
        fixture.start(f"s{seed}n{number}", f"dc{number % DATA_CENTRES}")
    await asyncio.sleep(STARTUP_S)
    fixture.store.faults.delay_s = answer_s
    await asyncio.sleep(SETTLE_S + fixture.random.random())
    fixture.network.cut.update(fixture.list_first(lost))
    fixture.cut.update(fixture.list_first(lost))
    loop = asyncio.get_running_loop()
    stored_s = loop.time()
    changed = INVENTORY.replace("slots = 4", "slots = 5")
    fixture.publish(changed, base_version=1, record_id="p2")
    left = [n for a, n in fixture.network.nodes.items() if a not in fixture.cut]
    while any(node.config.version < 2 for node in left):
        await asyncio.sleep(LOOK_S)
        if loop.time() > stored_s + WATCHED_S:
            break
    late_s = loop.time() - stored_s
    await fixture.stop()
    return late_s


def _find_late(*, lost, answer_s=USUAL_ANSWER_S):
    """Return the times above the promised one, by seed."""
    late = {}
    for seed in SEEDS:
        with asyncio.Runner(loop_factory=FreezableLoop) as runner:
            late[seed] = runner.run(_measure(seed, lost, answer_s))
    return {seed: late_s for seed, late_s in late.items() if late_s > PROMISED_S}


class ConfigAgeTests(unittest.TestCase):
    """The log is in no trouble."""

    def test_configuration_is_old_where_messages_take_long(self):
        """As on machines with more busy processes than cores."""
        with mock.patch("tests.fakes.nodes.LATENCY_S", BUSY_TRANSIT_S):
            self.assertEqual(_find_late(lost=1), {})

    def test_configuration_is_old_where_nodes_get_a_third_of_a_core(self):
        """Each stands still for most of the time, and the lead is lost."""
        late = {}
        with mock.patch.object(SpreadFixture, "build_options", _Fixture.build_options):
            for seed in SEEDS:
                last_s = max(measure_stalled_spread(STALLED_S, RUNNING_S, seed))
                if last_s > PROMISED_S:
                    late[seed] = last_s
        self.assertEqual(late, {})

    def test_configuration_is_old_where_the_first_ranks_are_lost(self):
        """The log answers a little slower than usual all the time."""
        self.assertEqual(_find_late(lost=10, answer_s=BUSY_ANSWER_S), {})

    def test_configuration_gets_younger_as_nodes_tell_each_other_of_its_age(self):
        """Two nodes exchange it with renewals while nobody reads the log."""
        exchanges = [
            RecordExchange(context=mock.Mock(), deliver=mock.Mock()) for _ in range(2)
        ]
        for exchange in exchanges:
            exchange.config.set_offset(OFFSET)
            exchange.config.confirm(0.0)
        now = 0.0
        while now < PROMISED_S:
            now += RENEWAL_S
            for sender, receiver in itertools.permutations(exchanges):
                age_us = sender.find_config_age_us(now)
                now += BUSY_TRANSIT_S
                receiver.receive_config_position("peer", OFFSET, age_us, now)
        for exchange in exchanges:
            age_s = exchange.config.find_age_s(now)
            self.assertGreaterEqual(age_s, now - BUSY_TRANSIT_S)
