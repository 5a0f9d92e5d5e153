"""HTTP/1.1 connection from one caller."""

import asyncio
import logging
from typing import Any, Protocol

import h11

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.arrivals import ArrivalCheck
from papayatack.network.bodies import ExpectContinueBody, IncompleteBodyError
from papayatack.network.caller_deadline import CallerDeadline
from papayatack.network.caller_exchange import CallerExchange
from papayatack.network.connection_admission import Admission, Rest
from papayatack.network.connection_ends import ConnectionEnd
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchange_queue import ExchangeQueue, QueueOwner
from papayatack.network.exchanges import Response, find_header
from papayatack.network.hangups import HangupWatch
from papayatack.network.limits import CallerLimits
from papayatack.network.read_pauses import ReadPause
from papayatack.network.request_handling import Handler, call_handler
from papayatack.network.request_reader import MAX_EVENTS_PER_TURN, RequestReader
from papayatack.network.response_writer import ResponseWriter
from papayatack.network.start_limiter import StartLimiter
from papayatack.observability.events import Event

__all__ = ["MAX_EVENTS_PER_TURN", "CallerConnection", "CallerOwner", "Handler"]


class CallerOwner(QueueOwner, Protocol):
    """Interface of the server that a connection uses."""

    limits: CallerLimits
    handler: Handler
    hangups: HangupWatch
    arrivals: ArrivalCheck
    starts: StartLimiter

    def add_connection(self, connection: "CallerConnection") -> Admission:
        """Register an open connection, and decide what becomes of it."""

    def drop_connection(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""


class CallerConnection(asyncio.Protocol):
    """Has requests handled, side by side if they allow it, and answers in order."""

    __slots__ = (
        "_deadline",
        "_end",
        "_has_served",
        "_loop",
        "_owner",
        "_pause",
        "_queue",
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
        self._queue = ExchangeQueue(owner=owner)
        self._deadline = CallerDeadline()
        self._has_served = False

    @property
    def busy(self) -> bool:
        """Whether a request is in flight."""
        return bool(self._queue)

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
                self.reject(ErrorKind.CONNECTION_LIMIT, detail)
            case Admission.CLOSED:
                self._end.reset()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        reader = self._reader
        if reader.discarding:
            return
        now = self._loop.time()
        has_rest = reader.has_rest
        if not has_rest and not self._queue:
            if reader.limits is not self._owner.limits:
                reader.adopt_limits(self._owner.limits)
            due_s = now + reader.limits.header_timeout_s
            self._deadline.start(due_s, ErrorKind.SLOW_CALLER)
        reader.receive(data, now, has_rest=has_rest)

    def eof_received(self) -> bool:
        """Treat the caller's EOF as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in flight."""
        self._pause.unwatch()
        self._owner.drop_connection(self)
        detail = str(exc) if exc else "the caller disconnected"
        for exchange in self._queue:
            if exchange.task is not None and not self._end.begun:
                self._note_left(exchange, detail)
            self._queue.cancel(exchange)

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

    def check_deadline(self, now: float) -> None:
        """Close the connection or fail the request if its deadline has passed.

        The limits of the server may have changed since the connection became idle.
        """
        if self._writer.deadline_s is not None and now >= self._writer.deadline_s:
            self._cut_slow_reader()
            return
        if self._deadline.is_idle and not self._queue:
            self._deadline.set_idle_timeout(self._owner.limits.idle_timeout_s)
        if not self._deadline.has_passed(now):
            return
        self._deadline.clear()
        kind = self._deadline.kind
        if kind is None:
            self._end.close()
        elif self._queue and self._queue.last.body is not None:
            self._queue.last.body.fail(
                kind=kind, detail="timed out while reading the request body"
            )
        else:
            detail = "timed out while reading the request header"
            self.reject(kind, detail)

    def _cut_slow_reader(self) -> None:
        self._writer.deadline_s = None
        self._owner.metrics.count("caller_connections_cut", "slow-reader")
        if self._queue:
            self._end.log_cut(
                self._queue.first,
                event=Event.ANSWER_CUT,
                reason="slow-reader",
                detail="the caller reads too slowly",
                level=logging.WARNING,
            )
        self._end.reset()

    @property
    def rest(self) -> Rest | None:
        """How long it has waited for a request; ``None`` with one in flight."""
        if self._queue or self._end.begun:
            return None
        since_s = self._deadline.idle_since_s
        return Rest(has_served=self._has_served, since_s=since_s)

    def close_at_rest(self) -> None:
        """Close a connection without a request in flight, to make room for another."""
        self._owner.metrics.count("caller_connections_cut", "limit")
        self._end.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight, for a graceful shutdown."""
        if not self._queue:
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
        for exchange in self._queue:
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
        return self._queue.may_read_ahead(self._reader.limits)

    def take_request(self, exchange: CallerExchange) -> bool:
        """Take a request whose head was read; return whether it starts now."""
        if self._queue.is_ended:
            self._reader.discarding = True  # it counts as not read
            return False
        starts = self._queue.add(exchange)
        if starts:
            self._start(exchange)
        return starts

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
            self._expect_bytes(self._reader.limits.body_timeout_s)
        else:
            self._deadline.clear()

    def _check_arrival(self) -> None:
        """Have it checked whether the caller has hung up behind its request."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            self._owner.arrivals.add(sock.fileno(), self._leave_at_once)

    def _leave_at_once(self) -> None:
        """End requests that no task has begun to serve, as the caller has hung up."""
        for exchange in self._queue:
            if exchange.task is not None:
                exchange.task.cancel()
        self._transport.abort()

    def reject(self, kind: ErrorKind, detail: str) -> None:
        """Send an error response that belongs to no parsed request, then close.

        The requests before it get their responses first.
        """
        self._owner.metrics.count("requests_refused", kind.value)
        self._reader.discard_all()
        self._deadline.clear()
        exchange = CallerExchange(
            parser=self._reader.parser,
            arrived_s=self._loop.time(),
            refusal=Refusal(kind=kind, detail=detail),
        )
        self._queue.add_rejected(exchange)
        exchange.task = self._loop.create_task(self._send_rejection(exchange))

    async def _send_rejection(self, exchange: CallerExchange) -> None:
        assert exchange.refusal is not None
        if self._queue.first is not exchange:
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
                if self._queue.first is not exchange:
                    await self._queue.wait_turn(exchange, response, self._reader.limits)
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

    def _end_behind(
        self, exchange: CallerExchange, response: Response, *, closes: bool
    ) -> None:
        """End what was read behind a response that closes the connection."""
        if closes or _says_close(response):
            self._queue.end_behind(exchange)

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
        return not self._queue.is_behind_started

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
        self._queue.cancel_behind(exchange)
        self._end.reset()

    async def _finish(self, exchange: CallerExchange) -> None:
        """Continue with the connection's next request, or close it."""
        state = exchange.parser
        is_whole = state.our_state is h11.DONE and state.their_state is h11.DONE
        if not is_whole or self._is_ending:
            exchange.request = None  # its fields would stay in memory until the end
            self._queue.cancel_behind(exchange)
            await self._close_lingering()
            return
        self._has_served = True
        starts_next = self._queue.end_first()
        if self._queue:
            self._begin_turn(self._queue.first, starts=starts_next)
            self._reader.go_on()
        else:
            self._begin_next(exchange)

    def _begin_next(self, last: CallerExchange) -> None:
        """Go on with what has been read of the next request, or wait for one."""
        self._reader.begin_next(last, self._owner.limits)
        self._start_idle()
        if not self._reader.has_rest:
            if self._pause.active:
                self._pause.end()
            return
        self._expect_bytes(self._reader.limits.header_timeout_s)
        self._reader.go_on()

    def _begin_turn(self, exchange: CallerExchange, *, starts: bool) -> None:
        """Let the next response be written; start its request if it waited for that."""
        if starts:
            self._reader.begin_held()
            self._start(exchange)
        else:
            exchange.give_turn()

    def _start_idle(self) -> None:
        """Wait for the next request, at most for the idle timeout."""
        now = self._loop.time()
        self._deadline.start_idle(now, self._reader.limits.idle_timeout_s)

    async def _close_lingering(self) -> None:
        """Close once the caller has had time to read the response."""
        is_read_whole = self._reader.parser.their_state is h11.DONE
        self._reader.discard_all()
        self._deadline.clear()
        await self._end.linger(is_read_whole=is_read_whole)

    def _expect_bytes(self, timeout_s: float) -> None:
        """Wait for the rest of a request."""
        self._deadline.start(self._loop.time() + timeout_s, ErrorKind.SLOW_CALLER)


def _says_close(response: Response) -> bool:
    """Return whether a response says itself that the connection will be closed."""
    value = find_header(response.headers, b"connection")
    return value is not None and b"close" in value.lower()
