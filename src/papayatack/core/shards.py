"""Which shard a key belongs to, and all shards of a configuration.

The hash and its seed decide who owns a key, so that they never change.
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
    "find_parent",
    "format_hot_shard",
    "is_hot",
    "list_shards",
    "locate_shard",
]

HOT_MARK = "="
"""First character of the last part of a hot key's shard id."""

MAX_INDEXES = 4

_NO_HOT_SHARDS: frozenset[ShardId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RangeIndex:
    """The shards of one key range."""

    high: str | None
    answers: tuple[Result[ShardId, Refusal], ...]
    hot_prefix: str
    retired: bool


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


def find_parent(configuration: Configuration, shard: ShardId) -> ShardId | None:
    """Return the shard to which a hot key's shard returns, ``None`` for any other."""
    service, _, rest = shard.partition("/")
    _, _, slot = rest.partition("/")
    if not slot.startswith(HOT_MARK):
        return None
    return locate_shard(configuration, service, slot[1:]).value_or(None)


def format_hot_shard(service: str, key_range: str, key: str) -> ShardId:
    """Return the id of a hot key's own shard."""
    return ShardId(f"{service}/{key_range}/{HOT_MARK}{key}")


def is_hot(shard: ShardId) -> bool:
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
        if find_parent(configuration, shard) is not None
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
            )
            for key_range in ranges
        ),
    )


def _format_shards(service: Service, key_range: KeyRange) -> tuple[ShardId, ...]:
    prefix = f"{service.name}/{key_range.name}"
    return tuple(ShardId(f"{prefix}/{slot}") for slot in range(key_range.shards))
