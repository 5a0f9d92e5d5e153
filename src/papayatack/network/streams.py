"""One request on the connection of a pair of nodes."""

import asyncio
import collections
import math
from collections.abc import Callable
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
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
    """Return header fields as Thrift structs."""
    return [schema.Header(name, value) for name, value in headers]


def decode_headers(structs: Any) -> tuple[tuple[bytes, bytes], ...]:
    """Return Thrift structs as header fields."""
    return tuple([(struct.name, struct.value) for struct in structs or ()])


class StreamOwner(Protocol):
    """The link, as a stream sees it."""

    limits: PeerLimits

    def send_priority(self, frame: Any) -> None:
        """Queue a frame ahead of all bodies."""

    def mark_ready(self, stream: "PeerStream") -> None:
        """Let a stream with queued frames take its turn."""

    def drop_stream(self, stream: "PeerStream") -> None:
        """Forget a stream that has ended."""


class PeerStream:
    """One request: frames that wait to be sent, and the body that arrives.

    The side that opens a stream awaits :attr:`response`.

    Attributes:
        on_doubt: Takes the stream if the peer falls silent before it answers; without
            it the response is awaited all the same.
        deadline_s: Event loop time after which a silent peer is not waited for.
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
        self._link = link
        self._queue: collections.deque[bytes] = collections.deque()
        self._credit = link.limits.window_bytes
        self._credit_waiter: asyncio.Future[None] | None = None
        self._unacknowledged_bytes = 0
        self._ended = False

    def take_frame(self) -> bytes:
        """Return the next frame to be written."""
        self.written = True
        return self._queue.popleft()

    @property
    def has_frames(self) -> bool:
        """Whether frames wait to be written."""
        return bool(self._queue)

    def queue_frame(self, frame: Any) -> None:
        """Queue a frame behind the earlier ones of this stream.

        Raises:
            WireError: If the frame is too large.
        """
        self._queue.append(encode_frame(frame))
        if len(self._queue) == 1:
            self._link.mark_ready(self)

    async def send(self, frame: Any, body: Body) -> None:
        """Send a head and its body, in one frame if the body is short and at hand.

        Raises:
            IncompleteBodyError: If the body is cut.
            WireError: If the head is too large.
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
        """Queue data in chunks, each within the receiver's window."""
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
        """Note that the receiver has taken bytes."""
        self._credit += size
        if self._credit_waiter is not None and not self._credit_waiter.done():
            self._credit_waiter.set_result(None)

    def receive_body(self, body: Any) -> None:
        """Take a body frame.

        Raises:
            WireError: If the sender overran the window.
        """
        if body.data:
            self.inbound.put(body.data)
            if self.inbound.buffered_bytes > self._link.limits.window_bytes:
                raise WireError("body overran the window")
        if body.final:
            self.inbound.finish()

    def receive_response(self, head: Any) -> None:
        """Take the head of the response."""
        if not self.response.done():
            response = Response(
                status=head.status,
                reason=head.reason or b"",
                headers=decode_headers(head.headers),
                body=self.inbound,
            )
            self.response.set_result(Success(response))

    def receive_failure(self, failure: Any) -> None:
        """Take the end of a request that was not answered whole."""
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
        """End the stream without a whole response."""
        if not self.response.done():
            self.response.set_result(Failure(refusal))
        self.inbound.fail(kind=refusal.kind, detail=refusal.detail)
        self._end(refusal.detail)

    def fail_lost(self, detail: str) -> None:
        """End the stream because its connection is gone."""
        kind = ErrorKind.PEER_LOST if self.written else ErrorKind.PEER_UNREACHABLE
        self.fail(Refusal(kind=kind, detail=detail))

    def handle_unresponsive(self, detail: str) -> None:
        """Note that the peer has fallen silent.

        What has not been written is withdrawn. What may run is not cut: whoever can
        attempt it again awaits a new :attr:`response` beside the further attempt.
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
        """Tell the opener that there will be no whole response."""
        delay_s = refusal.retry_after_s
        failure = schema.Failure(
            kind=refusal.kind.value,
            detail=refusal.detail,
            retry_after_us=int(delay_s * US_PER_S) if delay_s else 0,
            key_token=refusal.key_token,
        )
        self.queue_frame(schema.Frame(stream=self.stream_id, failure=failure))

    def cancel(self, reason: str) -> None:
        """Tell the other side that nobody waits for the response."""
        if not self._ended and self.written:
            cancel = schema.Cancel(reason=reason)
            self._link.send_priority(schema.Frame(stream=self.stream_id, cancel=cancel))
        self._end(reason)

    def finish(self) -> None:
        """Forget the stream once its last frame is queued."""
        self._ended = True
        self._link.drop_stream(self)

    def abandon(self, reason: str) -> None:
        """End the stream because nobody takes its response any more."""
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
        """End the stream when its reader is done, early or not."""
        if self.response.done() and not self.inbound.finished:
            self.cancel("body not wanted")
        elif self.response.done():
            self._end("the body was read")

    def _end(self, detail: str) -> None:
        if not self._ended:
            self._ended = True
            self._queue.clear()
            self._link.drop_stream(self)
            if self.task is not None:
                self.task.cancel(detail)


def build_body_refusal(error: IncompleteBodyError, *, written: bool) -> Refusal:
    """Return the refusal for a request whose own body was cut.

    Once the request may have reached another process, its effect is not known.
    """
    kind = ErrorKind.CALLER_LEFT if written else error.kind
    return Refusal(kind=kind, detail=error.detail)
