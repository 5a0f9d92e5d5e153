"""Packed form of the log records that nodes pass on to each other.

A large record is deflated, as the links of a node may be slow. It is packed once, where
it comes from the log; nodes pass the packed bytes on as they are.
"""

import zlib

from papayatack.wire.errors import WireError

__all__ = ["MAX_UNPACKED_RECORD_BYTES", "pack_record", "unpack_record"]

MAX_UNPACKED_RECORD_BYTES = 1024 * 1024
MIN_DEFLATED_BYTES = 256
DEFLATE_LEVEL = 3
_PLAIN = b"\0"
_DEFLATED = b"\1"


def pack_record(payload: bytes) -> bytes:
    """Return a record with one byte in front that tells its form."""
    if len(payload) < MIN_DEFLATED_BYTES:
        return _PLAIN + payload
    deflated = zlib.compress(payload, DEFLATE_LEVEL)
    if len(deflated) >= len(payload):
        return _PLAIN + payload
    return _DEFLATED + deflated


def unpack_record(packed: bytes) -> bytes:
    """Return the record that was packed.

    Raises:
        WireError: The bytes are broken, or the record is over the bound.
    """
    form, content = packed[:1], packed[1:]
    if form == _DEFLATED:
        return _inflate(content)
    if form != _PLAIN:
        raise WireError("the record has no known form")
    if len(content) > MAX_UNPACKED_RECORD_BYTES:
        raise WireError(f"a record of {len(content)} bytes is over the limit")
    return content


def _inflate(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        payload = inflater.decompress(content, MAX_UNPACKED_RECORD_BYTES + 1)
    except zlib.error as error:
        raise WireError(f"the record does not inflate: {error}") from error
    if len(payload) > MAX_UNPACKED_RECORD_BYTES:
        raise WireError("the inflated record is over the limit")
    if not inflater.eof:
        raise WireError("the deflated record is cut")
    if inflater.unused_data:
        raise WireError("bytes follow the deflated record")
    return payload
