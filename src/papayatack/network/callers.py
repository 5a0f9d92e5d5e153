"""The HTTP/1.1 server towards callers.

One :class:`CallerServer` per daemon; ``handler`` answers each request::

    server = CallerServer(host=host, port=port, handler=engine.handle, metrics=metrics)
    await server.start()
    ...
    await server.stop(timeout_s=30.0)
"""

import asyncio

from papayatack.network.caller_connection import CallerConnection, Handler
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics

__all__ = ["CallerServer"]

SWEEP_INTERVAL_S = 0.5
STOP_POLL_INTERVAL_S = 0.02


class CallerServer:
    """Accepts callers within the limits."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Handler,
        metrics: Metrics,
        limits: CallerLimits | None = None,
    ) -> None:
        self.handler = handler
        self.metrics = metrics
        self.limits = limits or CallerLimits()
        self.draining = False
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._connections: set[CallerConnection] = set()

    @property
    def port(self) -> int:
        """The port on which callers are accepted."""
        return self._port

    async def start(self) -> None:
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(owner=self), self._host, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self._sweeper = loop.create_task(self._sweep())

    async def stop(self, *, timeout_s: float) -> None:
        """Stop gracefully: finish requests in flight, then close.

        Args:
            timeout_s: Time after which connections that are left are closed; those
                with an answer that is not yet written whole are cut.
        """
        self.draining = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        if timeout_s > 0:
            # What callers have sent by now is read first, for closing would reset it.
            await asyncio.sleep(min(STOP_POLL_INTERVAL_S, timeout_s))
        if self._server is not None:
            self._server.close()
        while self._connections and loop.time() < deadline_s:
            for connection in list(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        if self._connections and timeout_s > 0:
            # A loop that was held up has answers to write that are due already.
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        for connection in list(self._connections):
            connection.close_now()
        if self._sweeper is not None:
            self._sweeper.cancel()

    def add_connection(self, connection: CallerConnection) -> bool:
        """Note an open connection; false if there are too many."""
        self._connections.add(connection)
        return len(self._connections) <= self.limits.connections

    def drop_connection(self, connection: CallerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for connection in list(self._connections):
                connection.check_deadline(now)
