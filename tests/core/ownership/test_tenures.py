"""Tests of tenures: who remembers which idempotency keys.

Each scenario runs with repeats throughout, and again without one guard, where a key
must be found to run twice.
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
    """Return a fleet with one shard, owned by ``a``, and its keyed requests."""
    fleet = make_fleet(**options)
    fleet.hot_keys[HOT] = SHARD
    fleet.keyed = KeyedTraffic(fleet=fleet, hot=HOT, parent=SHARD)
    fleet.run(1)
    return fleet


def move_round(fleet, shard=SHARD):
    """Move a shard to other nodes and back."""
    for name in (fleet.spares[0], fleet.spares[1], "a"):
        move(fleet, name, shard=shard)
        fleet.run(3)


def split(fleet):
    """Give the key its own shard."""
    assign_hot(fleet, 0, fleet.truth.shards[SHARD].current.leases)


def merge_key(fleet):
    """Return the key to its parent."""
    assign_hot(fleet, fleet.truth.shards[HOT].current.epoch, ())


def assign_hot(fleet, epoch, chain):
    """Append a split or a return."""
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
    """The owner is lost; its place serves again as a new process."""
    move(fleet, "a", fleet.spares[0])
    fleet.run(3)
    fleet.kill("a")
    fleet.run(5)
    fleet.start("a")
    fleet.run(3)
    move(fleet, "a")
    fleet.run(3)


def split_and_merge(fleet):
    """A key gets its own shard, which moves away and back, and returns."""
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
    """The same, but no request comes while the shard is back at its first owner."""
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
    """Take each tenure for the first."""
    return PriorOutcomes.NONE


def ignore_related(self, now, owned, first_attempt_token):
    """Never mind the related shard."""


def find_none(self, shard):
    """Know of no return."""


class TenureTests(unittest.TestCase):
    """Scenarios that must hold, and must break without their guard."""

    def assert_guarded(self, scenario, owner, name, replacement):
        """Check that the scenario holds only with the guard."""
        scenario(make_traffic())
        with (
            mock.patch.object(owner, name, replacement),
            self.assertRaisesRegex(AssertionError, "ran twice"),
        ):
            scenario(make_traffic())

    def test_moves_begin_tenures(self):
        """A node that gets a shard back must know that others had it."""
        self.assert_guarded(move_round, OwnedShards, "_assign_tenure", keep_tenure)

    def test_moves_hand_outcomes_over(self):
        """A new owner must have the outcomes of the node that released."""
        self.assert_guarded(
            move_round,
            IdempotencyRegistry,
            "_find_prior_outcomes",
            find_no_prior_outcomes,
        )

    def test_outcomes_are_unknown_after_a_loss(self):
        """A new owner must not run keys that the lost one may have run."""
        self.assert_guarded(
            lose_and_regain,
            IdempotencyRegistry,
            "_find_prior_outcomes",
            find_no_prior_outcomes,
        )

    def test_outcomes_are_unknown_after_a_merge(self):
        """A parent must not run keys that others may have run for a hot shard."""
        self.assert_guarded(
            split_and_merge, IdempotencyRegistry, "_check_related", ignore_related
        )

    def test_merges_are_remembered(self):
        """A parent must know from where a key has returned."""
        self.assert_guarded(
            merge_without_requests, OwnedShards, "find_merge", find_none
        )

    def test_moved_shard_needs_no_token(self):
        """After a release new keys run at once, none is refused as unknown."""
        fleet = make_traffic()
        move_round(fleet)
        self.assertGreater(fleet.keyed.completed_handovers, 0)
        self.assertEqual(fleet.keyed.refused_new, 0)

    def test_lost_handover_is_unknown(self):
        """If the outcomes do not come, the shard counts as taken over by loss."""
        fleet = make_traffic()
        fleet.keyed.lost_share = 1.0
        move_round(fleet)
        self.assertEqual(fleet.keyed.completed_handovers, 0)
        self.assertGreater(fleet.keyed.refused_new, 0)
