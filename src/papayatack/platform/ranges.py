"""Contiguous key ranges in grants and releases sent to the upstream."""

import bisect
import dataclasses
from collections.abc import Iterable, Mapping

from papayatack.core.identity import ShardId
from papayatack.core.shards import is_hot_shard, parse_slice
from papayatack.network.exchanges import Response, find_header
from papayatack.platform.fields import HANDOVER
from papayatack.platform.times import format_ms

__all__ = [
    "KeyRange",
    "exclude_hot_slices",
    "build_range_document",
    "join_handovers",
    "list_overlapping",
    "merge_ranges",
    "split_handovers",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class KeyRange:
    """Contiguous keys with one fencing token, from ``first`` to ``last`` inclusive."""

    first: int
    last: int
    token: int
    handover: str = ""


def exclude_hot_slices(
    shard: ShardId, hot: list[tuple[str, int, int]]
) -> Iterable[tuple[int, int]]:
    """Yield the key ranges of a shard without the hot slices in it.

    Args:
        shard: The shard.
        hot: Service, first and last key of each hot slice, sorted.
    """
    service, first, last = parse_slice(shard)
    holes: list[tuple[str, int, int]] = []
    if not is_hot_shard(shard):
        start = bisect.bisect_left(hot, (service, first, first))
        holes = hot[start : bisect.bisect_right(hot, (service, last, last))]
    for _, start, end in (*holes, (service, last + 1, last + 1)):
        if first < start:
            yield first, start - 1
        first = end + 1


def merge_ranges(parts: Iterable[KeyRange]) -> list[KeyRange]:
    """Merge adjacent ranges with equal tokens, unless they have handovers.

    Args:
        parts: Ranges sorted by key.
    """
    ranges: list[KeyRange] = []
    for part in parts:
        last = ranges[-1] if ranges else None
        joins = (
            last is not None
            and last.last + 1 == part.first
            and (last.token, last.handover) == (part.token, part.handover)
            and not part.handover
        )
        if joins and last is not None:
            ranges[-1] = dataclasses.replace(last, last=part.last)
        else:
            ranges.append(part)
    return ranges


def list_overlapping(shard: ShardId, others: Iterable[ShardId]) -> list[ShardId]:
    """Return the shards that share keys with this one."""
    service, first, last = parse_slice(shard)
    found = ((other, *parse_slice(other)) for other in others)
    return [
        other
        for other, name, start, end in found
        if name == service and start <= last and first <= end
    ]


def join_handovers(parts: list[KeyRange], responses: list[Response | None]) -> str:
    """Join the upstream's handovers into one text, each with its key range."""
    found = []
    for part, response in zip(parts, responses, strict=True):
        value = (
            find_header(response.headers, HANDOVER) if response is not None else None
        )
        if value:
            found.append(f"{part.first}-{part.last}:{value.decode('latin-1')}")
    return ";".join(found)


def split_handovers(text: str) -> dict[str, str]:
    """Split a joined text into the handovers by key range."""
    pairs = (item.partition(":") for item in text.split(";") if item)
    return {keys: value for keys, _, value in pairs}


def build_range_document(
    key_range: KeyRange, hold_s: float | None = None
) -> Mapping[str, object]:
    """Return the document of a grant, or of a release if ``hold_s`` is ``None``."""
    document: dict[str, object] = {
        "From": key_range.first,
        "To": key_range.last,
        "fence": key_range.token,
    }
    if hold_s is not None:
        document["Hold"] = format_ms(hold_s)
    if key_range.handover:
        document["Handover"] = key_range.handover
    return document
