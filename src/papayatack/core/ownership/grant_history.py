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
    until_s: float = float("-inf")
    late_s: float = float("-inf")
    spent: int = 0
    former_s: float = float("-inf")

    def accepts_token(self, token: int, now: float) -> bool:
        """Tell whether a grant with a token may be sent for these keys."""
        return self.spent < token >= self.token and now >= self.former_s

    @property
    def latest_expiry_s(self) -> float:
        """Until when any life of the upstream may hold the keys."""
        return max(self.until_s, self.late_s, self.former_s)


class GrantHistory:
    """The map of one upstream's keys, over all its lives."""

    def __init__(self) -> None:
        self._parts: list[RangeHistory] = []

    def list_ranges(self, first: int, last: int) -> Iterator[RangeHistory]:
        """Yield what is known of a range, cut to it, in the order of the keys.

        Keys that were never granted come as parts without a token.
        """
        start, stop = self._find(first, last)
        at = first
        for part in self._parts[start:stop]:
            if at < part.first:
                yield RangeHistory(first=at, last=part.first - 1)
            yield _cut(part, first, last)
            at = part.last + 1
        if at <= last:
            yield RangeHistory(first=at, last=last)

    def _find(self, first: int, last: int) -> tuple[int, int]:
        """Return where the parts of a range begin and end."""
        start = bisect.bisect_left(self._parts, first, key=_get_last)
        return start, bisect.bisect_right(self._parts, last, key=_get_first)

    def note_sent(self, first: int, last: int, token: int, until_s: float) -> None:
        """Note a grant that goes out now."""
        self._replace(
            dataclasses.replace(
                part,
                token=max(part.token, token),
                until_s=max(part.until_s, until_s),
            )
            for part in self.list_ranges(first, last)
        )

    def note_unanswered(self, first: int, last: int, late_s: float) -> None:
        """Note that a grant may be taken in until ``late_s``."""
        self._replace(
            dataclasses.replace(part, late_s=max(part.late_s, late_s))
            for part in self.list_ranges(first, last)
        )

    def note_released(self, first: int, last: int, token: int) -> None:
        """Note that the upstream has ended all that it had when a release was sent.

        Args:
            first: First key.
            last: Last key, included.
            token: Highest token that had been sent by then; a later one stands.
        """
        self._replace(
            dataclasses.replace(part, until_s=float("-inf"))
            if part.token <= token
            else part
            for part in self.list_ranges(first, last)
        )

    def record_restart(self, *, is_certain: bool, delivery_s: float = 0.0) -> None:
        """Begin a new life, which takes no token that an earlier one had.

        Args:
            is_certain: The earlier life has ended; otherwise it holds its keys until
                their grants have run out.
            slack_s: Longest time that a grant without an answer took to arrive.
        """
        self._parts = [
            RangeHistory(
                first=part.first,
                last=part.last,
                spent=max(part.spent, part.token),
                former_s=float("-inf")
                if is_certain
                else part.latest_expiry_s + delivery_s,
            )
            for part in self._parts
        ]

    def _replace(self, parts: Iterable[RangeHistory]) -> None:
        """Put parts in the place of what is known of their keys, and join equals."""
        new = list(parts)
        first, last = new[0].first, new[-1].last
        start, stop = self._find(first, last)
        rest = [
            _cut(part, *keys)
            for part in self._parts[start:stop]
            for keys in ((part.first, first - 1), (last + 1, part.last))
            if keys[0] <= keys[1]
        ]
        start, stop = max(start - 1, 0), stop + 1
        around = [
            part
            for part in self._parts[start:stop]
            if part.last < first or part.first > last
        ]
        joined: list[RangeHistory] = []
        for part in sorted((*around, *rest, *new), key=_get_first):
            if joined and _has_same_history(joined[-1], part):
                joined[-1] = dataclasses.replace(joined[-1], last=part.last)
            else:
                joined.append(part)
        self._parts[start:stop] = joined


def _get_first(part: RangeHistory) -> int:
    return part.first


def _get_last(part: RangeHistory) -> int:
    return part.last


def _cut(part: RangeHistory, first: int, last: int) -> RangeHistory:
    """Return the part of a range within another."""
    if first <= part.first and part.last <= last:
        return part
    return dataclasses.replace(
        part, first=max(part.first, first), last=min(part.last, last)
    )


def _has_same_history(one: RangeHistory, other: RangeHistory) -> bool:
    """Tell whether two parts are neighbours of which the same is known."""
    return one.last + 1 == other.first and one == dataclasses.replace(
        other, first=one.first, last=one.last
    )
