"""Tests of plans for fleets in which few nodes hold most of the keys."""

import dataclasses
import itertools
import unittest
from collections import Counter

from papayatack.core.placement import plan_placement
from papayatack.platform.environment import PLACEMENT_LIMITS
from tests.core.placement.concentration import (
    MAX_SHARE_RATIO,
    NODES,
    PLACES,
    SLICES,
    Play,
    draw_loads,
    find_share_ratio,
    make_chains,
    make_node,
    make_view,
    report,
    report_owners,
)

QUIET_S = 2.0
"""Target: no shard moves twice within this time."""

MAX_RUNS_PER_NODE = 6
"""Bound on the separate runs of adjacent slices per node after a plan for all."""


class LiveOwnerTests(unittest.TestCase):
    """Two of nine nodes own most shards under valid leases; the others are idle."""

    def setUp(self):
        self.nodes = [make_node(number) for number in range(NODES)]
        self.chains = make_chains(self.nodes)

    def check_one_plan(self, view, weights=None):
        """Check that one plan relieves the nodes and that nothing moves twice."""
        play = Play(view)
        play.plan()
        self.assertLessEqual(find_share_ratio(play.view, weights), MAX_SHARE_RATIO)
        play.now += 0.2
        play.run(QUIET_S)
        self.assertEqual(play.find_early_repetitions(), [])
        self.assertLessEqual(find_share_ratio(play.view, weights), MAX_SHARE_RATIO)
        return play

    def test_most_shards_stay_on_two_nodes_without_reports(self):
        """By the number of shards if no load is known."""
        self.check_one_plan(make_view(self.nodes, self.chains))

    def test_most_shards_stay_on_two_nodes_with_idle_reports(self):
        """All reports name a load of zero."""
        loads = tuple(report(node, {}) for node in self.nodes)
        self.check_one_plan(make_view(self.nodes, self.chains, loads=loads))

    def test_most_load_stays_on_two_nodes(self):
        """Two nodes are asked for more than they can serve."""
        for utilisation in (0.2, 0.5, 0.9):
            with self.subTest(utilisation=utilisation):
                busy = draw_loads(1, utilisation=utilisation)
                loads = report_owners(self.nodes, self.chains, busy)
                view = make_view(self.nodes, self.chains, loads=loads)
                self.check_one_plan(view, busy)

    def test_reports_from_before_hide_that_two_nodes_hold_most_shards(self):
        """The owners report nothing yet; the others what they owned before."""
        busy = draw_loads(2)
        spread = {
            shard: (self.nodes[number % NODES].lease,)
            for number, shard in enumerate(self.chains)
        }
        loads = report_owners(self.nodes, spread, busy)
        loads = (
            *(report(node, {}) for node in self.nodes[:2]),
            *loads[2:],
        )
        self.check_one_plan(make_view(self.nodes, self.chains, loads=loads))

    def test_restarted_nodes_stay_idle_while_their_upstreams_warm_up(self):
        """Seven nodes have just joined; all upstreams have the same slots."""
        nodes = [
            node if number < 2 else dataclasses.replace(node, age_s=0.0)
            for number, node in enumerate(self.nodes)
        ]
        self.check_one_plan(make_view(nodes, self.chains))

    def test_one_node_holds_nearly_all_shards(self):
        """The worst case that was seen: 0.98 of all keys on one node."""
        chains = make_chains(self.nodes, holders=1, share=0.98)
        self.check_one_plan(make_view(self.nodes, chains))

    def test_shards_of_a_recent_move_stay_where_they_are(self):
        """A shard that moved less than two seconds ago does not move again."""
        view = make_view(self.nodes, self.chains, age_s=1.0)
        play = Play(view)
        self.assertEqual(play.plan(), 0)

    def test_plan_for_all_shards_cuts_the_keys_into_pieces(self):
        """Adjacent slices of one owner are granted together, so runs stay long."""
        play = Play(make_view(self.nodes, self.chains))
        play.plan()
        order = [state.chain[0] for state in play.view.shards.values()]
        moved = {s for s, times in play.changes.items() if times}
        runs = [
            owner
            for owner, _ in itertools.groupby(
                play.view.shards[s].chain[0] for s in play.view.shards if s in moved
            )
        ]
        self.assertLessEqual(len(runs), MAX_RUNS_PER_NODE * NODES)
        self.assertEqual(len(set(order)), NODES)


