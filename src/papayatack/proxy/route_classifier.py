"""Classification of requests by routes, which match a host and a path prefix."""

import dataclasses
import urllib.parse

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.inventory import Configuration, HostRoute, Service
from papayatack.core.round_robin import WeightedRoundRobin
from papayatack.network.exchanges import Headers, PeerRequest, Request, find_header
from papayatack.proxy.headers import drop_hop_by_hop, list_chunked
from papayatack.proxy.route_table import RouteTable

__all__ = ["HeaderNames", "RouteClassifier"]

MS_PER_S = 1000
STARTUP_RETRY_AFTER_S = 0.3
"""Retry delay sent to callers before the first configuration is received."""
MAX_DEADLINE_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of the header fields that a deployment uses, in lower case.

    Attributes:
        request_id: Request id set by the caller.
        deadline: Time that the caller waits for a response, in milliseconds.
        key: Key of the request.
        caller: Service on whose VM the request originated; set by this node.
        reserved: Further fields that only the node may set.
    """

    request_id: bytes
    deadline: bytes
    key: bytes
    caller: bytes
    reserved: frozenset[bytes] = frozenset()


class RouteClassifier:
    """Classifies requests by the routes of one configuration.

    Args:
        configuration: The configuration; version 0 stands for none received yet.
        fields: Names of the header fields.
        caller_service: Service of the local upstream.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        fields: HeaderNames,
        caller_service: str,
    ) -> None:
        self._configured = configuration.version > 0
        self._uses_ranks = configuration.uses_ranks
        self._fields = fields
        self._caller_header = (fields.caller, caller_service.encode())
        self._dropped = fields.reserved | {fields.caller, fields.deadline}
        self._services = {service.name: service for service in configuration.services}
        self._routes = RouteTable(routes=configuration.routes)
        self._round_robins: dict[str, WeightedRoundRobin] = {}

    def classify(self, request: Request) -> Result[PeerRequest, Refusal]:
        """Return the request with its routing and admission attributes."""
        if not self._configured:
            detail = "no configuration has been received yet"
            return _reject(ErrorKind.CONFIG_STALE, detail, STARTUP_RETRY_AFTER_S)
        route = self._find_route(request)
        if route is None:
            return _reject(
                ErrorKind.NO_SUCH_SERVICE, "no route matches this host and path"
            )
        service = self._services.get(self._choose_service(route))
        if service is None:
            return _reject(ErrorKind.NO_OWNER, "the route refers to an unknown service")
        remaining_s = self._read_remaining_s(request.headers, route.timeout_s)
        if remaining_s is None:
            return _reject(
                ErrorKind.MALFORMED_REQUEST,
                "the deadline is not a valid number of milliseconds",
            )
        key = self._read_key(request.headers, service)
        if key is None:
            return _reject(ErrorKind.KEY_MISSING, "expected exactly one key")
        return Success(
            self._build_peer_request(request, route, service, key, remaining_s)
        )

    def is_repeatable(self, request: Request) -> bool:
        """Return whether the request may run more than once."""
        route = self._find_route(request)
        return route is not None and route.repeatable

    def _build_peer_request(
        self,
        request: Request,
        route: HostRoute,
        service: Service,
        key: str,
        remaining_s: float,
    ) -> PeerRequest:
        request_id = find_header(request.headers, self._fields.request_id) or b""
        return PeerRequest(
            request=Request(
                method=request.method,
                target=request.target,
                headers=self._clean(request.headers),
                body=request.body,
                received=request.received,
            ),
            service=service.name,
            shard="",
            key=key,
            remaining_s=remaining_s,
            partner="",
            request_class=route.request_class,
            cost=1.0,
            repeatable=route.repeatable,
            request_id=request_id.decode("latin-1"),
            max_attempts=route.max_attempts,
            route=route.name,
            target_s=route.target_latency_s - (route.timeout_s - remaining_s),
            rank=route.rank if self._uses_ranks else 0,
        )

    def _clean(self, headers: Headers) -> Headers:
        """Drop hop-by-hop and reserved fields, and add the caller's service."""
        kept = drop_hop_by_hop(headers, self._dropped)
        return (*kept, *list_chunked(headers), self._caller_header)

    def _find_route(self, request: Request) -> HostRoute | None:
        """Return the route of a request's host and path, if one matches."""
        host = find_header(request.headers, b"host") or b""
        return self._routes.find(*_split_target(request.target, host))

    def _choose_service(self, route: HostRoute) -> str:
        """Return the name of the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = WeightedRoundRobin(targets=route.targets)
            self._round_robins[route.name] = round_robin
        return round_robin.choose()

    def _read_remaining_s(self, headers: Headers, max_s: float) -> float | None:
        """Return the time left in seconds, at most ``max_s``; ``None`` if malformed."""
        value = find_header(headers, self._fields.deadline)
        if value is None:
            return max_s
        if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
            return None
        return min(int(value) / MS_PER_S, max_s)

    def _read_key(self, headers: Headers, service: Service) -> str | None:
        """Return the key, ``None`` unless there is exactly one.

        The key is empty if the service has no key ranges.
        """
        if not service.key_ranges:
            return ""
        values = [value for name, value in headers if name == self._fields.key]
        if len(values) != 1 or not values[0]:
            return None
        return values[0].decode("latin-1")


def _split_target(target: bytes, host: bytes) -> tuple[str, str]:
    """Return the host and the path of a target in origin or absolute form."""
    text = target.decode("latin-1").partition("?")[0]
    name = host.decode("latin-1")
    if not text.startswith("/"):
        parts = urllib.parse.urlsplit(text)
        name, text = parts.netloc or name, parts.path
    return name.partition(":")[0].lower(), text


def _reject(kind: ErrorKind, detail: str, retry_after_s: float | None = None) -> Result:
    refusal = Refusal(kind=kind, detail=detail, retry_after_s=retry_after_s)
    return Failure(refusal)
