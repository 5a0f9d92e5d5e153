"""Requests and responses as the network and proxy layers exchange them."""

import dataclasses

from papayatack.core.inventory import RequestClass
from papayatack.network.bodies import Body, BodyQueue, BytesBody, LengthCheckedBody

__all__ = ["Headers", "PeerRequest", "Request", "Response", "find_header"]

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in order, with names in lower case."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field, or ``None``.

    Args:
        headers: The fields.
        name: Name in lower case.
    """
    for field, value in headers:
        if field == name:
            return value
    return None


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """An HTTP request.

    Attributes:
        method: Method.
        target: Request target.
        headers: Header fields.
        body: Body; empty if the request has none.
        request_id: Id for the log; set by the handler of a caller's request.
        waited_s: For how many seconds it has waited since it was read.
        received: The queue in which the body was received, whatever holds it since;
            ``None`` if it comes from no connection.
    """

    method: bytes
    target: bytes
    headers: Headers = ()
    body: Body = dataclasses.field(default_factory=BytesBody)
    request_id: str = ""
    waited_s: float = 0.0
    received: BodyQueue | None = None

    def build_sent_body(self) -> Body:
        """Return the body as it is sent on: whole, or ended with an error."""
        if self.received is None:
            return self.body
        return LengthCheckedBody(body=self.body, received=self.received)


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """An HTTP response.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Header fields.
        body: Body.
        source: Address of the node that sent it; empty if it comes from this node.
    """

    status: int
    reason: bytes = b""
    headers: Headers = ()
    body: Body = dataclasses.field(default_factory=BytesBody)
    source: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerRequest:
    """A request that one node forwards to another.

    Attributes:
        request: The HTTP request.
        service: Name of the service.
        shard: Shard of the key; empty for a service without keys.
        key: Key of the request.
        remaining_s: Seconds until the deadline.
        partner: Partner on whose behalf the caller acts.
        request_class: Class in which the request is queued.
        cost: Work relative to a browse request.
        repeatable: Whether the request may be run more than once.
        request_id: Unique id.
        idempotency_key: The caller's idempotency key; empty if there is none.
        is_call: Whether another request, which runs at an upstream, waits for it.
        crashes: Number of upstreams that crashed while they ran the request.
        hops: Number of nodes that have forwarded the request.
        recipient: Incarnation to which the request is addressed.
        max_attempts: Most upstreams to try; 0 applies the retry policy.
        route: Name of the route that matched; not forwarded, empty if there is none.
        target_s: Seconds until the response-time target, negative once it has passed;
            a response before it has the highest value. ``None`` if there is no target.
        delay_s: For how many seconds it was on its way from the node that sent it.
        rank: Its precedence; 0 is the highest. A call has that of the request that
            waits for it.
    """

    request: Request
    service: str
    shard: str
    key: str
    remaining_s: float
    partner: str
    request_class: RequestClass
    cost: float
    repeatable: bool
    request_id: str
    idempotency_key: str = ""
    is_call: bool = False
    crashes: int = 0
    hops: int = 0
    recipient: str = ""
    max_attempts: int = 0
    route: str = ""
    target_s: float | None = None
    delay_s: float = 0.0
    rank: int = 0

    def subtract_time(self, elapsed_s: float) -> None:
        """Subtract seconds that have passed from the times that are left."""
        self.remaining_s -= elapsed_s
        if self.target_s is not None:
            self.target_s -= elapsed_s
