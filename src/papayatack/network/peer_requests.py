"""Requests that a node sends to another on a link."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

from returns.result import Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId
from papayatack.network.bodies import IncompleteBodyError
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.network.links import Link
from papayatack.network.request_heads import encode_request_head
from papayatack.network.streams import US_PER_S, PeerStream, build_body_refusal
from papayatack.network.told_loads import LoadExchange
from papayatack.wire.errors import WireError
from papayatack.wire.schema import schema

__all__ = ["UnresponsiveHandler", "exchange_on"]

UnresponsiveHandler = Callable[[PeerStream], None]


async def exchange_on(
    link: Link,
    peer_request: PeerRequest,
    *,
    deadline_s: float,
    loads: LoadExchange,
    on_unresponsive: UnresponsiveHandler | None,
) -> Result[Response, Refusal]:
    """Send a request on a link and return the head of its response.

    See :meth:`papayatack.network.peers.PeerNetwork.exchange`.
    """
    stream = link.open_stream()
    stream.on_unresponsive = on_unresponsive
    stream.deadline_s = deadline_s
    stream.on_load = functools.partial(
        loads.receive, peer_request.service, IncarnationId(peer_request.recipient)
    )
    loop = asyncio.get_running_loop()
    head = encode_request_head(peer_request, sent_us=int(loop.time() * US_PER_S))
    frame = schema.Frame(stream=stream.stream_id, request=head)
    timer = loop.call_at(deadline_s, _expire, stream)
    stream.task = loop.create_task(_send(stream, frame, peer_request))
    awaited = stream.response
    try:
        return await awaited
    except asyncio.CancelledError:
        stream.cancel("the caller left")
        raise
    finally:
        if stream.response is awaited:
            timer.cancel()
        else:
            stream.response.add_done_callback(lambda _: timer.cancel())


async def _send(stream: PeerStream, frame: Any, peer_request: PeerRequest) -> None:
    try:
        await stream.send(frame, peer_request.request.build_sent_body())
    except IncompleteBodyError as error:
        refusal = build_body_refusal(error, written=stream.written)
        stream.cancel("the request body was cut")
        stream.fail(refusal)
    except WireError as error:
        stream.fail(Refusal(kind=ErrorKind.HEADER_TOO_LARGE, detail=str(error)))


def _expire(stream: PeerStream) -> None:
    kind = ErrorKind.UPSTREAM_TIMEOUT if stream.written else ErrorKind.DEADLINE_EXPIRED
    stream.cancel("deadline")
    stream.fail(
        Refusal(kind=kind, detail="the peer did not respond before the deadline")
    )
