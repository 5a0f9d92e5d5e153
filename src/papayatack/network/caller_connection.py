"""HTTP/1.1 connection from one caller."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

import h11

from papayatack.core.byte_budget import ByteBudget
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.pipeline import Obstacle, Pipeline, PipelineLimits
from papayatack.network.arrivals import ArrivalCheck
from papayatack.network.bodies import ExpectContinueBody, IncompleteBodyError
from papayatack.network.caller_exchange import CallerExchange
from papayatack.network.connection_admission import Admission, Rest
from papayatack.network.connection_ends import ConnectionEnd
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import Request, Response, find_header
from papayatack.network.hangups import HangupWatch
from papayatack.network.held_bodies import HeldBody
from papayatack.network.limits import CallerLimits
from papayatack.network.read_pauses import ReadPause
from papayatack.network.request_handling import Handler, call_handler
from papayatack.network.request_reader import MAX_EVENTS_PER_TURN, RequestReader
from papayatack.network.response_writer import ResponseWriter
from papayatack.network.start_limiter import StartLimiter
from papayatack.observability.events import Event
from papayatack.observability.metrics import Metrics

__all__ = ["MAX_EVENTS_PER_TURN", "CallerConnection", "CallerOwner", "Handler"]


class CallerOwner(Protocol):
    """Interface of the server that a connection uses."""

    limits: CallerLimits
    metrics: Metrics
    draining: bool
    handler: Handler
    is_repeatable: Callable[[Request], bool]
    hangups: HangupWatch
    arrivals: ArrivalCheck
    starts: StartLimiter
    budget: ByteBudget
    ahead: int

    @property
    def has_room_ahead(self) -> bool:
        """Whether one more request may be started ahead of its turn."""

    def add_connection(self, connection: "CallerConnection") -> Admission:
        """Register an open connection, and decide what becomes of it."""

    def drop_connection(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""


class CallerConnection(asyncio.Protocol):
    """Has requests handled, side by side if they allow it, and answers in order."""

    __slots__ = (
        "_deadline_kind",
        "_deadline_s",
        "_end",
        "_exchanges",
        "_has_served",
        "_idle_since_s",
        "_loop",
        "_obstacle",
        "_owner",
        "_pause",
        "_pipeline",
        "_reader",
        "_transport",
        "_writer",
    )

    _transport: Any
    _end: ConnectionEnd
    _pause: ReadPause
    _reader: RequestReader
    _writer: ResponseWriter

    def __init__(self, *, owner: CallerOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._exchanges: list[CallerExchange] = []
        self._pipeline = Pipeline(budget=owner.budget)
        self._obstacle: Obstacle | None = None
        self._deadline_s: float | None = None
        self._deadline_kind: ErrorKind | None = None
        self._idle_since_s = 0.0
        self._has_served = False

    @property
    def busy(self) -> bool:
        """Whether a request is in flight."""
        return bool(self._exchanges)

    @property
    def _read_paused(self) -> bool:
        return self._pause.active

    def connection_made(self, transport: Any) -> None:
        """Accept the connection, or reject it if there are too many."""
        self._transport = transport
        self._pause = ReadPause(transport=transport, hangups=self._owner.hangups)
        self._end = ConnectionEnd(transport=transport, pause=self._pause)
        self._writer = ResponseWriter(transport=transport)
        self._reader = RequestReader(
            sink=self,
            transport=transport,
            pause=self._pause,
            limits=self._owner.limits,
            budget=self._owner.budget,
        )
        self._start_idle()
        match self._owner.add_connection(self):
            case Admission.REJECTED:
                detail = "too many open connections"
                self.reject(self._reader.parser, ErrorKind.CONNECTION_LIMIT, detail)
            case Admission.CLOSED:
                self._end.reset()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        reader = self._reader
        if reader.discarding:
            return
        now = self._loop.time()
        has_rest = reader.has_rest
        if not has_rest and not self._exchanges:
            if reader.limits is not self._owner.limits:
                reader.adopt_limits(self._owner.limits)
            self._deadline_s = now + reader.limits.header_timeout_s
            self._deadline_kind = ErrorKind.SLOW_CALLER
        reader.receive(data, now, has_rest=has_rest)

    def eof_received(self) -> bool:
        """Treat the caller's EOF as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in flight."""
        self._pause.unwatch()
        self._owner.drop_connection(self)
        detail = str(exc) if exc else "the caller disconnected"
        for exchange in self._exchanges:
            if exchange.task is not None and not self._end.begun:
                self._note_left(exchange, detail)
            self._cancel(exchange)

    def _note_left(self, exchange: CallerExchange, detail: str) -> None:
        """Count a request whose caller has left, and log a response under way."""
        self._owner.metrics.count("requests_cancelled", "caller-left")
        if exchange.response is not None:
            self._end.log_cut(
                exchange,
                event=Event.ANSWER_CUT,
                reason="caller-left",
                detail=detail,
                level=logging.INFO,
            )

    def pause_writing(self) -> None:
        """Pause the response while the write buffer is full.

        A caller that reads too slowly is treated as disconnected: the connection is
        reset if the buffer does not drain within the write timeout.
        """
        timeout_s = self._reader.limits.write_timeout_s
        self._writer.pause(self._loop.time() + timeout_s)

    def resume_writing(self) -> None:
        """Resume the response."""
        self._writer.resume()

    @property
    def _is_idle(self) -> bool:
        """Whether the connection waits for the first byte of a request."""
        has_deadline = self._deadline_s is not None
        return has_deadline and self._deadline_kind is None and not self._exchanges

    def check_deadline(self, now: float) -> None:
        """Close the connection or fail the request if its deadline has passed.

        The limits of the server may have changed since the connection became idle.
        """
        if self._writer.deadline_s is not None and now >= self._writer.deadline_s:
            self._cut_slow_reader()
            return
        if self._is_idle:
            self._deadline_s = self._idle_since_s + self._owner.limits.idle_timeout_s
        if self._deadline_s is None or now < self._deadline_s:
            return
        kind = self._deadline_kind
        self._deadline_s = None
        if kind is None:
            self._end.close()
        elif self._exchanges and self._exchanges[-1].body is not None:
            self._exchanges[-1].body.fail(
                kind=kind, detail="timed out while reading the request body"
            )
        else:
            detail = "timed out while reading the request header"
            self.reject(self._reader.parser, kind, detail)

    def _cut_slow_reader(self) -> None:
        self._writer.deadline_s = None
        self._owner.metrics.count("caller_connections_cut", "slow-reader")
        for exchange in self._exchanges[:1]:
            self._end.log_cut(
                exchange,
                event=Event.ANSWER_CUT,
                reason="slow-reader",
                detail="the caller reads too slowly",
                level=logging.WARNING,
            )
        self._end.reset()

    @property
    def rest(self) -> Rest | None:
        """How long it has waited for a request; ``None`` with one in flight."""
        if self._exchanges or self._end.begun:
            return None
        return Rest(has_served=self._has_served, since_s=self._idle_since_s)

    def close_at_rest(self) -> None:
        """Close a connection without a request in flight, to make room for another."""
        self._owner.metrics.count("caller_connections_cut", "limit")
        self._end.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight, for a graceful shutdown."""
        if not self._exchanges:
            self._end.close()

    def close_now(self) -> None:
        """Close immediately.

        With a request in flight the connection is reset, so that the caller can't take
        a missing or partial response for a complete one.
        """
        if not self.busy or self._end.begun:
            self._end.close()
            return
        self._owner.metrics.count("caller_connections_cut", "stop")
        for exchange in self._exchanges:
            if exchange.task is not None:
                self._end.log_cut(
                    exchange,
                    event=Event.CONNECTION_CUT,
                    reason="stop",
                    detail="the node stops",
                    level=logging.ERROR,
                )
        self._end.reset()

    def may_read_ahead(self) -> bool:
        """Return whether a request may be read while others are in flight."""
        limits = self._reader.limits
        obstacle = self._pipeline.find_obstacle(
            PipelineLimits(
                requests=limits.pipelined_requests, held_bytes=limits.pipelined_bytes
            ),
            last_runs_beside=self._runs_last_beside,
            has_node_room=self._owner.has_room_ahead,
            is_draining=self._owner.draining,
        )
        if obstacle is not None and self._obstacle is None:
            self._owner.metrics.count("pipelined_requests", obstacle.value)
        self._obstacle = obstacle
        return obstacle is None

    def _runs_last_beside(self) -> bool:
        return self._exchanges[-1].runs_beside(self._owner.is_repeatable)

    def take_request(self, exchange: CallerExchange) -> bool:
        """Take a request whose head was read; return whether it starts now."""
        is_first = not self._exchanges
        if not is_first and (self._owner.draining or self._pipeline.is_ended):
            self._reader.discarding = True  # it counts as not read
            return False
        starts = self._pipeline.add(
            runs_beside=is_first or exchange.runs_beside(self._owner.is_repeatable)
        )
        self._exchanges.append(exchange)
        if not starts:
            self._owner.metrics.count("pipelined_requests", Obstacle.ALONE.value)
            return False
        if not is_first:
            exchange.is_ahead = True
            self._owner.ahead += 1
            self._owner.metrics.count("pipelined_requests", "ahead")
        self._start(exchange)
        return True

    def _start(self, exchange: CallerExchange) -> None:
        """Have a request handled."""
        self._check_arrival()
        if exchange.parser.they_are_waiting_for_100_continue:
            self._ask_on_read(exchange)
        exchange.task = self._loop.create_task(self._serve(exchange))

    def _ask_on_read(self, exchange: CallerExchange) -> None:
        """Ask for a body whose sender waits for that once the handler reads it."""
        request = exchange.request
        assert request is not None
        request.body = ExpectContinueBody(
            body=request.body, send=lambda: self._writer.send_continue(exchange)
        )

    def expect_body(self, *, expected: bool) -> None:
        """Start or stop the timeout for the next bytes of a request body."""
        if expected:
            self._set_deadline(
                self._reader.limits.body_timeout_s, ErrorKind.SLOW_CALLER
            )
        else:
            self._deadline_s = None

    def _check_arrival(self) -> None:
        """Have it checked whether the caller has hung up behind its request."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            self._owner.arrivals.add(sock.fileno(), self._leave_at_once)

    def _leave_at_once(self) -> None:
        """End requests that no task has begun to serve, as the caller has hung up."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._transport.abort()

    def reject(self, parser: h11.Connection, kind: ErrorKind, detail: str) -> None:
        """Send an error response that belongs to no parsed request, then close.

        The requests before it get their responses first.
        """
        self._owner.metrics.count("requests_refused", kind.value)
        self._reader.discarding = True
        self._deadline_s = None
        self._pipeline.end_reading()
        exchange = CallerExchange(
            parser=parser,
            arrived_s=self._loop.time(),
            refusal=Refusal(kind=kind, detail=detail),
        )
        self._exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._send_rejection(exchange))

    async def _send_rejection(self, exchange: CallerExchange) -> None:
        assert exchange.refusal is not None
        if self._exchanges[0] is not exchange:
            await exchange.turn
        try:
            response = build_error_response(exchange.refusal)
            await self._writer.send(exchange, response, closes=True)
        finally:
            await self._close_lingering()

    async def _serve(self, exchange: CallerExchange) -> None:
        """Respond to one request, then continue with the next or close."""
        try:
            if exchange.refusal is None:
                await self._owner.starts.wait()
                response = await call_handler(self._owner.handler, exchange)
            else:
                response = self._refuse(exchange.refusal)
            exchange.response = response
            try:
                if self._exchanges[0] is not exchange:
                    await self._wait_turn(exchange, response)
                closes = self._must_close(exchange)
                if self._reader.parser is not exchange.parser:
                    self._end_behind(exchange, response, closes=closes)
                await self._writer.send(exchange, response, closes=closes)
            finally:
                response.body.close()
        except IncompleteBodyError as error:
            self._cut_answer(exchange, error.kind.value, error.detail)
            return
        except h11.LocalProtocolError as error:
            self._cut_answer(exchange, "invalid-answer", str(error))
            return
        exchange.response = None
        if exchange.body is not None:
            exchange.body.close()
        await self._finish(exchange)

    def _refuse(self, refusal: Refusal) -> Response:
        """Return the response to a request that no handler sees."""
        self._reader.discarding = True
        self._owner.metrics.count("requests_refused", refusal.kind.value)
        return build_error_response(refusal)

    async def _wait_turn(self, exchange: CallerExchange, response: Response) -> None:
        """Wait until all earlier responses are written, and read ahead meanwhile."""
        if exchange.head_only:
            await exchange.turn
            return
        held = HeldBody(
            body=response.body,
            pipeline=self._pipeline,
            max_bytes=self._reader.limits.pipelined_bytes,
        )
        response.body = held
        await held.hold(exchange.turn)

    def _end_behind(
        self, exchange: CallerExchange, response: Response, *, closes: bool
    ) -> None:
        """End what was read behind a response that closes the connection."""
        if closes or _says_close(response):
            self._pipeline.end_reading()
            self._cancel_behind(exchange)

    def _must_close(self, exchange: CallerExchange) -> bool:
        """Return whether the rest of a request won't be read, or nothing behind it."""
        parser = exchange.parser
        return (
            self._is_ending
            or parser.they_are_waiting_for_100_continue
            or parser.their_state is h11.ERROR
        )

    @property
    def _is_ending(self) -> bool:
        """Whether the connection ends with the first response.

        It does if nothing more will be read, and nothing behind it has started.
        """
        if not self._owner.draining and not self._reader.discarding:
            return False
        behind = self._exchanges[1:2]
        return not behind or behind[0].task is None

    def _cut_answer(self, exchange: CallerExchange, reason: str, detail: str) -> None:
        """Reset the connection, as the rest of the response is not available."""
        self._owner.metrics.count("answers_cut", reason)
        self._end.log_cut(
            exchange,
            event=Event.ANSWER_CUT,
            reason=reason,
            detail=detail,
            level=logging.WARNING,
        )
        self._cancel_behind(exchange)
        self._end.reset()

    def _cancel_behind(self, exchange: CallerExchange) -> None:
        """Cancel the requests behind one; they count as not read.

        Those that have started may run twice, as the caller sends them again.
        """
        while self._exchanges[-1] is not exchange:
            behind = self._exchanges.pop()
            if behind.task is not None and behind.request is not None:
                self._owner.metrics.count("pipelined_requests", "cancelled")
            self._cancel(behind)

    def _cancel(self, exchange: CallerExchange) -> None:
        """Cancel a request, and have its body end with an error."""
        self._end_ahead(exchange)
        if exchange.body is not None:
            exchange.body.fail(
                kind=ErrorKind.CALLER_LEFT, detail="the caller disconnected"
            )
            exchange.body.close()
        if exchange.task is not None:
            exchange.task.cancel()

    def _end_ahead(self, exchange: CallerExchange) -> None:
        """Note that a request is no longer in flight ahead of its turn."""
        if exchange.is_ahead:
            exchange.is_ahead = False
            self._owner.ahead -= 1

    async def _finish(self, exchange: CallerExchange) -> None:
        """Continue with the connection's next request, or close it."""
        state = exchange.parser
        is_whole = state.our_state is h11.DONE and state.their_state is h11.DONE
        if not is_whole or self._is_ending:
            self._cancel_behind(exchange)
            await self._close_lingering()
            return
        self._exchanges.pop(0)
        self._has_served = True
        starts_next = self._pipeline.end_first()
        if self._exchanges:
            self._begin_turn(self._exchanges[0], starts=starts_next)
            self._reader.go_on()
        else:
            self._begin_next(exchange)

    def _begin_next(self, last: CallerExchange) -> None:
        """Go on with what has been read of the next request, or wait for one."""
        self._obstacle = None
        self._reader.begin_next(last, self._owner.limits)
        self._start_idle()
        if not self._reader.has_rest:
            if self._pause.active:
                self._pause.end()
            return
        self._set_deadline(self._reader.limits.header_timeout_s, ErrorKind.SLOW_CALLER)
        self._reader.go_on()

    def _begin_turn(self, exchange: CallerExchange, *, starts: bool) -> None:
        """Let the next response be written; start its request if it waited for that."""
        self._end_ahead(exchange)
        if starts:
            self._reader.begin_held()
            self._start(exchange)
        else:
            exchange.give_turn()

    def _start_idle(self) -> None:
        """Wait for the next request, at most for the idle timeout."""
        now = self._loop.time()
        self._idle_since_s = now
        self._deadline_s = now + self._reader.limits.idle_timeout_s
        self._deadline_kind = None

    async def _close_lingering(self) -> None:
        """Close once the caller has had time to read the response."""
        self._reader.discarding = True
        self._deadline_s = None
        is_read_whole = self._reader.parser.their_state is h11.DONE
        await self._end.linger(is_read_whole=is_read_whole)

    def _set_deadline(self, delay_s: float, kind: ErrorKind | None) -> None:
        self._deadline_s = self._loop.time() + delay_s
        self._deadline_kind = kind


def _says_close(response: Response) -> bool:
    """Return whether a response says itself that the connection will be closed."""
    value = find_header(response.headers, b"connection")
    return value is not None and b"close" in value.lower()
