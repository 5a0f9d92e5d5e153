"""HTTP/1.1 connection to the local upstream."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any, Protocol

import h11
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.statuses import is_final_status
from papayatack.network.bodies import Body, BodyQueue, IncompleteBodyError
from papayatack.network.exchanges import Headers, Request, Response, find_header
from papayatack.network.limits import UpstreamLimits
from papayatack.network.streams import build_body_refusal

__all__ = ["ResponseMatcher", "UpstreamConnection", "UpstreamOwner"]

ResponseMatcher = Callable[[Headers], bool]
"""Returns whether a response with these headers belongs to the request in flight."""

WRITE_HIGH_BYTES = 64 * 1024
"""High-water mark of the write buffer, and most body bytes sent with the head."""
BODILESS_STATUSES = (204, 304)
MAX_FAILED_IDS = 64
MAX_EVENTS_PER_TURN = 256
"""Maximum number of parser events in a turn of the event loop. A response may be many
small chunks, which must not keep other connections waiting."""


class UpstreamOwner(Protocol):
    """Interface of the pool that owns a connection."""

    limits: UpstreamLimits

    def return_connection(self, connection: "UpstreamConnection") -> None:
        """Take back a connection that can be reused."""

    def drop_connection(self, connection: "UpstreamConnection") -> None:
        """Remove a closed connection."""


class UpstreamConnection(asyncio.Protocol):
    """Sends one request at a time.

    Attributes:
        owner: Takes it back after each exchange.
        written: Whether any byte of the current request may have been sent.
        idle_since_s: Event loop time of the last return to the pool.
        closed: Whether the connection is closed or the upstream has sent EOF.
        is_reused: Whether the current request is not the first on the connection. Its
            response may then be a late one to an earlier request.
        failed_ids: Ids of the last requests that the upstream refused or failed here.
    """

    def __init__(self, *, owner: UpstreamOwner) -> None:
        self.owner = owner
        self.written = False
        self.idle_since_s = 0.0
        self.closed = False
        self.is_reused = False
        self.failed_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_FAILED_IDS
        )
        self._is_used = False
        self._h11 = self._build_parser()
        self._loop = asyncio.get_running_loop()
        self._transport: Any = None
        self._busy = False
        self._response_head: asyncio.Future[Result[Response, Refusal]] | None = None
        self._body: BodyQueue | None = None
        self._body_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._method = b""
        self._matches_request: ResponseMatcher | None = None
        self._skipping_response = False
        self._head_bytes = 0
        self._skipped_bytes = 0
        self._body_bytes = 0
        self._is_reading_paused = False
        self._is_buffer_full = False
        self._has_deferred_events = False
        self._write_paused = False
        self._write_waiter: asyncio.Future[None] | None = None

    def _build_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self.owner.limits.header_bytes
        )

    async def exchange(
        self,
        request: Request,
        *,
        deadline_s: float,
        matches_request: ResponseMatcher | None = None,
    ) -> Result[Response, Refusal]:
        """Send a request and return the head of its response.

        The connection returns to the pool once request and response are complete. The
        code that awaits the response must close its body; closing an incomplete body,
        or cancelling this coroutine, closes the connection.

        Args:
            request: The request, with the headers for the upstream.
            deadline_s: Event loop time at which the connection is closed.
            matches_request: Returns whether a response belongs to this request; one
                that belongs to an earlier request is skipped.
        """
        self._busy = True
        self.is_reused, self._is_used = self._is_used, True
        self._matches_request = matches_request
        self._skipping_response = False
        self._head_bytes = self._skipped_bytes = self._body_bytes = 0
        self.written = False
        self._method = request.method
        self._response_head = self._loop.create_future()
        body = BodyQueue(
            on_read=self._handle_body_read,
            on_close=lambda: self._handle_body_close(body),
        )
        self._body = body
        self._timer = self._loop.call_at(deadline_s, self._expire)
        try:
            await self._send_request(request)
            return await self._response_head
        except BaseException:
            self.abort()
            raise

    async def _send_request(self, request: Request) -> None:
        """Write the head, with the body if it is short and available."""
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        parts = [self._h11.send(head)]
        body = request.build_sent_body()
        try:
            complete = await self._collect_ready_body(parts, body)
        except IncompleteBodyError as error:
            self._fail(build_body_refusal(error, written=False))
            return
        except h11.LocalProtocolError as error:
            self._fail(Refusal(kind=ErrorKind.BODY_LOST, detail=str(error)))
            return
        if not self._busy:
            return
        self._write(parts)
        if not complete:
            self._body_task = self._loop.create_task(self._send_body(body))

    async def _collect_ready_body(self, parts: list[Any], body: Body) -> bool:
        """Append the available part of the body; return whether it is complete."""
        size = 0
        while body.ready and size < WRITE_HIGH_BYTES:
            data = await body.read()
            if not data:
                parts.append(self._h11.send(h11.EndOfMessage()))
                return True
            parts.append(self._h11.send(h11.Data(data=data)))
            size += len(data)
        return False

    async def _send_body(self, body: Body) -> None:
        try:
            while data := await body.read():
                self._write([self._h11.send(h11.Data(data=data))])
                await self._wait_writable()
            self._write([self._h11.send(h11.EndOfMessage())])
        except IncompleteBodyError as error:
            self._body_task = None
            self._fail(build_body_refusal(error, written=True))
        except h11.LocalProtocolError as error:
            self._body_task = None
            self._fail(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=str(error)))
        else:
            self._body_task = None
            self._release()

    def _write(self, parts: list[Any]) -> None:
        data = b"".join([part for part in parts if part])
        if data:
            self.written = True
            self._transport.write(data)

    async def _wait_writable(self) -> None:
        while self._write_paused:
            self._write_waiter = self._loop.create_future()
            await self._write_waiter

    def connection_made(self, transport: Any) -> None:
        """Store the transport and set its buffer limit."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)

    def pause_writing(self) -> None:
        """Pause the request body while the write buffer is full."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Resume the request body."""
        self._write_paused = False
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the upstream; close if no request is in flight."""
        if not self._busy:
            self.abort()
            return
        self._parse(data)

    def eof_received(self) -> bool:
        """Treat the upstream's EOF as the end of the connection.

        EOF also ends a response without Content-Length or chunked encoding.
        """
        self.closed = True
        if self._busy:
            self._parse(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self.closed = True
        if self._busy:
            lost = ErrorKind.UPSTREAM_LOST
            self._fail(
                Refusal(
                    kind=lost if self.written else ErrorKind.UPSTREAM_UNREACHABLE,
                    detail=str(exc) if exc else "the upstream closed the connection",
                )
            )
        self.owner.drop_connection(self)

    def abort(self) -> None:
        """Close immediately."""
        self.closed = True
        self._stop_tasks()
        if self._transport is not None:
            self._transport.abort()

    def _parse(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._parse_received()
        self._limit_bytes_without_response(len(data))

    def _parse_received(self) -> None:
        try:
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._fail(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=str(error)))

    def _limit_bytes_without_response(self, size: int) -> None:
        """Fail if the bytes received so far do not lead to the expected response.

        The parser limits each header, but not the number of interim responses nor the
        length of a response that is skipped.
        """
        limits = self.owner.limits
        if not self._busy or self._response_head is None or self._response_head.done():
            return
        if self._skipping_response:
            self._skipped_bytes += size
        else:
            self._head_bytes += size
        if (
            self._head_bytes > limits.header_bytes
            or self._skipped_bytes > limits.skipped_bytes
        ):
            detail = "the upstream sends bytes without end that are no response"
            self._fail(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=detail))

    def _process_events(self) -> None:
        """Handle the events that the parser has, the rest in the next turns."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._busy or not self._process_event():
                return
        if self._busy:
            self._has_deferred_events = True
            self._update_reading()
            self._loop.call_soon(self._process_deferred_events)

    def _process_deferred_events(self) -> None:
        if not self._has_deferred_events or self.closed:
            return
        self._has_deferred_events = False
        self._parse_received()
        self._update_reading()

    def _process_event(self) -> bool:
        """Handle the next event; return whether there may be more."""
        event = self._h11.next_event()
        kind = type(event)
        if self._skipping_response and kind in (h11.Data, h11.EndOfMessage):
            if kind is h11.EndOfMessage:
                self._finish_skipped_response()
        elif kind is h11.Data:
            self._handle_data(event)
        elif kind is h11.Response:
            self._handle_response(event)
        elif kind is h11.EndOfMessage:
            assert self._body is not None
            self._body.finish()
            self._release()
        elif kind is not h11.InformationalResponse:
            return False
        return True

    def _handle_response(self, event: h11.Response) -> None:
        headers = tuple(event.headers)
        if self._matches_request is not None and not self._matches_request(headers):
            self._skipping_response = True
            return
        if not is_final_status(event.status_code):
            detail = f"the upstream answered with status {event.status_code}"
            self._fail(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=detail))
            return
        if not self.owner.limits.accepts_unframed and not self._is_framed(
            event.status_code, headers
        ):
            detail = (
                "response has neither Content-Length nor chunked encoding, "
                "so its end cannot be detected"
            )
            self._fail(Refusal(kind=ErrorKind.RESPONSE_TRUNCATED, detail=detail))
            return
        assert self._response_head is not None
        assert self._body is not None
        response = Response(
            status=event.status_code,
            reason=bytes(event.reason),
            headers=headers,
            body=self._body,
        )
        if not self._response_head.done():
            self._response_head.set_result(Success(response))

    def _finish_skipped_response(self) -> None:
        """Continue waiting after a response that belongs to an earlier request.

        A new parser parses the rest; it is given a request like the one already sent,
        so that it expects a response.
        """
        self._skipping_response = False
        rest, _ = self._h11.trailing_data
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            detail = "a response to another request ends the connection"
            self._fail(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=detail))
            return
        self._h11 = self._build_parser()
        fields = [(b"host", b"sent-before")]
        head = h11.Request(method=self._method, target=b"/", headers=fields)
        self._h11.send(head)
        self._h11.send(h11.EndOfMessage())
        if rest:  # an empty buffer would stand for the end of the connection
            self._h11.receive_data(bytes(rest))

    def _is_framed(self, status: int, headers: Any) -> bool:
        """Return whether the header of a response determines where its body ends.

        The end of any other response is the end of the connection, and so cannot be
        told from a lost connection.
        """
        return (
            self._method == b"HEAD"
            or status in BODILESS_STATUSES
            or find_header(headers, b"content-length") is not None
            or find_header(headers, b"transfer-encoding") is not None
        )

    def _handle_data(self, event: h11.Data) -> None:
        body = self._body
        assert body is not None
        self._body_bytes += len(event.data)
        if self._body_bytes > self.owner.limits.body_bytes:
            detail = "the response exceeds the size limit"
            self._fail(Refusal(kind=ErrorKind.RESPONSE_TRUNCATED, detail=detail))
            return
        body.put(bytes(event.data))
        limit = self.owner.limits.buffer_bytes
        if body.buffered_bytes > limit:
            self._is_buffer_full = True
            self._update_reading()

    def _handle_body_read(self, size: int) -> None:
        body = self._body
        limit = self.owner.limits.buffer_bytes
        if self._is_buffer_full and body and body.buffered_bytes <= limit // 2:
            self._is_buffer_full = False
            self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while bytes that were read are still to be handled."""
        is_paused = self._is_buffer_full or self._has_deferred_events
        if self.closed or is_paused == self._is_reading_paused:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _handle_body_close(self, body: BodyQueue) -> None:
        """Close the connection if the reader closes an incomplete body.

        A complete body may be closed after the connection has started its next
        exchange, which must go on.
        """
        if self._busy and body is self._body and not body.finished:
            self.abort()

    def _expire(self) -> None:
        kind = (
            ErrorKind.UPSTREAM_TIMEOUT if self.written else ErrorKind.DEADLINE_EXPIRED
        )
        self._fail(
            Refusal(kind=kind, detail="no complete response before the deadline")
        )

    def _fail(self, refusal: Refusal) -> None:
        """End the request in flight without a complete response."""
        self._busy = False
        if self._response_head is not None and not self._response_head.done():
            self._response_head.set_result(Failure(refusal))
        if self._body is not None:
            kind = refusal.kind
            if kind is ErrorKind.UPSTREAM_LOST:
                kind = ErrorKind.RESPONSE_TRUNCATED
            self._body.fail(kind=kind, detail=refusal.detail)
            self._body.detach()
        self.abort()

    def _release(self) -> None:
        """Return the connection to the pool if request and response are complete.

        It is closed instead if it can't be reused.
        """
        state = self._h11
        if not self._busy or self._body is None or not self._body.finished:
            return
        if state.our_state is h11.SEND_BODY and self._body_task is not None:
            self._busy = False
            self.abort()
            return
        self._busy = False
        self._body.detach()
        self._stop_tasks()
        ended = state.our_state is h11.DONE and state.their_state is h11.DONE
        if not ended or state.trailing_data[0]:
            self.abort()
            return
        state.start_next_cycle()
        self._is_buffer_full = self._has_deferred_events = False
        self._update_reading()
        if not self.closed:
            self.owner.return_connection(self)

    def _stop_tasks(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._body_task is not None:
            self._body_task.cancel()
            self._body_task = None
