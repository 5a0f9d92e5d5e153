"""Link between two nodes: one connection that multiplexes control and streams.

Control frames are written first, then one frame of each stream in turn.
"""

import asyncio
import collections
import logging
import math
from collections.abc import Callable
from typing import Any, Protocol

from papayatack.core.errors import ErrorKind
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.core.messages import ControlMessage
from papayatack.network.limits import PeerLimits
from papayatack.network.link_ending import CLOSE_TIMEOUT_S, LinkEnding
from papayatack.network.peer_probe import PeerProbe
from papayatack.network.request_hold import LATE_S, RequestHold
from papayatack.network.streams import US_PER_S, PeerStream
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics
from papayatack.wire.convert import decode_control
from papayatack.wire.errors import WireError
from papayatack.wire.frames import FrameReader, encode_frame
from papayatack.wire.schema import schema

__all__ = ["Link", "LinkOwner", "parse_peer_address"]

_logger = logging.getLogger(__name__)

PROTOCOL_VERSION = 1
FLUSH_BYTES = 64 * 1024
"""Bytes written per flush, and high-water mark of the write buffer."""
WRITE_LOW_BYTES = 16 * 1024
"""Low-water mark of the write buffer."""
LATE_LOG_INTERVAL_S = 1.0

CONTROL_STREAM = 0
"""Stream id of frames that belong to no request."""


def parse_peer_address(incarnation: IncarnationId) -> PeerAddress:
    """Return the address on which an incarnation listens for peers."""
    return PeerAddress(incarnation.partition("#")[0])


class LinkOwner(Protocol):
    """Interface of the network that owns a link."""

    incarnation: IncarnationId
    limits: PeerLimits
    metrics: Metrics

    def handle_hello(self, link: "Link", incarnation: IncarnationId) -> None:
        """Handle the peer's hello, which names its incarnation."""

    def handle_control(
        self, sender: IncarnationId, recipient: IncarnationId, message: ControlMessage
    ) -> None:
        """Handle a control message."""

    def handle_request(self, stream: PeerStream, head: Any) -> None:
        """Serve a request that the peer opened."""

    def handle_unresponsive(self, link: "Link") -> None:
        """Stop sending requests on a link whose peer is unresponsive."""

    def handle_go_away(self, link: "Link") -> None:
        """Stop sending requests on a link that its peer wants to end."""

    def handle_closed(self, link: "Link") -> None:
        """Remove a closed link."""


