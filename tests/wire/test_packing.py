"""Tests of papayatack.wire.packing."""

import io
import unittest
import zlib

import thriftpy2
from hypothesis import given, strategies as st
from thriftpy2.utils import deserialize, serialize

from papayatack.core.messages import LogBatch
from papayatack.wire.convert import encode_struct
from papayatack.wire.errors import WireError
from papayatack.wire.packing import (
    MAX_UNPACKED_RECORD_BYTES,
    pack_record,
    unpack_record,
)
from tests.platform.documents import build_large_manifest

ROUTES = 1522
LINK_BYTES_PER_S = 5_000_000 / 8
SENDS_IN_TURN = 9
IN_FORCE_S = 2.5
DEFLATED = b"\1"
OLDER_BATCH = """
struct LogBatch { 1: string stream, 2: i64 first, 3: list<binary> payloads }
"""
"""How nodes read a batch whose records are not packed."""


class PackingTests(unittest.TestCase):
    """Records on their way between nodes."""

    @given(st.binary(max_size=2000))
    def test_record_survives_the_round_trip(self, payload):
        """Whatever its bytes are."""
        self.assertEqual(unpack_record(pack_record(payload)), payload)

    @given(st.binary(max_size=2000))
    def test_packing_adds_a_byte_at_most(self, payload):
        """A record that does not get smaller stays as it is."""
        self.assertLessEqual(len(pack_record(payload)), len(payload) + 1)

    def test_large_configuration_passes_slow_links_in_time(self):
        """From the log and to four nodes at each of two levels, at 5 Mbit/s."""
        payload = build_large_manifest(version="00000001", routes=ROUTES)
        passed = len(payload) + (SENDS_IN_TURN - 1) * len(pack_record(payload))
        self.assertLessEqual(passed / LINK_BYTES_PER_S, IN_FORCE_S)

    @given(st.binary(max_size=300))
    def test_foreign_bytes_end_in_one_kind_of_error(self, data):
        """No other exception comes out."""
        try:
            unpack_record(data)
        except WireError:
            return

    def test_broken_bytes_are_refused(self):
        """Cut, followed by others, changed, or of no known form."""
        packed = pack_record(b"abc" * 500)
        changed = packed[:-3] + bytes([packed[-3] ^ 1]) + packed[-2:]
        for data in (b"", packed[:-1], packed + b"x", changed, b"\7abc"):
            with self.subTest(data=data[:8]), self.assertRaises(WireError):
                unpack_record(data)

    def test_record_that_inflates_beyond_the_limit_is_refused(self):
        """A few bytes do not become a memory's fill."""
        largest = bytes(MAX_UNPACKED_RECORD_BYTES)
        self.assertEqual(unpack_record(DEFLATED + zlib.compress(largest)), largest)
        bomb = zlib.compress(bytes(64 * MAX_UNPACKED_RECORD_BYTES), 9)
        with self.assertRaisesRegex(WireError, "over the limit"):
            unpack_record(DEFLATED + bomb)


class UpgradeTests(unittest.TestCase):
    """Versions mix while an upgrade is under way."""

    def test_older_node_does_not_take_a_packed_record_for_a_broken_one(self):
        """It would skip it, and go on without what all others know."""
        record = b"record"
        batch = LogBatch(stream="s", first=0, packed=(pack_record(record),))
        older = thriftpy2.load_fp(io.StringIO(OLDER_BATCH), "older_batch_thrift")
        read = deserialize(older.LogBatch(), serialize(encode_struct(batch)))
        self.assertIn(read.payloads, ([], [record]))
