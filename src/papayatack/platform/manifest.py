"""Decodes the operators' manifest into a :class:`Configuration`."""

import pydantic
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
from papayatack.platform.times import Duration

__all__ = ["ManifestDecoder", "ManifestFold", "parse_manifest"]

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
VERSION_RADIX = 16
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


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: Duration = 3.0
    idle_timeout: Duration = 15.0


class _Manifest(_Model):
    version: str
    routes: dict[str, _Route] = {}
    services: dict[str, _Service] = {}
    limits: _Limits = _Limits()


def parse_manifest(payload: bytes, places: tuple[Place, ...]) -> Configuration:
    """Return the configuration that a manifest describes.

    Args:
        payload: The stored manifest, as JSON.
        places: All data centres, which the manifest does not list.

    Raises:
        ValueError: The payload is not a valid manifest.
    """
    manifest = _Manifest.model_validate_json(payload)
    limits = manifest.limits
    return Configuration(
        version=int(manifest.version, VERSION_RADIX),
        services=tuple(
            _build_service(name, service, places, _find_deadline(manifest, name))
            for name, service in manifest.services.items()
        ),
        places=places,
        routes=tuple(
            _build_route(name, route) for name, route in manifest.routes.items()
        ),
        bounds=CallerBounds(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout,
            idle_timeout_s=limits.idle_timeout,
        ),
    )


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
    )


def _find_deadline(manifest: _Manifest, service: str) -> float:
    """Return the longest time-out, in seconds, of the routes to a service."""
    found = [
        route.timeout
        for route in manifest.routes.values()
        if service == route.service
        or any(part.service == service for part in route.traffic_split)
    ]
    return max(found, default=DEFAULT_DEADLINE_S)


def _build_targets(route: _Route) -> tuple[Target, ...]:
    if not route.traffic_split:
        return (Target(service=route.service),)
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

    Args:
        places: All data centres, each described by a :class:`Place`.
    """

    is_gapless = False

    def __init__(self, *, places: tuple[Place, ...]) -> None:
        self.configuration = Configuration(places=places)
        self.next_offset = 0

    @property
    def version(self) -> int:
        """The version in force; it never decreases."""
        return self.configuration.version

    def apply(self, offset: int, record: Configuration | None) -> None:
        """Apply the record at ``offset``; ignore one that is not newer."""
        self.next_offset = max(self.next_offset, offset + 1)
        if record is None or record.version <= self.version:
            return
        self.configuration = record


class ManifestDecoder(RecordDecoder):
    """Decodes the manifests of the config stream and the records of other streams.

    Args:
        places: All data centres, each described by a :class:`Place`.
        metrics: Counts ``log_records_skipped`` by reason.
    """

    def __init__(self, *, places: tuple[Place, ...], metrics: Metrics) -> None:
        super().__init__(metrics=metrics)
        self._places = places

    def decode(self, stream: str, offset: int, payload: bytes) -> LoggedRecord:
        """Decode the record at an offset; skip and count an invalid manifest."""
        if stream != CONFIG_STREAM:
            return super().decode(stream, offset, payload)
        try:
            record = parse_manifest(payload, self._places)
        except ValueError as error:
            self.note_skipped(stream, offset, "manifest", str(error))
            record = None
        return LoggedRecord(offset=offset, record=record)
