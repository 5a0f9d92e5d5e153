"""Header fields that the node adds, and those that it does not forward."""

from papayatack.network.error_responses import KEY_TOKEN_HEADER
from papayatack.network.exchanges import Headers, find_header

__all__ = [
    "DEADLINE_HEADER",
    "KEY_TOKEN_HEADER",
    "REFUSED_HEADER",
    "REPLAYED_HEADER",
    "REQUEST_ID_HEADER",
    "SHARD_HEADER",
    "TOKEN_HEADER",
    "clean_request_headers",
    "clean_response_headers",
    "drop_hop_by_hop",
    "list_chunked",
]

DEADLINE_HEADER = b"papayatack-deadline-ms"
REQUEST_ID_HEADER = b"papayatack-request-id"
SHARD_HEADER = b"papayatack-shard"
TOKEN_HEADER = b"papayatack-token"
REFUSED_HEADER = b"papayatack-refused"
REPLAYED_HEADER = b"papayatack-replayed"
_RESERVED_PREFIX = b"papayatack-"
_CHUNKED = (b"transfer-encoding", b"chunked")
_HOP_BY_HOP_HEADERS = frozenset(
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


def _list_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the field names that the message lists in its Connection header.

    Content-Length is left out, so that a message cannot have it removed.
    """
    options = find_header(headers, b"connection")
    if options is None:
        return frozenset()
    names = {part.strip().lower() for part in options.split(b",")}
    return frozenset(names - {b"content-length"})


def drop_hop_by_hop(
    headers: Headers, dropped: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the fields that are not hop-by-hop, without those that are ``dropped``."""
    names = _HOP_BY_HOP_HEADERS | dropped | _list_connection_options(headers)
    return [field for field in headers if field[0] not in names]


def list_chunked(headers: Headers) -> Headers:
    """Return the field that says that a body is sent in chunks, if it was."""
    if find_header(headers, b"transfer-encoding") is None:
        return ()
    return (_CHUNKED,)


def _clean(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the fields that are neither hop-by-hop nor reserved by Papayatack."""
    return [
        field
        for field in drop_hop_by_hop(headers)
        if not field[0].startswith(_RESERVED_PREFIX)
    ]


def clean_request_headers(headers: Headers) -> Headers:
    """Return the headers of a caller's request that may be forwarded to the owner."""
    kept = _clean(headers)
    key_token = find_header(headers, KEY_TOKEN_HEADER)
    if key_token is not None:
        kept.append((KEY_TOKEN_HEADER, key_token))
    return (*kept, *list_chunked(headers))


def clean_response_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's response that may be forwarded."""
    return tuple(_clean(headers))
