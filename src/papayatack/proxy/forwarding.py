"""Forwarding of one attempt of a request to the node that serves it."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import PeerAddress, ShardId
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.network.streams import PeerStream
from papayatack.proxy.buffering import buffer_response
from papayatack.proxy.idempotent import IdempotentServer
from papayatack.proxy.interface import Route
from papayatack.proxy.late_responses import LateResponses

__all__ = ["Forwarder", "PeerClient"]

DEADLINE_MARGIN_S = 0.02
DEADLINE_MARGIN_RATIO = 0.1
"""Part of the remaining time that bounds the margin. A forwarded request gets the
remaining time less the margin, so that its response is back before the deadline."""


class PeerClient(Protocol):
    """Sends requests to other nodes."""

    async def exchange(
        self,
        *,
        address: PeerAddress,
        peer_request: PeerRequest,
        deadline_s: float,
        on_unresponsive: Callable[[PeerStream], None] | None = None,
    ) -> Result[Response, Refusal]:
        """Send a request and return its response as soon as the head has arrived.

        Args:
            address: Where the node listens for peers.
            peer_request: The request.
            deadline_s: Event loop time by which the response must have begun.
            on_unresponsive: Receives the stream of a request whose node has become
                unresponsive; the call then fails with ``PEER_LOST``. Without it the
                call keeps waiting for the response.
        """


class Forwarder:
    """Sends attempts to the local upstream or to other nodes.

    Args:
        idempotent: Serves requests on this node.
        peers: Sends requests to other nodes.
    """

    def __init__(self, *, idempotent: IdempotentServer, peers: PeerClient) -> None:
        self._idempotent = idempotent
        self._peers = peers

    async def forward(
        self,
        peer_request: PeerRequest,
        route: Route,
        deadline_s: float,
        late: LateResponses | None = None,
    ) -> Result[Response, Refusal]:
        """Serve the request on this node, or send it to the node of the route.

        Args:
            peer_request: The request.
            route: Where it is served.
            deadline_s: Event loop time after which the response is of no use.
            late: Receives the stream of a node that becomes unresponsive, if the
                request may be attempted again meanwhile.
        """
        shard = route.shard if peer_request.key else ShardId("")
        if route.local:
            peer_request.shard = shard
            return await self._idempotent.serve(peer_request, deadline_s=deadline_s)
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        margin_s = min(DEADLINE_MARGIN_S, remaining_s * DEADLINE_MARGIN_RATIO)
        if remaining_s <= 0:
            return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
        sent = dataclasses.replace(
            peer_request,
            shard=shard,
            remaining_s=remaining_s - margin_s,
            recipient=route.incarnation,
            hops=peer_request.hops + 1,
        )
        result = await self._peers.exchange(
            address=route.address,
            peer_request=sent,
            deadline_s=deadline_s,
            on_unresponsive=None if late is None else late.add,
        )
        if not is_successful(result):
            return result
        return await buffer_response(result.unwrap())