class CalmTests(unittest.TestCase):
    """Fleets without such nodes, in which the relief must not move anything."""

    def test_skewed_load_that_is_balanced_moves_by_number(self):
        """A node with many cold shards may hold more than twice its share of them."""
        nodes = [make_node(number) for number in range(NODES)]
        for seed, skew in ((1, 0.5), (2, 1.0), (3, 1.5)):
            busy = draw_loads(seed, skew=skew)
            play = Play(make_view(nodes, {}))
            play.plan()
            for _ in range(60):
                before = {s: state.chain for s, state in play.view.shards.items()}
                loads = report_owners(nodes, before, busy)
                play.view = dataclasses.replace(play.view, loads=loads)
                play.now += 3.0
                play.plan()
            after = {s: state.chain for s, state in play.view.shards.items()}
            with self.subTest(seed=seed):
                self.assertEqual(after, before)

    def test_small_imbalance_is_left_to_ordinary_moves(self):
        """A node with 1.4 times its share gives no more shards than one may move."""
        nodes = [make_node(number) for number in range(NODES)]
        chains = make_chains(nodes, holders=1, share=1.4 / NODES)
        play = Play(make_view(nodes, chains))
        self.assertLessEqual(play.plan(), PLACEMENT_LIMITS.max_moves)


class LostOwnerTests(unittest.TestCase):
    """Plans for shards whose owners ended, with concentrated chains before."""

    def setUp(self):
        self.before = [make_node(number) for number in range(NODES)]
        self.chains = make_chains(self.before)

    def check_spread(self, view, weights=None):
        """Check the shares after one plan, and that nothing moves twice."""
        play = Play(view)
        play.plan()
        self.assertTrue(all(state.chain for state in play.view.shards.values()))
        self.assertLessEqual(find_share_ratio(play.view, weights), MAX_SHARE_RATIO)
        play.now += 0.2
        play.run(QUIET_S)
        self.assertEqual(play.find_early_repetitions(), [])

    def test_concentration_from_before_is_restored_when_all_processes_are_new(self):
        """Each address has a new process; two held 0.70 before."""
        nodes = [make_node(n, process="b", age_s=0.1) for n in range(NODES)]
        self.check_spread(make_view(nodes, self.chains))

    def test_concentration_from_before_is_restored_on_other_machines(self):
        """No holder of any chain is available."""
        nodes = [make_node(n + 20, process="b", age_s=0.1) for n in range(NODES)]
        self.check_spread(make_view(nodes, self.chains))

    def test_chains_that_lead_to_the_same_nodes_give_them_all_shards(self):
        """Six of nine nodes are lost; all chains continue with the same two."""
        survivors = self.before[6:8]
        chains = {
            shard: (
                self.before[number % 6].lease,
                survivors[number % 2].lease,
                survivors[1 - number % 2].lease,
            )
            for number, shard in enumerate(self.chains)
        }
        nodes = [
            *(make_node(n, process="b", age_s=0.1) for n in range(6)),
            *self.before[6:],
        ]
        others = [make_node(n + 20, process="b", age_s=0.1) for n in range(6)]
        self.check_spread(make_view([*others, *self.before[6:]], chains))
        self.check_spread(make_view(nodes, chains))

    def test_adjacent_slices_without_an_owner_fill_one_node(self):
        """Half of the slices have no holder and their neighbour's owner is busy."""
        nodes = [make_node(n) for n in range(NODES)]
        gone = make_node(30).lease
        chains = {
            shard: (nodes[0].lease,) if number % 2 == 0 else (gone,)
            for number, shard in enumerate(self.chains)
        }
        busy = draw_loads(3)
        for loads in ((), (report(nodes[0], busy),)):
            with self.subTest(reports=len(loads)):
                self.check_spread(make_view(nodes, chains, loads=loads))

    def test_nodes_with_unequal_slots_get_equal_shares(self):
        """A node with a quarter of the slots gets no more than half a mean share."""
        nodes = [
            make_node(n, process="b", age_s=0.1, slots=2 if n < 2 else 8)
            for n in range(NODES)
        ]
        self.check_spread(make_view(nodes, self.chains))

    def test_node_that_returns_later_takes_shards_that_have_just_moved(self):
        """Three of nine nodes return 0.6, 1.2 and 2.2 s after the first plan."""
        play = Play(
            make_view(
                [make_node(n, process="b", age_s=0.1) for n in range(6)], self.chains
            )
        )
        for number, seconds in ((6, 0.6), (7, 0.6), (8, 1.0)):
            play.run(seconds)
            node = make_node(number, process="b", age_s=0.1)
            view = play.view
            play.view = dataclasses.replace(view, nodes=(*view.nodes, node))
            play.plan()
        play.run(4.0)
        self.assertEqual(play.find_early_repetitions(), [])
        held = Counter(s.chain[0].incarnation for s in play.view.shards.values())
        self.assertEqual(len(held), NODES)


