"""Decodes the operators' manifest into a :class:`Configuration`."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import pydantic
import pydantic_core
from pydantic.alias_generators import to_pascal

from papayatack.core.inventory import (
    CallerBounds,
    Configuration,
    HostRoute,
    KeyRange,
    Place,
    RequestClass,
    Service,
    Target,
)
from papayatack.core.records import CONFIG_STREAM
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.observability.metrics import Metrics
from papayatack.platform.evacuations import EVACUATED_FIELD
from papayatack.platform.times import Duration

__all__ = ["ManifestDecoder", "ManifestFold", "ManifestParser"]

KEY_COUNT = 65_536
SHARD_COUNT = 512
KEY_RANGE_NAME = "keys"
REQUEST_CLASS_SHARES = {
    RequestClass.ORDER: 0.35,
    RequestClass.BROWSE: 0.45,
    RequestClass.DOWNLOAD: 0.2,
    RequestClass.CALL: 0.7,
}
MIN_SHARE = 0.8
UNLIMITED_SLOTS = 1_000_000
"""Upstreams report their own number of slots; the manifest does not contain it."""

DEFAULT_DEADLINE_S = 10.0
MAX_SHARED_TARGETS = 256
VERSION_RADIX = 16
SLICE_ROUTES = 100
"""Routes that are converted before other tasks may run."""

CLASS_PRIORITIES = 2
"""Number of priorities that the request classes tell apart."""

MAX_URGENT_PRIORITY = 1
"""Routes with a ``Priority`` up to this value take precedence in their service."""


class _Model(pydantic.BaseModel):
    """Base of the manifest's models, which ignore unknown fields."""

    model_config = pydantic.ConfigDict(alias_generator=to_pascal, frozen=True)


class _SplitPart(_Model):
    service: str
    weight: float = pydantic.Field(default=1.0, ge=0)


class _Route(_Model):
    host: str
    path_prefix: str
    route_kind: str
    timeout: Duration
    target_latency: Duration
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_SplitPart, ...] = ()


class _Service(_Model):
    max_connections: int = 100
    sharded: bool = False
    health_path: str = ""
    warmup: Duration = 3.0
    cold_start: Duration = 0.0
    cold_per_s: float = pydantic.Field(default=0.0, ge=0)


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: Duration = 3.0
    idle_timeout: Duration = 15.0


class _Manifest(_Model):
    version: str
    routes: dict[str, dict[str, Any]] = {}
    services: dict[str, _Service] = {}
    limits: _Limits = _Limits()
    evacuated: frozenset[str] = pydantic.Field(
        default=frozenset(), alias=EVACUATED_FIELD
    )


class ManifestParser:
    """Converts manifests, each of which mostly repeats the one before.

    A route whose text has not changed since the last manifest is not converted again.

    Args:
        places: All data centres, which the manifest does not list.
        count: Counts ``evacuations_ignored`` by reason.
    """

    def __init__(
        self,
        *,
        places: tuple[Place, ...],
        count: Callable[[str, str], None] = lambda name, reason: None,
    ) -> None:
        self._places = places
        self._names = frozenset(place.name for place in places)
        self._count = count
        self._routes: Mapping[str, _KnownRoute] = {}

    def parse(self, payload: bytes) -> Configuration:
        """Return the configuration that a manifest describes.

        Args:
            payload: The stored manifest, as JSON.

        Raises:
            ValueError: The payload is not a valid manifest.
        """
        manifest = _read_manifest(payload)
        return self._build(manifest, dict(self._convert_routes(manifest)))

    async def parse_in_slices(self, payload: bytes) -> Configuration:
        """Return the same as :meth:`parse`, letting other tasks run in between."""
        manifest = _read_manifest(payload)
        routes = {}
        for number, (name, known) in enumerate(self._convert_routes(manifest), start=1):
            routes[name] = known
            if number % SLICE_ROUTES == 0:
                await asyncio.sleep(0)
        return self._build(manifest, routes)

    def _convert_routes(
        self, manifest: _Manifest
    ) -> Iterator[tuple[str, "_KnownRoute"]]:
        for name, fields in manifest.routes.items():
            known = self._routes.get(name)
            if known is None or known[0] != fields:
                route = _build_route(name, _Route.model_validate(fields))
                known = fields, route
            yield name, known

    def _build(
        self, manifest: _Manifest, routes: Mapping[str, "_KnownRoute"]
    ) -> Configuration:
        for _ in manifest.evacuated - self._names:
            self._count("evacuations_ignored", "unknown")
        converted = tuple(route for _, route in routes.values())
        configuration = _build_configuration(manifest, converted, self._places)
        self._routes = routes
        return configuration


_KnownRoute = tuple[dict[str, Any], HostRoute]
"""A route as it was stored and as it was converted."""


def _read_manifest(payload: bytes) -> _Manifest:
    return _Manifest.model_validate(pydantic_core.from_json(payload))


def _build_configuration(
    manifest: _Manifest, routes: tuple[HostRoute, ...], places: tuple[Place, ...]
) -> Configuration:
    limits = manifest.limits
    deadlines_s = _find_deadlines_s(routes)
    return Configuration(
        version=int(manifest.version, VERSION_RADIX),
        services=tuple(
            _build_service(
                name, service, places, deadlines_s.get(name, DEFAULT_DEADLINE_S)
            )
            for name, service in manifest.services.items()
        ),
        places=places,
        routes=routes,
        uses_ranks=_count_priorities(manifest) > CLASS_PRIORITIES,
        bounds=CallerBounds(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout,
            idle_timeout_s=limits.idle_timeout,
        ),
        evacuated=manifest.evacuated & {place.name for place in places},
    )


