"""Tests of papayatack.control.provenance."""

import unittest

from papayatack.control.provenance import Provenance
from papayatack.control.recent import RecentRecords
from papayatack.core.messages import LogBatch
from papayatack.wire.convert import encode_control
from papayatack.wire.frames import encode_frame

MAX_WIRE_HOPS = 2**31 - 1


class ProvenanceTests(unittest.TestCase):
    """How records reached a node, as another node tells it."""

    def test_records_with_any_number_of_hops_can_be_forwarded(self):
        """A malformed number ends no node."""
        for hops in (-5, 0, MAX_WIRE_HOPS):
            with self.subTest(hops=hops):
                batch = LogBatch(stream="config", first=0, hops=hops)
                recent = RecentRecords(stream="config")
                recent.add(0, b"x", Provenance.of_batch(batch, "a", 1.0))
                forwarded = recent.make_batch(0, 1.0)
                self.assertGreater(forwarded.hops, 0)
                encode_frame(encode_control("s", "r", forwarded))
