"""Tests of the placement of the platform's keys on nodes."""

import json
import unittest

from papayatack.core.inventory import Place
from papayatack.platform.environment import PLACEMENT_LIMITS
from papayatack.platform.manifest import parse_manifest
from tests.fakes.keyed_load import KeyedLoadSimulation

PLACES = tuple(Place(name=name, region="r") for name in ("east", "west", "south"))
SLOTS = 18
NODES = 60
SETTLED_S = 8.0
SEEDS = (1, 2, 3)
UNSERVED_SHARE = 0.01
"""Target: 99 of 100 requests find a slot while half of all slots are free."""


def parse_sharded_service():
    """Return the configuration of a manifest with one sharded service."""
    document = {"Version": "00000001", "Services": {"s": {"Sharded": True}}}
    return parse_manifest(json.dumps(document).encode(), PLACES)


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
