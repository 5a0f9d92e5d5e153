"""Tests of papayatack.core.ownership.fencing."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership import OwnershipState
from papayatack.core.ownership.fencing import Fencing
from papayatack.core.ownership.state import EndKind, RecordedEnd

LEASE = LeaseId("a#1", 1)


class MarkTests(unittest.TestCase):
    """Ends of leases that are recorded in the log."""

    def note(self, kind, *, lease_s, delivery_s=0.0, drained=False):
        """Return the time at which grants expire for an end read at 10 s."""
        fencing = Fencing(
            state=OwnershipState(), lease_s=lease_s, delivery_s=delivery_s
        )
        end = RecordedEnd(kind=kind, floor=0, drained=drained)
        fencing.record_logged_end(LEASE, end, 10.0)
        return fencing.find_end(LEASE).grants_expire_s

    def test_ends_without_proof_are_waited_out_for_a_whole_lease(self):
        """Grants under the lease may remain valid for that long."""
        for kind in (EndKind.SUPERSEDED, EndKind.LOST):
            for lease_s in (1.0, 3.0):
                self.assertGreaterEqual(self.note(kind, lease_s=lease_s), 10 + lease_s)

    def test_grants_on_their_way_are_waited_for_unless_the_holder_had_finished(self):
        """A grant sent just before the end of its lease holds from its arrival on."""
        ends_s = [
            self.note(EndKind.FENCED, lease_s=3.0, delivery_s=0.3, drained=drained)
            for drained in (False, True)
        ]
        self.assertEqual(ends_s, [10.3, 10.0])
        lost_s = self.note(EndKind.LOST, lease_s=3.0, delivery_s=0.3)
        self.assertGreaterEqual(lost_s, 13.3)

    def test_proved_ends_are_not_waited_out(self):
        """The witnesses have already waited for the expiry of their promises."""
        self.assertEqual(self.note(EndKind.FENCED, lease_s=3.0), 10.0)
