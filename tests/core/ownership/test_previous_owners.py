"""Tests of what a right says of those who served its shard before."""

import types
import unittest

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.ownership.claims import Claims
from papayatack.core.ownership.owned_shards import OwnedShards, PreviousOwner
from papayatack.core.ownership.state import Chain, OwnershipState, ShardEntry
from papayatack.core.ownership.succession import LeaseEnd

SHARD = "s/all/0"
HOT = "s/all/=k"
A, B, C, ME = (LeaseId(IncarnationId(f"{name}#1"), 1) for name in "abcm")


def make_chain(epoch, *leases):
    """Return a chain whose record has the offset of its epoch times ten."""
    return Chain(epoch=epoch, leases=leases, start_offset=epoch * 10)


class PreviousOwnerTests(unittest.TestCase):
    """Who alone can have served last, and has released."""

    def setUp(self):
        """This node is about to serve under epoch 2."""
        self.ends = {}
        self.holder = types.SimpleNamespace(lease=ME, ended=False)
        context = types.SimpleNamespace(
            holders={ME: self.holder},
            fencing=types.SimpleNamespace(find_end=self.ends.get),
            state=types.SimpleNamespace(next_offset=100),
        )
        self.claims = Claims(context=context)

    def find(self, *earlier, current=None, released=None):
        """Return the origin, given the epochs to which leases released the shard."""
        self.claims._released[SHARD] = released or {A: 2}
        entry = ShardEntry(current=current or make_chain(2, ME, C), previous=earlier)
        return self.claims._find_previous_owner(SHARD, entry, self.holder)

    def end(self, lease, floor):
        """Let a lease have ended with a confirmed floor."""
        self.ends[lease] = LeaseEnd(
            floor=floor, confirmed_floor=floor, grants_expire_s=0.0, drained=False
        )

    def test_owner_that_released_is_the_previous_owner(self):
        """The owner of the only earlier chain is the origin."""
        expected = PreviousOwner(incarnation=A.incarnation, epoch=1)
        self.assertEqual(self.find(make_chain(1, A, B)), expected)

    def test_two_earlier_chains_leave_the_previous_owner_unknown(self):
        """With two earlier chains it is not known who served last."""
        chains = make_chain(1, A, B), make_chain(2, B)
        current = make_chain(3, ME)
        released = {A: 3, B: 3}
        self.assertIsNone(self.find(*chains, current=current, released=released))

    def test_fenced_predecessor_leaves_the_previous_owner_unknown(self):
        """One that was fenced before this node may have served."""
        current = make_chain(2, C, ME)
        self.assertIsNone(self.find(make_chain(1, A), current=current))

    def test_release_to_an_earlier_epoch_proves_nothing(self):
        """A release that does not count for this epoch proves nothing."""
        self.assertIsNone(self.find(make_chain(1, A), released={A: 1}))

    def test_successor_that_released_is_the_previous_owner(self):
        """A successor is the origin if its owner was fenced before the move."""
        self.end(A, 5)
        origin = self.find(make_chain(1, A, B), released={B: 2})
        self.assertEqual(origin, PreviousOwner(incarnation=B.incarnation, epoch=1))

    def test_owner_lost_after_the_move_leaves_the_previous_owner_unknown(self):
        """An owner that knew of the move has served last, whoever released."""
        self.end(A, 25)
        self.assertIsNone(self.find(make_chain(1, A, B), released={B: 2}))


class OwnedShardTests(unittest.TestCase):
    """Tenures of rights."""

    def setUp(self):
        """No shard is served."""
        self.state = OwnershipState()
        self.owned_shards = OwnedShards(state=self.state)
        self.holder = types.SimpleNamespace(ended=False, lease=A)

    def acquire(self, shard, token=256, holder=None):
        """Acquire a shard; return its right."""
        self.owned_shards.acquire(shard, holder or self.holder, 1, token, now=0.0)
        return self.owned_shards.owned[shard]

    def test_newer_lease_keeps_the_tenure(self):
        """Unless the older one has ended, for then others may have served."""
        for ended in (False, True):
            with self.subTest(ended=ended):
                old = types.SimpleNamespace(ended=False, lease=B)
                number = self.acquire(SHARD, holder=old).tenure_number
                old.ended = ended
                kept = self.acquire(SHARD, token=512).tenure_number == number
                self.assertEqual(kept, not ended)

    def test_stopped_shard_begins_a_new_tenure(self):
        """Even if the same lease serves it again."""
        number = self.acquire(SHARD).tenure_number
        self.owned_shards.stop_serving(SHARD, drains=True)
        self.assertGreater(self.acquire(SHARD).tenure_number, number)

    def test_split_soon_after_a_merge_has_no_parent(self):
        """The parent need not know what the key's last shard saw."""
        for at_s, is_child in ((599.0, False), (601.0, True)):
            with self.subTest(at_s=at_s):
                self.setUp()
                number = self.acquire(SHARD).tenure_number
                self.owned_shards.note_merge(HOT, SHARD, 0.0)
                self.state.shards[HOT] = None
                owned = self.acquire(HOT)
                self.owned_shards.note_split(HOT, SHARD, at_s)
                self.assertEqual(
                    owned.parent_tenure_number, number if is_child else None
                )

    def test_merge_into_a_parent_served_elsewhere_keeps_no_owned_shard(self):
        """The right of the hot shard says nothing then."""
        self.acquire(HOT)
        self.owned_shards.note_merge(HOT, SHARD, 0.0)
        self.assertIsNone(self.owned_shards.find_merge(HOT).owned)
        self.acquire(SHARD)
        self.owned_shards.note_merge(HOT, SHARD, 0.0)
        self.assertIsNotNone(self.owned_shards.find_merge(HOT).owned)
