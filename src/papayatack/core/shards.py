"""Mapping of keys to shards, and the shards of a configuration.

Text keys are hashed to shards. The hash function and its seed determine the owner of a
key and must therefore never change. Numeric keys are not hashed: their shard is a slice
of consecutive keys, ``<first>-<last>``. A few of them that get many requests, a hot
slice, have a shard of their own, ``=<first>-<last>``.
"""

import bisect
import dataclasses
from collections.abc import Container, Iterable

import xxhash
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import ShardId
from papayatack.core.inventory import Configuration, KeyRange, Service

__all__ = [
    "HOT_MARK",
    "derive_hot_shard_id",
    "find_parent_shard",
    "parse_slice",
    "format_hot_shard_id",
    "is_hot_shard",
    "list_shards",
    "locate_shard",
]

HOT_MARK = "="
"""Prefix of the last part of a hot key's shard id."""

HOT_SLICE = 8
"""Number of consecutive numeric keys in a hot slice."""

MAX_INDEXES = 4
"""Maximum number of configurations whose key ranges are indexed at once."""

_NO_HOT_SHARDS: frozenset[ShardId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RangeIndex:
    """Shards of one key range.

    Attributes:
        high: End of the range, exclusive; ``None`` for an unbounded range.
        answers: Result for each of its shards, in their order.
        hot_prefix: Prefix of the ids of its hot shards.
        retired: Whether the range is retired.
        numbers: Number of keys if they are numeric, else 0.
    """

    high: str | None
    answers: tuple[Result[ShardId, Refusal], ...]
    hot_prefix: str
    retired: bool
    numbers: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ServiceIndex:
    """Key ranges of one service, in key order."""

    lows: tuple[str, ...]
    ranges: tuple[_RangeIndex, ...]


_indexes: dict[int, tuple[Configuration, dict[str, _ServiceIndex]]] = {}


def locate_shard(
    configuration: Configuration,
    service: str,
    key: str,
    hot_shards: Container[ShardId] = _NO_HOT_SHARDS,
) -> Result[ShardId, Refusal]:
    """Return the shard that contains a key of a service.

    Args:
        configuration: The current configuration.
        service: Name of the service.
        key: Key of the request.
        hot_shards: Ids of the shards of hot keys.

    Returns:
        The id of the shard, or a refusal if the service has no shards, no active range
        contains the key, or the key cannot be encoded as UTF-8.
    """
    cached = _indexes.get(id(configuration))
    if cached is None or cached[0] is not configuration:
        cached = _remember_index(configuration)
    index = cached[1].get(service)
    if index is None:
        return _refuse(
            ErrorKind.NO_SUCH_SERVICE, f"no sharded service is named {service!r}"
        )
    position = bisect.bisect_right(index.lows, key) - 1
    if position < 0:
        return _refuse_key(service, key)
    found = index.ranges[position]
    if found.retired or (found.high is not None and key >= found.high):
        return _refuse_key(service, key)
    if found.numbers:
        return _locate_number(found, service, key, hot_shards)
    if hot_shards:
        hot = ShardId(found.hot_prefix + key)
        if hot in hot_shards:
            return Success(hot)
    answers = found.answers
    try:
        digest = xxhash.xxh3_64_intdigest(key.encode())
    except UnicodeEncodeError:
        return _refuse(
            ErrorKind.MALFORMED_REQUEST, "the key cannot be encoded as UTF-8"
        )
    return answers[digest % len(answers)]


def _locate_number(
    index: _RangeIndex, service: str, key: str, hot_shards: Container[ShardId]
) -> Result[ShardId, Refusal]:
    number = int(key) if key.isdecimal() and key.isascii() else index.numbers
    if number >= index.numbers:
        return _refuse_key(service, key)
    if hot_shards:
        hot = ShardId(index.hot_prefix + _format_slice(number, HOT_SLICE))
        if hot in hot_shards:
            return Success(hot)
    return index.answers[number * len(index.answers) // index.numbers]


def _format_slice(number: int, width: int) -> str:
    first = number - number % width
    return f"{first}-{first + width - 1}"


def parse_slice(shard: ShardId) -> tuple[str, int, int]:
    """Return the service, first key and last key of a shard of numeric keys.

    Raises:
        ValueError: The keys of the shard are not numeric.
    """
    service, _, rest = shard.partition("/")
    first, _, last = rest.rpartition("/")[2].removeprefix(HOT_MARK).partition("-")
    return service, int(first), int(last)


def find_parent_shard(configuration: Configuration, shard: ShardId) -> ShardId | None:
    """Return the parent of a hot key's shard, or ``None`` for any other shard."""
    service, _, rest = shard.partition("/")
    _, _, slot = rest.partition("/")
    if not slot.startswith(HOT_MARK):
        return None
    key = slot[1:]
    if _has_numbers(configuration, service):
        key = key.partition("-")[0]
    return locate_shard(configuration, service, key).value_or(None)


def _has_numbers(configuration: Configuration, service: str) -> bool:
    return any(
        key_range.numbers
        for known in configuration.services
        if known.name == service
        for key_range in known.key_ranges
    )


def format_hot_shard_id(service: str, key_range: str, key: str) -> ShardId:
    """Return the id of the shard of a hot key."""
    return ShardId(f"{service}/{key_range}/{HOT_MARK}{key}")


def derive_hot_shard_id(shard: ShardId, key: str) -> ShardId:
    """Return the id of the shard of a key once it is split from ``shard``."""
    service, key_range, slot = shard.split("/", 2)
    if "-" in slot and not slot.startswith(HOT_MARK):
        key = _format_slice(int(key), HOT_SLICE)
    return format_hot_shard_id(service, key_range, key)


def is_hot_shard(shard: ShardId) -> bool:
    """Return whether a shard has only a hot key, or the few keys of a hot slice."""
    return f"/{HOT_MARK}" in shard


def list_shards(
    configuration: Configuration, hot_shards: Iterable[ShardId] = ()
) -> tuple[ShardId, ...]:
    """Return all shards that need an owner, in a deterministic order."""
    shards = [
        shard
        for service in configuration.services
        for key_range in service.key_ranges
        if not key_range.retired
        for shard in _format_shards(service, key_range)
    ]
    shards.extend(
        shard
        for shard in sorted(hot_shards)
        if find_parent_shard(configuration, shard) is not None
    )
    return tuple(shards)


def _refuse_key(service: str, key: str) -> Result[ShardId, Refusal]:
    return _refuse(
        ErrorKind.KEY_OUT_OF_RANGE,
        f"no key range of {service} contains the key {key!r}",
    )


def _refuse(kind: ErrorKind, detail: str) -> Result[ShardId, Refusal]:
    return Failure(Refusal(kind=kind, detail=detail[:200]))


def _remember_index(
    configuration: Configuration,
) -> tuple[Configuration, dict[str, _ServiceIndex]]:
    while len(_indexes) >= MAX_INDEXES:
        _indexes.pop(next(iter(_indexes)))
    index = {
        service.name: _index_service(service)
        for service in configuration.services
        if service.key_ranges
    }
    _indexes[id(configuration)] = (configuration, index)
    return _indexes[id(configuration)]


def _index_service(service: Service) -> _ServiceIndex:
    ranges = sorted(service.key_ranges, key=lambda key_range: key_range.low)
    return _ServiceIndex(
        lows=tuple(key_range.low for key_range in ranges),
        ranges=tuple(
            _RangeIndex(
                high=key_range.high,
                answers=tuple(
                    Success(shard) for shard in _format_shards(service, key_range)
                ),
                hot_prefix=f"{service.name}/{key_range.name}/{HOT_MARK}",
                retired=key_range.retired,
                numbers=key_range.numbers,
            )
            for key_range in ranges
        ),
    )


def _format_shards(service: Service, key_range: KeyRange) -> tuple[ShardId, ...]:
    prefix = f"{service.name}/{key_range.name}"
    if key_range.numbers:
        width = key_range.numbers // key_range.shards
        starts = range(0, key_range.numbers, width)
        return tuple(ShardId(f"{prefix}/{_format_slice(n, width)}") for n in starts)
    return tuple(ShardId(f"{prefix}/{slot}") for slot in range(key_range.shards))