class Link(asyncio.Protocol):
    """One connection and its streams.

    Streams opened by this node have odd ids if it opened the connection, even ids
    otherwise.

    Attributes:
        address: Address on which the peer listens; ``None`` until it is known.
        opener: Whether this node opened the connection.
        retired: Whether another link to the peer has replaced this one.
        hello_received_s: Event loop time of the peer's first hello.
        unresponsive: Whether the peer has failed to answer a liveness probe.
        hold: Requests of the peer that are not handed on yet.
        ending: Decides when a connection that is no longer wanted is ended.
    """

    def __init__(self, *, owner: LinkOwner, address: PeerAddress | None) -> None:
        self.limits = owner.limits
        self.address = address
        self.opener = address is not None
        self.retired = False
        self.closed = False
        self.unresponsive = False
        self.hold = RequestHold(ask=self.send_probe, hand_on=self._hand_on)
        self.streams: dict[int, PeerStream] = {}
        self.hello_received_s = float("inf")
        self.last_used_s = 0.0
        self.ending = LinkEnding(link=self)
        self._owner = owner
        self._probe = PeerProbe(link=self)
        self._reader = FrameReader()
        self._next_id = 1 if self.opener else 2
        self._transport: Any = None
        self._loop = asyncio.get_running_loop()
        self._priority: collections.deque[bytes] = collections.deque()
        self._ready: collections.deque[PeerStream] = collections.deque()
        self._flush_scheduled = False
        self._paused = False
        self._write_ended = False
        self._late_logged_s = -math.inf
        self._handlers: tuple[tuple[str, Callable[[Any], None]], ...] = (
            ("request", self._handle_request),
            ("response", self._handle_response),
            ("body", self._handle_body),
            ("window", self._handle_window),
            ("failure", self._handle_failure),
            ("cancel", self._handle_cancel),
            ("control", self._handle_control),
            ("hello", self._handle_hello),
            ("go_away", self._handle_go_away),
        )

    def connection_made(self, transport: Any) -> None:
        """Send this node's hello."""
        self._transport = transport
        transport.set_write_buffer_limits(high=FLUSH_BYTES, low=WRITE_LOW_BYTES)
        self.last_used_s = self._loop.time()
        self._probe.note_received(self.last_used_s)
        self._send_hello(reply_wanted=True)

    def data_received(self, data: bytes) -> None:
        """Handle all complete frames."""
        self._probe.note_received(self._loop.time())
        self.unresponsive = False
        try:
            for frame in self._reader.feed(data):
                self._dispatch(frame)
        except WireError as error:
            self._owner.metrics.count("peer_frames_refused", "malformed")
            self.abort(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all streams."""
        self.closed = True
        self._fail_streams(str(exc) if exc else "the peer closed the connection")
        self._owner.handle_closed(self)

    def pause_writing(self) -> None:
        """Stop writing frames while the transport's buffer is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """Resume writing queued frames."""
        self._paused = False
        self._schedule_flush()

    def open_stream(self) -> PeerStream:
        """Open a stream for an outgoing request."""
        stream = PeerStream(link=self, stream_id=self._next_id)
        self._next_id += 2
        self.streams[stream.stream_id] = stream
        self.last_used_s = self._loop.time()
        self._probe.note_request(self.last_used_s)
        return stream

    def drop_stream(self, stream: PeerStream) -> None:
        """Remove a stream that has ended."""
        self.streams.pop(stream.stream_id, None)
        self.ending.check()

    def mark_ready(self, stream: PeerStream) -> None:
        """Schedule a stream that has queued frames."""
        self._ready.append(stream)
        self._schedule_flush()

    def send_priority(self, frame: Any) -> None:
        """Queue a frame ahead of all stream frames."""
        if not self.closed:
            self._priority.append(encode_frame(frame))
            self._schedule_flush()

    def send_control(self, frame: Any) -> None:
        """Queue a control frame, or drop it if the queue is full."""
        if len(self._priority) >= self.limits.max_queued_control_messages:
            self._owner.metrics.count("control_dropped", "queue-full")
            return
        self.last_used_s = self._loop.time()
        self.send_priority(frame)

    def check_liveness(self, now: float) -> None:
        """Probe a silent peer, and mark it unresponsive if it does not answer.

        An unresponsive peer may still be running its requests, so the connection stays
        open for their responses.
        """
        if self.streams:
            self._probe.check(now)

    @property
    def owes_answers(self) -> bool:
        """Whether the peer owes answers and is not known to be unresponsive."""
        is_owed = any(map(self._is_local, self.streams.values()))
        return is_owed and not self.closed and not self.unresponsive

    def send_probe(self) -> None:
        """Send a hello that the peer answers."""
        self._send_hello(reply_wanted=True)

    def mark_unresponsive(self) -> None:
        """End streams at their deadlines, and let requests be retried elsewhere."""
        if not self.unresponsive:
            self.unresponsive = True
            self._owner.metrics.count("peer_links_silent")
            self._log_link_event(
                Event.PEER_SILENT, "the peer is unresponsive", len(self.streams)
            )
            self._owner.handle_unresponsive(self)
            for stream in self.streams.values():
                if math.isfinite(stream.deadline_s):
                    self._loop.call_at(stream.deadline_s, self._expire_stream, stream)
        for stream in list(self.streams.values()):
            if self._is_local(stream):
                stream.handle_unresponsive("the peer is unresponsive")

    def _expire_stream(self, stream: PeerStream) -> None:
        """End a stream of an unresponsive peer at its deadline."""
        if not self.unresponsive or self.streams.get(stream.stream_id) is not stream:
            return
        if self._is_local(stream):
            stream.fail_lost("the peer is unresponsive")
        else:
            stream.abandon("the peer is unresponsive")
            self._tell_abandoned(stream)

    def _tell_abandoned(self, stream: PeerStream) -> None:
        """Tell the peer that no more of a response comes, once it reads again."""
        failure = schema.Failure(
            kind=ErrorKind.UPSTREAM_TIMEOUT.value,
            detail="the request was given up at its deadline",
        )
        self.send_priority(schema.Frame(stream=stream.stream_id, failure=failure))

    def _is_local(self, stream: PeerStream) -> bool:
        """Return whether this node opened a stream."""
        return stream.stream_id % 2 == self._next_id % 2

    @property
    def has_unsent(self) -> bool:
        """Whether frames are queued or bytes are left in the write buffer."""
        if self.closed or not self._can_write():
            return False
        return bool(
            self._priority or self._ready or self._transport.get_write_buffer_size()
        )

    @property
    def is_connected(self) -> bool:
        """Whether the connection has been opened, even if it is closed by now."""
        return self._transport is not None

    def send_go_away(self) -> None:
        """Ask the peer to end the connection."""
        frame = schema.Frame(stream=CONTROL_STREAM, go_away=schema.GoAway())
        self.send_priority(frame)

    @property
    def pending_count(self) -> int:
        """Number of streams that are neither answered nor received whole."""
        return sum(not stream.is_received for stream in self.streams.values())

    def close_in_order(self) -> None:
        """End writing, and close once the peer has read all of it and closes too.

        The system discards what it has not sent yet if bytes of the peer arrive at a
        closed socket, so the link reads on. It handles no more requests.
        """
        if self._write_ended or self._transport is None:
            return
        self._write_ended = True
        self._transport.write_eof()
        self._loop.call_later(CLOSE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Close once the write buffer has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self, detail: str) -> None:
        """Close immediately and fail all streams, as after a lost connection."""
        self._fail_streams(detail)
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail_streams(self, detail: str) -> None:
        """Fail all streams because the connection is lost.

        An event is logged if any of them needs the connection.
        """
        if self.pending_count:
            self._log_link_event(Event.PEER_LINK_LOST, detail, self.pending_count)
        for stream in list(self.streams.values()):
            stream.fail_lost(detail)
        self.streams.clear()
        self.hold.clear()

    def _log_link_event(self, event: Event, detail: str, stream_count: int) -> None:
        """Log an event with the time since the peer's last bytes."""
        silence_s = self._loop.time() - self._probe.last_received_s
        log_event(
            _logger,
            event,
            level=logging.WARNING,
            peer=self.address or "",
            detail=detail,
            streams=stream_count,
            silent_ms=to_ms(silence_s),
            retired=self.retired,
        )

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled and not self._paused:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Write queued control frames, then one frame of each stream in turn."""
        self._flush_scheduled = False
        if self._paused or self.closed or not self._can_write():
            return
        parts = []
        size = 0
        while size < FLUSH_BYTES:
            part = self._next_frame()
            if part is None:
                break
            parts.append(part)
            size += len(part)
        if parts:
            self._transport.write(b"".join(parts))
        if self._priority or self._ready:
            self._schedule_flush()

    def _can_write(self) -> bool:
        """Return whether the connection still accepts bytes.

        Frames queued on a closing connection stay unwritten, so that their requests
        count as not sent.
        """
        if self._transport is None or self._write_ended:
            return False
        return not self._transport.is_closing()

    def _next_frame(self) -> bytes | None:
        if self._priority:
            return self._priority.popleft()
        while self._ready:
            stream = self._ready.popleft()
            if not stream.has_frames:
                continue
            part = stream.take_frame()
            if stream.has_frames:
                self._ready.append(stream)
            return part
        return None

    def _dispatch(self, frame: Any) -> None:
        if self._write_ended and frame.control is None:
            return
        for name, handler in self._handlers:
            if getattr(frame, name) is not None:
                handler(frame)

    def _handle_hello(self, frame: Any) -> None:
        hello = frame.hello
        if not hello.incarnation:
            raise WireError("hello has no incarnation")
        is_first = math.isinf(self.hello_received_s)
        self.hello_received_s = min(self.hello_received_s, self._loop.time())
        self.hold.measure(hello.sent_us)
        if hello.reply_wanted:
            self._send_hello(reply_wanted=False)
        self._owner.handle_hello(self, hello.incarnation)
        if not is_first and not hello.reply_wanted:
            self.hold.handle_answer(hello.sent_us)

    def _handle_go_away(self, frame: Any) -> None:
        self._owner.handle_go_away(self)
        self.ending.handle_go_away()

    def _handle_control(self, frame: Any) -> None:
        self.last_used_s = self._loop.time()
        self._owner.handle_control(*decode_control(frame))

    def _handle_request(self, frame: Any) -> None:
        stream_id = frame.stream
        if stream_id in self.streams or stream_id % 2 == self._next_id % 2:
            raise WireError(
                f"peer may not open stream {stream_id}: id in use or reserved"
            )
        stream = PeerStream(link=self, stream_id=stream_id)
        self.streams[stream_id] = stream
        self.last_used_s = self._loop.time()
        self.hold.add(stream, frame.request)

    def _hand_on(self, stream: PeerStream, head: Any) -> None:
        """Serve a request unless it was cancelled while it was held."""
        if self.streams.get(stream.stream_id) is not stream:
            self._owner.metrics.count("peer_requests_withdrawn")
            return
        self._subtract_delay(stream, head)
        self._owner.handle_request(stream, head)

    def _subtract_delay(self, stream: PeerStream, head: Any) -> None:
        """Subtract a request's delivery delay from its remaining time."""
        delay_us = self.hold.measure(head.sent_us)
        head.deadline_us = (head.deadline_us or 0) - delay_us
        if head.target_us is not None:
            head.target_us -= delay_us
        stream.delay_s = delay_us / US_PER_S
        if stream.delay_s >= LATE_S:
            self._report_late(stream)

    def _report_late(self, stream: PeerStream) -> None:
        """Count a late request, and log one of them per interval."""
        self._owner.metrics.count("peer_requests_late")
        now = self._loop.time()
        if now < self._late_logged_s + LATE_LOG_INTERVAL_S:
            return
        self._late_logged_s = now
        log_event(
            _logger,
            Event.REQUESTS_LATE,
            level=logging.WARNING,
            peer=self.address or "",
            delay_ms=to_ms(stream.delay_s),
            streams=len(self.streams),
        )

    def _handle_response(self, frame: Any) -> None:
        stream = self.streams.get(frame.stream)
        if stream is not None:
            stream.receive_response(frame.response)

    def _handle_body(self, frame: Any) -> None:
        stream = self.streams.get(frame.stream)
        if stream is not None:
            stream.receive_body(frame.body)
            self.ending.check()

    def _handle_window(self, frame: Any) -> None:
        stream = self.streams.get(frame.stream)
        if stream is not None:
            stream.add_credit(max(frame.window.bytes or 0, 0))

    def _handle_failure(self, frame: Any) -> None:
        stream = self.streams.get(frame.stream)
        if stream is not None:
            stream.receive_failure(frame.failure)

    def _handle_cancel(self, frame: Any) -> None:
        stream = self.streams.pop(frame.stream, None)
        if stream is not None:
            stream.abandon(frame.cancel.reason or "")

    def _send_hello(self, *, reply_wanted: bool) -> None:
        if reply_wanted:
            self.hold.note_question()
        hello = schema.Hello(
            incarnation=self._owner.incarnation,
            protocol=PROTOCOL_VERSION,
            reply_wanted=reply_wanted,
            sent_us=int(self._loop.time() * US_PER_S),
        )
        self.send_priority(schema.Frame(stream=CONTROL_STREAM, hello=hello))
