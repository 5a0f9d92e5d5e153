"""Tests of plans with the fold of the ownership stream: assignments take effect."""

import dataclasses
import unittest

from papayatack.core.placement import PlacementLimits, PlacementPlan, plan_placement
from papayatack.core.records import Assignment
from papayatack.core.shards import find_parent_shard, format_hot_shard_id
from tests.core.placement.fleets import (
    RANGE,
    SERVICE,
    apply_plan,
    make_configuration,
    make_view,
    remove_node,
    report_loads,
)
from tests.core.placement.folded import FoldedFleet

HOT = format_hot_shard_id(SERVICE, RANGE, "a-key")


class FoldedPlanTests(unittest.TestCase):
    """The planner and the fold agree on every kind of assignment."""

    def setUp(self):
        """Assign all shards to six nodes."""
        self.fleet = FoldedFleet(make_view(nodes=6, shards=24))
        self.assertEqual(self.fleet.assign(plan_placement(self.fleet.read_view())), [])
        self.fleet.activate()
        self.parent = find_parent_shard(self.fleet.view.configuration, HOT)

    def plan_with(self, busy, *, moves=0):
        """Plan with the given load of the hot key, and fold the plan."""
        view = self.fleet.read_view()
        loads = dict.fromkeys(view.shards, 0.2) | {HOT: busy}
        hot = [(self.parent, HOT, busy)] if HOT not in view.shards else []
        view = report_loads(view, loads, hot)
        planned = plan_placement(view, limits=PlacementLimits(max_moves=moves))
        return planned, self.fleet.assign(planned)

    def test_first_plan_agrees_with_the_simplified_fold(self):
        """Chains and epochs are equal to those of the simplified fold."""
        fleet = FoldedFleet(make_view(nodes=6, shards=24))
        planned = plan_placement(fleet.read_view())
        expected = apply_plan(fleet.read_view(), planned)
        fleet.assign(planned)
        fleet.activate()
        self.assertEqual(fleet.read_view().shards, expected.shards)

    def test_repair_takes_effect(self):
        """After a loss every assignment takes effect, and nothing is left to plan."""
        view = remove_node(self.fleet.read_view(), 0)
        self.assertEqual(self.fleet.assign(plan_placement(view)), [])
        self.fleet.activate()
        after = remove_node(self.fleet.read_view(), 0)
        self.assertEqual(plan_placement(after).assignments, ())

    def test_second_of_two_planners_is_void(self):
        """Of two plans from the same view, only the first takes effect."""
        view = remove_node(self.fleet.read_view(), 0)
        first, second = plan_placement(view), plan_placement(view)
        self.assertEqual(self.fleet.assign(first), [])
        voids = self.fleet.assign(second)
        self.assertEqual(voids, ["epoch taken"] * len(second.assignments))

    def test_split_move_and_merge_take_effect(self):
        """A hot key is split off, moved, moved back and merged."""
        planned, voids = self.plan_with(4.0)
        self.assertEqual((len(planned.assignments), voids), (1, []))
        self.assertTrue(self.fleet.state.shards[HOT].active)
        planned, voids = self.plan_with(4.0, moves=8)
        self.assertTrue(planned.assignments)
        self.assertEqual(voids, [])
        self.fleet.activate()
        for _ in range(4):
            _, voids = self.plan_with(0.0)
            self.assertEqual(voids, [])
            self.fleet.activate()
        self.assertFalse(HOT in self.fleet.state.shards)

    def test_split_against_a_moved_parent_is_void(self):
        """A split that was planned before a move of the parent is void."""
        stale = self.fleet.read_view()
        loads = dict.fromkeys(stale.shards, 0.2)
        stale = report_loads(stale, loads, [(self.parent, HOT, 4.0)])
        split = plan_placement(stale, limits=PlacementLimits(max_moves=0))
        parent = stale.shards[self.parent]
        move = Assignment(
            shard=self.parent, base_epoch=parent.epoch, chain=parent.chain[1:]
        )
        moved = PlacementPlan(assignments=(move,))
        self.assertEqual(self.fleet.assign(moved), [])
        self.assertEqual(self.fleet.assign(split), ["epoch taken"])
        self.assertFalse(HOT in self.fleet.state.shards)

    def test_second_split_has_a_higher_epoch(self):
        """Epochs of a hot key's shard increase over its merge and a second split."""
        self.plan_with(4.0)
        first = self.fleet.state.shards[HOT].current.epoch
        self.plan_with(0.0)
        self.assertFalse(HOT in self.fleet.state.shards)
        self.plan_with(4.0)
        self.assertGreater(self.fleet.state.shards[HOT].current.epoch, first)

    def test_retired_range_is_released_and_reassigned(self):
        """Epochs continue to increase when a retired range is in use again."""
        before = self.fleet.state.shards[self.parent].current.epoch
        retired = make_configuration(shards=24, retired=True)
        view = dataclasses.replace(self.fleet.read_view(), configuration=retired)
        self.assertEqual(self.fleet.assign(plan_placement(view)), [])
        self.assertEqual(self.fleet.state.shards[self.parent].current.leases, ())
        view = dataclasses.replace(self.fleet.read_view(), configuration=retired)
        self.assertEqual(plan_placement(view).assignments, ())
        self.assertEqual(self.fleet.assign(plan_placement(self.fleet.read_view())), [])
        after = self.fleet.state.shards[self.parent].current
        self.assertTrue(after.leases)
        self.assertGreater(after.epoch, before)
