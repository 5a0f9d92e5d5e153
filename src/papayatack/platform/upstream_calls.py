"""Calls of the local upstream that grant and release keys."""

import asyncio
import json
from collections.abc import Callable, Mapping

from returns.pipeline import is_successful

from papayatack.network.exchanges import Response, find_header
from papayatack.network.grants import build_json_request
from papayatack.network.upstream_connection import ResponseMatcher
from papayatack.network.upstreams import UpstreamPool
from papayatack.platform.fields import REQUEST_ID, SIGNATURE
from papayatack.proxy.buffering import buffer_response

__all__ = ["NOT_SENT", "build_response_matcher", "call_upstream"]

NOT_SENT = Response(status=0)
"""Placeholder response of a call that was never sent to the upstream."""


async def call_upstream(
    pool: UpstreamPool | None,
    target: bytes,
    build_document: Callable[[], Mapping[str, object] | None],
    deadline_s: float,
    response_timeout_s: float,
) -> Response | None:
    """Return the upstream's response, ``None`` if the outcome is unknown.

    Args:
        pool: Connections to the upstream process, ``None`` if there is none.
        target: Path of the call.
        build_document: Returns the request document once a connection is available,
            ``None`` if the call must no longer be sent.
        deadline_s: Event loop time by which the response must have arrived.
        response_timeout_s: Maximum time to wait for the response after sending.
    """
    if pool is None:
        return NOT_SENT
    reserved = await pool.reserve(deadline_s=deadline_s)
    if not is_successful(reserved):
        return NOT_SENT
    connection = reserved.unwrap()
    document = build_document()
    if document is None:
        pool.return_connection(connection)
        return NOT_SENT
    data = json.dumps(document).encode()
    request = build_json_request(pool.address, b"POST", target, data)
    sent_s = asyncio.get_running_loop().time()
    result = await connection.exchange(
        request,
        deadline_s=min(deadline_s, sent_s + response_timeout_s),
        matches_request=build_response_matcher(),
    )
    if not is_successful(result):
        return None
    buffered = await buffer_response(result.unwrap())
    return buffered.unwrap() if is_successful(buffered) else None


def build_response_matcher() -> ResponseMatcher:
    """Return a function that tells answers to grants from late ones to requests.

    Both use the same connections; only requests have ids, and signed responses.
    """
    names = (REQUEST_ID, SIGNATURE)
    return lambda headers: all(find_header(headers, name) is None for name in names)
