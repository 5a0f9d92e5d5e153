"""Tests of the placement of slices of numbered keys."""

import itertools
import unittest

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.inventory import Configuration, KeyRange, Place, Service
from papayatack.core.placement import plan_placement
from papayatack.core.placement.view import PlacementNode, PlacementView
from papayatack.core.shards import list_shards

SLICES = 128
PLACES = ("east", "west", "south")
CONFIGURATION = Configuration(
    version=1,
    services=(
        Service(
            name="s",
            prefix="",
            places=PLACES,
            key_ranges=(KeyRange(name="keys", shards=SLICES, numbers=65_536),),
        ),
    ),
    places=tuple(Place(name=name, region="r") for name in PLACES),
)


def make_nodes(count, *, slots=8):
    """Return warmed-up nodes; data centres are assigned to them in turn."""
    return tuple(
        PlacementNode(
            lease=LeaseId(IncarnationId(f"10.0.0.{number}:1#a"), 1),
            data_centre=PLACES[number % len(PLACES)],
            region="r",
            service="s",
            slots=slots,
            age_s=1000.0,
        )
        for number in range(count)
    )


class FirstPlacementTests(unittest.TestCase):
    """First plan for a new fleet."""

    def plan_owners(self, nodes):
        """Return the owner of each slice, in key order."""
        view = PlacementView(configuration=CONFIGURATION, nodes=nodes, shards={})
        chains = {a.shard: a.chain for a in plan_placement(view).assignments}
        return [chains[s][0].incarnation for s in list_shards(CONFIGURATION)]

    def test_neighbours_share_an_owner(self):
        """Each node gets one or two runs of adjacent slices."""
        for count in (1, 3, 9, 12):
            with self.subTest(count=count):
                owners = self.plan_owners(make_nodes(count))
                runs = len(list(itertools.groupby(owners)))
                self.assertLessEqual(runs, 2 * count)
                self.assertEqual(len(set(owners)), count)

    def test_shares_are_fair(self):
        """The numbers of slices per node are within two of the mean."""
        owners = self.plan_owners(make_nodes(9))
        counts = [owners.count(owner) for owner in set(owners)]
        self.assertLessEqual(max(counts), SLICES / 9 + 2)
        self.assertGreaterEqual(min(counts), SLICES / 9 - 2)
