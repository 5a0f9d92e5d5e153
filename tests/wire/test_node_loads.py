"""Tests of papayatack.wire.node_loads."""

import io
import pathlib
import tempfile
import unittest

import hypothesis
import thriftpy2
from hypothesis import strategies as st
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.transport.buffered import TCyBufferedTransport

from papayatack.core.node_load import NodeLoad
from papayatack.wire.errors import WireError
from papayatack.wire.frames import encode_frame
from papayatack.wire.node_loads import decode_node_load, encode_node_load
from papayatack.wire.schema import schema

USUAL = NodeLoad(wait_s=0.0, work_s=0.6, slots=8, service_s=0.2)
LIMITED = NodeLoad(
    wait_s=0.5, work_s=9.0, slots=8, service_s=0.2, requests_per_s=12.5, pace=2.5
)
MAX_BYTES = 60
"""Bound on what the load adds to a response."""

BUFFER_BYTES = 4096
LENGTH_BYTES = 4
"""Length of the prefix of a frame."""

OLD_SCHEMA = """
struct Header { 1: binary name, 2: binary value }
struct ResponseHead { 1: i32 status, 2: binary reason, 3: list<Header> headers }
struct Frame { 1: i32 stream, 4: optional ResponseHead response }
"""


def encode_response(load):
    """Return the frame of a response that tells a load."""
    struct = None if load is None else encode_node_load(load)
    head = schema.ResponseHead(status=200, reason=b"OK", headers=[], load=struct)
    return encode_frame(schema.Frame(stream=1, response=head))


class NodeLoadTests(unittest.TestCase):
    """The load of a node on the wire."""

    def test_load_arrives_as_it_was_sent(self):
        """Times arrive to the microsecond, ratios to the thousandth."""
        for load in (USUAL, LIMITED):
            self.assertEqual(decode_node_load(encode_node_load(load)), load)

    def test_load_adds_few_bytes_and_none_if_it_is_not_told(self):
        """The load adds 36 bytes to a response, 54 with pace and limit."""
        without = len(encode_response(None))
        added = [len(encode_response(load)) - without for load in (USUAL, LIMITED)]
        self.assertEqual(added, [36, 54])
        self.assertLessEqual(max(added), MAX_BYTES)

    def test_older_node_skips_the_load(self):
        """A node that does not know the field reads the rest of the response."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "old_peer.thrift")
            path.write_text(OLD_SCHEMA, encoding="utf-8")
            old = thriftpy2.load(str(path), module_name="old_peer_thrift")
        data = encode_response(LIMITED)
        frame = old.Frame()
        payload = io.BytesIO(data[LENGTH_BYTES:])
        transport = TCyBufferedTransport(payload, BUFFER_BYTES)
        TCyBinaryProtocol(transport).read_struct(frame)
        self.assertEqual((frame.stream, frame.response.status), (1, 200))

    def test_absurd_loads_are_rejected(self):
        """Values out of their bounds or missing are an error."""
        for name, value in (
            ("slots", 0),
            ("slots", 10**9),
            ("service_us", 0),
            ("work_us", -1),
            ("wait_us", -1),
            ("pace_permille", 0),
            ("pace_permille", 10**9),
            ("requests_per_1000_s", -5),
            ("work_us", None),
        ):
            struct = encode_node_load(LIMITED)
            setattr(struct, name, value)
            with self.subTest(name=name, value=value), self.assertRaises(WireError):
                decode_node_load(struct)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.builds(
            NodeLoad,
            wait_s=st.floats(0.0, 3600.0),
            work_s=st.floats(0.0, 1e7),
            slots=st.integers(1, 100_000),
            service_s=st.floats(1e-9, 3600.0),
            requests_per_s=st.floats(0.0, 1e9),
            pace=st.floats(0.01, 100.0),
        )
    )
    def test_every_plausible_load_can_be_sent(self, load):
        """What a node may tell fits the fields and arrives plausible."""
        encode_response(load)
        arrived = decode_node_load(encode_node_load(load))
        self.assertAlmostEqual(arrived.work_s, load.work_s, delta=1e-6)
        self.assertAlmostEqual(arrived.pace, load.pace, delta=1e-3)
