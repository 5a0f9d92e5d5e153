"""Requests of one connection, in the order in which they are answered."""

from collections.abc import Callable, Iterator
from typing import Protocol

from papayatack.core.byte_budget import ByteBudget
from papayatack.core.errors import ErrorKind
from papayatack.core.pipeline import Obstacle, Pipeline, PipelineLimits
from papayatack.network.caller_exchange import CallerExchange
from papayatack.network.exchanges import Request, Response
from papayatack.network.held_bodies import HeldBody
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics

__all__ = ["ExchangeQueue", "QueueOwner"]


class QueueOwner(Protocol):
    """Interface of the server that the queues of its connections use."""

    metrics: Metrics
    draining: bool
    is_repeatable: Callable[[Request], bool]
    budget: ByteBudget
    ahead: int

    @property
    def has_room_ahead(self) -> bool:
        """Whether one more request may be started ahead of its turn."""


class ExchangeQueue:
    """Decides which requests run beside others, and cancels those that can't.

    The first one has its turn: its response is written now.

    Attributes:
        pipeline: Bounds what is read and held ahead.
    """

    __slots__ = ("_exchanges", "_obstacle", "_owner", "pipeline")

    def __init__(self, *, owner: QueueOwner) -> None:
        self._owner = owner
        self._exchanges: list[CallerExchange] = []
        self.pipeline = Pipeline(budget=owner.budget)
        self._obstacle: Obstacle | None = None

    def __len__(self) -> int:
        return len(self._exchanges)

    def __iter__(self) -> Iterator[CallerExchange]:
        return iter(self._exchanges)

    @property
    def first(self) -> CallerExchange:
        """The request whose response is written now."""
        return self._exchanges[0]

    @property
    def last(self) -> CallerExchange:
        """The request that was read last."""
        return self._exchanges[-1]

    @property
    def is_behind_started(self) -> bool:
        """Whether the request behind the first one has been started."""
        behind = self._exchanges[1:2]
        return bool(behind) and behind[0].task is not None

    @property
    def is_ended(self) -> bool:
        """Whether requests behind those in flight count as not read."""
        is_last = self._owner.draining or self.pipeline.is_ended
        return bool(self._exchanges) and is_last

    def may_read_ahead(self, limits: CallerLimits) -> bool:
        """Return whether a request may be read while others are in flight."""
        obstacle = self.pipeline.find_obstacle(
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
        return self.last.runs_beside(self._owner.is_repeatable)

    def add(self, exchange: CallerExchange) -> bool:
        """Add a request; return whether it starts now."""
        is_first = not self._exchanges
        starts = self.pipeline.add(
            runs_beside=is_first or exchange.runs_beside(self._owner.is_repeatable)
        )
        self._exchanges.append(exchange)
        if not starts:
            self._owner.metrics.count("pipelined_requests", Obstacle.ALONE.value)
        elif not is_first:
            exchange.is_ahead = True
            self._owner.ahead += 1
            self._owner.metrics.count("pipelined_requests", "ahead")
        return starts

    def add_rejected(self, exchange: CallerExchange) -> None:
        """Add bytes that are no request, and end reading."""
        self.pipeline.end_reading()
        self._exchanges.append(exchange)

    async def wait_turn(
        self, exchange: CallerExchange, response: Response, limits: CallerLimits
    ) -> None:
        """Wait until all earlier responses are written, and read ahead meanwhile."""
        if exchange.head_only:
            await exchange.turn
            return
        held = HeldBody(
            body=response.body,
            pipeline=self.pipeline,
            max_bytes=limits.pipelined_bytes,
        )
        response.body = held
        await held.hold(exchange.turn)

    def end_first(self) -> bool:
        """Remove the first request; return whether the next one is to be started."""
        self._exchanges.pop(0)
        starts_next = self.pipeline.end_first()
        if self._exchanges:
            self._end_ahead(self.first)
        else:
            self._obstacle = None
        return starts_next

    def end_behind(self, exchange: CallerExchange) -> None:
        """End reading, and cancel what was read behind a request."""
        self.pipeline.end_reading()
        self.cancel_behind(exchange)

    def cancel_behind(self, exchange: CallerExchange) -> None:
        """Cancel the requests behind one; they count as not read.

        Those that have started may run twice, as the caller sends them again.
        """
        while self.last is not exchange:
            behind = self._exchanges.pop()
            if behind.task is not None and behind.request is not None:
                self._owner.metrics.count("pipelined_requests", "cancelled")
            self.cancel(behind)

    def cancel(self, exchange: CallerExchange) -> None:
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
