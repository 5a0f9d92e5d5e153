"""Connections between a node and its peers.

A daemon has one :class:`PeerNetwork`. It implements
:class:`papayatack.control.interface.PeerSender` (:meth:`PeerNetwork.send`), passes
received control messages to ``on_control(sender, recipient, message)``, sends
requests (:meth:`PeerNetwork.exchange`) and passes received ones to ``on_request``::

    network = PeerNetwork(
        incarnation=incarnation, host=host, port=port, metrics=metrics, rng=rng
    )
    network.on_control = control.handle_message
    network.on_request = engine.serve_peer
    await network.start()
"""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.core.messages import ControlMessage
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.network.limits import PeerLimits
from papayatack.network.link_table import LinkTable
from papayatack.network.links import Link
from papayatack.network.listener import Listener
from papayatack.network.peer_requests import UnresponsiveHandler, exchange_on
from papayatack.network.peer_serving import PeerServing, RequestHandler
from papayatack.network.streams import PeerStream
from papayatack.network.told_loads import LoadExchange
from papayatack.observability.metrics import Metrics
from papayatack.wire.convert import encode_control

__all__ = ["PeerNetwork"]

CLOSE_WAIT_S = 1.0
"""Time for which a stopped node waits until its peers have read all and closed."""

ControlHandler = Callable[[IncarnationId, IncarnationId, ControlMessage], None]


async def _refuse_request(request: PeerRequest) -> Result[Response, Refusal]:
    return Failure(
        Refusal(
            kind=ErrorKind.NODE_DRAINING, detail="the node accepts no peer requests"
        )
    )


def _drop_control(
    sender: IncarnationId, recipient: IncarnationId, message: ControlMessage
) -> None:
    """Discard messages received before a control handler is set."""


class PeerNetwork:
    """Exchanges control messages and requests with other nodes.

    Attributes:
        loads: What nodes tell each other of their load.
        links: Connections to peers.
        serving: Requests of peers that are in flight.
    """

    def __init__(
        self,
        *,
        incarnation: IncarnationId,
        host: str,
        port: int,
        metrics: Metrics,
        rng: random.Random,
        limits: PeerLimits | None = None,
        on_control: ControlHandler = _drop_control,
        on_request: RequestHandler = _refuse_request,
    ) -> None:
        self.incarnation = incarnation
        self.metrics = metrics
        self.limits = limits or PeerLimits()
        self.on_control = on_control
        self.on_request = on_request
        self.loads = LoadExchange(metrics=metrics)
        self.links = LinkTable(owner=self, rng=rng)
        self.serving = PeerServing(owner=self)
        self._listener = Listener(
            host=host,
            port=port,
            build_protocol=self.links.accept,
            metrics=metrics,
        )
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port on which the node accepts peer connections."""
        return self._listener.port

    async def start(self) -> None:
        """Start listening for peers.

        Raises:
            OSError: If the address is already in use.
        """
        self._listener.start()
        self._sweeper = asyncio.get_running_loop().create_task(self.links.sweep())

    async def stop(self) -> None:
        """Finish requests of peers, refuse new ones, then close all links."""
        await self.finish_requests()
        loop = asyncio.get_running_loop()
        await self.close(until_s=loop.time() + CLOSE_WAIT_S)

    async def finish_requests(self, *, until_s: float = math.inf) -> None:
        """Refuse new peer requests and wait until responses in flight are written.

        Args:
            until_s: Event loop time at which to stop waiting.
        """
        self.on_request = _refuse_request
        self._listener.close()
        for link in self.links:
            link.hold.stop()
        await self.serving.wait_done(until_s)
        self.links.go_away()
        await self.links.wait_flushed(until_s)

    async def close(self, *, until_s: float) -> None:
        """Close all connections once their peers have read what was sent on them.

        Args:
            until_s: Event loop time at which to stop waiting for the peers.
        """
        await self.links.close_in_order(until_s)
        await self.abort()

    async def abort(self) -> None:
        """Close all connections immediately."""
        self._listener.close()
        tasks = [*self.links.list_connecting(), *self.serving.tasks]
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            task.cancel()
        for link in self.links:
            link.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(
        self, address: PeerAddress, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Queue a control message for a node without blocking.

        The message is dropped while the address is backing off or the queue is full.
        """
        frame = encode_control(self.incarnation, recipient, message)
        self.links.send_control(address, frame)

    async def exchange(
        self,
        *,
        address: PeerAddress,
        peer_request: PeerRequest,
        deadline_s: float,
        on_unresponsive: UnresponsiveHandler | None = None,
    ) -> Result[Response, Refusal]:
        """Send a request to a node and return the head of its response.

        The code that awaits the response must close its body. Cancelling this
        coroutine cancels the request at the peer.

        Args:
            address: Address on which the node listens for peers.
            peer_request: The request, including the time left to the node. Time spent
                connecting is subtracted from it.
            deadline_s: Event loop time at which the request expires.
            on_unresponsive: Receives the request's stream if the node becomes
                unresponsive; the request then fails as lost, though a response may
                still arrive on the stream. If ``None``, the response is awaited until
                the deadline.
        """
        link = self.links.find(address)
        if link is None:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            try:
                async with asyncio.timeout_at(deadline_s):
                    link = await self.links.connect(address)
            except TimeoutError:
                return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
            peer_request.subtract_time(loop.time() - started_s)
        if link is None:
            detail = f"could not connect to {address}"
            return Failure(Refusal(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))
        return await exchange_on(
            link,
            peer_request,
            deadline_s=deadline_s,
            loads=self.loads,
            on_unresponsive=on_unresponsive,
        )

    def handle_hello(self, link: Link, incarnation: IncarnationId) -> None:
        """Use an accepted link for outgoing requests too."""
        self.links.register_accepted(link, incarnation)

    def handle_unresponsive(self, link: Link) -> None:
        """Use a new connection for further requests.

        The peer may keep using the old one until it receives the new one's hello.
        """
        self.links.forget(link)

    def handle_go_away(self, link: Link) -> None:
        """Use another connection for further requests, if the peer accepts one."""
        self.links.forget(link)

    def handle_control(
        self, sender: IncarnationId, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Pass a control message to the handler if it is for this incarnation."""
        if recipient != self.incarnation:
            self.metrics.count("control_dropped", "other-incarnation")
            return
        self.on_control(sender, recipient, message)

    def handle_request(self, stream: PeerStream, head: Any) -> None:
        """Start a task that serves a peer's request."""
        self.serving.start(stream, head)

    def handle_closed(self, link: Link) -> None:
        """Remove a closed link."""
        self.links.discard(link)
