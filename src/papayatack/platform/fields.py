"""Names of the platform's header fields, and requests and answers in its terms."""

import http

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import (
    Headers,
    PeerRequest,
    Response,
    find_header,
)
from papayatack.proxy.headers import HOP_BY_HOP, list_hop_by_hop
from papayatack.proxy.interface import Grant
from papayatack.proxy.routing import RequestFields

__all__ = ["FIELDS", "HANDOVER", "INSTANCE", "LOAD", "PlatformDialect"]

MS_PER_S = 1000
REQUEST_ID = b"papayatack-request-id"
DEADLINE = b"papayatack-deadline-ms"
SIGNATURE = b"papayatack-response-signature"
EXPECTED_UPSTREAM = b"papayatack-expected-instance"
NOT_RUN = b"papayatack-not-executed"
LOAD = b"papayatack-server-load"
INSTANCE = b"papayatack-instance-id"
HANDOVER = b"papayatack-handover"
ENCODING = b"content-encoding"

FIELDS = RequestFields(
    request_id=REQUEST_ID,
    deadline=DEADLINE,
    key=b"papayatack-shard-key",
    caller=b"papayatack-caller-service",
    own=frozenset({EXPECTED_UPSTREAM}),
)
_NOT_FOR_CALLERS = frozenset({LOAD, INSTANCE, NOT_RUN, HANDOVER})


class PlatformDialect:
    """The platform's header fields.

    Attributes:
        upstream_id: Id of the upstream's present life; another one refuses requests.
    """

    def __init__(self) -> None:
        self.upstream_id = ""

    def build_upstream_headers(
        self, peer_request: PeerRequest, grant: Grant, remaining_s: float
    ) -> Headers:
        """Return the request's fields with those that tell the upstream its terms."""
        return (
            *peer_request.request.headers,
            (DEADLINE, b"%d" % max(1, int(remaining_s * MS_PER_S))),
            (EXPECTED_UPSTREAM, self.upstream_id.encode()),
        )

    def read_request_id(self, headers: Headers) -> str:
        """Return the caller's own id of a request, empty if it has none."""
        return (find_header(headers, REQUEST_ID) or b"").decode("latin-1")

    def is_answer(self, peer_request: PeerRequest, headers: Headers) -> bool:
        """Tell whether a response with these fields answers the request.

        Refusals may come without the id, but nothing that an upstream has signed.
        """
        request_id = find_header(headers, REQUEST_ID)
        if request_id is None:
            return find_header(headers, SIGNATURE) is None
        return request_id.decode("latin-1") == peer_request.request_id

    def find_refusal(self, response: Response) -> ErrorKind | None:
        """Return why a response is not the answer to its request."""
        headers = response.headers
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return ErrorKind.GRANT_REFUSED
        if find_header(headers, NOT_RUN) is not None:
            return ErrorKind.UPSTREAM_SHED
        if find_header(headers, ENCODING) is not None:
            return ErrorKind.RESPONSE_TRUNCATED
        succeeded = 200 <= response.status < 300
        if succeeded and find_header(headers, SIGNATURE) is None:
            return ErrorKind.RESPONSE_TRUNCATED
        return None

    def clean_response(self, headers: Headers) -> Headers:
        """Return the fields of an upstream's response that may travel on."""
        dropped = HOP_BY_HOP | _NOT_FOR_CALLERS | list_hop_by_hop(headers)
        return tuple(field for field in headers if field[0] not in dropped)

    def label_answer(self, headers: Headers, request_id: str) -> Headers:
        """Return the fields of an answer; the upstream has echoed the id."""
        return headers

    def answer_refusal(self, refusal: Refusal, request_id: str) -> Response:
        """Return the answer to a request that no upstream answered."""
        response = build_error_response(refusal, fractions=True)
        if request_id:
            field = (REQUEST_ID, request_id.encode("latin-1"))
            response.headers = (*response.headers, field)
        return response
