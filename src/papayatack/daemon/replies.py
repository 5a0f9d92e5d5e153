"""JSON bodies of the daemon's own endpoints."""

import json

from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Request, Response

__all__ = ["MAX_BODY_BYTES", "read_json", "reply_json", "reply_text"]

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Default for the maximum size of a document."""


async def read_json(request: Request, *, max_bytes: int = MAX_BODY_BYTES) -> object:
    """Return the document in a request's body.

    Raises:
        ValueError: The body is no JSON document, or longer than ``max_bytes``.
    """
    data = bytearray()
    while chunk := await request.body.read():
        data += chunk
        if len(data) > max_bytes:
            raise ValueError(f"the body is larger than {max_bytes} bytes")
    try:
        return json.loads(bytes(data))
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"the body is not JSON: {error}") from error


def reply_json(status: int, document: object) -> Response:
    """Return a response with a JSON document."""
    data = json.dumps(document, ensure_ascii=False).encode() + b"\n"
    return _reply(status, data, b"application/json")


def reply_text(status: int, data: bytes) -> Response:
    """Return a response with plain text."""
    return _reply(status, data, b"text/plain; charset=utf-8")


def _reply(status: int, data: bytes, content_type: bytes) -> Response:
    headers = (
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(data)),
    )
    return Response(status=status, headers=headers, body=BytesBody(data=data))
