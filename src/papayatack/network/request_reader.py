"""Parsing of a caller's bytes into requests."""

import asyncio
from typing import Any, Protocol

import h11

from papayatack.core.byte_budget import ByteBudget
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.arrival_times import ArrivalTimes
from papayatack.network.bodies import BodyQueue
from papayatack.network.caller_exchange import CallerExchange, check_body_headers
from papayatack.network.exchanges import Headers, Request
from papayatack.network.limits import CallerLimits
from papayatack.network.read_pauses import ReadPause

__all__ = ["MAX_EVENTS_PER_TURN", "RequestReader", "RequestSink"]

MAX_EVENTS_PER_TURN = 256
"""Maximum number of parser events in a turn of the event loop. A body may be many small
chunks, which must not keep other connections waiting."""

LONG_HEAD_FIELDS = 64
"""Fields from which on a head is charged to the budget: most of its cost is theirs."""

FIELD_BYTES = 250
"""Memory that a field takes beside its name and its value."""

HEAD_END = b"\r\n\r\n"
STATUS_HEADER_TOO_LARGE = 431

_NO_ROOM_FOR_HEAD = Refusal(
    kind=ErrorKind.QUEUE_FULL,
    detail="the heads of too many requests with many fields are under way",
)


class RequestSink(Protocol):
    """Interface of the connection that a reader uses."""

    def may_read_ahead(self) -> bool:
        """Return whether a request may be read while others are in flight."""

    def take_request(self, exchange: CallerExchange) -> bool:
        """Take a request whose head was read; return whether it starts now."""

    def reject(self, kind: ErrorKind, detail: str) -> None:
        """Send an error response for bytes that are no request, then close."""

    def expect_body(self, *, expected: bool) -> None:
        """Start or stop the timeout for the next bytes of a request body."""


