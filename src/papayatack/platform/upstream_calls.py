"""Calls of the local upstream that grant and release keys."""

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Result

from papayatack.core.errors import Refusal
from papayatack.network.exchanges import Response, find_header
from papayatack.network.grants import build_json_request
from papayatack.network.upstream_connection import (
    ResponseMatcher,
    UpstreamConnection,
)
from papayatack.platform.fields import EXPECTED_INSTANCE, REQUEST_ID, SIGNATURE
from papayatack.proxy.buffering import buffer_response

__all__ = ["CallConnections", "NOT_SENT", "build_response_matcher", "call_upstream"]

NOT_SENT = Response(status=0)
"""Placeholder response of a call that was never sent to the upstream."""

WAIT_RATIO = 2.0
"""Minimum time to wait for a response, relative to the time for its connection, during
which the upstream may have been asked for its id."""


class CallConnections(Protocol):
    """Connections on which calls are sent.

    Attributes:
        name: Id of the upstream process that the calls are meant for.
        address: The upstream's ``host:port``.
    """

    name: str
    address: str

    async def reserve(
        self, *, deadline_s: float
    ) -> Result[UpstreamConnection, Refusal]:
        """Return a connection, to be used for one exchange or returned unused."""

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Take back a connection that can be reused."""


async def call_upstream(
    connections: CallConnections | None,
    target: bytes,
    build_document: Callable[[], Mapping[str, object] | None],
    deadline_s: float,
    response_timeout_s: float,
) -> Response | None:
    """Return the upstream's response, ``None`` if the outcome is unknown.

    The call names the process that it is meant for; any other may refuse it with 421.

    Args:
        connections: Connections to the upstream process, ``None`` if there is none.
        target: Path of the call.
        build_document: Returns the request document once a connection is available,
            ``None`` if the call must no longer be sent.
        deadline_s: Event loop time by which the response must have arrived.
        response_timeout_s: Maximum time to wait for the response after sending, unless
            the connection has been as slow to come.
    """
    if connections is None:
        return NOT_SENT
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    reserved = await connections.reserve(deadline_s=deadline_s)
    if not is_successful(reserved):
        return NOT_SENT
    connection = reserved.unwrap()
    document = build_document()
    if document is None:
        connections.return_connection(connection)
        return NOT_SENT
    data = json.dumps(document).encode()
    expected = (EXPECTED_INSTANCE, connections.name.encode())
    request = build_json_request(
        connections.address, b"POST", target, data, fields=(expected,)
    )
    sent_s = loop.time()
    slow_s = WAIT_RATIO * (sent_s - began_s)
    result = await connection.exchange(
        request,
        deadline_s=min(deadline_s, sent_s + max(response_timeout_s, slow_s)),
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
