"""Tests of plans for data centres that are evacuated."""

import dataclasses
import unittest

from papayatack.core.placement import PlacementLimits, plan_placement
from tests.core.placement.fleets import (
    apply_plan,
    count_moved,
    list_places,
    make_view,
    settle,
)

NODES = 12
SHARDS = 96
LIMITS = PlacementLimits(max_moves=8)


def evacuate(view, *places):
    """Return the view with the nodes of data centres evacuated."""
    nodes = tuple(
        dataclasses.replace(
            node,
            leaving=node.data_centre in places,
            evacuated=node.data_centre in places,
        )
        for node in view.nodes
    )
    return dataclasses.replace(view, nodes=nodes)


def count_owned(view, place):
    """Return how many shards have their owner in a data centre."""
    return sum(
        list_places(view, state.chain[:1]) == [place] for state in view.shards.values()
    )


class EvacuationTests(unittest.TestCase):
    """One data centre of three is evacuated."""

    def setUp(self):
        self.settled, _ = settle(make_view(nodes=NODES, shards=SHARDS))

    def test_shards_move_out_an_eighth_at_a_time(self):
        """No plan moves more, and the last one leaves nothing there."""
        view = evacuate(self.settled, "dc0")
        before = count_owned(view, "dc0")
        moves = []
        while count_owned(view, "dc0"):
            after = apply_plan(view, plan_placement(view, limits=LIMITS))
            moves.append(count_moved(view, after))
            view = after
        self.assertGreater(before, SHARDS // 8)
        self.assertLessEqual(max(moves), SHARDS // 8 + LIMITS.max_moves)
        self.assertLessEqual(len(moves), 1 + before // (SHARDS // 8))

    def test_moves_that_are_under_way_count(self):
        """While as many move as may, no more are planned."""
        view = evacuate(self.settled, "dc0")
        view = apply_plan(view, plan_placement(view, limits=LIMITS), moving=True)
        left = count_owned(view, "dc0")
        after = apply_plan(view, plan_placement(view, limits=LIMITS))
        self.assertEqual(count_owned(after, "dc0"), left)

    def test_no_shard_and_no_successor_is_put_there(self):
        """Once the plans have settled, no chain has a node there."""
        view, _ = settle(evacuate(self.settled, "dc0"), limits=LIMITS)
        for state in view.shards.values():
            self.assertNotIn("dc0", list_places(view, state.chain))

    def test_two_data_centres_leave_the_third(self):
        """It takes all shards."""
        view, _ = settle(evacuate(self.settled, "dc0", "dc1"), limits=LIMITS)
        self.assertEqual(count_owned(view, "dc2"), SHARDS)

    def test_shards_stay_where_no_other_data_centre_is(self):
        """There is nothing to plan."""
        view = evacuate(self.settled, "dc0", "dc1", "dc2")
        self.assertEqual(plan_placement(view, limits=LIMITS).assignments, ())
