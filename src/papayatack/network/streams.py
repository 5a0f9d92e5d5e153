"""Streams of a link; each carries one request and its response."""

import asyncio
import collections
import math
from collections.abc import Callable
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import PeerAddress
from papayatack.core.statuses import is_final_status
from papayatack.network.bodies import Body, BodyQueue, IncompleteBodyError
from papayatack.network.exchanges import Response
from papayatack.network.limits import PeerLimits
from papayatack.wire.errors import WireError
from papayatack.wire.frames import encode_frame
from papayatack.wire.schema import schema

__all__ = [
    "PeerStream",
    "StreamOwner",
    "decode_headers",
    "encode_headers",
    "build_body_refusal",
]

US_PER_S = 1_000_000


def encode_headers(headers: Any) -> list[Any]:
    """Encode header fields as Thrift structs."""
    return [schema.Header(name, value) for name, value in headers]


def decode_headers(structs: Any) -> tuple[tuple[bytes, bytes], ...]:
    """Decode Thrift structs to header fields."""
    return tuple([(struct.name, struct.value) for struct in structs or ()])


class StreamOwner(Protocol):
    """Interface of the link that carries a stream."""

    limits: PeerLimits
    address: PeerAddress | None

    def send_priority(self, frame: Any) -> None:
        """Queue a frame ahead of all stream frames."""

    def mark_ready(self, stream: "PeerStream") -> None:
        """Schedule a stream that has queued frames."""

    def drop_stream(self, stream: "PeerStream") -> None:
        """Remove a stream that has ended."""


