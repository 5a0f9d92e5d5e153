"""Tests of papayatack.core.ownership.owned_shards."""

import unittest

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.ownership.effects import RevokeShards
from papayatack.core.ownership.lease_holder import LeaseHolder
from papayatack.core.ownership.owned_shards import OwnedShards
from papayatack.core.ownership.state import Chain, OwnershipState, ShardEntry

ME = IncarnationId("127.0.0.1:1#a")
SHARD = ShardId("s/all/0")


class TransferTests(unittest.TestCase):
    """A shard transferred between leases of a node, then taken from the node."""

    def setUp(self):
        self.state = OwnershipState()
        self.owned_shards = OwnedShards(state=self.state)
        self.old = self.make_holder(1)
        self.new = self.make_holder(2)
        self.owned_shards.acquire(SHARD, self.old, 1, 10, now=0.0)
        self.owned_shards.collect_grants(0.0)
        self.owned_shards.confirm_grant(self.old.lease, SHARD, 10, done=True)
        self.owned_shards.stop_serving(SHARD, drains=False)
        self.owned_shards.acquire(SHARD, self.new, 2, 20, now=0.0)
        self.owned_shards.collect_grants(0.0)

    def make_holder(self, term):
        """Return the holder of a lease that never expires."""
        return LeaseHolder(lease=LeaseId(ME, term), witnesses=(), now=0.0)

    def make_revocation(self, number, holder):
        """Return the revocation of the shard under a lease."""
        return RevokeShards(revocation_id=number, lease=holder.lease, shards=(SHARD,))

    def test_unconfirmed_grant_is_revoked_though_the_old_lease_has_ended(self):
        """The upstream may hold the grant, since its answer may be late."""
        self.old.end()
        self.owned_shards.stop_serving(SHARD, drains=True)
        found = self.owned_shards.collect_revocations(0.0)
        self.assertEqual(found, [self.make_revocation(1, self.new)])
        self.assertIn(SHARD, self.owned_shards.draining)

    def test_both_grants_are_revoked_while_both_leases_live(self):
        """Either grant may be the valid one."""
        self.owned_shards.stop_serving(SHARD, drains=True)
        found = self.owned_shards.collect_revocations(0.0)
        expected = [
            self.make_revocation(1, self.old),
            self.make_revocation(2, self.new),
        ]
        self.assertEqual(found, expected)
        self.owned_shards.confirm_revocation(2, SHARD, done=True)
        self.assertTrue(self.owned_shards.has_transfers)
        self.owned_shards.confirm_revocation(1, SHARD, done=True)
        self.assertFalse(self.owned_shards.has_transfers)
        self.assertNotIn(SHARD, self.owned_shards.draining)

    def test_confirmed_grant_replaces_that_of_the_old_lease(self):
        """Only the newer grant is revoked."""
        self.owned_shards.confirm_grant(self.new.lease, SHARD, 20, done=True)
        self.owned_shards.stop_serving(SHARD, drains=True)
        found = self.owned_shards.collect_revocations(0.0)
        self.assertEqual(found, [self.make_revocation(1, self.new)])

    def transfer_again(self):
        """Transfer to a third lease while the second one's grant is unanswered."""
        third = self.make_holder(3)
        self.owned_shards.stop_serving(SHARD, drains=False)
        self.owned_shards.acquire(SHARD, third, 3, 30, now=0.0)
        self.owned_shards.collect_grants(0.0)
        chains = [
            Chain(epoch=holder.lease.term, leases=(holder.lease,), start_offset=index)
            for index, holder in enumerate((self.old, self.new, third), 1)
        ]
        entry = ShardEntry(current=chains[2], previous=tuple(chains[:2]))
        self.state.set_shard(SHARD, entry)
        self.new.confirmed_floor = 3

    def test_second_of_three_leases_is_not_released_if_the_first_ended_before(self):
        """The upstream may hold its grant, since the answer may be late."""
        self.old.end()
        self.transfer_again()
        self.assertFalse(self.owned_shards.can_release(self.new, SHARD, 3, now=0.0))

    def test_second_of_three_leases_is_not_released_if_the_first_ends_after(self):
        """The upstream may hold its grant, since the answer may be late."""
        self.transfer_again()
        self.assertFalse(self.owned_shards.can_release(self.new, SHARD, 3, now=0.0))
        self.old.end()
        self.assertFalse(self.owned_shards.can_release(self.new, SHARD, 3, now=0.0))

    def test_old_lease_is_not_released_to_others_while_its_grant_may_be_valid(self):
        """The newer lease may end before its grant has reached the upstream."""
        chain = Chain(epoch=2, leases=(self.new.lease,), start_offset=2)
        before = Chain(epoch=1, leases=(self.old.lease,), start_offset=1)
        self.state.set_shard(SHARD, ShardEntry(current=chain, previous=(before,)))
        self.old.confirmed_floor = 2
        self.assertFalse(self.owned_shards.can_release(self.old, SHARD, 2, now=0.0))
        self.assertTrue(
            self.owned_shards.can_release(self.old, SHARD, 2, now=0.0, to_self=True)
        )
        self.owned_shards.confirm_grant(self.new.lease, SHARD, 20, done=True)
        self.assertTrue(self.owned_shards.can_release(self.old, SHARD, 2, now=0.0))
