"""The inventory and rules that operators publish, as the core uses them.

:mod:`papayatack.core.configuration` validates documents into these classes.
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
    """Classes between which an upstream's slots are shared."""

    ORDER = "order"
    BROWSE = "browse"
    DOWNLOAD = "download"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySource:
    """Where a request carries its key.

    Attributes:
        kind: ``path``, ``header`` or ``query``.
        name: Segment number after the service's prefix (from 1) for ``path``; the
            field or parameter name otherwise.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """Keys from ``low`` up to, but not including, ``high``.

    Attributes:
        name: Unique within the service.
        low: Smallest key of the range; keys compare as strings.
        high: First key after the range, or ``None`` for no end.
        shards: Number of shards into which the keys of the range hash.
        numbers: If positive, the keys are the whole numbers below this, and each
            shard holds as many neighbouring ones. ``low`` and ``high`` do not count.
        retired: Its keys are given up and no longer served; only a retired range
            may be removed.
    """

    name: str
    low: str = ""
    high: str | None = None
    shards: int = 16
    retired: bool = False
    numbers: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestRule:
    """Classifies requests of a service; the first rule that matches decides.

    Attributes:
        methods: HTTP methods, or empty for all.
        path: Regular expression matched against the whole path after the prefix.
        repeatable: Whether a request may be run more than once.
        request_class: The class in which it queues.
        cost: Slots' worth of work, relative to a browse request.
    """

    methods: tuple[str, ...] = ()
    path: str = ".*"
    repeatable: bool = False
    request_class: RequestClass = RequestClass.BROWSE
    cost: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service whose upstreams own keys, or share all requests.

    Attributes:
        name: Unique; also the first part of its shards' ids.
        prefix: Path prefix of its requests, such as ``/hiring``.
        key: Where a request carries its key; ``None`` for a service without keys.
        key_ranges: Disjoint, in the order of their keys.
        checks_grants: Whether its upstreams refuse requests without a live grant.
        slots: Requests that an upstream runs at once.
        connections: Connections that an upstream accepts.
        deadline_s: Longest time for a request, in seconds.
        request_rules: Classification of requests, first match first.
        places: Names of the data centres where it runs.
        warm_up_s: Seconds after its start in which an upstream gets a smaller share.
        ramp_s: Seconds after its start in which its slots come into use.
        health_path: Where an upstream says how it is, empty if nowhere.
        least_share: Share of an upstream's slots that stay in use whatever it sheds.
        shares: Share of an upstream's slots that each class is guaranteed; empty for
            the usual ones.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One service to which a route leads.

    Attributes:
        service: The service's name.
        weight: Share of the route's requests, relative to its other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostRoute:
    """Requests of one host below one path.

    Attributes:
        name: Unique.
        host: Host of the request, in lower case.
        prefix: Beginning of its path; begins and ends with a slash.
        targets: Where the requests go, by weight.
        repeatable: Whether a request may run more than once.
        request_class: The class in which it queues.
        timeout_s: Longest time for a request, in seconds.
        target_latency_s: Time within which an answer is worth most, in seconds.
        max_attempts: Upstreams to which one request may be sent.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBounds:
    """What callers may send, and how slowly.

    Attributes:
        header_bytes: Longest request header.
        body_bytes: Longest request body.
        header_timeout_s: Seconds within which a request's header must arrive.
        idle_timeout_s: Seconds for which a quiet connection is kept.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """A data centre.

    Attributes:
        name: Unique.
        region: The region to which it belongs.
    """

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Partner:
    """A customer organisation among which capacity is shared.

    Attributes:
        name: Unique.
        weight: Share relative to the other partners.
    """

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalityRule:
    """Keeps a key range's owners in a data centre near its callers.

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
        version: Counts accepted publications from 1; 0 before the first.
        services: By the operator's order.
        places: All data centres.
        partners: All partners; requests of others share the weight of one.
        partner_header: Header field that names the partner.
        localities: Locality rules.
        routes: Routes by host and path; without any, services have prefixes.
        bounds: Bounds on callers, where the publication sets them.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    places: tuple[Place, ...] = ()
    partners: tuple[Partner, ...] = ()
    partner_header: str = "X-Partner"
    localities: tuple[LocalityRule, ...] = ()
    routes: tuple[HostRoute, ...] = ()
    bounds: CallerBounds | None = None
