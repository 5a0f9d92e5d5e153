"""Requests and responses, as the sockets and the request path pass them."""

import dataclasses

from papayatack.core.inventory import RequestClass
from papayatack.network.bodies import Body, BytesBody

__all__ = ["Headers", "PeerRequest", "Request", "Response", "find_header"]

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in order, names in lower case."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the field ``name`` (lower case)."""
    for field, value in headers:
        if field == name:
            return value
    return None


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """One HTTP request.

    Attributes:
        method: Method.
        target: Request target.
        headers: Header fields.
        body: Body; empty for a request without one.
    """

    method: bytes
    target: bytes
    headers: Headers = ()
    body: Body = dataclasses.field(default_factory=BytesBody)


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """One HTTP response.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Header fields.
        body: Body.
    """

    status: int
    reason: bytes = b""
    headers: Headers = ()
    body: Body = dataclasses.field(default_factory=BytesBody)


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerRequest:
    """A request on its way between two nodes.

    Attributes:
        request: The HTTP request.
        service: The service's name.
        shard: Its shard, empty for a service without keys.
        key: Its key.
        remaining_s: Seconds until its deadline.
        partner: The caller's partner.
        request_class: The class in which it queues.
        cost: Work relative to a browse request.
        repeatable: Whether it may be run more than once.
        request_id: Unique id.
        idempotency_key: The caller's key, empty if none.
        hops: Nodes that it has passed.
        recipient: Incarnation for which it is meant.
        max_attempts: Upstreams to which it may be sent; 0 leaves it to the policy.
        target_s: Seconds until which its answer is worth most, negative if they have
            passed; ``None`` for no such time.
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
    hops: int = 0
    recipient: str = ""
    max_attempts: int = 0
    target_s: float | None = None
