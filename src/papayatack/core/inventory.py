"""Data classes of the inventory and rules that operators publish.

:mod:`papayatack.core.configuration` builds them from validated documents.
"""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    "CallerBounds",
    "Configuration",
    "HostRoute",
    "KeyRange",
    "KeySource",
    "LocalityRule",
    "Partner",
    "Place",
    "RequestClass",
    "RequestRule",
    "Service",
    "Target",
]


class RequestClass(enum.StrEnum):
    """Request classes among which an upstream's slots are shared.

    Attributes:
        ORDER: Requests that take precedence.
        BROWSE: Other short requests.
        DOWNLOAD: Long responses.
        CALL: Requests that a running request waits for; no rule assigns this class.
    """

    ORDER = "order"
    BROWSE = "browse"
    DOWNLOAD = "download"
    CALL = "call"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySource:
    """Where a request carries its key.

    Attributes:
        kind: ``path``, ``header`` or ``query``.
        name: For ``path``, the number of the path segment after the service's prefix,
            from 1; otherwise the name of the header field or query parameter.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """The keys from ``low`` up to, but not including, ``high``.

    Attributes:
        name: Unique within the service.
        low: Smallest key of the range; keys compare as strings.
        high: First key after the range; ``None`` if the range is unbounded.
        shards: Number of shards over which the keys of the range are hashed.
        numbers: If positive, the keys are the non-negative integers below this number,
            and each shard holds an equally long run of consecutive ones. ``low`` and
            ``high`` are ignored.
        retired: Whether the range is no longer served; only a retired range may be
            removed.
    """

    name: str
    low: str = ""
    high: str | None = None
    shards: int = 16
    retired: bool = False
    numbers: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRule:
    """Classifies requests of a service; the first matching rule applies.

    Attributes:
        methods: HTTP methods, or empty for all.
        path: Regular expression that must match the whole path after the prefix.
        repeatable: Whether a request may be run more than once.
        request_class: The class in which requests are queued.
        cost: Relative cost of a request; a browse request has cost 1.
    """

    methods: tuple[str, ...] = ()
    path: str = ".*"
    repeatable: bool = False
    request_class: RequestClass = RequestClass.BROWSE
    cost: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service whose upstreams own keys, or share all requests if it has none.

    Attributes:
        name: Unique name, which is also the first part of the ids of its shards.
        prefix: Path prefix of its requests, such as ``/hiring``.
        key: Where a request carries its key; ``None`` for a service without keys.
        key_ranges: Disjoint key ranges, in ascending order of their keys.
        checks_grants: Whether upstreams reject requests without a valid grant.
        slots: Number of requests that an upstream runs concurrently.
        connections: Number of connections that an upstream accepts.
        deadline_s: Maximum duration of a request, in seconds.
        request_rules: Rules that classify requests, in order of precedence.
        places: Names of the data centres where the service runs.
        warm_up_s: Seconds after its start in which an upstream gets a smaller share of
            the requests.
        ramp_s: Seconds after its start over which an upstream's slots are brought into
            use.
        health_path: Path of an upstream's health check; empty if it has none.
        least_share: Minimum share of an upstream's slots that stay in use even while
            the upstream sheds load.
        shares: Guaranteed share of an upstream's slots for each class; empty for the
            default shares.
        cold_start_s: Seconds after its start in which an upstream is cold.
        cold_requests_per_s: Requests per second that a cold upstream takes; 0 if the
            service sets no limit.
    """

    name: str
    prefix: str
    key: KeySource | None = None
    key_ranges: tuple[KeyRange, ...] = ()
    checks_grants: bool = True
    slots: int = 14
    connections: int = 130
    deadline_s: float = 10.0
    request_rules: tuple[RequestRule, ...] = ()
    places: tuple[str, ...] = ()
    warm_up_s: float = 60.0
    ramp_s: float = 10.0
    health_path: str = ""
    least_share: float = 0.0
    shares: Mapping[RequestClass, float] = dataclasses.field(default_factory=dict)
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service to which a route sends requests.

    Attributes:
        service: The service's name.
        weight: Weight of the target relative to the other targets of the route.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostRoute:
    """A route for the requests of one host under one path prefix.

    Attributes:
        name: Unique name.
        host: Host of the request, in lower case.
        prefix: Prefix of the path, which begins and ends with a slash.
        targets: Services that receive the requests, by weight.
        repeatable: Whether a request may be run more than once.
        request_class: The class in which requests are queued.
        timeout_s: Maximum duration of a request, in seconds.
        target_latency_s: Latency up to which a response has its full value, in
            seconds.
        max_attempts: Maximum number of upstreams to which one request may be sent.
        rank: Precedence of the requests; 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeatable: bool
    request_class: RequestClass
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBounds:
    """Limits on the size of callers' requests and on the time to send them.

    Attributes:
        header_bytes: Maximum size of a request's header section, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout_s: Seconds within which a request's header section must arrive.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """A data centre.

    Attributes:
        name: Unique name.
        region: The region to which the data centre belongs.
    """

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Partner:
    """A customer organisation; capacity is shared among the partners.

    Attributes:
        name: Unique name.
        weight: Weight of the partner's share relative to the other partners.
    """

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalityRule:
    """Prefers one data centre, near the callers, for the owners of a key range.

    Attributes:
        service: The service's name.
        key_range: The range's name.
        place: The preferred data centre.
    """

    service: str
    key_range: str
    place: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of inventory and rules.

    Attributes:
        version: Number of publications accepted so far; 0 before the first.
        services: All services, in the operator's order.
        places: All data centres.
        partners: All partners; requests of others together have the weight of one.
        partner_header: Header field that names the partner of a request.
        localities: Locality rules.
        routes: Routes by host and path; if empty, services are selected by prefix.
        bounds: Limits on callers' requests; ``None`` if the publication sets none.
        evacuated: Names of the data centres whose upstreams get no requests.
        uses_ranks: Whether the ranks of the routes decide who is served first. Two of
            them are told apart by the classes of requests.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    places: tuple[Place, ...] = ()
    partners: tuple[Partner, ...] = ()
    partner_header: str = "X-Partner"
    localities: tuple[LocalityRule, ...] = ()
    routes: tuple[HostRoute, ...] = ()
    bounds: CallerBounds | None = None
    evacuated: frozenset[str] = frozenset()
    uses_ranks: bool = False
