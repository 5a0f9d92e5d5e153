"""HTTP/1.1 connection from one caller."""

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import h11

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.arrivals import ArrivalCheck
from papayatack.network.bodies import BodyQueue, ExpectContinueBody, IncompleteBodyError
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import Request, Response, find_header
from papayatack.network.hangups import HangupWatch
from papayatack.network.limits import CallerLimits
from papayatack.network.start_limiter import StartLimiter
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["CallerConnection", "CallerOwner", "Handler"]

_logger = logging.getLogger(__name__)

WRITE_HIGH_BYTES = 64 * 1024
"""High-water mark of the transport's write buffer."""
DISCARD_TIMEOUT_S = 2.0
"""Time for which a lingering close discards the caller's bytes."""
MAX_EVENTS_PER_TURN = 256
"""Maximum number of parser events in a turn of the event loop. A body may be many small
chunks, which must not keep other connections waiting."""

STATUS_HEADER_TOO_LARGE = 431
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Handler = Callable[[Request], Awaitable[Response]]
"""Handles one request; raises nothing but ``CancelledError``."""


class CallerOwner(Protocol):
    """Interface of the server that a connection uses."""

    limits: CallerLimits
    metrics: Metrics
    draining: bool
    handler: Handler
    hangups: HangupWatch
    arrivals: ArrivalCheck
    starts: StartLimiter

    def add_connection(self, connection: "CallerConnection") -> bool:
        """Register an open connection; return false if the limit is exceeded."""

    def drop_connection(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""


class CallerConnection(asyncio.Protocol):
    """Parses requests, handles one at a time and writes the responses in order."""

    def __init__(self, *, owner: CallerOwner) -> None:
        self._owner = owner
        self._limits = owner.limits
        self._h11 = self._build_parser()
        self._loop = asyncio.get_running_loop()
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._body: BodyQueue | None = None
        self._body_bytes = 0
        self._request: Request | None = None
        self._request_read_s = 0.0
        self._response: Response | None = None
        self._written_bytes = 0
        self._write_waiter: asyncio.Future[None] | None = None
        self._write_paused = False
        self._read_paused = False
        self._has_deferred_events = False
        self._descriptor: int | None = None
        self._discarding = False
        self._closing = False
        self._head_only = False
        self._deadline_s: float | None = None
        self._deadline_kind: ErrorKind | None = None
        self._idle_since_s = 0.0

    def _build_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    @property
    def busy(self) -> bool:
        """Whether a request is in flight."""
        return self._task is not None

    def connection_made(self, transport: Any) -> None:
        """Accept the connection, or reject it if there are too many."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        if not self._owner.add_connection(self):
            self._reject(ErrorKind.CONNECTION_LIMIT, "too many open connections")
            return
        self._start_idle()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        if self._discarding:
            return
        if self._task is None and not self._h11.trailing_data[0]:
            self._adopt_limits()
            self._set_deadline(self._limits.header_timeout_s, ErrorKind.SLOW_CALLER)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._handle_protocol_error(error)
            return
        self._process_events()

    def eof_received(self) -> bool:
        """Treat the caller's EOF as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self._watch_hangup(watched=False)
        self._owner.drop_connection(self)
        if self._body is not None:
            self._body.fail(
                kind=ErrorKind.CALLER_LEFT, detail="the caller disconnected"
            )
        if self._task is None:
            return
        if not self._closing:
            self._owner.metrics.count("requests_cancelled", "caller-left")
            if self._response is not None:
                detail = str(exc) if exc else "the caller disconnected"
                self._log_cut(Event.ANSWER_CUT, "caller-left", detail, logging.INFO)
        self._task.cancel()

    def pause_writing(self) -> None:
        """Pause the response while the write buffer is full.

        A caller that reads too slowly is treated as disconnected: the connection is
        reset if the buffer does not drain within the write timeout.
        """
        self._write_paused = True
        self._set_deadline(self._limits.write_timeout_s, ErrorKind.CALLER_LEFT)

    def resume_writing(self) -> None:
        """Resume the response."""
        self._write_paused = False
        self._deadline_s = None
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    @property
    def _is_idle(self) -> bool:
        """Whether the connection waits for the first byte of a request."""
        has_deadline = self._deadline_s is not None
        return has_deadline and self._deadline_kind is None and self._task is None

    def check_deadline(self, now: float) -> None:
        """Close the connection or fail the request if its deadline has passed.

        The limits of the server may have changed since the connection became idle.
        """
        if self._is_idle:
            self._deadline_s = self._idle_since_s + self._owner.limits.idle_timeout_s
        if self._deadline_s is None or now < self._deadline_s:
            return
        kind = self._deadline_kind
        self._deadline_s = None
        if kind is None:
            self._close()
        elif self._write_paused:
            self._owner.metrics.count("caller_connections_cut", "slow-reader")
            detail = "the caller reads too slowly"
            self._log_cut(Event.ANSWER_CUT, "slow-reader", detail, logging.WARNING)
            self._reset()
        elif self._body is not None:
            self._body.fail(
                kind=kind, detail="timed out while reading the request body"
            )
        else:
            self._reject(kind, "timed out while reading the request header")

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight, for a graceful shutdown."""
        if self._task is None:
            self._close()

    def close_now(self) -> None:
        """Close immediately.

        With a request in flight the connection is reset, so that the caller can't take
        a missing or partial response for a complete one.
        """
        if not self.busy or self._closing:
            self._close()
            return
        self._owner.metrics.count("caller_connections_cut", "stop")
        self._log_cut(Event.CONNECTION_CUT, "stop", "the node stops", logging.ERROR)
        self._reset()

    def _log_cut(self, event: Event, reason: str, detail: str, level: int) -> None:
        """Log a response that the caller does not get in full."""
        unsent_bytes = self._transport.get_write_buffer_size()
        log_event(
            _logger,
            event,
            level=level,
            request=self._request.request_id if self._request is not None else "",
            reason=reason,
            detail=detail,
            begun=self._h11.our_state is not h11.SEND_RESPONSE,
            source=self._response.source if self._response is not None else "",
            sent_bytes=max(0, self._written_bytes - unsent_bytes),
        )

    def _process_events(self) -> None:
        """Handle the events that the parser has, the rest in the next turns."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if self._discarding or not self._process_event():
                return
        self._has_deferred_events = True
        self._pause_reading()
        self._loop.call_soon(self._process_deferred_events)

    def _process_deferred_events(self) -> None:
        self._has_deferred_events = False
        if self._discarding or self._transport.is_closing():
            return
        self._process_events()
        is_full = self._body is not None and self._is_buffer_full(self._body)
        if not self._has_deferred_events and not is_full:
            self._resume_reading()

    def _is_buffer_full(self, body: BodyQueue) -> bool:
        return body.buffered_bytes > self._limits.buffer_bytes

    def _process_event(self) -> bool:
        """Handle the next event; return whether there may be more."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            self._handle_protocol_error(error)
            return False
        kind = type(event)
        if kind is h11.Data:
            self._handle_data(event)
        elif kind is h11.Request:
            self._start_request(event)
        elif kind is h11.EndOfMessage:
            self._finish_body()
            return bool(self._h11.trailing_data[0])
        else:
            self._pause_if_pipelined(event)
            return False
        return True

    def _pause_if_pipelined(self, event: Any) -> None:
        """Pause reading once many bytes of pipelined requests are waiting.

        Until then reading goes on, as the caller's leaving shows at once that way.
        """
        waiting = len(self._h11.trailing_data[0])
        if event is h11.PAUSED and waiting > self._limits.buffer_bytes:
            self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._read_paused:
            self._read_paused = True
            self._transport.pause_reading()
            self._watch_hangup(watched=True)

    def _watch_hangup(self, *, watched: bool) -> None:
        """Start or stop looking for the caller's leaving while nothing is read."""
        sock = self._transport.get_extra_info("socket")
        if self._descriptor is not None:
            self._owner.hangups.remove(self._descriptor)
            self._descriptor = None
        if watched and sock is not None and sock.fileno() >= 0:
            self._descriptor = sock.fileno()
            self._owner.hangups.add(self._descriptor, self._transport.abort)

    def _start_request(self, event: h11.Request) -> None:
        headers = tuple(event.headers)
        self._head_only = event.method == b"HEAD"
        self._body = BodyQueue(on_read=self._handle_body_read)
        self._body_bytes = 0
        self._set_deadline(self._limits.body_timeout_s, ErrorKind.SLOW_CALLER)
        request = Request(
            method=event.method,
            target=event.target,
            headers=headers,
            body=self._body,
            received=self._body,
        )
        self._request = request
        self._response = None
        self._written_bytes = 0
        refusal = self._check_body_headers(request)
        self._check_arrival()
        self._request_read_s = self._loop.time()
        self._task = self._loop.create_task(self._serve_request(request, refusal))

    def _check_arrival(self) -> None:
        """Have it checked whether the caller has hung up behind its request."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            self._owner.arrivals.add(sock.fileno(), self._leave_at_once)

    def _leave_at_once(self) -> None:
        """End a request that no task has begun to serve, as its caller has hung up."""
        if self._task is not None:
            self._task.cancel()
        self._transport.abort()

    def _check_body_headers(self, request: Request) -> Refusal | None:
        """Return the refusal of a request whose body headers are not acceptable."""
        length = find_header(request.headers, b"content-length")
        if length is None:
            return None
        if find_header(request.headers, b"transfer-encoding") is not None:
            return Refusal(
                kind=ErrorKind.MALFORMED_REQUEST,
                detail="the request has both Content-Length and Transfer-Encoding",
            )
        if int(length) > self._limits.body_bytes:
            return Refusal(
                kind=ErrorKind.BODY_TOO_LARGE,
                detail="the request body exceeds the size limit",
            )
        return None

    def _handle_data(self, event: h11.Data) -> None:
        body = self._body
        if body is None:
            return
        self._set_deadline(self._limits.body_timeout_s, ErrorKind.SLOW_CALLER)
        self._body_bytes += len(event.data)
        if self._body_bytes > self._limits.body_bytes:
            body.fail(
                kind=ErrorKind.BODY_TOO_LARGE,
                detail="the request body exceeds the size limit",
            )
            return
        body.put(bytes(event.data))
        if self._is_buffer_full(body) and not self._read_paused:
            self._deadline_s = None
            self._pause_reading()

    def _handle_body_read(self, size: int) -> None:
        """Resume reading once the body's buffer is at most half full."""
        body = self._body
        if (
            self._read_paused
            and not self._has_deferred_events
            and body is not None
            and body.buffered_bytes <= self._limits.buffer_bytes // 2
        ):
            if not body.finished:
                self._set_deadline(self._limits.body_timeout_s, ErrorKind.SLOW_CALLER)
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self._read_paused:
            self._read_paused = False
            self._watch_hangup(watched=False)
            self._transport.resume_reading()

    def _finish_body(self) -> None:
        self._deadline_s = None
        if self._body is not None:
            self._body.finish()

    def _handle_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        """Handle data that is not valid HTTP.

        If a request is in flight, its body fails and its handler responds. Otherwise
        an error response is sent.
        """
        kind = ErrorKind.MALFORMED_REQUEST
        if error.error_status_hint == STATUS_HEADER_TOO_LARGE:
            kind = ErrorKind.HEADER_TOO_LARGE
        if self._body is not None:
            self._body.fail(kind=kind, detail=str(error))
            self._discarding = True
        else:
            self._reject(kind, str(error))

    def _reject(self, kind: ErrorKind, detail: str) -> None:
        """Send an error response that belongs to no parsed request, then close."""
        self._owner.metrics.count("requests_refused", kind.value)
        self._discarding = True
        self._deadline_s = None
        refusal = Refusal(kind=kind, detail=detail)
        self._task = self._loop.create_task(self._send_rejection(refusal))

    async def _send_rejection(self, refusal: Refusal) -> None:
        try:
            await self._send_response(build_error_response(refusal))
        finally:
            await self._close_lingering()

    async def _serve_request(self, request: Request, refusal: Refusal | None) -> None:
        """Respond to one request, then continue with the next or close."""
        body = request.body
        if self._h11.they_are_waiting_for_100_continue and refusal is None:
            request.body = ExpectContinueBody(body=self._body, send=self._send_continue)
        try:
            if refusal is not None:
                self._discarding = True
                self._owner.metrics.count("requests_refused", refusal.kind.value)
                response = build_error_response(refusal)
            else:
                response = await self._call_handler(request)
            self._response = response
            try:
                await self._send_response(response)
            finally:
                response.body.close()
        except IncompleteBodyError as error:
            self._cut_answer(error.kind.value, error.detail)
            return
        except h11.LocalProtocolError as error:
            self._cut_answer("invalid-answer", str(error))
            return
        self._response = None
        body.close()
        await self._finish_request()

    def _cut_answer(self, reason: str, detail: str) -> None:
        """Reset the connection, as the rest of the response is not available."""
        self._owner.metrics.count("answers_cut", reason)
        self._log_cut(Event.ANSWER_CUT, reason, detail, logging.WARNING)
        self._reset()

    async def _call_handler(self, request: Request) -> Response:
        await self._owner.starts.wait()
        request.waited_s = self._loop.time() - self._request_read_s
        try:
            return await self._owner.handler(request)
        except IncompleteBodyError as error:
            return build_error_response(Refusal(kind=error.kind, detail=error.detail))
        except Exception as error:  # an error in one request must not affect others
            log_event(
                _logger, Event.REQUEST_FAILED, level=logging.ERROR, error=repr(error)
            )
            refusal = Refusal(kind=ErrorKind.INTERNAL, detail="internal error")
            return build_error_response(refusal)

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(
                status_code=100, headers=[], reason=b"Continue"
            )
            self._transport.write(self._h11.send(head))

    async def _send_response(self, response: Response) -> None:
        """Write a response; its head goes out with the body bytes already available."""
        headers = list(response.headers)
        if self._owner.draining or self._must_close():
            headers.append((b"connection", b"close"))
        head = h11.Response(
            status_code=response.status, headers=headers, reason=response.reason
        )
        pending = [self._h11.send(head)]
        size = 0
        body = response.body
        while not self._head_only:
            if size >= WRITE_HIGH_BYTES or not body.ready:
                await self._write(pending)
                pending, size = [], 0
            data = await body.read()
            if not data:
                break
            pending.append(self._h11.send(h11.Data(data=data)))
            size += len(data)
        pending.append(self._h11.send(h11.EndOfMessage()))
        await self._write(pending)

    def _must_close(self) -> bool:
        """Return whether the request's body won't be read to its end."""
        return (
            self._discarding
            or self._h11.they_are_waiting_for_100_continue
            or self._h11.their_state is h11.ERROR
        )

    async def _write(self, parts: list[bytes | None]) -> None:
        data = b"".join([part for part in parts if part])
        if data:
            self._written_bytes += len(data)
            self._transport.write(data)
        while self._write_paused:
            self._write_waiter = self._loop.create_future()
            await self._write_waiter

    async def _finish_request(self) -> None:
        """Continue with the connection's next request, or close it."""
        state = self._h11
        if (
            self._owner.draining
            or self._discarding
            or state.our_state is not h11.DONE
            or state.their_state is not h11.DONE
        ):
            await self._close_lingering()
            return
        state.start_next_cycle()
        self._body = None
        self._task = None
        self._adopt_limits()
        self._start_idle()
        self._resume_reading()
        if self._h11.trailing_data[0]:
            self._process_events()

    def _start_idle(self) -> None:
        """Wait for the next request, at most for the idle timeout."""
        self._idle_since_s = self._loop.time()
        self._set_deadline(self._limits.idle_timeout_s, None)

    def _adopt_limits(self) -> None:
        """Apply the present limits of the server to the requests that follow.

        Called between two requests; what has been read of the next one is kept.
        """
        if self._limits == self._owner.limits:
            return
        self._limits = self._owner.limits
        received = bytes(self._h11.trailing_data[0])
        self._h11 = self._build_parser()
        if received:  # no bytes would stand for the end of the connection
            self._h11.receive_data(received)

    async def _close_lingering(self) -> None:
        """Close after reading for :data:`DISCARD_TIMEOUT_S`.

        Closing with unread bytes would reset the connection, and the caller could lose
        the response.
        """
        self._discarding = True
        self._closing = True
        self._deadline_s = None
        if self._h11.their_state is h11.DONE and not self._read_paused:
            self._close()
            return
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        await asyncio.sleep(DISCARD_TIMEOUT_S)
        self._close()

    def _reset(self) -> None:
        """Reset the connection, so that a partial response can't look complete."""
        self._closing = True
        sock: socket.socket | None = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._watch_hangup(watched=False)
        self._transport.abort()

    def _close(self) -> None:
        self._watch_hangup(watched=False)
        self._transport.close()

    def _set_deadline(self, delay_s: float, kind: ErrorKind | None) -> None:
        self._deadline_s = self._loop.time() + delay_s
        self._deadline_kind = kind
