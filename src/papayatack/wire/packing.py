"""Packs the log records that nodes forward to each other.

A packed record is an encoding byte followed by the record. A large record is compressed
with zlib, because the links between nodes may be slow. The node that reads the record
from the log packs it once; other nodes forward the packed bytes unchanged.
"""

import zlib

from papayatack.wire.errors import WireError

__all__ = ["MAX_UNPACKED_RECORD_BYTES", "pack_record", "unpack_record"]

MAX_UNPACKED_RECORD_BYTES = 1024 * 1024
"""Largest record that :func:`unpack_record` returns."""

MIN_COMPRESSIBLE_BYTES = 256
"""Records shorter than this are not compressed."""

COMPRESSION_LEVEL = 3
"""zlib compression level, from 0 to 9."""

_UNCOMPRESSED = b"\0"
_COMPRESSED = b"\1"


def pack_record(payload: bytes) -> bytes:
    """Return a record with its encoding byte, compressed if that makes it shorter."""
    if len(payload) < MIN_COMPRESSIBLE_BYTES:
        return _UNCOMPRESSED + payload
    compressed = zlib.compress(payload, COMPRESSION_LEVEL)
    if len(compressed) >= len(payload):
        return _UNCOMPRESSED + payload
    return _COMPRESSED + compressed


def unpack_record(packed: bytes) -> bytes:
    """Return the record in ``packed``.

    Raises:
        WireError: The packed bytes are malformed or truncated, or the record exceeds
            ``MAX_UNPACKED_RECORD_BYTES``.
    """
    encoding, content = packed[:1], packed[1:]
    if encoding == _COMPRESSED:
        return _decompress(content)
    if encoding != _UNCOMPRESSED:
        raise WireError("packed record has an unknown encoding")
    if len(content) > MAX_UNPACKED_RECORD_BYTES:
        raise WireError(f"record of {len(content)} bytes is over the limit")
    return content


def _decompress(content: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(content, MAX_UNPACKED_RECORD_BYTES + 1)
    except zlib.error as error:
        raise WireError(f"packed record cannot be decompressed: {error}") from error
    if len(payload) > MAX_UNPACKED_RECORD_BYTES:
        raise WireError("decompressed record is over the limit")
    if not decompressor.eof:
        raise WireError("compressed record is truncated")
    if decompressor.unused_data:
        raise WireError("trailing bytes after the compressed record")
    return payload
