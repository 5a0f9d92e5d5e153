"""Connections that are known to lead to one process of the upstream.

The next process may listen at an address before anybody hears of the end of the last
one. An open connection belongs to the same process for as long as it is open, so the id
that was answered on it holds for all that is sent on it later.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.network.upstreams import UpstreamPool

__all__ = ["IdReader", "IdentifiedConnections"]

MAX_IDLE = 4
"""Maximum number of idle connections that are kept apart from those of the pool."""

MAX_ATTEMPTS = 3
"""Maximum number of connections that are tried: a reused one may have been closed."""

ID_TIMEOUT_S = 1.5
"""Time for an answer to the question, which may wait for a free slot."""


class IdReader(Protocol):
    """Asks an upstream process for its id."""

    async def __call__(
        self, connection: UpstreamConnection, *, deadline_s: float
    ) -> str | None:
        """Return the id of the process that a connection leads to.

        It is empty if there is no answer until the event loop time ``deadline_s``, and
        ``None`` if processes of this kind can't be asked.
        """


class IdentifiedConnections:
    """Connections of a pool on which the expected process has named itself.

    They are borrowed from the pool, and count towards its limit.

    Args:
        pool: Connections to the address; its name is the id of the expected process.
        read_id: Asks which process a connection leads to.
        on_replaced: Called when another process has answered.

    Attributes:
        is_identified: Whether all connections so far led to the expected process; if
            not, processes of this kind can't be asked.
    """

    def __init__(
        self,
        *,
        pool: UpstreamPool,
        read_id: IdReader,
        on_replaced: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._read_id = read_id
        self._on_replaced = on_replaced
        self.is_identified = True
        self._identified: set[UpstreamConnection] = set()
        self._idle: list[UpstreamConnection] = []
        self._unidentified: set[UpstreamConnection] = set()
        self._is_retired = False

    @property
    def name(self) -> str:
        """Id of the expected process."""
        return self._pool.name

    @property
    def address(self) -> str:
        """The upstream's ``host:port``."""
        return self._pool.address

    @property
    def limits(self) -> UpstreamLimits:
        """Limits of the pool."""
        return self._pool.limits

    @property
    def has_open(self) -> bool:
        """Whether a connection to the expected process is open, so that it runs."""
        return any(not connection.closed for connection in self._identified)

    async def reserve(
        self, *, deadline_s: float
    ) -> Result[UpstreamConnection, Refusal]:
        """Return a connection to the expected process, to be used for one exchange.

        Args:
            deadline_s: Event loop time at which to stop waiting for a connection.
        """
        connection = self._take_idle()
        if connection is not None:
            return Success(connection)
        for _ in range(MAX_ATTEMPTS):
            reserved = await self._pool.reserve(deadline_s=deadline_s)
            if not is_successful(reserved):
                return Failure(reserved.failure())
            connection = reserved.unwrap()
            found = await self._identify(connection, deadline_s)
            self.is_identified &= found is not None
            if found in (self.name, None) and not connection.closed:
                self._identified.add(connection)
                return Success(connection)
            connection.abort()
            if found and found != self.name:
                self._on_replaced()
                return _refuse(f"{found} answers in place of {self.name}")
            if not found and not connection.is_reused:
                break
        return _refuse(f"{self.name} does not name itself")

    async def _identify(
        self, connection: UpstreamConnection, deadline_s: float
    ) -> str | None:
        connection.owner = self
        self._unidentified.add(connection)
        limit_s = asyncio.get_running_loop().time() + ID_TIMEOUT_S
        try:
            return await self._read_id(connection, deadline_s=min(deadline_s, limit_s))
        finally:
            self._unidentified.discard(connection)

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Take back a connection that can be reused."""
        if connection in self._unidentified:
            return
        if self._is_retired:
            connection.abort()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE:
            spare = self._idle.pop(0)
            self._identified.discard(spare)
            spare.owner = self._pool
            self._pool.return_connection(spare)

    def drop_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        self._identified.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._pool.drop_connection(connection)

    def retire(self) -> None:
        """Close idle connections now, and others when their exchange ends."""
        self._is_retired = True
        for connection in list(self._idle):
            connection.abort()

    def _take_idle(self) -> UpstreamConnection | None:
        """Return the most recently used idle connection; close expired ones."""
        oldest_s = asyncio.get_running_loop().time() - self.limits.idle_timeout_s
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed and connection.idle_since_s >= oldest_s:
                return connection
            connection.abort()
        return None


def _refuse(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(kind=ErrorKind.UPSTREAM_UNREACHABLE, detail=detail))
