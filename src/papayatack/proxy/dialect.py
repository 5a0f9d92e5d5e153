"""The header fields by which this node, its callers and its upstream speak."""

from typing import Protocol

from papayatack.core.errors import ErrorKind, Outcome, Refusal
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

__all__ = ["Dialect", "OwnDialect"]

MS_PER_S = 1000
STATUS_CONFLICT = 409
_REFUSALS = {
    b"token": ErrorKind.GRANT_REFUSED,
    b"grant": ErrorKind.GRANT_REFUSED,
    b"draining": ErrorKind.UPSTREAM_DRAINING,
    b"shed": ErrorKind.UPSTREAM_SHED,
}


class Dialect(Protocol):
    """What differs between deployments in the fields of a request."""

    def build_upstream_headers(
        self, peer_request: PeerRequest, grant: Grant, remaining_s: float
    ) -> Headers:
        """Return the request's fields with those that tell the upstream its terms."""

    def read_request_id(self, headers: Headers) -> str:
        """Return the caller's own id of a request, empty if it has none."""

    def is_answer(self, peer_request: PeerRequest, headers: Headers) -> bool:
        """Tell whether a response with these fields answers the request."""

    def find_refusal(self, response: Response) -> ErrorKind | None:
        """Return why a response is not the answer to its request."""

    def clean_response(self, headers: Headers) -> Headers:
        """Return the fields of an upstream's response that may travel on."""

    def label_answer(self, headers: Headers, request_id: str) -> Headers:
        """Return the fields of an upstream's answer as the caller gets them."""

    def answer_refusal(self, refusal: Refusal, request_id: str) -> Response:
        """Return the answer to a request that no upstream answered."""


class OwnDialect:
    """The fields of this product."""

    def build_upstream_headers(
        self, peer_request: PeerRequest, grant: Grant, remaining_s: float
    ) -> Headers:
        """Return the request's fields with those that tell the upstream its terms."""
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
        """Return nothing: this product makes the ids itself."""
        return ""

    def is_answer(self, peer_request: PeerRequest, headers: Headers) -> bool:
        """Tell whether a response with these fields answers the request."""
        return True

    def find_refusal(self, response: Response) -> ErrorKind | None:
        """Return why a response is not the answer to its request."""
        refused = find_header(response.headers, REFUSED_HEADER)
        if response.status == STATUS_CONFLICT and refused in _REFUSALS:
            return _REFUSALS[refused]
        return None

    def clean_response(self, headers: Headers) -> Headers:
        """Return the fields of an upstream's response that may travel on."""
        return clean_response_headers(headers)

    def label_answer(self, headers: Headers, request_id: str) -> Headers:
        """Return the fields of an upstream's answer as the caller gets them."""
        outcome = (OUTCOME_HEADER, Outcome.ANSWERED.value.encode())
        return (*headers, outcome, (REQUEST_ID_HEADER, request_id.encode()))

    def answer_refusal(self, refusal: Refusal, request_id: str) -> Response:
        """Return the answer to a request that no upstream answered."""
        response = build_error_response(refusal)
        if request_id:
            field = (REQUEST_ID_HEADER, request_id.encode())
            response.headers = (*response.headers, field)
        return response
