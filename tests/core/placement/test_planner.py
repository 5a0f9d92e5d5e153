"""Tests of papayatack.core.placement.planner."""

import dataclasses
import random
import unittest

from papayatack.core.identity import LeaseId, ShardId
from papayatack.core.placement import PlacementLimits, plan_placement
from tests.core.placement.fleets import (
    SERVICE,
    list_places,
    make_configuration,
    make_node,
    make_view,
    remove_node,
    settle,
    shard_id,
    sum_loads,
)


class FirstPlanTests(unittest.TestCase):
    """Plans for a fleet without assignments."""

    def test_every_shard_gets_a_spread_chain(self):
        """Each shard has an owner and two successors in different data centres."""
        view, _ = settle(make_view(nodes=9, shards=32))
        self.assertEqual(set(view.shards), {shard_id(n) for n in range(32)})
        for state in view.shards.values():
            self.assertEqual(len(set(list_places(view, state.chain))), 3)

    def test_shards_are_even(self):
        """Without loads, the numbers of shards per node differ by at most one."""
        view, _ = settle(make_view(nodes=9, shards=32))
        counts = sum_loads(view, dict.fromkeys(view.shards, 1.0)).values()
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_plan_without_nodes_is_empty(self):
        """Nothing is planned without nodes."""
        self.assertEqual(plan_placement(make_view(nodes=0)).assignments, ())

    def test_single_node_owns_all_shards(self):
        """A single node owns all shards, without successors."""
        view, _ = settle(make_view(nodes=1, shards=4))
        self.assertTrue(all(len(s.chain) == 1 for s in view.shards.values()))

    def test_successors_stay_in_the_region(self):
        """The first successor is in another data centre of the owner's region."""
        view, _ = settle(make_view(nodes=12, shards=24, places=4, regions=2))
        regions = {node.lease: node.region for node in view.nodes}
        for state in view.shards.values():
            self.assertEqual(regions[state.chain[0]], regions[state.chain[1]])

    def test_repairs_are_bounded(self):
        """One plan assigns no more chains than its limit."""
        planned = plan_placement(
            make_view(shards=32), limits=PlacementLimits(max_repairs=5)
        )
        self.assertEqual(len(planned.assignments), 5)

    def test_plan_is_pure(self):
        """The same view gives the same plan."""
        view = make_view(nodes=9, shards=32)
        self.assertEqual(plan_placement(view), plan_placement(view))


class LossTests(unittest.TestCase):
    """Loss, departure and return of nodes."""

    def setUp(self):
        """Settle nine nodes in three data centres."""
        self.view, _ = settle(make_view(nodes=9, shards=180))

    def test_successor_takes_over(self):
        """The first successor becomes the owner after the loss of the owner."""
        lost = self.view.nodes[0].lease
        planned = plan_placement(remove_node(self.view, 0))
        chains = {entry.shard: entry.chain for entry in planned.assignments}
        for shard, state in self.view.shards.items():
            if state.chain[0] == lost:
                self.assertEqual(chains[shard][0], state.chain[1])
                self.assertNotIn(lost, chains[shard])

    def test_load_of_a_lost_node_is_shared_by_many(self):
        """No node takes over more than twice its share of a lost node's shards."""
        lost = self.view.nodes[0].lease
        successors = [
            s.chain[1] for s in self.view.shards.values() if s.chain[0] == lost
        ]
        part = len(successors) / 6
        self.assertEqual(len(set(successors)), 6)
        self.assertLessEqual(
            max(successors.count(s) for s in set(successors)), 2 * part
        )

    def test_moves_after_a_loss_are_near_the_minimum(self):
        """There are at most 1.2 changes of owner for each shard of a lost node."""
        for number in range(9):
            with self.subTest(number=number):
                lost = self.view.nodes[number].lease
                owned = sum(s.chain[0] == lost for s in self.view.shards.values())
                _, moved = settle(remove_node(self.view, number))
                self.assertLessEqual(moved, 1.2 * owned)

    def test_moves_after_a_loss_under_uneven_load(self):
        """The same bound holds for skewed loads, summed over the loss of each node."""
        rng = random.Random(20)
        busy = {s: 0.25 * rng.paretovariate(2.0) for s in self.view.shards}
        view, _ = settle(self.view, busy)
        moved = sum(settle(remove_node(view, n), busy)[1] for n in range(9))
        self.assertLessEqual(moved, 1.2 * len(view.shards))

    def test_leaving_node_gives_up_all_shards(self):
        """No chain contains a leaving node afterwards."""
        nodes = list(self.view.nodes)
        nodes[3] = dataclasses.replace(nodes[3], leaving=True)
        view, _ = settle(dataclasses.replace(self.view, nodes=tuple(nodes)))
        for state in view.shards.values():
            self.assertNotIn(nodes[3].lease, state.chain)

    def test_shards_survive_the_loss_of_a_data_centre(self):
        """All shards have valid chains in the two remaining data centres."""
        nodes = tuple(n for n in self.view.nodes if n.data_centre != "dc1")
        view, _ = settle(dataclasses.replace(self.view, nodes=nodes))
        for state in view.shards.values():
            self.assertEqual(set(list_places(view, state.chain)), {"dc0", "dc2"})

    def test_readmitted_incarnation_keeps_its_shards(self):
        """An incarnation with a new lease owns the same shards as before."""
        nodes = list(self.view.nodes)
        lease = LeaseId(nodes[0].lease.incarnation, 2)
        nodes[0] = dataclasses.replace(nodes[0], lease=lease)
        view, _ = settle(dataclasses.replace(self.view, nodes=tuple(nodes)))
        for shard, state in view.shards.items():
            before = self.view.shards[shard].chain[0]
            self.assertEqual(state.chain[0].incarnation, before.incarnation)
            if before == self.view.nodes[0].lease:
                self.assertEqual(state.chain[0], lease)

    def test_moving_shard_is_unchanged(self):
        """A moving shard with an available owner is not changed again."""
        shards = {
            shard: dataclasses.replace(state, moving=True)
            for shard, state in self.view.shards.items()
        }
        lease = self.view.nodes[0].lease
        shards[shard_id(0)] = dataclasses.replace(shards[shard_id(0)], chain=(lease,))
        view = dataclasses.replace(self.view, shards=shards)
        self.assertEqual(plan_placement(view).assignments, ())

    def test_cold_node_gets_fewer_shards(self):
        """A new node gets fewer shards than after its warm-up."""
        cold = make_node(9, age_s=0.0)
        view = dataclasses.replace(self.view, nodes=(*self.view.nodes, cold))
        settled, _ = settle(view)
        warm = dataclasses.replace(cold, age_s=3600.0)
        nodes = (*self.view.nodes, warm)
        later, _ = settle(dataclasses.replace(settled, nodes=nodes))
        counts = [
            sum_loads(v, dict.fromkeys(v.shards, 1.0))[cold.lease]
            for v in (settled, later)
        ]
        self.assertGreater(counts[0], 0)
        self.assertLess(counts[0], counts[1] / 2)