def _count_priorities(manifest: _Manifest) -> int:
    """Return the number of different priorities that routes name."""
    found = {fields.get("Priority") for fields in manifest.routes.values()}
    return len(found - {None})


def _build_service(
    name: str, service: _Service, places: tuple[Place, ...], deadline_s: float
) -> Service:
    ranges = KeyRange(name=KEY_RANGE_NAME, shards=SHARD_COUNT, numbers=KEY_COUNT)
    return Service(
        name=name,
        prefix="",
        key_ranges=(ranges,) if service.sharded else (),
        slots=UNLIMITED_SLOTS,
        connections=service.max_connections,
        ramp_s=0.0,
        places=tuple(place.name for place in places),
        warm_up_s=service.warmup,
        deadline_s=deadline_s,
        health_path=service.health_path,
        shares=REQUEST_CLASS_SHARES,
        least_share=MIN_SHARE,
        cold_start_s=service.cold_start,
        cold_requests_per_s=service.cold_per_s,
    )


def _find_deadlines_s(routes: tuple[HostRoute, ...]) -> dict[str, float]:
    """Return the longest timeout of the routes to each service, in seconds."""
    found: dict[str, float] = {}
    for route in routes:
        for target in route.targets:
            longest_s = found.get(target.service, 0.0)
            found[target.service] = max(longest_s, route.timeout_s)
    return found


@functools.lru_cache(maxsize=MAX_SHARED_TARGETS)
def _build_single_target(service: str) -> tuple[Target, ...]:
    """Return the only target of many routes, which share it."""
    return (Target(service=service),)


def _build_targets(route: _Route) -> tuple[Target, ...]:
    if not route.traffic_split:
        return _build_single_target(route.service)
    return tuple(
        Target(service=part.service, weight=part.weight) for part in route.traffic_split
    )


def _build_route(name: str, route: _Route) -> HostRoute:
    return HostRoute(
        name=name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        targets=_build_targets(route),
        repeatable=route.route_kind in ("idempotent", "download"),
        request_class=_find_class(route),
        timeout_s=route.timeout,
        target_latency_s=route.target_latency,
        max_attempts=route.max_attempts,
        rank=route.priority,
    )


def _find_class(route: _Route) -> RequestClass:
    if route.route_kind == "download":
        return RequestClass.DOWNLOAD
    is_urgent = (
        route.priority <= MAX_URGENT_PRIORITY or route.route_kind == "non_idempotent"
    )
    return RequestClass.ORDER if is_urgent else RequestClass.BROWSE


class ManifestFold:
    """Holds the current configuration, which each newer manifest replaces entirely.

    The set of evacuated data centres goes by the offset of its record instead, since it
    changes without a newer manifest.

    Args:
        places: All data centres, each described by a :class:`Place`.
        earlier: Configuration that was in force before in this process, if any. An
            older manifest does not replace it.
        notify_change: Called after each change of the configuration.
    """

    is_gapless = False

    def __init__(
        self,
        *,
        places: tuple[Place, ...],
        earlier: Configuration | None = None,
        notify_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.configuration = Configuration(places=places)
        self._earlier = earlier or self.configuration
        self.next_offset = 0
        self._notify_change = notify_change

    @property
    def version(self) -> int:
        """The version in force; it never decreases."""
        return self.configuration.version

    def apply(self, offset: int, record: Configuration | None) -> None:
        """Apply the record at ``offset``; ignore what is not newer."""
        is_newest = offset >= self.next_offset
        self.next_offset = max(self.next_offset, offset + 1)
        if record is None:
            return
        evacuated = record.evacuated if is_newest else self.configuration.evacuated
        newest = max(
            self.configuration, self._earlier, record, key=lambda known: known.version
        )
        if evacuated != newest.evacuated:
            newest = dataclasses.replace(newest, evacuated=evacuated)
        if newest is self.configuration:
            return
        self.configuration = newest
        self._notify_change()


class ManifestDecoder(RecordDecoder):
    """Decodes the manifests of the config stream and the records of other streams.

    Args:
        places: All data centres, each described by a :class:`Place`.
        metrics: Counts ``log_records_skipped`` by reason.
    """

    def __init__(self, *, places: tuple[Place, ...], metrics: Metrics) -> None:
        super().__init__(metrics=metrics)
        self._parser = ManifestParser(places=places, count=metrics.count)

    def decode(self, stream: str, offset: int, payload: bytes) -> LoggedRecord:
        """Decode the record at an offset; skip and count an invalid manifest."""
        if stream != CONFIG_STREAM:
            return super().decode(stream, offset, payload)
        try:
            record = self._parser.parse(payload)
        except ValueError as error:
            return self._skip(offset, error)
        return LoggedRecord(offset=offset, record=record)

    async def decode_in_slices(
        self, stream: str, offset: int, payload: bytes
    ) -> LoggedRecord:
        """Decode a payload, letting other tasks run while a manifest is converted."""
        if stream != CONFIG_STREAM:
            return await super().decode_in_slices(stream, offset, payload)
        try:
            record = await self._parser.parse_in_slices(payload)
        except ValueError as error:
            return self._skip(offset, error)
        return LoggedRecord(offset=offset, record=record)

    def _skip(self, offset: int, error: ValueError) -> LoggedRecord:
        self.note_skipped(CONFIG_STREAM, offset, "manifest", str(error))
        return LoggedRecord(offset=offset, record=None)
