"""The exception for data that violates the wire format."""

from papayatack.core.errors import PapayatackError

__all__ = ["WireError"]


class WireError(PapayatackError):
    """Data is not valid in the wire format, or cannot be encoded in it.

    A connection whose peer sends an invalid frame must be closed.
    """
