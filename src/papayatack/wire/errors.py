"""The error of undecodable input."""

from papayatack.core.errors import PapayatackError

__all__ = ["WireError"]


class WireError(PapayatackError):
    """Bytes from a peer are not a valid frame; close its connection."""
