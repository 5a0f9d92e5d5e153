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
import dataclasses
import functools
import logging
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure, Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.core.inventory import RequestClass
from papayatack.core.messages import ControlMessage
from papayatack.network.bodies import IncompleteBodyError
from papayatack.network.exchanges import PeerRequest, Response
from papayatack.network.limits import PeerLimits
from papayatack.network.links import Link, parse_peer_address
from papayatack.network.request_heads import decode_request_head, encode_request_head
from papayatack.network.start_limiter import StartLimiter
from papayatack.network.streams import (
    US_PER_S,
    PeerStream,
    build_body_refusal,
    encode_headers,
)
from papayatack.network.told_loads import LoadExchange
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.wire.convert import encode_control
from papayatack.wire.errors import WireError
from papayatack.wire.schema import schema

__all__ = ["PeerNetwork"]

_logger = logging.getLogger(__name__)

_REQUEST_CLASS_VALUES = frozenset(item.value for item in RequestClass)
SWEEP_INTERVAL_S = 0.5
"""Interval between checks of all links."""
CLOSE_WAIT_S = 1.0
"""Time for which a stopped node waits until its peers have read all and closed."""
FLUSH_POLL_INTERVAL_S = 0.02
"""Interval between checks for unwritten bytes during a shutdown."""

RequestHandler = Callable[[PeerRequest], Awaitable[Result[Response, Refusal]]]
UnresponsiveHandler = Callable[[PeerStream], None]
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


@dataclasses.dataclass(slots=True, kw_only=True)
class _Backoff:
    """Connect backoff of one address.

    Attributes:
        delay_s: Delay before jitter, doubled on each failed attempt.
        until_s: Event loop time before which no attempt is made.
    """

    delay_s: float
    until_s: float


