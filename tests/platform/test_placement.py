"""Tests of the placement of the platform's keys on nodes."""

import json
import unittest

from papayatack.core.inventory import Place
from papayatack.platform.environment import PLACEMENT_LIMITS
from papayatack.platform.manifest import ManifestParser
from tests.fakes.keyed_load import KEYS, KeyedLoadSimulation

PLACES = tuple(Place(name=name, region="r") for name in ("east", "west", "south"))
SLOTS = 18
NODES = 60
SETTLED_S = 8.0
SEEDS = (1, 2, 3)
UNSERVED_SHARE = 0.01
"""Target: 99 of 100 requests find a slot while half of all slots are free."""

LARGE_NODES = 152
LARGE_SLOTS = 8
UNEQUAL_SPEEDS = (0.6, 1.0, 1.4)
STEADY_S = 20.0
MAX_MOVED_SHARE = 0.02
"""Target: under a steady load at most this share of all keys moves in a second."""


def parse_sharded_service():
    """Return the configuration of a manifest with one sharded service."""
    document = {"Version": "00000001", "Services": {"s": {"Sharded": True}}}
    return ManifestParser(places=PLACES).parse(json.dumps(document).encode())


class PlayedLoadTests(unittest.TestCase):
    """Load with far more requests for some neighbouring keys than for others."""

    def play(self, *, utilisation, seed):
        """Return the share of the load without a slot once placement has settled."""
        fleet = KeyedLoadSimulation(
            configuration=parse_sharded_service(),
            limits=PLACEMENT_LIMITS,
            nodes=NODES,
            slots=SLOTS,
            utilisation=utilisation,
            seed=seed,
        )
        fleet.run(SETTLED_S)
        loads = fleet.list_loads().values()
        return sum(max(0.0, load - SLOTS) for load in loads) / sum(loads)

    def test_work_beyond_the_slots_of_its_node_while_others_are_half_idle(self):
        """The most requested keys must not exceed the slots of a single node."""
        unserved = [self.play(utilisation=0.5, seed=seed) for seed in SEEDS]
        self.assertLessEqual(max(unserved), UNSERVED_SHARE)


class UnequalSpeedTests(unittest.TestCase):
    """A steady load on upstreams whose speeds are unequal."""

    def build(self, *, nodes, slots, service_time_s, seed=1):
        """Return a fleet whose requests need half of what the upstreams can bear."""
        return KeyedLoadSimulation(
            configuration=parse_sharded_service(),
            limits=PLACEMENT_LIMITS,
            nodes=nodes,
            slots=slots,
            utilisation=0.5,
            seed=seed,
            skew=0.4,
            service_time_s=service_time_s,
            spread=0.8,
            speeds=UNEQUAL_SPEEDS,
        )

    def measure_excess(self, fleet):
        """Return the share of the load that exceeds what its upstream can bear."""
        utilisations = fleet.list_utilisations()
        excess = sum(max(0.0, utilisation - 1.0) for utilisation in utilisations)
        return excess / sum(utilisations)

    def test_each_upstream_of_a_large_fleet_gets_keys(self):
        """There are more parts of keys than upstreams."""
        fleet = self.build(nodes=LARGE_NODES, slots=LARGE_SLOTS, service_time_s=0.9)
        owners = {state.chain[0] for state in fleet.shards.values()}
        self.assertEqual(len(owners), LARGE_NODES)

    def test_load_fits_upstreams_of_a_large_fleet(self):
        """Long requests at upstreams with few slots."""
        for seed in SEEDS:
            fleet = self.build(
                nodes=LARGE_NODES, slots=LARGE_SLOTS, service_time_s=0.9, seed=seed
            )
            fleet.run(SETTLED_S)
            self.assertLessEqual(self.measure_excess(fleet), UNSERVED_SHARE)

    def test_overloaded_upstream_is_relieved_whatever_its_speed(self):
        """Fast upstreams, too, lose keys that ask for more than they can serve."""
        for seed in SEEDS:
            fleet = self.build(nodes=9, slots=13, service_time_s=0.12, seed=seed)
            fleet.run(SETTLED_S)
            self.assertLessEqual(self.measure_excess(fleet), UNSERVED_SHARE)

    def test_keys_stay_under_a_steady_load(self):
        """Chance in the service times of single requests moves few keys."""
        fleet = self.build(nodes=LARGE_NODES, slots=LARGE_SLOTS, service_time_s=0.9)
        fleet.run(SETTLED_S)
        fleet.moved_keys = 0
        fleet.run(STEADY_S)
        self.assertLessEqual(fleet.moved_keys / KEYS, MAX_MOVED_SHARE * STEADY_S)
