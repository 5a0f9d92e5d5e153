"""Tests of papayatack.core.ownership.fencing."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership import OwnershipState
from papayatack.core.ownership.fencing import Fencing
from papayatack.core.ownership.state import EndKind, RecordedEnd

LEASE = LeaseId("a#1", 1)


class MarkTests(unittest.TestCase):
    """Ends of leases that are recorded in the log."""

    def note(self, kind, *, lease_s):
        """Return the time at which grants expire for an end read at 10 s."""
        fencing = Fencing(state=OwnershipState(), lease_s=lease_s)
        fencing.record_logged_end(LEASE, RecordedEnd(kind=kind, floor=0), 10.0)
        return fencing.find_end(LEASE).grants_expire_s

    def test_ends_without_proof_are_waited_out_for_a_whole_lease(self):
        """Grants under the lease may remain valid for that long."""
        for kind in (EndKind.SUPERSEDED, EndKind.LOST):
            for lease_s in (1.0, 3.0):
                self.assertGreaterEqual(self.note(kind, lease_s=lease_s), 10 + lease_s)

    def test_proved_ends_are_not_waited_out(self):
        """The witnesses have already waited for the expiry of their promises."""
        self.assertEqual(self.note(EndKind.FENCED, lease_s=3.0), 10.0)
