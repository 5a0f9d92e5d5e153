"""Header fields exchanged between the node, its callers and its upstream."""

import dataclasses
from typing import Protocol

from papayatack.core.errors import ErrorKind, Outcome, Refusal
from papayatack.core.reported_load import ReportedLoad
from papayatack.network.error_responses import OUTCOME_HEADER, build_error_response
from papayatack.network.exchanges import (
    Headers,
    PeerRequest,
    Response,
    find_header,
)
from papayatack.proxy.headers import (
    DEADLINE_HEADER,
    KEY_TOKEN_HEADER,
    REFUSED_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
    TOKEN_HEADER,
    clean_response_headers,
)
from papayatack.proxy.interface import Grant

__all__ = ["DefaultDialect", "Dialect", "UpstreamSignals"]

MS_PER_S = 1000
STATUS_CONFLICT = 409
_REFUSAL_KINDS = {
    b"token": ErrorKind.GRANT_REFUSED,
    b"grant": ErrorKind.GRANT_REFUSED,
    b"draining": ErrorKind.UPSTREAM_DRAINING,
    b"shed": ErrorKind.UPSTREAM_SHED,
}
"""Error kinds by the value of the refusal header of a 409 response."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSignals:
    """What an upstream says of itself in a response.

    Attributes:
        requests_per_s: Requests per second that it takes; ``None`` if not named.
        malformed_limit: A limit that is no positive number; empty if there is none.
        is_leaving: Whether it stops soon and wants no new work.
        load: The load that it reports; ``None`` if it reports none.
        has_malformed_load: Whether it reports a load that cannot be used.
    """

    requests_per_s: float | None = None
    malformed_limit: str = ""
    is_leaving: bool = False
    load: ReportedLoad | None = None
    has_malformed_load: bool = False


class Dialect(Protocol):
    """Header fields of requests and responses, which differ between deployments."""

    def build_upstream_headers(
        self, peer_request: PeerRequest, grant: Grant, remaining_s: float
    ) -> Headers:
        """Return the headers of the request as sent to the upstream.

        Args:
            peer_request: The request.
            grant: The grant under which the upstream serves the request.
            remaining_s: Time left until the deadline of the request, in seconds.
        """

    def read_request_id(self, headers: Headers) -> str:
        """Return the request id set by the caller, or an empty string."""

    def read_caller(self, peer_request: PeerRequest) -> str:
        """Return the name of the caller, as far as the router knows it."""

    def read_parent_id(self, request_id: str) -> str:
        """Return the id of the request that would have made a call with this id.

        It is empty if ids do not tell.
        """

    def matches_request(self, peer_request: PeerRequest, headers: Headers) -> bool:
        """Tell whether a response with these headers belongs to the request."""

    def names_request(self, headers: Headers) -> bool:
        """Tell whether a matching response says to which request it belongs."""

    def find_refusal(self, response: Response) -> ErrorKind | None:
        """Return why a response is not usable, ``None`` if it is."""

    def read_signals(self, headers: Headers) -> UpstreamSignals:
        """Return what the upstream says of itself in a response with these headers."""

    def clean_response(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's response that may be forwarded."""

    def add_response_headers(self, headers: Headers, request_id: str) -> Headers:
        """Return the response headers with those that the node adds for the caller."""

    def build_refusal_response(self, refusal: Refusal, request_id: str) -> Response:
        """Return the error response to a request that got no upstream response."""


_NO_SIGNALS = UpstreamSignals()


class DefaultDialect:
    """The header fields that Papayatack defines."""

    def build_upstream_headers(
        self, peer_request: PeerRequest, grant: Grant, remaining_s: float
    ) -> Headers:
        """Return the headers of the request as sent to the upstream.

        Args:
            peer_request: The request.
            grant: The grant under which the upstream serves the request.
            remaining_s: Time left until the deadline of the request, in seconds.
        """
        added = [
            (REQUEST_ID_HEADER, peer_request.request_id.encode()),
            (DEADLINE_HEADER, b"%d" % max(1, int(remaining_s * MS_PER_S))),
        ]
        if peer_request.shard:
            added.append((SHARD_HEADER, peer_request.shard.encode()))
            added.append((TOKEN_HEADER, b"%d" % grant.token))
        headers = peer_request.request.headers
        kept = [field for field in headers if field[0] != KEY_TOKEN_HEADER]
        return (*kept, *added)

    def read_request_id(self, headers: Headers) -> str:
        """Return an empty string; the node generates the request ids itself."""
        return ""

    def read_caller(self, peer_request: PeerRequest) -> str:
        """Return the partner on whose behalf the caller acts."""
        return peer_request.partner

    def read_parent_id(self, request_id: str) -> str:
        """Return an empty string; the node generates the request ids itself."""
        return ""

    def matches_request(self, peer_request: PeerRequest, headers: Headers) -> bool:
        """Tell whether a response with these headers belongs to the request."""
        return True

    def names_request(self, headers: Headers) -> bool:
        """Return ``True``: these upstreams send one response to each request."""
        return True

    def find_refusal(self, response: Response) -> ErrorKind | None:
        """Return why the upstream refused the request, ``None`` if it did not."""
        refused = find_header(response.headers, REFUSED_HEADER)
        if response.status == STATUS_CONFLICT and refused in _REFUSAL_KINDS:
            return _REFUSAL_KINDS[refused]
        return None

    def read_signals(self, headers: Headers) -> UpstreamSignals:
        """Return no signals; these upstreams send none in their responses."""
        return _NO_SIGNALS

    def clean_response(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's response that may be forwarded."""
        return clean_response_headers(headers)

    def add_response_headers(self, headers: Headers, request_id: str) -> Headers:
        """Return the response headers with those that the node adds for the caller."""
        outcome = (OUTCOME_HEADER, Outcome.ANSWERED.value.encode())
        return (*headers, outcome, (REQUEST_ID_HEADER, request_id.encode()))

    def build_refusal_response(self, refusal: Refusal, request_id: str) -> Response:
        """Return the error response to a request that got no upstream response."""
        response = build_error_response(refusal)
        if request_id:
            field = (REQUEST_ID_HEADER, request_id.encode())
            response.headers = (*response.headers, field)
        return response
