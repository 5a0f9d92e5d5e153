"""History of the grants sent to one upstream, by key range.

Maps ranges of adjacent keys to the highest token that was sent for them and to the
latest time at which any grant of them can expire, regardless of the shard or lease that
a grant was sent for. A grant is recorded when it is sent, so that one that is never
answered counts as well. An upstream process lasts from one start of the upstream to the
next.
"""

import bisect
import dataclasses
from collections.abc import Iterable, Iterator

__all__ = ["RangeHistory", "GrantHistory"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangeHistory:
    """Grant history shared by a range of adjacent keys.

    Attributes:
        first: First key of the range.
        last: Last key of the range, inclusive.
        token: Highest token sent to the current upstream process, 0 for none.
        expires_s: Time at which the last grant to the current process expires.
        unanswered_until_s: Time until which the upstream may still accept a grant that
            it has not answered.
        previous_token: Highest token sent to earlier processes.
        previous_until_s: Time until which an earlier process may hold the keys.
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
        """Time until which any upstream process may hold the keys."""
        return max(self.expires_s, self.unanswered_until_s, self.previous_until_s)


class GrantHistory:
    """Grant history of one upstream's keys across all its processes."""

    def __init__(self) -> None:
        self._ranges: list[RangeHistory] = []

    @property
    def latest_expiry_s(self) -> float:
        """Time until which any upstream process may hold any key."""
        expiries_s = (entry.latest_expiry_s for entry in self._ranges)
        return max(expiries_s, default=float("-inf"))

    def list_ranges(self, first: int, last: int) -> Iterator[RangeHistory]:
        """Yield the history of a range in key order, clipped to the range.

        Keys that were never granted are yielded as ranges without a token.
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
        """Return the slice bounds of the entries that overlap a range."""
        start = bisect.bisect_left(self._ranges, first, key=_get_last)
        return start, bisect.bisect_right(self._ranges, last, key=_get_first)

    def note_sent(self, first: int, last: int, token: int, until_s: float) -> None:
        """Record a grant that is being sent."""
        self._replace(
            dataclasses.replace(
                entry,
                token=max(entry.token, token),
                expires_s=max(entry.expires_s, until_s),
            )
            for entry in self.list_ranges(first, last)
        )

    def note_unanswered(self, first: int, last: int, until_s: float) -> None:
        """Record that the upstream may still accept a grant until ``until_s``."""
        self._replace(
            dataclasses.replace(
                entry, unanswered_until_s=max(entry.unanswered_until_s, until_s)
            )
            for entry in self.list_ranges(first, last)
        )

    def note_released(self, first: int, last: int, token: int) -> None:
        """Record that the upstream ended every grant received before a release.

        Args:
            first: First key.
            last: Last key, inclusive.
            token: Highest token sent before the release; a grant with a higher token
                stays valid.
        """
        self._replace(
            dataclasses.replace(entry, expires_s=float("-inf"))
            if entry.token <= token
            else entry
            for entry in self.list_ranges(first, last)
        )

    def record_restart(self, *, is_certain: bool, delivery_s: float = 0.0) -> None:
        """Begin a new upstream process, which accepts no token sent to an earlier one.

        Args:
            is_certain: Whether the earlier process is known to have ended; otherwise it
                holds its keys until their grants have expired.
            delivery_s: Longest time in which an unanswered grant can reach the
                upstream.
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

    def record_interruption(self, *, delivery_s: float) -> None:
        """Accept no token sent so far, as another process may have taken its place.

        Either the process that has the grants still runs, or nobody has them.

        Args:
            delivery_s: Longest time in which an unanswered grant can reach the
                upstream.
        """
        self._ranges = [
            dataclasses.replace(
                entry,
                token=0,
                expires_s=entry.expires_s + delivery_s,
                previous_token=max(entry.previous_token, entry.token),
            )
            for entry in self._ranges
        ]

    def _replace(self, entries: Iterable[RangeHistory]) -> None:
        """Replace the entries of a contiguous range; join adjacent equal ones."""
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
    """Return the part of a range that lies within ``first`` to ``last``."""
    if first <= entry.first and entry.last <= last:
        return entry
    return dataclasses.replace(
        entry, first=max(entry.first, first), last=min(entry.last, last)
    )


def _has_same_history(one: RangeHistory, other: RangeHistory) -> bool:
    """Tell whether two ranges are adjacent and have the same history."""
    return one.last + 1 == other.first and one == dataclasses.replace(
        other, first=one.first, last=one.last
    )