class PeerNetwork:
    """Manages links to peers, keyed by the address on which each peer listens.

    Attributes:
        loads: What nodes tell each other of their load.
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
        self._address = parse_peer_address(incarnation)
        self._host = host
        self._port = port
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._links: dict[PeerAddress, Link] = {}
        self._all_links: set[Link] = set()
        self._connecting: dict[PeerAddress, asyncio.Task[Link | None]] = {}
        self._backoffs: dict[PeerAddress, _Backoff] = {}
        self._pending_control: dict[PeerAddress, list[Any]] = {}
        self._serving: set[asyncio.Task[None]] = set()
        self._starts = StartLimiter()

    @property
    def port(self) -> int:
        """Port on which the node accepts peer connections."""
        return self._port

    async def start(self) -> None:
        """Start listening for peers.

        Raises:
            OSError: If the address is already in use.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept_link, self._host, self._port, reuse_port=False
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._sweeper = loop.create_task(self._sweep())

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
        if self._server is not None:
            self._server.close()
        for link in list(self._all_links):
            link.hold.stop()
        loop = asyncio.get_running_loop()
        while self._serving and (left_s := until_s - loop.time()) > 0:
            timeout_s = left_s if math.isfinite(left_s) else None
            await asyncio.wait(self._serving, timeout=timeout_s)
        await self._wait_flushed(until_s)

    async def _wait_flushed(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            if not any(link.has_unsent for link in self._all_links):
                return
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    async def close(self, *, until_s: float) -> None:
        """Close all connections once their peers have read what was sent on them.

        Args:
            until_s: Event loop time at which to stop waiting for the peers.
        """
        await self._wait_flushed(until_s)
        loop = asyncio.get_running_loop()
        while self._all_links and loop.time() < until_s:
            for link in list(self._all_links):
                link.close_in_order()
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
        await self.abort()

    async def abort(self) -> None:
        """Close all connections immediately."""
        if self._server is not None:
            self._server.close()
        tasks = [*self._connecting.values(), *self._serving]
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            task.cancel()
        for link in list(self._all_links):
            link.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(
        self, address: PeerAddress, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Queue a control message for a node without blocking.

        The message is dropped while the address is backing off or the queue is full.
        """
        frame = encode_control(self.incarnation, recipient, message)
        link = self._find_link(address)
        if link is not None:
            link.send_control(frame)
            return
        if self._is_backing_off(address):
            self.metrics.count("control_dropped", "peer-unreachable")
            return
        pending = self._pending_control.setdefault(address, [])
        if len(pending) >= self.limits.max_queued_control_messages:
            self.metrics.count("control_dropped", "queue-full")
            return
        pending.append(frame)
        self._start_connecting(address)

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
        link = self._find_link(address)
        if link is None:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            try:
                async with asyncio.timeout_at(deadline_s):
                    link = await self._connect(address)
            except TimeoutError:
                return Failure(Refusal(kind=ErrorKind.DEADLINE_EXPIRED))
            peer_request.subtract_time(loop.time() - started_s)
        if link is None:
            detail = f"could not connect to {address}"
            return Failure(Refusal(kind=ErrorKind.PEER_UNREACHABLE, detail=detail))
        return await self._exchange_on(link, peer_request, deadline_s, on_unresponsive)

    async def _exchange_on(
        self,
        link: Link,
        peer_request: PeerRequest,
        deadline_s: float,
        on_unresponsive: UnresponsiveHandler | None,
    ) -> Result[Response, Refusal]:
        stream = link.open_stream()
        stream.on_unresponsive = on_unresponsive
        stream.deadline_s = deadline_s
        stream.on_load = functools.partial(
            self.loads.receive,
            peer_request.service,
            IncarnationId(peer_request.recipient),
        )
        loop = asyncio.get_running_loop()
        head = encode_request_head(peer_request, sent_us=int(loop.time() * US_PER_S))
        frame = schema.Frame(stream=stream.stream_id, request=head)
        timer = loop.call_at(deadline_s, self._expire, stream)
        stream.task = loop.create_task(self._send_request(stream, frame, peer_request))
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

    async def _send_request(
        self, stream: PeerStream, frame: Any, peer_request: PeerRequest
    ) -> None:
        try:
            await stream.send(frame, peer_request.request.build_sent_body())
        except IncompleteBodyError as error:
            refusal = build_body_refusal(error, written=stream.written)
            stream.cancel("the request body was cut")
            stream.fail(refusal)
        except WireError as error:
            stream.fail(Refusal(kind=ErrorKind.HEADER_TOO_LARGE, detail=str(error)))

    def _expire(self, stream: PeerStream) -> None:
        kind = (
            ErrorKind.UPSTREAM_TIMEOUT if stream.written else ErrorKind.DEADLINE_EXPIRED
        )
        stream.cancel("deadline")
        stream.fail(
            Refusal(kind=kind, detail="the peer did not respond before the deadline")
        )

    def handle_hello(self, link: Link, incarnation: IncarnationId) -> None:
        """Use an accepted link for outgoing requests too.

        If both nodes have opened a link, both keep the one opened by the node with the
        lower address; the other is closed once it has no streams.
        """
        if link.opener or link.address is not None:
            return
        link.address = parse_peer_address(incarnation)
        current = self._links.get(link.address)
        outdated = (
            current is None or current.closed or self._is_abandoned_by_peer(current)
        )
        if outdated or link.address < self._address:
            if current is not None:
                current.retired = True
            self._links[link.address] = link
        else:
            link.retired = True

    def _is_abandoned_by_peer(self, link: Link) -> bool:
        """Return whether a peer that opens a new connection has abandoned this link.

        If it has not, both nodes have opened a connection at the same time.
        """
        if not link.opener:
            return True
        known_s = asyncio.get_running_loop().time() - link.hello_received_s
        return known_s > self.limits.connect_timeout_s

    def handle_unresponsive(self, link: Link) -> None:
        """Use a new connection for further requests.

        The peer may keep using the old one until it receives the new one's hello.
        """
        self._forget_link(link)

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
        loop = asyncio.get_running_loop()
        now = loop.time()
        stream.deadline_s = now + (head.deadline_us or 0) / US_PER_S
        task = loop.create_task(self._serve(stream, head, now))
        stream.task = task
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    def handle_closed(self, link: Link) -> None:
        """Remove a closed link."""
        self._all_links.discard(link)
        self._forget_link(link)

    def _forget_link(self, link: Link) -> None:
        if link.address is not None and self._links.get(link.address) is link:
            del self._links[link.address]

    async def _serve(self, stream: PeerStream, head: Any, received_s: float) -> None:
        loop = asyncio.get_running_loop()
        await self._starts.wait()
        try:
            await self._handle_peer_request(stream, head, loop.time() - received_s)
        except Exception as error:  # an error in one request must not close the link
            log_event(
                _logger, Event.REQUEST_FAILED, level=logging.ERROR, error=repr(error)
            )
            stream.send_failure(Refusal(kind=ErrorKind.INTERNAL))
        stream.finish()

    async def _handle_peer_request(
        self, stream: PeerStream, head: Any, waited_s: float
    ) -> None:
        refusal = self._check_head(stream, head)
        if refusal is not None:
            self.metrics.count("peer_requests_refused", refusal.kind.value)
            stream.send_failure(refusal)
            return
        stream.read_load = self.loads.encode
        peer_request = decode_request_head(stream.inbound, head)
        peer_request.delay_s = stream.delay_s
        peer_request.subtract_time(waited_s)
        result = await self.on_request(peer_request)
        if is_successful(result):
            await self._send_response(stream, result.unwrap())
        else:
            stream.send_failure(result.failure())

    async def _send_response(self, stream: PeerStream, response: Response) -> None:
        head = schema.ResponseHead(
            status=response.status,
            reason=response.reason,
            headers=encode_headers(response.headers),
            load=self.loads.encode(),
        )
        frame = schema.Frame(stream=stream.stream_id, response=head)
        try:
            await stream.send(frame, response.body)
        except IncompleteBodyError as error:
            stream.send_failure(Refusal(kind=error.kind, detail=error.detail))
        except WireError as error:
            stream.send_failure(
                Refusal(kind=ErrorKind.RESPONSE_TRUNCATED, detail=str(error))
            )
        finally:
            response.body.close()

    def _check_head(self, stream: PeerStream, head: Any) -> Refusal | None:
        if head.recipient and head.recipient != self.incarnation:
            return Refusal(
                kind=ErrorKind.NOT_OWNER, detail="addressed to another incarnation"
            )
        if len(self._serving) > self.limits.streams:
            return Refusal(
                kind=ErrorKind.QUEUE_FULL, detail="too many requests in flight"
            )
        if head.request_class not in _REQUEST_CLASS_VALUES:
            return Refusal(
                kind=ErrorKind.MALFORMED_REQUEST, detail="unknown request class"
            )
        return None

    def _find_link(self, address: PeerAddress) -> Link | None:
        link = self._links.get(address)
        if link is None or link.closed:
            return None
        return link

    def _is_backing_off(self, address: PeerAddress) -> bool:
        backoff = self._backoffs.get(address)
        now = asyncio.get_running_loop().time()
        return backoff is not None and now < backoff.until_s

    async def _connect(self, address: PeerAddress) -> Link | None:
        if self._is_backing_off(address):
            return None
        return await asyncio.shield(self._start_connecting(address))

    def _start_connecting(self, address: PeerAddress) -> "asyncio.Task[Link | None]":
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._open_link(address))
            self._connecting[address] = task
        return task

    async def _open_link(self, address: PeerAddress) -> Link | None:
        """Open a connection; on failure, start or extend the address's backoff."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                _, link = await loop.create_connection(
                    lambda: self._add_link(Link(owner=self, address=address)),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError, OverflowError):
            self._record_connect_failure(address, loop.time())
            return None
        finally:
            del self._connecting[address]
        return self._register_link(address, link)

    def _register_link(self, address: PeerAddress, link: Link) -> Link:
        """Use a new link unless a link opened by the peer exists and is preferred."""
        self._backoffs.pop(address, None)
        other = self._find_link(address)
        if other is None or self._address < address:
            if other is not None:
                other.retired = True
            self._links[address] = link
        else:
            link.retired = True
        for frame in self._pending_control.pop(address, ()):
            self._links[address].send_control(frame)
        return self._links[address]

    def _record_connect_failure(self, address: PeerAddress, now: float) -> None:
        self.metrics.count("peer_connects_failed")
        dropped = len(self._pending_control.pop(address, ()))
        if dropped:
            self.metrics.count("control_dropped", "peer-unreachable", dropped)
        backoff = self._backoffs.get(address)
        delay_s = self.limits.backoff_initial_s
        if backoff is not None:
            delay_s = min(backoff.delay_s * 2, self.limits.backoff_max_s)
        jittered_s = delay_s * self._rng.uniform(0.5, 1.0)
        self._backoffs[address] = _Backoff(delay_s=delay_s, until_s=now + jittered_s)

    def _accept_link(self) -> Link:
        return self._add_link(Link(owner=self, address=None))

    def _add_link(self, link: Link) -> Link:
        self._all_links.add(link)
        return link

    async def _sweep(self) -> None:
        """Check links for unresponsive peers, and close idle ones."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for link in list(self._all_links):
                link.check_liveness(now)
                idle_s = SWEEP_INTERVAL_S if link.retired else self.limits.idle_s
                is_idle = not link.streams and now - link.last_used_s > idle_s
                if is_idle and not link.has_unsent:
                    self._forget_link(link)
                    link.close_in_order()
            self._prune_backoffs(now)

    def _prune_backoffs(self, now: float) -> None:
        oldest_s = now - self.limits.idle_s
        for address, backoff in list(self._backoffs.items()):
            if backoff.until_s < oldest_s:
                del self._backoffs[address]
