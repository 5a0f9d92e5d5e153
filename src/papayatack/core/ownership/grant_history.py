"""What the lives of an upstream hold, or may hold, by key.

A map from ranges of neighbouring keys to the highest token that was sent for them and
to the latest time at which any grant of them can run out, whatever shard or lease a
grant was sent for. It is noted when a grant is sent, so that one without an answer
counts as well.
"""

import bisect
import dataclasses
from collections.abc import Iterable, Iterator

__all__ = ["RangeHistory", "GrantHistory"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangeHistory:
    """Neighbouring keys with one history; ``last`` is included.

    Attributes:
        token: Highest token sent to the present life of the upstream, 0 for none.
        until_s: When the last grant of the present life runs out.
        late_s: Until when a grant without an answer may still be taken in.
        spent: Highest token sent to earlier lives.
        former_s: Until when an earlier life may hold the keys.
    """

    first: int
    last: int
    token: int = 0
    expires_s: float = float("-inf")
    unanswered_until_s: float = float("-inf")
    previous_token: int = 0
    previous_until_s: float = float("-inf")

    def accepts_token(self, token: int, now: float) -> bool:
        """Tell whether a grant with a token may be sent for these keys."""
        return (
            self.previous_token < token >= self.token and now >= self.previous_until_s
        )

    @property
    def latest_expiry_s(self) -> float:
        """Until when any life of the upstream may hold the keys."""
        return max(self.expires_s, self.unanswered_until_s, self.previous_until_s)


class GrantHistory:
    """The map of one upstream's keys, over all its lives."""

    def __init__(self) -> None:
        self._ranges: list[RangeHistory] = []

    def list_ranges(self, first: int, last: int) -> Iterator[RangeHistory]:
        """Yield what is known of a range, cut to it, in the order of the keys.

        Keys that were never granted come as parts without a token.
        """
        start, stop = self._find(first, last)
        position = first
        for entry in self._ranges[start:stop]:
            if position < entry.first:
                yield RangeHistory(first=position, last=entry.first - 1)
            yield _clip(entry, first, last)
            position = entry.last + 1
        if position <= last:
            yield RangeHistory(first=position, last=last)

    def _find(self, first: int, last: int) -> tuple[int, int]:
        """Return where the parts of a range begin and end."""
        start = bisect.bisect_left(self._ranges, first, key=_get_last)
        return start, bisect.bisect_right(self._ranges, last, key=_get_first)

    def note_sent(self, first: int, last: int, token: int, until_s: float) -> None:
        """Note a grant that goes out now."""
        self._replace(
            dataclasses.replace(
                entry,
                token=max(entry.token, token),
                expires_s=max(entry.expires_s, until_s),
            )
            for entry in self.list_ranges(first, last)
        )

    def note_unanswered(self, first: int, last: int, until_s: float) -> None:
        """Note that a grant may be taken in until ``late_s``."""
        self._replace(
            dataclasses.replace(
                entry, unanswered_until_s=max(entry.unanswered_until_s, until_s)
            )
            for entry in self.list_ranges(first, last)
        )

    def note_released(self, first: int, last: int, token: int) -> None:
        """Note that the upstream has ended all that it had when a release was sent.

        Args:
            first: First key.
            last: Last key, included.
            token: Highest token that had been sent by then; a later one stands.
        """
        self._replace(
            dataclasses.replace(entry, expires_s=float("-inf"))
            if entry.token <= token
            else entry
            for entry in self.list_ranges(first, last)
        )

    def record_restart(self, *, is_certain: bool, delivery_s: float = 0.0) -> None:
        """Begin a new life, which takes no token that an earlier one had.

        Args:
            is_certain: The earlier life has ended; otherwise it holds its keys until
                their grants have run out.
            slack_s: Longest time that a grant without an answer took to arrive.
        """
        self._ranges = [
            RangeHistory(
                first=entry.first,
                last=entry.last,
                previous_token=max(entry.previous_token, entry.token),
                previous_until_s=float("-inf")
                if is_certain
                else entry.latest_expiry_s + delivery_s,
            )
            for entry in self._ranges
        ]

    def _replace(self, entries: Iterable[RangeHistory]) -> None:
        """Put parts in the place of what is known of their keys, and join equals."""
        new = list(entries)
        first, last = new[0].first, new[-1].last
        start, stop = self._find(first, last)
        rest = [
            _clip(entry, *bounds)
            for entry in self._ranges[start:stop]
            for bounds in ((entry.first, first - 1), (last + 1, entry.last))
            if bounds[0] <= bounds[1]
        ]
        start, stop = max(start - 1, 0), stop + 1
        around = [
            entry
            for entry in self._ranges[start:stop]
            if entry.last < first or entry.first > last
        ]
        joined: list[RangeHistory] = []
        for entry in sorted((*around, *rest, *new), key=_get_first):
            if joined and _has_same_history(joined[-1], entry):
                joined[-1] = dataclasses.replace(joined[-1], last=entry.last)
            else:
                joined.append(entry)
        self._ranges[start:stop] = joined


def _get_first(entry: RangeHistory) -> int:
    return entry.first


def _get_last(entry: RangeHistory) -> int:
    return entry.last


def _clip(entry: RangeHistory, first: int, last: int) -> RangeHistory:
    """Return the part of a range within another."""
    if first <= entry.first and entry.last <= last:
        return entry
    return dataclasses.replace(
        entry, first=max(entry.first, first), last=min(entry.last, last)
    )


def _has_same_history(one: RangeHistory, other: RangeHistory) -> bool:
    """Tell whether two parts are neighbours of which the same is known."""
    return one.last + 1 == other.first and one == dataclasses.replace(
        other, first=one.first, last=one.last
    )
