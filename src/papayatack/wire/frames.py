"""Length-prefixed Thrift frames of bounded size."""

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
_PREFIX = struct.Struct("!I")
_PREFIX_BYTES = _PREFIX.size
_MIN_BUFFER_BYTES = 1024


def encode_frame(frame: Any) -> bytes:
    """Return a ``Frame`` struct as bytes with its length in front.

    Raises:
        WireError: If a value does not fit its type or the frame is over the bound.
    """
    buffer = TCyMemoryBuffer()
    try:
        TCyBinaryProtocol(buffer).write_struct(frame)
    except Exception as error:  # the encoder raises errors of any kind
        raise WireError(f"unencodable frame: {error}") from error
    payload = buffer.getvalue()
    if len(payload) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(payload)} bytes is over the limit")
    return _PREFIX.pack(len(payload)) + payload


def decode_frame(payload: bytes) -> Any:
    """Return the ``Frame`` struct in ``payload``, which has no length in front.

    Reads through a buffered transport, since the memory buffer returns zeros instead
    of an error at the end of a short payload.

    Raises:
        WireError: If the payload is not a whole frame.
    """
    size = max(len(payload), _MIN_BUFFER_BYTES)
    transport = TCyBufferedTransport(io.BytesIO(payload), size)
    frame = schema.Frame()
    try:
        TCyBinaryProtocol(transport).read_struct(frame)
    except Exception as error:  # the decoder raises errors of any kind
        raise WireError(f"undecodable frame: {error}") from error
    if frame.stream is None:
        raise WireError("frame lacks its stream")
    return frame


class FrameReader:
    """Cuts the bytes of a connection into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes and return the frames that are complete.

        Raises:
            WireError: If a frame is too large or not decodable.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= _PREFIX_BYTES:
            (size,) = _PREFIX.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise WireError(f"frame of {size} bytes is over the limit")
            end = start + _PREFIX_BYTES + size
            if len(buffer) < end:
                break
            frames.append(decode_frame(bytes(buffer[start + _PREFIX_BYTES : end])))
            start = end
        del buffer[:start]
        return frames
