"""The platform's header fields, and their use in requests and responses."""

import http
import re

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.reported_load import ReportedLoad
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import (
    Headers,
    PeerRequest,
    Response,
    find_header,
)
from papayatack.proxy.dialect import UpstreamSignals
from papayatack.proxy.headers import drop_hop_by_hop
from papayatack.proxy.interface import Grant
from papayatack.proxy.route_classifier import HeaderNames

__all__ = [
    "COLD",
    "EXPECTED_INSTANCE",
    "REQUEST_FIELDS",
    "HANDOVER",
    "INSTANCE",
    "LOAD",
    "NOT_EXECUTED",
    "PlatformDialect",
    "parse_ms",
]

MS_PER_S = 1000
REQUEST_ID = b"papayatack-request-id"
DEADLINE = b"papayatack-deadline-ms"
SIGNATURE = b"papayatack-response-signature"
EXPECTED_INSTANCE = b"papayatack-expected-instance"
NOT_EXECUTED = b"papayatack-not-executed"
LOAD = b"papayatack-server-load"
LIMIT_NAMES = (b"papayatack-server-limit", b"server-limit")
LEAVING_NAMES = (b"papayatack-server-leaving", b"server-leaving")
LEAVING = b"1"
INSTANCE = b"papayatack-instance-id"
HANDOVER = b"papayatack-handover"
COLD = b"papayatack-cold-ms"
CONTENT_ENCODING = b"content-encoding"

REQUEST_FIELDS = HeaderNames(
    request_id=REQUEST_ID,
    deadline=DEADLINE,
    key=b"papayatack-shard-key",
    caller=b"papayatack-caller-service",
    reserved=frozenset({EXPECTED_INSTANCE}),
)
_SIGNAL_NAMES = frozenset({*LIMIT_NAMES, *LEAVING_NAMES, LOAD})
_INTERNAL_HEADERS = _SIGNAL_NAMES | {INSTANCE, NOT_EXECUTED, HANDOVER, COLD}
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_LOAD = re.compile(rb"(\d{1,6}), ?(\d{1,6}), ?(\d{1,6})(?:, ?(\d{1,5}(?:\.\d{1,3})?))?")
"""Requests running and waiting, slots, and how long work takes in percent of usual."""
MAX_LOAD_BYTES = 64
MIN_PACE = 0.01
MAX_PACE = 100.0
PERCENT = 100
_NO_SIGNALS = UpstreamSignals()


class PlatformDialect:
    """Reads and writes the platform's header fields.

    Attributes:
        upstream_id: Instance id of the current upstream process. Any other process
            refuses requests with this id.
    """

    def __init__(self) -> None:
        self.upstream_id = ""

    def build_upstream_headers(
        self, peer_request: PeerRequest, grant: Grant, remaining_s: float
    ) -> Headers:
        """Return the request's fields with its deadline and expected instance added."""
        return (
            *peer_request.request.headers,
            (DEADLINE, b"%d" % max(1, int(remaining_s * MS_PER_S))),
            (EXPECTED_INSTANCE, self.upstream_id.encode()),
        )

    def read_request_id(self, headers: Headers) -> str:
        """Return the request id that the caller set, empty if there is none."""
        return (find_header(headers, REQUEST_ID) or b"").decode("latin-1")

    def read_caller(self, peer_request: PeerRequest) -> str:
        """Return the service on whose VM the request originated."""
        caller = find_header(peer_request.request.headers, REQUEST_FIELDS.caller)
        return (caller or b"").decode("latin-1")

    def read_parent_id(self, request_id: str) -> str:
        """Return the part of an id before its last dot, empty if it has none.

        Upstreams name their calls after the request that they run.
        """
        return request_id.rpartition(".")[0]

    def matches_request(self, peer_request: PeerRequest, headers: Headers) -> bool:
        """Return whether a response with these fields belongs to the request.

        Refusals may lack the request id; responses signed by an upstream must have it.
        """
        request_id = find_header(headers, REQUEST_ID)
        if request_id is None:
            return find_header(headers, SIGNATURE) is None
        return request_id.decode("latin-1") == peer_request.request_id

    def names_request(self, headers: Headers) -> bool:
        """Return whether a response has a request id."""
        return find_header(headers, REQUEST_ID) is not None

    def find_refusal(self, response: Response) -> ErrorKind | None:
        """Return why a response is not a valid result, ``None`` if it is one."""
        headers = response.headers
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return ErrorKind.GRANT_REFUSED
        if find_header(headers, NOT_EXECUTED) is not None:
            return ErrorKind.UPSTREAM_SHED
        if find_header(headers, CONTENT_ENCODING) is not None:
            return ErrorKind.RESPONSE_TRUNCATED
        succeeded = 200 <= response.status < 300
        if succeeded and find_header(headers, SIGNATURE) is None:
            return ErrorKind.RESPONSE_TRUNCATED
        return None

    def read_signals(self, headers: Headers) -> UpstreamSignals:
        """Return the limit and the load that an upstream names, and if it leaves."""
        found = {name: value for name, value in headers if name in _SIGNAL_NAMES}
        if not found:
            return _NO_SIGNALS
        limit = next((found[name] for name in LIMIT_NAMES if name in found), None)
        requests_per_s = None if limit is None else _parse_limit(limit)
        is_malformed = limit is not None and requests_per_s is None
        load = _parse_load(found[LOAD]) if LOAD in found else None
        return UpstreamSignals(
            requests_per_s=requests_per_s,
            malformed_limit=repr(limit) if is_malformed else "",
            is_leaving=any(found.get(name) == LEAVING for name in LEAVING_NAMES),
            load=load,
            has_malformed_load=LOAD in found and load is None,
        )

    def clean_response(self, headers: Headers) -> Headers:
        """Return the fields of an upstream's response that are forwarded to callers."""
        return tuple(drop_hop_by_hop(headers, _INTERNAL_HEADERS))

    def add_response_headers(self, headers: Headers, request_id: str) -> Headers:
        """Return the fields unchanged, since the upstream echoes the request id."""
        return headers

    def build_refusal_response(self, refusal: Refusal, request_id: str) -> Response:
        """Build the error response to a request that no upstream answered."""
        response = build_error_response(refusal, fractions=True)
        if request_id:
            field = (REQUEST_ID, request_id.encode("latin-1"))
            response.headers = (*response.headers, field)
        return response


def parse_ms(value: bytes | None) -> float | None:
    """Return milliseconds as seconds, ``None`` if absent or malformed."""
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    return float(value) / MS_PER_S


def _parse_limit(value: bytes) -> float | None:
    """Return a limit in requests per second, ``None`` if malformed."""
    number = float(value) if _DECIMAL.fullmatch(value) else 0.0
    return number or None


def _parse_load(value: bytes) -> ReportedLoad | None:
    """Return a reported load, ``None`` if malformed."""
    match = _LOAD.fullmatch(value) if len(value) <= MAX_LOAD_BYTES else None
    if match is None:
        return None
    running, waiting, slots, percent = match.groups()
    pace = None if percent is None else float(percent) / PERCENT
    if int(slots) == 0 or (pace is not None and not MIN_PACE <= pace <= MAX_PACE):
        return None
    return ReportedLoad(
        running=int(running), waiting=int(waiting), slots=int(slots), pace=pace
    )
