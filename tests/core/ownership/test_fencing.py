"""Tests of papayatack.core.ownership.fencing."""

import unittest

from papayatack.core.identity import LeaseId
from papayatack.core.ownership import OwnershipState
from papayatack.core.ownership.fencing import Fencing
from papayatack.core.ownership.state import EndKind, RecordedEnd

LEASE = LeaseId("a#1", 1)


class MarkTests(unittest.TestCase):
    """Ends that stand in the log."""

    def note(self, kind, *, lease_s):
        """Return when the end of a lease at 10 s counts."""
        fencing = Fencing(state=OwnershipState(), lease_s=lease_s)
        fencing.note_mark(LEASE, RecordedEnd(kind=kind, floor=0), 10.0)
        return fencing.find_end(LEASE).grants_expire_s

    def test_ends_without_proof_are_waited_out_for_a_whole_lease(self):
        """Grants under the lease may run on for that long."""
        for kind in (EndKind.SUPERSEDED, EndKind.LOST):
            for lease_s in (1.0, 3.0):
                self.assertGreaterEqual(self.note(kind, lease_s=lease_s), 10 + lease_s)

    def test_proved_ends_are_not_waited_out(self):
        """Witnesses have waited."""
        self.assertEqual(self.note(EndKind.FENCED, lease_s=3.0), 10.0)
