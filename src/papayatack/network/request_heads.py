"""Conversion of requests between nodes to and from Thrift structs."""

from typing import Any

from papayatack.core.inventory import RequestClass
from papayatack.network.bodies import BodyQueue
from papayatack.network.exchanges import PeerRequest, Request
from papayatack.network.streams import US_PER_S, decode_headers, encode_headers
from papayatack.wire.schema import schema

__all__ = ["encode_request_head", "decode_request_head"]


def encode_request_head(peer_request: PeerRequest, *, sent_us: int) -> Any:
    """Encode a request as a ``RequestHead`` struct, without its body.

    Args:
        peer_request: The request.
        sent_us: Time of sending by the sender's clock, in microseconds.
    """
    request = peer_request.request
    return schema.RequestHead(
        service_name=peer_request.service,
        shard=peer_request.shard,
        key=peer_request.key,
        method=request.method,
        target=request.target,
        headers=encode_headers(request.headers),
        deadline_us=int(peer_request.remaining_s * US_PER_S),
        partner=peer_request.partner,
        request_class=peer_request.request_class.value,
        cost=peer_request.cost,
        repeatable=peer_request.repeatable,
        request_id=peer_request.request_id,
        idempotency_key=peer_request.idempotency_key,
        hops=peer_request.hops,
        recipient=peer_request.recipient,
        target_us=_encode_target_us(peer_request.target_s),
        sent_us=sent_us,
        crashes=peer_request.crashes,
        is_call=peer_request.is_call,
        rank=peer_request.rank,
    )


def decode_request_head(body: BodyQueue, head: Any) -> PeerRequest:
    """Decode a ``RequestHead`` struct to a request with the given body."""
    request = Request(
        method=head.method or b"",
        target=head.target or b"",
        headers=decode_headers(head.headers),
        body=body,
        received=body,
    )
    return PeerRequest(
        request=request,
        service=head.service_name or "",
        shard=head.shard or "",
        key=head.key or "",
        remaining_s=(head.deadline_us or 0) / US_PER_S,
        partner=head.partner or "",
        request_class=RequestClass(head.request_class),
        cost=head.cost or 1.0,
        repeatable=bool(head.repeatable),
        request_id=head.request_id or "",
        idempotency_key=head.idempotency_key or "",
        is_call=bool(head.is_call),
        rank=max(0, head.rank or 0),
        crashes=max(0, head.crashes or 0),
        hops=head.hops or 0,
        recipient=head.recipient or "",
        target_s=None if head.target_us is None else head.target_us / US_PER_S,
    )


def _encode_target_us(target_s: float | None) -> int | None:
    return None if target_s is None else int(target_s * US_PER_S)
