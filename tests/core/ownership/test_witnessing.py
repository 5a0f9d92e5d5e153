"""Tests of papayatack.core.ownership.witnessing."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.messages import Fence, Renew
from papayatack.core.ownership import OwnershipState, apply_record
from papayatack.core.ownership.timing import (
    LEASE_DURATION_S,
    MAX_UNACKNOWLEDGED_ROUNDS,
    compute_fence_quorum,
    compute_promise_quorum,
)
from papayatack.core.ownership.witnessing import Witnessing
from papayatack.core.records import Admit, Fenced
from tests.core.ownership.test_fold import make_announce

LEASE = LeaseId("a#1", 1)


def make_renew(*, lease=LEASE, number=1, floor=0, heard=None):
    """Return a renewal; by default the holder has heard the answer to it."""
    return Renew(
        lease=lease,
        round=number,
        floor=floor,
        config_offset=0,
        ownership_offset=0,
        heard=number if heard is None else heard,
    )


class WitnessingTests(unittest.TestCase):
    """Answers of one witness to renewals and fences."""

    def setUp(self):
        """Fold the admission of a lease that ``b#1`` witnesses."""
        self.state = OwnershipState()
        for name in ("a#1", "b#1"):
            apply_record(
                self.state, self.state.next_offset, make_announce(name, record_id=name)
            )
        admit = Admit(record_id="l", writer="a", lease=LEASE, witnesses=("b#1",))
        apply_record(self.state, self.state.next_offset, admit)
        self.witnessing = Witnessing(incarnation="b#1", state=self.state)
        self.witnessing.update(LEASE, 0.0)

    def test_fence_is_granted_after_the_promise_expires(self):
        """A fence is refused with the remaining time, then granted with the floor."""
        self.witnessing.renew(make_renew(floor=3), 5.0)
        refused = self.witnessing.fence(Fence(lease=LEASE), 5.4)
        self.assertFalse(refused.fenced)
        self.assertAlmostEqual(refused.remaining_us / 1e6, LEASE_DURATION_S - 0.4, 5)
        granted = self.witnessing.fence(Fence(lease=LEASE), 5.0 + LEASE_DURATION_S)
        self.assertEqual((granted.fenced, granted.floor), (True, 3))
        self.assertEqual(self.witnessing.renew(make_renew(), 9.0), (0, True))

    def test_long_lease_is_not_fenced_before_it_expires(self):
        """This holds after the admission as well as after a renewal."""
        witnessing = Witnessing(incarnation="b#1", state=self.state, lease_s=3.0)
        witnessing.update(LEASE, 0.0)
        self.assertFalse(witnessing.fence(Fence(lease=LEASE), 2.9).fenced)
        self.assertEqual(witnessing.renew(make_renew(), 5.0), (3_000_000, False))
        self.assertFalse(witnessing.fence(Fence(lease=LEASE), 7.9).fenced)
        self.assertTrue(witnessing.fence(Fence(lease=LEASE), 8.0).fenced)

    def test_resignation_is_fenced_at_once(self):
        """A fence requested by the holder is granted at once and marked as drained."""
        self.witnessing.renew(make_renew(), 5.0)
        reply = self.witnessing.fence(Fence(lease=LEASE, resigned=True), 5.1)
        self.assertTrue(reply.fenced and reply.drained)

    def test_new_lease_is_promised_before_its_first_renewal(self):
        """A lease just admitted is not fenced before its holder could renew it."""
        self.assertFalse(self.witnessing.fence(Fence(lease=LEASE), 0.5).fenced)

    def test_unknown_lease_is_neither_promised_nor_fenced(self):
        """This applies to a lease that is not in the folded state."""
        unknown = LeaseId("a#1", 2)
        renewal = make_renew(lease=unknown)
        self.assertEqual(self.witnessing.renew(renewal, 1.0), (0, False))
        self.assertIsNone(self.witnessing.fence(Fence(lease=unknown), 9.0))

    def test_end_in_the_log_does_not_change_the_floor(self):
        """An end in the log fences the lease but does not prove the holder's floor."""
        self.witnessing.renew(make_renew(floor=1), 1.0)
        record = Fenced(record_id="f", writer="c", lease=LEASE, floor=3)
        apply_record(self.state, self.state.next_offset, record)
        self.witnessing.update(LEASE, 1.1)
        reply = self.witnessing.fence(Fence(lease=LEASE), 1.2)
        self.assertEqual((reply.fenced, reply.floor), (True, 1))

    def test_holder_that_hears_no_answers_is_not_promised(self):
        """It cannot serve, so it must not keep others from serving."""
        late = make_renew(number=9, heard=9 - MAX_UNACKNOWLEDGED_ROUNDS - 1)
        self.assertEqual(self.witnessing.renew(late, 1.0), (0, False))

    def test_lapse_notices_repeat_at_intervals(self):
        """Claimants are notified again while the lease stays lapsed."""
        self.assertEqual(self.witnessing.collect_lapsed(0.9), [])
        self.assertEqual(self.witnessing.collect_lapsed(1.0), [LEASE])
        self.assertEqual(self.witnessing.collect_lapsed(1.05), [])
        self.assertEqual(self.witnessing.collect_lapsed(1.2), [LEASE])


class QuorumTests(unittest.TestCase):
    """Numbers of witnesses needed to promise and to fence a lease."""

    def test_a_promise_quorum_excludes_a_fence_quorum(self):
        """A promise quorum and a fence quorum always share a witness."""
        for count in range(8):
            with self.subTest(count=count):
                self.assertGreater(
                    compute_promise_quorum(count) + compute_fence_quorum(count), count
                )
