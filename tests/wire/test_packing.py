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
"""Number of routes in the large configuration."""

LINK_BYTES_PER_S = 5_000_000 / 8
SEQUENTIAL_TRANSFERS = 9
"""One from the log, then four from a parent at each of two levels."""

MAX_DISTRIBUTION_S = 2.5
"""Time in seconds within which a configuration must reach all nodes."""

COMPRESSED = b"\1"
"""Encoding byte of a compressed record."""

OLDER_SCHEMA = """
struct LogBatch { 1: string stream, 2: i64 first, 3: list<binary> payloads }
"""
"""Schema of nodes whose version does not support packed records."""


class PackingTests(unittest.TestCase):
    """Packing and unpacking of records."""

    @given(st.binary(max_size=2000))
    def test_unpacking_restores_the_record(self, payload):
        """A record of any bytes is equal after packing and unpacking."""
        self.assertEqual(unpack_record(pack_record(payload)), payload)

    @given(st.binary(max_size=2000))
    def test_packing_adds_at_most_one_byte(self, payload):
        """A record that compression does not shorten stays uncompressed."""
        self.assertLessEqual(len(pack_record(payload)), len(payload) + 1)

    def test_large_configuration_reaches_all_nodes_in_time(self):
        """Sequential transfers over links of 5 Mbit/s take no longer than the limit."""
        payload = build_large_manifest(version="00000001", routes=ROUTES)
        sent = len(payload) + (SEQUENTIAL_TRANSFERS - 1) * len(pack_record(payload))
        self.assertLessEqual(sent / LINK_BYTES_PER_S, MAX_DISTRIBUTION_S)

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_only_wire_errors(self, data):
        """Any bytes either unpack or raise a wire error."""
        try:
            unpack_record(data)
        except WireError:
            return

    def test_malformed_bytes_are_rejected(self):
        """Empty, truncated, extended or corrupt bytes, and unknown encodings."""
        packed = pack_record(b"abc" * 500)
        corrupt = packed[:-3] + bytes([packed[-3] ^ 1]) + packed[-2:]
        for data in (b"", packed[:-1], packed + b"x", corrupt, b"\7abc"):
            with self.subTest(data=data[:8]), self.assertRaises(WireError):
                unpack_record(data)

    def test_record_over_the_limit_after_decompression_is_rejected(self):
        """A small compressed record cannot exhaust the memory of a node."""
        largest = bytes(MAX_UNPACKED_RECORD_BYTES)
        self.assertEqual(unpack_record(COMPRESSED + zlib.compress(largest)), largest)
        bomb = zlib.compress(bytes(64 * MAX_UNPACKED_RECORD_BYTES), 9)
        with self.assertRaisesRegex(WireError, "over the limit"):
            unpack_record(COMPRESSED + bomb)


class UpgradeTests(unittest.TestCase):
    """Compatibility of packed records with older nodes during an upgrade."""

    def test_older_node_does_not_read_packed_bytes_as_a_record(self):
        """It would skip them as malformed and miss a record that all others apply."""
        record = b"record"
        batch = LogBatch(stream="s", first=0, packed=(pack_record(record),))
        older = thriftpy2.load_fp(io.StringIO(OLDER_SCHEMA), "older_batch_thrift")
        read = deserialize(older.LogBatch(), serialize(encode_struct(batch)))
        self.assertIn(read.payloads, ([], [record]))
