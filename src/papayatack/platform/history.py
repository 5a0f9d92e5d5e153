"""Offsets of a stream that never go back, though those of the store may.

When the store returns from an older copy, its newest records are gone and their offsets
are given out again. One node then appends a restoration: a record that says from which
offset on the records before it are void, followed by the lost records. The offsets of
the stream continue as if nothing had been lost::

    in the store   0 1 2 | 3 lost, 4 lost | 3 void | 4 restoration | 5 | 6
    in the stream  0 1 2                                             3   4
"""

import dataclasses
import json
from typing import Protocol

__all__ = [
    "KEY_PREFIX",
    "HistoryLostError",
    "HistoryMap",
    "HistorySource",
    "Restoration",
]

MAX_OFFSET = 2**53
KEY_PREFIX = b"restored-"
"""Begins the keys of restorations; it follows the keys of all other records."""


class HistoryLostError(Exception):
    """Records that this node has applied are not part of the stream any more."""


class HistorySource(Protocol):
    """The newest records of the stream that a node has applied.

    Attributes:
        first: Offset of the oldest of them.
        end: Offset after the newest of them.
        peer_end: Highest such offset that any other node has reported.
        is_lead: Whether this node reads the log for the whole fleet.
    """

    first: int
    end: int
    peer_end: int
    is_lead: bool

    def read(self, offset: int) -> bytes:
        """Return the record at an offset from ``first`` up to ``end``."""

    def abandon(self) -> None:
        """Have the node load the stream anew: what it has applied is no part of it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Restoration:
    """The record with which the history of an era begins.

    Attributes:
        era: The era.
        base: Offset in the store from which on the records before this one are void.
        first: Offset in the stream of the record after this one.
        count: Number of restored records after this one.
    """

    era: int
    base: int
    first: int
    count: int

    def encode(self) -> tuple[bytes, bytes]:
        """Return the key and the value of the record."""
        value = json.dumps(dataclasses.asdict(self)).encode()
        return KEY_PREFIX + b"%d" % self.era, value

    @classmethod
    def decode(cls, key: bytes, value: bytes) -> "Restoration | None":
        """Return the restoration in a record, ``None`` if it is another record.

        A malformed restoration counts as another record, which every node skips.
        """
        if not key.startswith(KEY_PREFIX):
            return None
        fields = [field.name for field in dataclasses.fields(cls)]
        try:
            document = json.loads(value)
            numbers = {name: document[name] for name in fields}
        except (KeyError, TypeError, ValueError, RecursionError):
            return None
        if not all(map(_is_offset, numbers.values())):
            return None
        return cls(**numbers)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Segment:
    """Records whose offsets in the store and in the stream differ by the same amount.

    Attributes:
        base: Offset in the store from which on the records before the segment are void.
        start: Offset in the store of its first record.
        first: Offset in the stream of its first record.
    """

    base: int
    start: int
    first: int


def _is_offset(number: object) -> bool:
    return type(number) is int and 0 <= number <= MAX_OFFSET


class HistoryMap:
    """Maps offsets in the store to offsets in the stream."""

    def __init__(self) -> None:
        self._segments = [_Segment(base=0, start=0, first=0)]

    @property
    def newest(self) -> tuple[int, int]:
        """Offset of the newest segment in the store, and in the stream."""
        segment = self._segments[-1]
        return segment.start, segment.first

    def add(self, position: int, restoration: Restoration) -> None:
        """Add the segment that begins after a restoration at a store offset."""
        segment = _Segment(
            base=restoration.base, start=position + 1, first=restoration.first
        )
        kept = [part for part in self._segments if part.start <= segment.base]
        self._segments = [*kept, segment]

    def find_in_store(self, offset: int) -> int:
        """Return the offset in the store of a record of the stream."""
        segment = next(
            part for part in reversed(self._segments) if part.first <= offset
        )
        return segment.start + offset - segment.first

    def find_in_stream(self, position: int) -> int:
        """Return the offset in the stream of a record that is not void."""
        segment = next(
            part for part in reversed(self._segments) if part.start <= position
        )
        return segment.first + position - segment.start

    def is_void(self, position: int) -> bool:
        """Return whether the record at a store offset is not part of the stream."""
        return any(part.base <= position < part.start for part in self._segments)
