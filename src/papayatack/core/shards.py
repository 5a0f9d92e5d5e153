"""Which shard a key belongs to, and all shards of a configuration.

The hash and its seed decide who owns a key, so that they never change. Keys that are
whole numbers do not hash: a shard is a slice of neighbouring ones, ``<first>-<last>``,
and a hot slice within it ``=<first>-<last>``.
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
"""First character of the last part of a hot key's shard id."""

HOT_SLICE = 8
"""Neighbouring keys that become a shard of their own together."""

MAX_INDEXES = 4

_NO_HOT_SHARDS: frozenset[ShardId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RangeIndex:
    """The shards of one key range."""

    high: str | None
    answers: tuple[Result[ShardId, Refusal], ...]
    hot_prefix: str
    retired: bool
    numbers: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ServiceIndex:
    """The key ranges of one service, in the order of their keys."""

    lows: tuple[str, ...]
    ranges: tuple[_RangeIndex, ...]


_indexes: dict[int, tuple[Configuration, dict[str, _ServiceIndex]]] = {}


def locate_shard(
    configuration: Configuration,
    service: str,
    key: str,
    hot_shards: Container[ShardId] = _NO_HOT_SHARDS,
) -> Result[ShardId, Refusal]:
    """Return the shard that a key of a service belongs to.

    Args:
        configuration: The configuration in force.
        service: The service's name.
        key: The request's key.
        hot_shards: Hot keys that are shards of their own.
    """
    cached = _indexes.get(id(configuration))
    if cached is None or cached[0] is not configuration:
        cached = _remember_index(configuration)
    index = cached[1].get(service)
    if index is None:
        return _refuse(
            ErrorKind.NO_SUCH_SERVICE, f"no service with keys is named {service!r}"
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
        return _refuse(ErrorKind.MALFORMED_REQUEST, "the key is not valid Unicode")
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
    """Return service, first and last key of a shard of whole numbers.

    Raises:
        ValueError: The keys of the shard are not whole numbers.
    """
    service, _, rest = shard.partition("/")
    first, _, last = rest.rpartition("/")[2].removeprefix(HOT_MARK).partition("-")
    return service, int(first), int(last)


def find_parent_shard(configuration: Configuration, shard: ShardId) -> ShardId | None:
    """Return the shard to which a hot key's shard returns, ``None`` for any other."""
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
    """Return the id of a hot key's own shard."""
    return ShardId(f"{service}/{key_range}/{HOT_MARK}{key}")


def derive_hot_shard_id(shard: ShardId, key: str) -> ShardId:
    """Return the id that a key of a shard would have as a shard of its own."""
    service, key_range, slot = shard.split("/", 2)
    if "-" in slot and not slot.startswith(HOT_MARK):
        key = _format_slice(int(key), HOT_SLICE)
    return format_hot_shard_id(service, key_range, key)


def is_hot_shard(shard: ShardId) -> bool:
    """Return whether a shard holds a single hot key."""
    return f"/{HOT_MARK}" in shard


def list_shards(
    configuration: Configuration, hot_shards: Iterable[ShardId] = ()
) -> tuple[ShardId, ...]:
    """Return all shards that need an owner, in a fixed order."""
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
        ErrorKind.KEY_OUT_OF_RANGE, f"no range of {service} holds the key {key!r}"
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