class SuccessionTests(unittest.TestCase):
    """Losses one after the other without a plan, so that successors inherit."""

    def inherit(self, view, lost):
        """Return the owners after the loss of nodes, by the order of each chain."""
        owners = Counter()
        for state in view.shards.values():
            owner = next((h for h in state.chain if h not in lost), None)
            owners[owner] += 1
        return owners

    def measure(self, view, count):
        """Return the worst ratio to the fair share, and of shards without an owner."""
        worst, unowned = 0.0, 0.0
        fair = SLICES / (len(view.nodes) - count)
        for lost in itertools.combinations([n.lease for n in view.nodes], count):
            owners = self.inherit(view, lost)
            unowned = max(unowned, owners.pop(None, 0) / SLICES)
            worst = max(worst, max(owners.values()) / fair)
        return worst, unowned

    def plan_from(self, chains, nodes=None):
        """Return the view after one plan."""
        nodes = nodes or [make_node(number) for number in range(NODES)]
        play = Play(make_view(nodes, chains))
        play.plan()
        return play.view

    def check_losses(self, view):
        """Check the shares after each loss of up to a third of the nodes."""
        for count in range(1, NODES // 3 + 1):
            with self.subTest(lost=count):
                ratio, _ = self.measure(view, count)
                self.assertLessEqual(ratio, MAX_SHARE_RATIO)

    def test_losses_without_a_plan_lead_to_the_same_survivors(self):
        """Chains of a new fleet."""
        self.check_losses(self.plan_from({}))

    def test_many_shards_have_the_same_three_holders(self):
        """Each of the 27 sets of holders in three data centres gets an even part."""
        _, unowned = self.measure(self.plan_from({}), 3)
        self.assertLessEqual(unowned, MAX_SHARE_RATIO / (NODES // len(PLACES)) ** 3)

    def test_losses_after_a_return_lead_to_the_same_survivors(self):
        """Chains of a fleet in which few nodes had held most shards."""
        before = [make_node(number) for number in range(NODES)]
        chains = make_chains(before)
        nodes = [make_node(n, process="b", age_s=0.1) for n in range(NODES)]
        self.check_losses(self.plan_from(chains, nodes))

    def test_successors_stay_the_same_after_relief(self):
        """Chains of a fleet in which few nodes still hold most shards."""
        nodes = [make_node(number) for number in range(NODES)]
        play = Play(make_view(nodes, make_chains(nodes)))
        play.run(3.0)
        self.check_losses(play.view)

    def test_plan_for_all_shards_is_made_in_one_call(self):
        """The limit on repairs admits all slices of a site."""
        chains = make_chains([make_node(n, process="z") for n in range(30, 39)])
        nodes = [make_node(number) for number in range(NODES)]
        planned = plan_placement(make_view(nodes, chains), limits=PLACEMENT_LIMITS)
        self.assertEqual(len(planned.assignments), SLICES)
