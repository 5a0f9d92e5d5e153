"""Tests of the previous owners and the tenures of owned shards."""

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
    """Return a chain whose record has ten times its epoch as offset."""
    return Chain(epoch=epoch, leases=leases, start_offset=epoch * 10)


class PreviousOwnerTests(unittest.TestCase):
    """The node that alone can have served a shard last and has released it."""

    def setUp(self):
        """Let this node be about to serve under epoch 2."""
        self.ends = {}
        self.holder = types.SimpleNamespace(lease=ME, ended=False)
        context = types.SimpleNamespace(
            holders={ME: self.holder},
            fencing=types.SimpleNamespace(find_end=self.ends.get),
            state=types.SimpleNamespace(next_offset=100),
        )
        self.claims = Claims(context=context)

    def find(self, *earlier, current=None, released=None):
        """Return the previous owner, given the epochs to which leases released."""
        self.claims._released[SHARD] = released or {A: 2}
        entry = ShardEntry(current=current or make_chain(2, ME, C), previous=earlier)
        return self.claims._find_previous_owner(SHARD, entry, self.holder)

    def end(self, lease, floor):
        """Add the proof that a lease has ended with a confirmed floor."""
        self.ends[lease] = LeaseEnd(
            floor=floor, confirmed_floor=floor, grants_expire_s=0.0, drained=False
        )

    def test_owner_that_released_is_the_previous_owner(self):
        """It is the owner in the only earlier chain."""
        expected = PreviousOwner(incarnation=A.incarnation, epoch=1)
        self.assertEqual(self.find(make_chain(1, A, B)), expected)

    def test_two_earlier_chains_leave_the_previous_owner_unknown(self):
        """Either chain's owner may have served last."""
        chains = make_chain(1, A, B), make_chain(2, B)
        current = make_chain(3, ME)
        released = {A: 3, B: 3}
        self.assertIsNone(self.find(*chains, current=current, released=released))

    def test_fenced_predecessor_leaves_the_previous_owner_unknown(self):
        """A predecessor in the current chain may have served before it was fenced."""
        current = make_chain(2, C, ME)
        self.assertIsNone(self.find(make_chain(1, A), current=current))

    def test_release_to_an_earlier_epoch_proves_nothing(self):
        """Only a release to the epoch that is being acquired counts."""
        self.assertIsNone(self.find(make_chain(1, A), released={A: 1}))

    def test_successor_that_released_is_the_previous_owner(self):
        """This holds if the owner was fenced before the move."""
        self.end(A, 5)
        origin = self.find(make_chain(1, A, B), released={B: 2})
        self.assertEqual(origin, PreviousOwner(incarnation=B.incarnation, epoch=1))

    def test_owner_lost_after_the_move_leaves_the_previous_owner_unknown(self):
        """An owner that knew of the move served last, whichever node released."""
        self.end(A, 25)
        self.assertIsNone(self.find(make_chain(1, A, B), released={B: 2}))


class OwnedShardTests(unittest.TestCase):
    """Tenures of owned shards."""

    def setUp(self):
        """Own no shard."""
        self.state = OwnershipState()
        self.owned_shards = OwnedShards(state=self.state)
        self.holder = types.SimpleNamespace(ended=False, lease=A)

    def acquire(self, shard, token=256, holder=None):
        """Acquire a shard; return its entry."""
        self.owned_shards.acquire(shard, holder or self.holder, 1, token, now=0.0)
        return self.owned_shards.owned[shard]

    def test_newer_lease_keeps_the_tenure(self):
        """If the older lease has ended, other nodes may have served in between."""
        for ended in (False, True):
            with self.subTest(ended=ended):
                old = types.SimpleNamespace(ended=False, lease=B)
                number = self.acquire(SHARD, holder=old).tenure_number
                old.ended = ended
                kept = self.acquire(SHARD, token=512).tenure_number == number
                self.assertEqual(kept, not ended)

    def test_stopped_shard_begins_a_new_tenure(self):
        """This holds even if the same lease serves it again."""
        number = self.acquire(SHARD).tenure_number
        self.owned_shards.stop_serving(SHARD, drains=True)
        self.assertGreater(self.acquire(SHARD).tenure_number, number)

    def test_split_soon_after_a_merge_has_no_parent(self):
        """The parent's owner may lack outcomes that the key's last shard recorded."""
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
        """The hot key's own shard says nothing about the key in that case."""
        self.acquire(HOT)
        self.owned_shards.note_merge(HOT, SHARD, 0.0)
        self.assertIsNone(self.owned_shards.find_merge(HOT).owned)
        self.acquire(SHARD)
        self.owned_shards.note_merge(HOT, SHARD, 0.0)
        self.assertIsNotNone(self.owned_shards.find_merge(HOT).owned)
