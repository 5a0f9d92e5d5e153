"""Header fields that end at this node, and those that it adds."""

from papayatack.network.error_responses import KEY_TOKEN_HEADER
from papayatack.network.exchanges import Headers, find_header

__all__ = [
    "DEADLINE_HEADER",
    "HOP_BY_HOP",
    "KEY_TOKEN_HEADER",
    "REFUSED_HEADER",
    "REPLAYED_HEADER",
    "REQUEST_ID_HEADER",
    "SHARD_HEADER",
    "TOKEN_HEADER",
    "clean_request_headers",
    "clean_response_headers",
    "list_hop_by_hop",
]

DEADLINE_HEADER = b"papayatack-deadline-ms"
REQUEST_ID_HEADER = b"papayatack-request-id"
SHARD_HEADER = b"papayatack-shard"
TOKEN_HEADER = b"papayatack-token"
REFUSED_HEADER = b"papayatack-refused"
REPLAYED_HEADER = b"papayatack-replayed"
_OWN_PREFIX = b"papayatack-"
_CHUNKED = (b"transfer-encoding", b"chunked")
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def list_hop_by_hop(headers: Headers) -> frozenset[bytes]:
    """Return the fields that a message itself says concern one connection only."""
    named = find_header(headers, b"connection")
    if named is None:
        return frozenset()
    names = {part.strip().lower() for part in named.split(b",")}
    return frozenset(names - {b"content-length"})


def _clean(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Drop what concerns one connection only, and all fields of this product."""
    dropped = HOP_BY_HOP | list_hop_by_hop(headers)
    return [
        field
        for field in headers
        if field[0] not in dropped and not field[0].startswith(_OWN_PREFIX)
    ]


def clean_request_headers(headers: Headers) -> Headers:
    """Return the fields of a caller's request that may travel on to the owner."""
    kept = _clean(headers)
    key_token = find_header(headers, KEY_TOKEN_HEADER)
    if key_token is not None:
        kept.append((KEY_TOKEN_HEADER, key_token))
    if find_header(headers, b"transfer-encoding") is not None:
        kept.append(_CHUNKED)
    return tuple(kept)


def clean_response_headers(headers: Headers) -> Headers:
    """Return the fields of an upstream's response that may travel on."""
    return tuple(_clean(headers))
