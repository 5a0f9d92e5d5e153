"""Encoding and decoding of length-prefixed Thrift frames of bounded size."""

import io
import struct
from typing import Any

from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer
from thriftpy2.transport.buffered import TCyBufferedTransport

from papayatack.wire.errors import WireError
from papayatack.wire.schema import schema

__all__ = ["MAX_FRAME_BYTES", "FrameReader", "decode_frame", "encode_frame"]

MAX_FRAME_BYTES = 1024 * 1024
"""Largest payload of a frame, without its length prefix."""
_LENGTH_PREFIX = struct.Struct("!I")
_LENGTH_PREFIX_BYTES = _LENGTH_PREFIX.size
_MIN_BUFFER_BYTES = 1024


def encode_frame(frame: Any) -> bytes:
    """Serialize a ``Frame`` struct, with a length prefix.

    Raises:
        WireError: A value does not fit its type, or the payload exceeds
            ``MAX_FRAME_BYTES``.
    """
    buffer = TCyMemoryBuffer()
    try:
        TCyBinaryProtocol(buffer).write_struct(frame)
    except Exception as error:  # the encoder may raise any exception
        raise WireError(f"unencodable frame: {error}") from error
    payload = buffer.getvalue()
    if len(payload) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(payload)} bytes is over the limit")
    return _LENGTH_PREFIX.pack(len(payload)) + payload


def decode_frame(payload: bytes) -> Any:
    """Deserialize a ``Frame`` struct from a payload without its length prefix.

    Uses a buffered transport because the memory buffer returns zeros instead of raising
    an error at the end of a truncated payload.

    Raises:
        WireError: The payload is malformed, truncated, or lacks the stream id.
    """
    size = max(len(payload), _MIN_BUFFER_BYTES)
    transport = TCyBufferedTransport(io.BytesIO(payload), size)
    frame = schema.Frame()
    try:
        TCyBinaryProtocol(transport).read_struct(frame)
    except Exception as error:  # the decoder may raise any exception
        raise WireError(f"undecodable frame: {error}") from error
    if frame.stream is None:
        raise WireError("frame lacks its stream")
    return frame


class FrameReader:
    """Incremental decoder that splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Append received bytes and return the frames completed by them.

        Raises:
            WireError: A frame exceeds ``MAX_FRAME_BYTES`` or cannot be decoded.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= _LENGTH_PREFIX_BYTES:
            (size,) = _LENGTH_PREFIX.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise WireError(f"frame of {size} bytes is over the limit")
            end = start + _LENGTH_PREFIX_BYTES + size
            if len(buffer) < end:
                break
            frames.append(
                decode_frame(bytes(buffer[start + _LENGTH_PREFIX_BYTES : end]))
            )
            start = end
        del buffer[:start]
        return frames
