"""Short responses are read whole before any of them is passed on."""

from returns.result import Failure, Result, Success

from papayatack.core.errors import Refusal
from papayatack.network.bodies import BodyCutError, BytesBody
from papayatack.network.exchanges import Response, find_header

__all__ = ["SHORT_RESPONSE_BYTES", "settle_response"]

SHORT_RESPONSE_BYTES = 64 * 1024


async def settle_response(response: Response) -> Result[Response, Refusal]:
    """Read the body of a short response, so that a cut one can still be refused.

    Returns:
        A response whose body is in memory; the same response if it is long or of
        unknown length; or the refusal if its body was cut.
    """
    length = find_header(response.headers, b"content-length")
    if length is None or int(length) > SHORT_RESPONSE_BYTES:
        return Success(response)
    chunks = []
    try:
        while data := await response.body.read():
            chunks.append(data)
    except BodyCutError as error:
        return Failure(Refusal(kind=error.kind, detail=error.detail))
    finally:
        response.body.close()
    whole = Response(
        status=response.status,
        reason=response.reason,
        headers=response.headers,
        body=BytesBody(data=b"".join(chunks)),
    )
    return Success(whole)
