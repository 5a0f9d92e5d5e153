"""Tests of papayatack.core.placement.hot_keys."""

import dataclasses
import unittest

from papayatack.core.placement import PlacementLimits, plan_placement
from papayatack.core.shards import find_parent_shard, format_hot_shard_id
from tests.core.placement.fleets import (
    RANGE,
    SERVICE,
    apply_plan,
    count_moved,
    make_view,
    report_loads,
    settle,
    sum_loads,
)

HOT_BUSY = 4.0


def hot_shard(number):
    """Return the id of a hot key's shard."""
    return format_hot_shard_id(SERVICE, RANGE, f"key-{number}")


class HotKeyTests(unittest.TestCase):
    """Split, move and merge of hot keys."""

    def setUp(self):
        """Settle six nodes and select four hot keys."""
        self.view, _ = settle(make_view(nodes=6, shards=24))
        self.hot = [hot_shard(number) for number in range(4)]
        configuration = self.view.configuration
        self.parents = {hot: find_parent_shard(configuration, hot) for hot in self.hot}

    def report(self, view, busy_of_hot=HOT_BUSY):
        """Return the view with the loads that the owners report."""
        busy = dict.fromkeys(view.shards, 0.2)
        hot_keys = []
        for hot, parent in self.parents.items():
            if hot in view.shards:
                busy[hot] = busy_of_hot
            else:
                busy[parent] += busy_of_hot
                hot_keys.append((parent, hot, busy_of_hot))
        return report_loads(view, busy, hot_keys), busy

    def split(self):
        """Return the view after the keys have been split off."""
        view, _ = self.report(self.view)
        return apply_plan(
            view, plan_placement(view, limits=PlacementLimits(max_moves=0))
        )

    def test_split_changes_no_owner(self):
        """A hot key's shard starts with its parent's chain, based on its epoch."""
        view, _ = self.report(self.view)
        planned = plan_placement(view, limits=PlacementLimits(max_moves=0))
        self.assertEqual({entry.shard for entry in planned.assignments}, set(self.hot))
        for entry in planned.assignments:
            parent = view.shards[self.parents[entry.shard]]
            self.assertEqual(entry.parent, self.parents[entry.shard])
            self.assertEqual(entry.parent_epoch, parent.epoch)
            self.assertEqual(entry.chain, parent.chain)

    def test_hot_keys_are_spread(self):
        """After the split and moves no node has two hot keys."""
        view, moved = self.view, 0
        for _ in range(6):
            view, busy = self.report(view)
            after = apply_plan(view, plan_placement(view))
            moved += count_moved(view, after)
            view = after
        owners = [view.shards[hot].chain[0] for hot in self.hot]
        self.assertEqual(len(set(owners)), 4)
        self.assertLessEqual(max(sum_loads(view, busy).values()), HOT_BUSY + 0.4)

    def test_number_of_hot_keys_is_limited(self):
        """No more keys are split off than the limit permits."""
        view, _ = self.report(self.view)
        limits = PlacementLimits(max_moves=0, max_hot_shards=2)
        self.assertEqual(len(plan_placement(view, limits=limits).assignments), 2)

    def test_moving_parent_is_not_split(self):
        """No key is split off while its parent is moving, as its owner is undecided."""
        shards = {
            shard: dataclasses.replace(state, moving=True)
            for shard, state in self.view.shards.items()
        }
        view, _ = self.report(dataclasses.replace(self.view, shards=shards))
        self.assertEqual(plan_placement(view).assignments, ())

    def test_cooled_key_is_moved_to_its_parent_before_the_merge(self):
        """A cooled key moves to its parent's chain first and is then merged."""
        view = self.split()
        parent_chain = view.shards[self.parents[self.hot[0]]].chain
        elsewhere = next(
            state.chain
            for state in view.shards.values()
            if state.chain[0] != parent_chain[0]
        )
        shards = dict(view.shards)
        away = dataclasses.replace(shards[self.hot[0]], chain=elsewhere)
        shards[self.hot[0]] = away
        view, _ = self.report(dataclasses.replace(view, shards=shards), 0.0)
        entries = {e.shard: e for e in plan_placement(view).assignments}
        self.assertEqual(entries[self.hot[0]].chain, parent_chain)
        self.assertEqual(entries[self.hot[0]].parent, "")
        self.assertEqual(entries[self.hot[1]].chain, ())
        self.assertEqual(entries[self.hot[1]].parent, self.parents[self.hot[1]])

    def test_all_cooled_keys_are_merged(self):
        """Only the shards of the inventory remain after all keys have cooled."""
        view = self.split()
        for _ in range(6):
            view, _ = self.report(view, 0.0)
            view = apply_plan(view, plan_placement(view))
        self.assertEqual(set(view.shards), set(self.view.shards))

    def test_key_between_the_thresholds_is_unchanged(self):
        """Between the two thresholds no key is split off and none is merged."""
        mean = 24 * 0.2 / 6
        view, _ = self.report(self.split(), 0.06 * mean)
        self.assertEqual(plan_placement(view).assignments, ())

    def test_unreported_hot_key_is_cool(self):
        """A hot key that its owner does not report has no load and is merged."""
        view = self.split()
        busy = dict.fromkeys(self.view.shards, 0.2)
        view = report_loads(view, busy)
        loads = tuple(
            dataclasses.replace(report, busy=2.0, shards=report.shards[:2])
            for report in view.loads
        )
        view = dataclasses.replace(view, loads=loads)
        entries = plan_placement(view, limits=PlacementLimits(max_moves=0)).assignments
        self.assertEqual({entry.shard for entry in entries}, set(self.hot))

    def test_recently_split_key_is_not_merged(self):
        """A hot key keeps its own shard for a minimum time."""
        view = self.split()
        shards = {
            shard: dataclasses.replace(state, age_s=10.0)
            for shard, state in view.shards.items()
        }
        view, _ = self.report(dataclasses.replace(view, shards=shards), 0.0)
        self.assertEqual(plan_placement(view).assignments, ())
