"""A node that is the last one left: its lease has no witnesses."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.timing import CLOCK_RATE_BOUND, LEASE_DURATION_S
from papayatack.core.records import DeclareLost
from tests.fakes.fleet import Fleet

SEEDS = 8
LEASE_S = 3.0
LONG_S = 30.0
TAKEOVER_S = 2.0 + 2 * LEASE_S
"""Time from the end of a node until all shards are served: 2 s, and two leases."""

STOPPED_S = 12.0
"""Time for which a process stands still, several leases."""


def make_lone_fleet(*, seed, lease_s=LEASE_S):
    """Return a fleet of which one node is left under a lease without witnesses."""
    fleet = Fleet(seed=seed, lease_s=lease_s)
    for name in "abc":
        fleet.add(name, name)
    fleet.run_until(fleet.all_served, 20)
    fleet.leave("b")
    fleet.leave("c")
    fleet.run_until(lambda: is_lone(fleet), 40)
    fleet.run_until(fleet.all_served, 10)
    return fleet


def is_lone(fleet):
    """Tell whether only the lease of the last node without witnesses is left."""
    holders = [h for h in fleet.slots["a"].core.context.holders.values() if not h.ended]
    return len(holders) == 1 and not holders[0].witnesses


class LoneNodeTests(unittest.TestCase):
    """The fleet raises if two upstreams hold a shard, whatever happens to the node."""

    def play_all(self, play, *, lease_s=LEASE_S):
        """Play one thing that happens to a lone node, with several seeds."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                fleet = make_lone_fleet(seed=seed, lease_s=lease_s)
                fleet.run(seed * 0.21)
                play(fleet)
                fleet.run_until(fleet.all_served, TAKEOVER_S)
                fleet.check_agreement()

    def test_shards_of_a_killed_lone_node_are_not_held_twice(self):
        """Its upstream runs on, and holds what it was granted last."""

        def play(fleet):
            fleet.kill("a")
            fleet.run(0.5)
            fleet.start("a")
            fleet.add("d", "b")
            fleet.run(2 * LEASE_S)

        self.play_all(play)

    def test_shards_of_a_lone_node_that_is_declared_lost_are_not_held_twice(self):
        def play(fleet):
            fleet.kill("a")
            fleet.add("d", "b")
            fleet.run(1.0)
            fleet.append(
                DeclareLost(record_id="lost", writer="operator", incarnations=("a#1",))
            )
            fleet.run(2 * LEASE_S)

        self.play_all(play)

    def test_shards_of_a_lone_node_that_stands_still_are_not_held_twice(self):
        """Another node joins meanwhile."""

        def play(fleet):
            fleet.freeze("a")
            fleet.run(1.0)
            fleet.add("d", "b")
            fleet.run(STOPPED_S)
            fleet.thaw("a")

        self.play_all(play)

    def test_shards_of_a_lone_node_that_gets_a_peer_and_is_killed_are_not_held_twice(
        self,
    ):
        """It is killed at different stages of the first moves and of its new lease."""
        for joined_s in (0.05, 0.3, 0.6, 1.2, 2.5):

            def play(fleet, joined_s=joined_s):
                fleet.add("d", "b")
                fleet.run(joined_s)
                fleet.kill("a")
                fleet.run(0.5)
                fleet.start("a")
                fleet.run(2 * LEASE_S)

            with self.subTest(joined_s=joined_s):
                self.play_all(play)

    def test_shards_of_a_lone_node_that_is_stopped_are_not_held_twice(self):
        """Another node joins before it has ended."""

        def play(fleet):
            fleet.leave("a")
            fleet.run(0.1)
            fleet.add("d", "b")
            fleet.run(2 * LEASE_S)

        self.play_all(play)

    def test_grants_of_a_lone_node_last_no_longer_than_a_lease(self):
        """Its upstream serves on all the while."""
        fleet = make_lone_fleet(seed=1)
        fleet.reset_outages()
        upstream = fleet.slots["a"].upstream
        end_s = fleet.now + LONG_S
        while fleet.now < end_s:
            fleet.run(0.1)
            for shard, (_, until_s) in upstream.grants.items():
                self.assertLessEqual(until_s - fleet.now, LEASE_S, shard)
                self.assertGreater(until_s, fleet.now, shard)
        self.assertLess(fleet.measure_longest_outage(), 0.1)


class LoneLeaseTests(unittest.TestCase):
    """A lease without witnesses."""

    def setUp(self):
        self.holder = LeaseHolder(
            lease=LeaseId("a#1", 1), witnesses=(), now=5.0, lease_s=LEASE_S
        )

    def renew(self, now):
        """Renew the lease."""
        self.holder.renew(now=now, floor=0, config_offset=0, ownership_offset=0)

    def test_lease_without_witnesses_runs_out_unless_it_is_renewed(self):
        valid_s = LEASE_S * (1 - CLOCK_RATE_BOUND)
        self.assertAlmostEqual(self.holder.valid_until_s, 5.0 + valid_s)
        self.renew(7.0)
        self.assertAlmostEqual(self.holder.valid_until_s, 7.0 + valid_s)
        self.assertFalse(self.holder.is_live(7.0 + valid_s))

    def test_lease_without_witnesses_that_has_ended_is_not_renewed(self):
        self.holder.end()
        self.renew(7.0)
        self.assertFalse(self.holder.is_live(7.0))

    def test_lease_without_witnesses_is_renewed_again_after_a_suspension(self):
        """The upstream's clock may not have stopped, so that its grants have ended."""
        self.holder.discard_promises()
        self.assertFalse(self.holder.is_live(5.1))
        self.assertTrue(self.holder.may_have_grants(5.1))
        self.renew(5.2)
        self.assertTrue(self.holder.is_live(5.2))

    def test_default_duration_bounds_a_lease_without_witnesses(self):
        holder = LeaseHolder(lease=LeaseId("a#1", 1), witnesses=(), now=0.0)
        self.assertFalse(holder.is_live(LEASE_DURATION_S))
