"""HTTP/1.1 server for callers.

A daemon has one :class:`CallerServer`; ``handler`` handles each request::

    server = CallerServer(host=host, port=port, handler=engine.handle, metrics=metrics)
    await server.start()
    ...
    await server.stop(timeout_s=30.0)
"""

import asyncio
from collections.abc import Callable

from papayatack.core.byte_budget import ByteBudget
from papayatack.network.arrivals import ArrivalCheck
from papayatack.network.caller_connection import CallerConnection, Handler
from papayatack.network.connection_admission import Admission, ConnectionTable
from papayatack.network.exchanges import Request
from papayatack.network.hangups import HangupWatch
from papayatack.network.limits import CallerLimits
from papayatack.network.listener import Listener
from papayatack.network.start_limiter import StartLimiter
from papayatack.observability.metrics import Metrics

__all__ = ["CallerServer"]

SWEEP_INTERVAL_S = 0.5
"""Interval between checks of the connections' deadlines."""
STOP_POLL_INTERVAL_S = 0.02
"""Interval between checks for open connections during a shutdown."""
DEFAULT_HELD_BYTES = 64 * 1024 * 1024
"""Bytes of request bodies that a server without a budget holds."""
BYTES_PER_REQUEST = 64 * 1024
"""Bytes that other layers may hold of a response that waits for its turn."""
MAX_AHEAD = 1_024
"""Requests of all connections that are in flight ahead of their turn."""


class CallerServer:
    """Accepts connections of callers and enforces their limits.

    Attributes:
        is_repeatable: Tells whether a request that only reads, as its method says, may
            be run more than once. Others are not run beside those of their connection.
        ahead: Number of requests in flight ahead of their turn.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Handler,
        metrics: Metrics,
        limits: CallerLimits | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        self.budget = budget or ByteBudget(limit_bytes=DEFAULT_HELD_BYTES)
        self.handler = handler
        self.metrics = metrics
        self.limits = limits or CallerLimits()
        self.draining = False
        self.hangups = HangupWatch()
        self.arrivals = ArrivalCheck()
        self.starts = StartLimiter()
        self.is_repeatable: Callable[[Request], bool] = _is_repeatable
        self.ahead = 0
        self._listener = Listener(
            host=host,
            port=port,
            build_protocol=lambda: CallerConnection(owner=self),
            metrics=metrics,
        )
        self._sweeper: asyncio.Task[None] | None = None
        self._connections = ConnectionTable()

    @property
    def port(self) -> int:
        """Port on which callers are accepted."""
        return self._listener.port

    @property
    def is_accepting(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener.is_accepting

    @property
    def has_room_ahead(self) -> bool:
        """Whether one more request may be started ahead of its turn."""
        max_ahead = min(MAX_AHEAD, self.budget.limit_bytes // BYTES_PER_REQUEST)
        return self.ahead < max_ahead and self.budget.has_room

    async def start(self) -> None:
        """Start listening for callers."""
        self._listener.start()
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())

    async def stop(self, *, timeout_s: float) -> None:
        """Shut down gracefully: finish requests in flight, then close.

        Args:
            timeout_s: Time after which remaining connections are closed; those whose
                response is incomplete are reset.
        """
        self.draining = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        if timeout_s > 0:
            # Read what callers have sent so far: closing would reset those connections.
            await asyncio.sleep(min(STOP_POLL_INTERVAL_S, timeout_s))
        self._listener.close()
        while self._connections and loop.time() < deadline_s:
            for connection in self._connections:
                connection.close_if_idle()
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        if self._connections and timeout_s > 0:
            # Let an event loop that was blocked write the responses already due.
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        for connection in self._connections:
            connection.close_now()
        if self._sweeper is not None:
            self._sweeper.cancel()

    def add_connection(self, connection: CallerConnection) -> Admission:
        """Register an open connection, and decide what becomes of it."""
        now = asyncio.get_running_loop().time()
        return self._connections.add(now, connection, self.limits.connections)

    def drop_connection(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for connection in self._connections:
                connection.check_deadline(now)


def _is_repeatable(request: Request) -> bool:
    """Go by the method alone, which has been looked at."""
    return True