class RequestReader:
    """Parses requests, also behind others that have no response yet.

    A parser handles one exchange at a time. One that is read ahead gets a parser of its
    own, which is given what the one before has left over.

    Attributes:
        discarding: Whether the caller's further bytes are discarded.
        limits: Limits of the request that is read.
        parser: Parser of the bytes that come next.
    """

    __slots__ = (
        "_arrivals",
        "_arrived_s",
        "_body",
        "_body_bytes",
        "_budget",
        "_is_deferred",
        "_is_held",
        "_is_reading_body",
        "_is_read_whole",
        "_loop",
        "_pause",
        "_sink",
        "_transport",
        "_unparsed",
        "discarding",
        "limits",
        "parser",
    )

    def __init__(
        self,
        *,
        sink: RequestSink,
        transport: Any,
        pause: ReadPause,
        limits: CallerLimits,
        budget: ByteBudget,
    ) -> None:
        self._budget = budget
        self._sink = sink
        self._transport = transport
        self._pause = pause
        self._loop = asyncio.get_running_loop()
        self._arrivals: ArrivalTimes | None = None
        self._arrived_s = 0.0
        self._body: BodyQueue | None = None
        self._body_bytes = 0
        self._is_reading_body = False
        self._is_read_whole = False
        self._is_held = False
        self._is_deferred = False
        self._unparsed = bytearray()
        self.discarding = False
        self.limits = limits
        self.parser = self._build_parser()

    def _build_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )

    @property
    def has_rest(self) -> bool:
        """Whether there are bytes that have not been parsed."""
        return bool(self._unparsed) or bool(self.parser.trailing_data[0])

    @property
    def _rest_bytes(self) -> int:
        """Number of bytes that have not been parsed."""
        return len(self._unparsed) + len(self.parser.trailing_data[0])

    def receive(self, data: bytes, now: float, *, has_rest: bool) -> None:
        """Parse bytes from the caller.

        Args:
            data: The bytes.
            now: Time of the event loop.
            has_rest: Whether there are earlier ones that have not been parsed.
        """
        if has_rest:
            self._note_arrival(len(data), now)
        else:
            self._arrivals = None
            self._arrived_s = now
        if self._unparsed or self._is_read_whole or self._is_held:
            self._unparsed += data
        else:
            self._feed(data)
        self._process_events()

    def _feed(self, data: bytes) -> None:
        """Give bytes to the parser, at most up to the end of a head.

        What comes behind may be further requests. A parser that ends with its request
        must not keep them.
        """
        end = self._find_feed_end(data)
        if end:  # no bytes would stand for the end of the connection
            self.parser.receive_data(data[:end])
        self._unparsed += data[end:]

    def _find_feed_end(self, data: bytes | bytearray) -> int:
        """Return how many bytes the parser may get now.

        Of a head it gets one byte more than is allowed, by which it finds the head too
        large.
        """
        if self._is_reading_body:
            return len(data)
        fed_bytes = len(self.parser.trailing_data[0])
        room = max(0, self.limits.header_bytes + 1 - fed_bytes)
        return min(room, _find_head_end(data))

    def _feed_rest(self) -> bool:
        """Give the parser what waits for it; return whether there was anything."""
        if not self._unparsed or self._is_read_whole:
            return False
        rest = self._unparsed
        end = self._find_feed_end(rest)
        if not end:
            return False
        self.parser.receive_data(bytes(rest[:end]))
        del rest[:end]
        return True

    def discard_all(self) -> None:
        """Discard what waits, and what the caller sends from now on.

        The parser is replaced by a new one, as it can't be emptied.
        """
        self.discarding = True
        self._unparsed = bytearray()
        self.parser = self._build_parser()

    def _note_arrival(self, size: int, now: float) -> None:
        """Note when bytes arrived behind some that have not been parsed."""
        if self._arrivals is None:
            self._arrivals = ArrivalTimes()
            self._arrivals.add(self._rest_bytes, self._arrived_s)
        self._arrivals.add(size, now)

    def go_on(self) -> None:
        """Parse what waits, and read on if nothing stands in the way."""
        self._process_events()
        if not self._is_deferred and not self._is_full:
            self._pause.end()

    def begin_held(self) -> None:
        """Allow parsing behind the request that waited for its turn, as it starts."""
        self._is_held = False

    def begin_next(self, last: CallerExchange, limits: CallerLimits) -> None:
        """Prepare for the next request after the last one in flight has ended.

        Args:
            last: The exchange that ended.
            limits: Limits that apply to requests from now on.
        """
        if last.parser is self.parser:
            self.parser.start_next_cycle()
            self._is_read_whole = False
        self._body = None
        if limits is not self.limits:
            self.adopt_limits(limits)

    def adopt_limits(self, limits: CallerLimits) -> None:
        """Apply limits between two requests; what has been read is kept."""
        if limits == self.limits:
            return
        self.limits = limits
        received = bytes(self.parser.trailing_data[0])
        self.parser = self._build_parser()
        if received:  # no bytes would stand for the end of the connection
            self.parser.receive_data(received)

    @property
    def _is_full(self) -> bool:
        """Whether the buffers have no room for more bytes."""
        body = self._body
        if body is not None and self._is_buffer_full(body):
            return True
        is_blocked = self._is_held or self._is_read_whole
        return is_blocked and self._has_large_rest

    @property
    def _has_large_rest(self) -> bool:
        return self._rest_bytes > self.limits.buffer_bytes

    def _is_buffer_full(self, body: BodyQueue) -> bool:
        return body.buffered_bytes > self.limits.buffer_bytes

    def _process_events(self) -> None:
        """Handle the events that the parser has, the rest in the next turns."""
        if self._is_deferred:
            return
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.discarding or not self._process_event():
                return
        self._is_deferred = True
        self._pause.begin()
        self._loop.call_soon(self._process_deferred_events)

    def _process_deferred_events(self) -> None:
        self._is_deferred = False
        if not self.discarding and not self._transport.is_closing():
            self.go_on()

    def _process_event(self) -> bool:
        """Handle the next event; return whether there may be more."""
        if self._is_held:
            self._pause_if_large()
            return False
        if self._is_read_whole and not self._begin_ahead():
            return False
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            self._handle_protocol_error(error)
            return False
        kind = type(event)
        if kind is h11.Data:
            self._handle_data(event)
        elif kind is h11.Request:
            self._begin_request(event)
        elif kind is h11.EndOfMessage:
            self._finish_body()
            return self.has_rest
        elif event is h11.NEED_DATA and self._feed_rest():
            return True
        else:
            self._expect_body()
            return False
        return True

    def _expect_body(self) -> None:
        """Start the timeout for the next bytes of a body that is being read."""
        body = self._body
        if (
            self._is_reading_body
            and body is not None
            and not self._is_buffer_full(body)
        ):
            self._sink.expect_body(expected=True)

    def _begin_ahead(self) -> bool:
        """Parse the next request while others are in flight, if that is allowed."""
        if not self.has_rest:
            return False
        if self.parser.their_state is not h11.DONE or not self._sink.may_read_ahead():
            self._pause_if_large()
            return False
        rest = self.parser.trailing_data[0]
        self.parser = self._build_parser()
        self._is_read_whole = False
        if rest:
            self.parser.receive_data(rest)
        else:
            self._feed_rest()
        return True

    def _pause_if_large(self) -> None:
        """Pause reading once many bytes are waiting.

        Until then reading goes on, as the caller's leaving shows at once that way.
        """
        if self._has_large_rest:
            self._pause.begin()

    def _begin_request(self, event: h11.Request) -> None:
        self._body = self._build_body()
        self._body_bytes = 0
        self._is_reading_body = True
        headers: Headers = tuple(event.headers)
        refusal = None
        if not self._charge_head(self._body, headers):
            headers, refusal = (), _NO_ROOM_FOR_HEAD
        request = Request(
            method=event.method,
            target=event.target,
            headers=headers,
            body=self._body,
            received=self._body,
        )
        exchange = CallerExchange(
            parser=self.parser,
            arrived_s=self._find_arrival(),
            request=request,
            body=self._body,
            refusal=refusal or check_body_headers(request, self.limits.body_bytes),
        )
        self._is_held = not self._sink.take_request(exchange)

    def _build_body(self) -> BodyQueue:
        """Return a body whose bytes are charged to the budget once there are any."""
        body = BodyQueue(
            on_read=lambda size: self._handle_body_read(body, size),
            on_close=lambda: self._close_holder(body),
            on_keep=lambda size: self._keep(body, size),
        )
        return body

    def _charge_head(self, body: BodyQueue, headers: Headers) -> bool:
        """Charge a head of many fields; return whether there is room for it."""
        if len(headers) < LONG_HEAD_FIELDS:
            return True
        size = sum(FIELD_BYTES + len(name) + len(value) for name, value in headers)
        return self._charge(body, size)

    def _charge(self, body: BodyQueue, size: int) -> bool:
        """Charge bytes of a body; return whether there is room for them."""
        if body.holder is None:
            body.holder = self._budget.open(
                self._loop.time(), end=lambda: _end_resting(body)
            )
        return self._budget.charge(self._loop.time(), body.holder, size)

    def _keep(self, body: BodyQueue, size: int) -> bool:
        """Charge bytes that are kept for a retry; a negative size gives them back."""
        if size < 0 and body.holder is not None:
            self._budget.release(body.holder, -size)
            return True
        return self._charge(body, size)

    def _close_holder(self, body: BodyQueue) -> None:
        if body.holder is not None:
            self._budget.close(body.holder)

    def _find_arrival(self) -> float:
        """Return when the last byte of the head that was just parsed arrived."""
        if self._arrivals is None:
            return self._arrived_s
        return self._arrivals.keep(self._rest_bytes)

    def _handle_data(self, event: h11.Data) -> None:
        body = self._body
        if body is None:
            return
        self._body_bytes += len(event.data)
        if self._body_bytes > self.limits.body_bytes:
            body.fail(
                kind=ErrorKind.BODY_TOO_LARGE,
                detail="the request body exceeds the size limit",
            )
            return
        if not body.closed and not self._charge(body, len(event.data)):
            body.fail(
                kind=ErrorKind.QUEUE_FULL,
                detail="the bodies of too many requests are under way",
            )
            return
        body.put(bytes(event.data))
        if self._is_buffer_full(body) and not self._pause.active:
            self._sink.expect_body(expected=False)
            self._pause.begin()

    def _handle_body_read(self, body: BodyQueue, size: int) -> None:
        """Resume reading once the body's buffer is at most half full."""
        if body.holder is not None:
            self._budget.release(body.holder, size)
        if (
            self._pause.active
            and not self._is_deferred
            and body is self._body
            and body.buffered_bytes <= self.limits.buffer_bytes // 2
        ):
            if not body.finished:
                self._sink.expect_body(expected=True)
            self._pause.end()

    def _finish_body(self) -> None:
        self._sink.expect_body(expected=False)
        self._is_reading_body = False
        self._is_read_whole = True
        if self._body is not None:
            self._body.finish()

    def _handle_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        """Handle data that is not valid HTTP.

        If a request is being read, its body fails and its handler responds. Otherwise
        an error response is sent.
        """
        kind = ErrorKind.MALFORMED_REQUEST
        if error.error_status_hint == STATUS_HEADER_TOO_LARGE:
            kind = ErrorKind.HEADER_TOO_LARGE
        if self._is_reading_body and self._body is not None:
            self._body.fail(kind=kind, detail=str(error))
            self.discarding = True
        else:
            self._sink.reject(kind, str(error))


def _find_head_end(data: bytes | bytearray) -> int:
    """Return the position behind the first head that ends, or that of the last byte."""
    end = data.find(HEAD_END)
    return len(data) if end < 0 else end + len(HEAD_END)


def _end_resting(body: BodyQueue) -> None:
    """End a body that makes no progress while others need its memory."""
    body.fail(
        kind=ErrorKind.SLOW_CALLER,
        detail="the request body makes no progress, and others need the memory",
    )