class PeerStream:
    """One request on a link: queued outgoing frames and the incoming body.

    The node that opens a stream awaits :attr:`response`.

    Attributes:
        written: Whether any frame has been handed to the transport.
        inbound: The body that the peer sends.
        task: Sends the request, or serves it.
        on_unresponsive: Receives the stream if the peer becomes unresponsive before it
            responds. If ``None``, the response is awaited until the deadline.
        deadline_s: Event loop time at which the stream of an unresponsive peer ends.
        delay_s: For how many seconds the peer's request was on its way.
        on_load: Receives what the peer tells of its load with its response, ``None`` if
            it tells nothing.
        read_load: Returns the struct that tells the peer the load of this node.
    """

    def __init__(self, *, link: StreamOwner, stream_id: int) -> None:
        self.stream_id = stream_id
        self.written = False
        self.inbound = BodyQueue(
            on_read=self._return_credit, on_close=self._handle_body_close
        )
        self.response: asyncio.Future[Result[Response, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self.task: asyncio.Task[None] | None = None
        self.on_unresponsive: Callable[[PeerStream], None] | None = None
        self.deadline_s = math.inf
        self.delay_s = 0.0
        self.on_load: Callable[[Any], None] | None = None
        self.read_load: Callable[[], Any] = lambda: None
        self._link = link
        self._queue: collections.deque[bytes] = collections.deque()
        self._credit = link.limits.window_bytes
        self._credit_waiter: asyncio.Future[None] | None = None
        self._unacknowledged_bytes = 0
        self._ended = False

    def take_frame(self) -> bytes:
        """Remove and return the next frame to write."""
        self.written = True
        return self._queue.popleft()

    @property
    def is_received(self) -> bool:
        """Whether the whole response has arrived; false for a request of the peer."""
        return self.response.done() and self.inbound.finished

    @property
    def has_frames(self) -> bool:
        """Whether frames are queued."""
        return bool(self._queue)

    def queue_frame(self, frame: Any) -> None:
        """Queue a frame behind this stream's earlier ones.

        Raises:
            WireError: If the frame exceeds the size limit.
        """
        self._queue.append(encode_frame(frame))
        if len(self._queue) == 1:
            self._link.mark_ready(self)

    async def send(self, frame: Any, body: Body) -> None:
        """Send a head and its body, in one frame if the body is short and available.

        Raises:
            IncompleteBodyError: If the body ends early.
            WireError: If the head exceeds the size limit.
        """
        data = await body.read() if body.ready else None
        if data is not None and len(data) <= self._link.limits.chunk_bytes:
            final = not data
            if not final and body.ready:
                following = await body.read()
                final = not following
            else:
                following = b""
            self._credit -= len(data)
            frame.body = schema.Body(data=data, final=final)
            self.queue_frame(frame)
            if final:
                return
            await self._send_data(following)
        else:
            self.queue_frame(frame)
            await self._send_data(data or b"")
        await self._send_rest(body)

    async def _send_rest(self, body: Body) -> None:
        while data := await body.read():
            await self._send_data(data)
        self._queue_body(b"", final=True)

    async def _send_data(self, data: bytes) -> None:
        """Queue data in chunks that fit the receiver's flow-control window."""
        start = 0
        while start < len(data):
            while self._credit <= 0:
                self._credit_waiter = asyncio.get_running_loop().create_future()
                await self._credit_waiter
            size = min(len(data) - start, self._credit, self._link.limits.chunk_bytes)
            self._credit -= size
            self._queue_body(data[start : start + size], final=False)
            start += size

    def _queue_body(self, data: bytes, *, final: bool) -> None:
        body = schema.Body(data=data, final=final)
        self.queue_frame(schema.Frame(stream=self.stream_id, body=body))

    def add_credit(self, size: int) -> None:
        """Add flow-control credit for bytes that the receiver has read."""
        self._credit += size
        if self._credit_waiter is not None and not self._credit_waiter.done():
            self._credit_waiter.set_result(None)

    def receive_body(self, body: Any) -> None:
        """Handle a body frame.

        Raises:
            WireError: If the sender exceeded the flow-control window.
        """
        if body.data:
            self.inbound.put(body.data)
            if self.inbound.buffered_bytes > self._link.limits.window_bytes:
                raise WireError("body exceeds the flow-control window")
        if body.final:
            self.inbound.finish()

    def receive_response(self, head: Any) -> None:
        """Handle the head of the response."""
        if self.on_load is not None:
            self.on_load(head.load)
        if not is_final_status(head.status):
            self.fail_lost(f"the peer answered with status {head.status}")
            return
        if not self.response.done():
            response = Response(
                status=head.status,
                reason=head.reason or b"",
                headers=decode_headers(head.headers),
                body=self.inbound,
                source=self._link.address or "",
            )
            self.response.set_result(Success(response))

    def receive_failure(self, failure: Any) -> None:
        """Handle a failure: the peer sends no complete response."""
        if self.on_load is not None and failure.load is not None:
            self.on_load(failure.load)
        try:
            kind = ErrorKind(failure.kind)
        except ValueError:
            kind = ErrorKind.INTERNAL
        delay_us = failure.retry_after_us
        self.fail(
            Refusal(
                kind=kind,
                detail=failure.detail or "",
                retry_after_s=delay_us / US_PER_S if delay_us else None,
                key_token=failure.key_token or "",
            )
        )

    def fail(self, refusal: Refusal) -> None:
        """End the stream without a complete response."""
        if not self.response.done():
            self.response.set_result(Failure(refusal))
        self.inbound.fail(kind=refusal.kind, detail=refusal.detail)
        self._end(refusal.detail)

    def fail_lost(self, detail: str) -> None:
        """Fail the stream because its peer or connection was lost."""
        kind = ErrorKind.PEER_LOST if self.written else ErrorKind.PEER_UNREACHABLE
        self.fail(Refusal(kind=kind, detail=detail))

    def handle_unresponsive(self, detail: str) -> None:
        """Handle an unresponsive peer.

        A request of which nothing was written fails at once. One that may be running is
        not cancelled: if it can be retried, its first wait fails as lost, and a late
        response arrives on a new :attr:`response`, awaited beside the retry.
        """
        if not self.written:
            self.fail_lost(detail)
            return
        is_sent = self.task is not None and self.task.done()
        if self.on_unresponsive is None or not is_sent or self.response.done():
            return
        awaited = self.response
        self.response = asyncio.get_running_loop().create_future()
        self.on_unresponsive(self)
        awaited.set_result(Failure(Refusal(kind=ErrorKind.PEER_LOST, detail=detail)))

    def send_failure(self, refusal: Refusal) -> None:
        """Tell the opener that no complete response will follow."""
        delay_s = refusal.retry_after_s
        failure = schema.Failure(
            kind=refusal.kind.value,
            detail=refusal.detail,
            retry_after_us=int(delay_s * US_PER_S) if delay_s else 0,
            key_token=refusal.key_token,
            load=self.read_load(),
        )
        self.queue_frame(schema.Frame(stream=self.stream_id, failure=failure))

    def cancel(self, reason: str) -> None:
        """Tell the peer that the response is no longer wanted, and end the stream."""
        if not self._ended and self.written:
            cancel = schema.Cancel(reason=reason)
            self._link.send_priority(schema.Frame(stream=self.stream_id, cancel=cancel))
        self._end(reason)

    def finish(self) -> None:
        """Remove the stream after its last frame is queued."""
        self._ended = True
        self.inbound.detach()
        self._link.drop_stream(self)

    def abandon(self, reason: str) -> None:
        """End the stream because its response is no longer wanted.

        The request body fails with ``CALLER_LEFT`` whatever the reason, because the
        peer that opened the stream sends the request on behalf of the caller.

        Args:
            reason: Why the response is not wanted; becomes part of the error detail.
        """
        detail = f"withdrawn: {reason}"
        self.inbound.fail(kind=ErrorKind.CALLER_LEFT, detail=detail)
        self._end(detail)

    def _return_credit(self, size: int) -> None:
        self._unacknowledged_bytes += size
        if (
            self._unacknowledged_bytes * 2 < self._link.limits.window_bytes
            or self._ended
        ):
            return
        window = schema.Window(bytes=self._unacknowledged_bytes)
        self._unacknowledged_bytes = 0
        self._link.send_priority(schema.Frame(stream=self.stream_id, window=window))

    def _handle_body_close(self) -> None:
        """End the stream when its reader closes the body, complete or not."""
        if self.response.done() and not self.inbound.finished:
            self.cancel("body not wanted")
        elif self.response.done():
            self._end("the body was read")

    def _end(self, detail: str) -> None:
        if not self._ended:
            self._ended = True
            self.inbound.detach()
            self._queue.clear()
            self._link.drop_stream(self)
            if self.task is not None:
                self.task.cancel(detail)


def build_body_refusal(error: IncompleteBodyError, *, written: bool) -> Refusal:
    """Return the refusal of a request whose body ended early.

    If part of the request was written, another process may have run it, so the
    outcome is unknown.
    """
    if not written:
        return Refusal(kind=error.kind, detail=error.detail)
    is_lost = error.kind is ErrorKind.BODY_LOST
    kind = ErrorKind.UPSTREAM_LOST if is_lost else ErrorKind.CALLER_LEFT
    return Refusal(kind=kind, detail=error.detail)
