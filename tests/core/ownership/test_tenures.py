"""Tests of tenures, which tell a node whether it knows the outcomes of a key.

Each scenario sends repeated requests throughout. It runs a second time with one
safeguard disabled, and must then find a key that ran twice.
"""

import unittest
from unittest import mock

from papayatack.core.idempotency import IdempotencyRegistry, PriorOutcomes
from papayatack.core.ownership.owned_shards import OwnedShards
from papayatack.core.records import Assignment
from tests.core.ownership.test_guards import SHARD, append, make_fleet, move
from tests.fakes.keyed import KeyedTraffic

HOT = "s/all/=k"


def make_traffic(**options):
    """Return a fleet with one shard, owned by ``a``, and keyed requests for it."""
    fleet = make_fleet(**options)
    fleet.hot_keys[HOT] = SHARD
    fleet.keyed = KeyedTraffic(fleet=fleet, hot=HOT, parent=SHARD)
    fleet.run(1)
    return fleet


def move_round(fleet, shard=SHARD):
    """Move a shard to two other nodes and back."""
    for name in (fleet.spares[0], fleet.spares[1], "a"):
        move(fleet, name, shard=shard)
        fleet.run(3)


def split(fleet):
    """Split the key off into its own shard."""
    assign_hot(fleet, 0, fleet.truth.shards[SHARD].current.leases)


def merge_key(fleet):
    """Merge the key's shard into its parent."""
    assign_hot(fleet, fleet.truth.shards[HOT].current.epoch, ())


def assign_hot(fleet, epoch, chain):
    """Append the assignment for a split or a merge."""
    assignment = Assignment(
        shard=HOT,
        base_epoch=epoch,
        chain=chain,
        parent=SHARD,
        parent_epoch=fleet.truth.shards[SHARD].current.epoch,
    )
    append(fleet, assignment)
    fleet.run(1)


def lose_and_regain(fleet):
    """Lose the owner; a new process of its node then owns the shard again."""
    move(fleet, "a", fleet.spares[0])
    fleet.run(3)
    fleet.kill("a")
    fleet.run(5)
    fleet.start("a")
    fleet.run(3)
    move(fleet, "a")
    fleet.run(3)


def split_and_merge(fleet):
    """Split off a key, move its shard away and back, and merge it."""
    move(fleet, "a")
    fleet.run(3)
    split(fleet)
    move(fleet, fleet.spares[0], shard=HOT)
    fleet.run(3)
    move(fleet, "a", shard=HOT)
    fleet.run(1)
    merge_key(fleet)
    fleet.run(2)


def merge_without_requests(fleet):
    """Do the same without any request once the shard is back at its first owner."""
    move(fleet, "a")
    fleet.run(3)
    split(fleet)
    move(fleet, fleet.spares[0], shard=HOT)
    fleet.run(3)
    traffic, fleet.keyed = fleet.keyed, None
    move(fleet, "a", shard=HOT)
    fleet.run(1)
    merge_key(fleet)
    fleet.keyed = traffic
    fleet.run(2)


def keep_tenure(self, last, owned):
    """Never begin a new tenure."""
    return owned


def find_no_prior_outcomes(self, tenure, parent):
    """Treat each tenure as the first one."""
    return PriorOutcomes.NONE


def ignore_related(self, now, owned, first_attempt_token):
    """Skip the check of the related shard."""


def find_none(self, shard):
    """Remember no merge."""


class TenureTests(unittest.TestCase):
    """Scenarios that must pass, and must fail without their safeguard."""

    def assert_guarded(self, scenario, owner, name, replacement):
        """Check that the scenario passes only with the safeguard."""
        scenario(make_traffic())
        with (
            mock.patch.object(owner, name, replacement),
            self.assertRaisesRegex(AssertionError, "ran twice"),
        ):
            scenario(make_traffic())

    def test_moves_begin_tenures(self):
        """A node that gets a shard back must know that other nodes owned it."""
        self.assert_guarded(move_round, OwnedShards, "_assign_tenure", keep_tenure)

    def test_moves_hand_outcomes_over(self):
        """A new owner must receive the outcomes of the node that released the shard."""
        self.assert_guarded(
            move_round,
            IdempotencyRegistry,
            "_find_prior_outcomes",
            find_no_prior_outcomes,
        )

    def test_outcomes_are_unknown_after_a_loss(self):
        """A new owner must not run keys that the lost owner may have run."""
        self.assert_guarded(
            lose_and_regain,
            IdempotencyRegistry,
            "_find_prior_outcomes",
            find_no_prior_outcomes,
        )

    def test_outcomes_are_unknown_after_a_merge(self):
        """A parent must not run keys that others may have run for a hot key's shard."""
        self.assert_guarded(
            split_and_merge, IdempotencyRegistry, "_check_related", ignore_related
        )

    def test_merges_are_remembered(self):
        """The parent's owner must know from which shard a key was merged."""
        self.assert_guarded(
            merge_without_requests, OwnedShards, "find_merge", find_none
        )

    def test_moved_shard_needs_no_token(self):
        """After a release new keys run at once; none is refused as unknown."""
        fleet = make_traffic()
        move_round(fleet)
        self.assertGreater(fleet.keyed.completed_handovers, 0)
        self.assertEqual(fleet.keyed.refused_new, 0)

    def test_lost_handover_is_unknown(self):
        """Without the outcomes, the shard counts as taken over from a lost owner."""
        fleet = make_traffic()
        fleet.keyed.lost_share = 1.0
        move_round(fleet)
        self.assertEqual(fleet.keyed.completed_handovers, 0)
        self.assertGreater(fleet.keyed.refused_new, 0)