class RuleTests(unittest.TestCase):
    """Locality rules and changes of data centres and key ranges."""

    def test_locality_keeps_owners_in_the_preferred_data_centre(self):
        """Owners are in the preferred data centre while it has capacity."""
        configuration = make_configuration(shards=30, locality="dc1")
        view = make_view(nodes=9, configuration=configuration)
        settled, _ = settle(view, dict.fromkeys(map(shard_id, range(30)), 0.1))
        for state in settled.shards.values():
            self.assertEqual(list_places(settled, state.chain)[0], "dc1")

    def test_locality_is_suspended_beyond_capacity(self):
        """Load beyond the capacity of the data centre is spread to others."""
        configuration = make_configuration(shards=30, locality="dc1")
        view = make_view(nodes=9, configuration=configuration)
        busy = dict.fromkeys(map(shard_id, range(30)), 3.0)
        settled, _ = settle(view, busy)
        totals = sum_loads(settled, busy)
        self.assertLess(max(totals.values()), 14.0)

    def test_owners_return_with_the_preferred_data_centre(self):
        """A locality rule is followed again once its data centre has nodes."""
        configuration = make_configuration(shards=30, locality="dc1")
        view = make_view(nodes=9, configuration=configuration)
        busy = dict.fromkeys(map(shard_id, range(30)), 0.1)
        away = tuple(n for n in view.nodes if n.data_centre != "dc1")
        settled, _ = settle(dataclasses.replace(view, nodes=away), busy)
        back, _ = settle(dataclasses.replace(settled, nodes=view.nodes), busy)
        for state in back.shards.values():
            self.assertEqual(list_places(back, state.chain)[0], "dc1")

    def test_added_data_centre_joins_the_chains(self):
        """Every chain gets a holder in a third data centre once it has nodes."""
        view = make_view(nodes=9, shards=30)
        two = tuple(n for n in view.nodes if n.data_centre != "dc2")
        settled, _ = settle(dataclasses.replace(view, nodes=two))
        later, _ = settle(dataclasses.replace(settled, nodes=view.nodes))
        for state in later.shards.values():
            self.assertEqual(len(set(list_places(later, state.chain))), 3)

    def test_data_centre_removed_from_a_service_owns_nothing(self):
        """No chain contains nodes in a data centre that the service no longer uses."""
        view, _ = settle(make_view(nodes=9, shards=30))
        fewer = make_configuration(shards=30, places=2)
        settled, _ = settle(dataclasses.replace(view, configuration=fewer))
        for state in settled.shards.values():
            self.assertEqual(set(list_places(settled, state.chain)), {"dc0", "dc1"})

    def test_retired_range_is_released(self):
        """The shards of a retired range have no owner."""
        view, _ = settle(make_view())
        retired = make_configuration(retired=True)
        planned = plan_placement(dataclasses.replace(view, configuration=retired))
        self.assertEqual(len(planned.assignments), 12)
        self.assertTrue(all(entry.chain == () for entry in planned.assignments))

    def test_unknown_range_is_unchanged(self):
        """A planner with an older configuration does not release a newer range."""
        view, _ = settle(make_view(shards=12))
        newer = ShardId(f"{SERVICE}/newer/0")
        shards = {**view.shards, newer: view.shards[shard_id(0)]}
        older = make_configuration(shards=4, retired=True)
        planned = plan_placement(
            dataclasses.replace(view, configuration=older, shards=shards)
        )
        self.assertTrue(planned.assignments)
        self.assertNotIn(newer, {entry.shard for entry in planned.assignments})
