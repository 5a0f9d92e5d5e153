"""Buffering of short bodies, which are passed on only when they are complete."""

import dataclasses

from returns.result import Failure, Result, Success

from papayatack.core.errors import Refusal
from papayatack.network.bodies import Body, BytesBody, IncompleteBodyError, PrefixedBody
from papayatack.network.exchanges import Response, find_header

__all__ = ["SHORT_RESPONSE_BYTES", "buffer_body", "is_buffered", "buffer_response"]

SHORT_RESPONSE_BYTES = 64 * 1024


async def buffer_response(response: Response) -> Result[Response, Refusal]:
    """Read the body of a short response, so that a truncated one can be refused.

    Returns:
        A response whose body is in memory, or, if it is long, one with a streamed body;
        the refusal if the body was truncated.
    """
    length = find_header(response.headers, b"content-length")
    if length is not None and int(length) > SHORT_RESPONSE_BYTES:
        return Success(response)
    chunks: list[bytes] = []
    size = 0
    try:
        while data := await response.body.read():
            chunks.append(data)
            size += len(data)
            if size > SHORT_RESPONSE_BYTES:
                body = PrefixedBody(data=b"".join(chunks), rest=response.body)
                return Success(_replace_body(response, body))
    except IncompleteBodyError as error:
        response.body.close()
        return Failure(Refusal(kind=error.kind, detail=error.detail))
    except BaseException:
        response.body.close()
        raise
    response.body.close()
    return Success(_replace_body(response, BytesBody(data=b"".join(chunks))))


async def buffer_body(body: Body, *, limit_bytes: int) -> Body:
    """Read a request body into memory; the rest of a long one is still to be read.

    Args:
        body: The body.
        limit_bytes: Most bytes that are read ahead.

    Raises:
        IncompleteBodyError: If the body ends early.
    """
    chunks: list[bytes] = []
    size = 0
    while data := await body.read():
        chunks.append(data)
        size += len(data)
        if size > limit_bytes:
            return PrefixedBody(data=b"".join(chunks), rest=body)
    return BytesBody(data=b"".join(chunks))


def is_buffered(response: Response) -> bool:
    """Return whether the whole body of a response is in memory."""
    return isinstance(response.body, BytesBody)


def _replace_body(response: Response, body: Body) -> Response:
    return dataclasses.replace(response, body=body)
