"""Tests of papayatack.wire.frames and papayatack.wire.convert."""

import dataclasses
import types
import typing
import unittest

from hypothesis import given, strategies as st

from papayatack.core.identity import LeaseId
from papayatack.core.messages import ControlMessage, LogBatch, Renew
from papayatack.wire.convert import decode_control, encode_control
from papayatack.wire.errors import WireError
from papayatack.wire.frames import MAX_FRAME_BYTES, FrameReader, encode_frame
from papayatack.wire.schema import schema

_I32 = st.integers(0, 2**31 - 1)
_I32_FIELDS = ("hops",)
_SCALARS = {
    int: st.integers(0, 2**63 - 1),
    float: st.floats(allow_nan=False),
    bytes: st.binary(),
    bool: st.booleans(),
    types.NoneType: st.none(),
    LeaseId: st.builds(LeaseId, st.text(), _I32),
}


def _build_strategy(hint):
    """Return a strategy for encodable values of a field's type."""
    if typing.get_origin(hint) is tuple:
        return st.lists(_build_strategy(typing.get_args(hint)[0]), max_size=3).map(
            tuple
        )
    if dataclasses.is_dataclass(hint) and hint not in _SCALARS:
        hints = typing.get_type_hints(hint)
        return st.builds(
            hint,
            **{
                name: _I32 if name in _I32_FIELDS else _build_strategy(part)
                for name, part in hints.items()
            },
        )
    if isinstance(hint, types.UnionType):
        return st.one_of(*map(_build_strategy, typing.get_args(hint)))
    return _SCALARS.get(hint, st.text())


_MESSAGES = st.one_of(
    *(_build_strategy(cls) for cls in typing.get_args(ControlMessage))
)
_RENEW = Renew(
    lease=LeaseId("127.0.0.1:1#a", 1),
    round=7,
    floor=5,
    config_offset=3,
    ownership_offset=5,
)


class ControlTests(unittest.TestCase):
    """Encoding and decoding of control messages."""

    @given(_MESSAGES)
    def test_every_message_decodes_to_an_equal_one(self, message):
        """A message of any class is equal after encoding and decoding."""
        data = encode_frame(encode_control("s", "r", message))
        (frame,) = FrameReader().feed(data)
        self.assertEqual(decode_control(frame), ("s", "r", message))

    def test_missing_required_field_is_rejected(self):
        """A message that lacks a field without a default raises a wire error."""
        frame = encode_control("s", "r", _RENEW)
        frame.control.renew.floor = None
        with self.assertRaises(WireError):
            decode_control(frame)

    def test_unknown_message_is_rejected(self):
        """A control frame without a known message raises a wire error."""
        frame = schema.Frame(
            stream=0, control=schema.Control(sender="s", recipient="r")
        )
        with self.assertRaises(WireError):
            decode_control(frame)


class FrameReaderTests(unittest.TestCase):
    """Splitting a byte stream into frames."""

    def test_chunking_does_not_affect_frames(self):
        """The same number of frames is read for every chunk size."""
        data = encode_frame(encode_control("s", "r", _RENEW)) * 3
        for step in range(1, len(data)):
            reader = FrameReader()
            frames = []
            for start in range(0, len(data), step):
                frames += reader.feed(data[start : start + step])
            self.assertEqual(len(frames), 3)

    def test_truncated_payload_is_rejected(self):
        """The missing bytes of a truncated payload are not read as zeros."""
        message = LogBatch(stream="s", first=1, payloads=(b"abc", b"d"))
        payload = encode_frame(encode_control("s", "r", message))[4:]
        for size in range(len(payload)):
            with self.subTest(size=size), self.assertRaises(WireError):
                FrameReader().feed(size.to_bytes(4, "big") + payload[:size])

    def test_oversized_frame_is_rejected_by_its_length_prefix(self):
        """A frame over the limit is rejected before its payload arrives."""
        with self.assertRaises(WireError):
            FrameReader().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))

    @given(st.binary(max_size=60))
    def test_arbitrary_payload_raises_only_wire_errors(self, payload):
        """Any payload either decodes or raises a wire error."""
        try:
            FrameReader().feed(len(payload).to_bytes(4, "big") + payload)
        except WireError:
            return
