"""HTTP/1.1 client for the local upstream.

Each upstream has one :class:`UpstreamPool`::

    pool = UpstreamPool(host=host, port=port, limits=limits, metrics=metrics)
    result = await pool.exchange(request, deadline_s=loop.time() + 1.0)
"""

import asyncio
import collections
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.exchanges import Request, Response
from papayatack.network.idle_connections import IdleConnections
from papayatack.network.limits import UpstreamLimits
from papayatack.network.probes import ProbeResult, probe
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.observability.metrics import Metrics

__all__ = ["NO_FREE_CONNECTION", "UpstreamPool"]

NO_FREE_CONNECTION = Refusal(
    kind=ErrorKind.DEADLINE_EXPIRED,
    detail="no connection was free before the deadline",
)


class UpstreamPool:
    """Pool of connections to one upstream, within the inventory's limit.

    A refusal's outcome is *not run* only if no byte of the request was written.

    Attributes:
        name: Name of the upstream's process, for operators.
        limits: Limits for the upstream.
        on_unreachable: Called when a connection can't be opened.
        is_leaving: Whether the upstream has announced that it ends.
        is_crashed: Whether its process has ended without a word.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        metrics: Metrics,
        limits: UpstreamLimits | None = None,
        name: str = "",
    ) -> None:
        self.name = name or f"{host}:{port}"
        self.limits = limits or UpstreamLimits()
        self.on_unreachable: Callable[[], None] | None = None
        self.is_leaving = False
        self.is_crashed = False
        self._host = host
        self._port = port
        self._metrics = metrics
        self._idle = IdleConnections()
        self._open: set[UpstreamConnection] = set()
        self._opening = 0
        self._retired = False
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def address(self) -> str:
        """The upstream's ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._opening

    async def exchange(
        self, request: Request, *, deadline_s: float
    ) -> Result[Response, Refusal]:
        """Send a request and return the head of its response.

        Args:
            request: The request, with the headers for the upstream.
            deadline_s: Event loop time by which the response must be complete.
        """
        reserved = await self.reserve(deadline_s=deadline_s)
        if not is_successful(reserved):
            return Failure(reserved.failure())
        return await reserved.unwrap().exchange(request, deadline_s=deadline_s)

    async def reserve(
        self, *, deadline_s: float
    ) -> Result[UpstreamConnection, Refusal]:
        """Return an open connection, to be used for one exchange or returned unused.

        Args:
            deadline_s: Event loop time at which to stop waiting for a connection.
        """
        connection = self._take_idle()
        if connection is not None:
            return Success(connection)
        try:
            async with asyncio.timeout_at(deadline_s):
                connection = await self._acquire()
        except TimeoutError:
            return Failure(NO_FREE_CONNECTION)
        if connection is not None:
            return Success(connection)
        self._metrics.count("upstream_connects_failed")
        if self.on_unreachable is not None:
            self.on_unreachable()
        return Failure(
            Refusal(
                kind=ErrorKind.UPSTREAM_UNREACHABLE,
                detail=f"could not connect to {self.address}",
            )
        )

    async def probe(self) -> ProbeResult:
        """Return whether the upstream still accepts connections."""
        found = await probe(self.address)
        if found is ProbeResult.CLOSED and self.on_unreachable is not None:
            self.on_unreachable()
        return found

    def close(self) -> None:
        """Close all connections immediately."""
        for connection in list(self._open):
            connection.abort()

    def retire(self) -> None:
        """Close idle connections now, and others when their exchange ends."""
        self._retired = True
        self._idle.close()

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Take back a connection that can be reused."""
        if self._retired:
            connection.abort()
            return
        self._idle.add(connection)
        self._wake_waiter()

    def drop_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self._idle.discard(connection)
        self._wake_waiter()

    async def _acquire(self) -> UpstreamConnection | None:
        """Return an idle or new connection, or ``None`` if connecting fails.

        Waits while the pool is at its limit, and then for one turn of the event loop
        more, as the caller may have left in the same turn.
        """
        while True:
            connection = self._take_idle()
            if connection is not None:
                return connection
            if self.open_connections < self.limits.connections:
                return await self._connect()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
                await asyncio.sleep(0)
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_waiter()
                raise

    def _take_idle(self) -> UpstreamConnection | None:
        return self._idle.take_newest(max_idle_s=self.limits.idle_timeout_s)

    async def _connect(self) -> UpstreamConnection | None:
        self._opening += 1
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: UpstreamConnection(owner=self), self._host, self._port
                )
        except (OSError, TimeoutError):
            return None
        finally:
            self._opening -= 1
            self._wake_waiter()
        if connection.closed:
            return None
        self._open.add(connection)
        return connection

    def _wake_waiter(self) -> None:
        """Let the request that has waited longest try to get a connection."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
