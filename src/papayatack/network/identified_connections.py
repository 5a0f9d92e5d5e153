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
from papayatack.network.idle_connections import IdleConnections
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.network.upstreams import NO_FREE_CONNECTION, UpstreamPool

__all__ = ["IdReader", "IdentifiedConnections"]

MAX_IDLE = 4
"""Maximum number of idle connections that are kept apart from those of the pool."""

MAX_ATTEMPTS = 3
"""Maximum number of connections that are tried: a reused one may have been closed."""

MAX_IDENTIFYING = 2
"""Maximum number of connections on which the upstream is asked at the same time."""

REPLACED_PAUSE_S = 0.5
"""Time after the answer of another process for which the upstream is not asked."""

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
        may_have_restarted: Called when all connections were lost and a process with
            the expected id has answered; returns whether it may be another one. If so,
            these connections are of no use any more.

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
        may_have_restarted: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._read_id = read_id
        self._on_replaced = on_replaced
        self._may_have_restarted = may_have_restarted
        self._has_identified = False
        self._is_interrupted = False
        self.is_identified = True
        self._identified: set[UpstreamConnection] = set()
        self._idle = IdleConnections()
        self._unidentified: set[UpstreamConnection] = set()
        self._is_retired = False
        self._identifying = 0
        self._refused_until_s = float("-inf")
        self._changed = asyncio.Event()

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
        try:
            async with asyncio.timeout_at(deadline_s):
                connection = await self._wait_for_turn()
        except TimeoutError:
            return Failure(NO_FREE_CONNECTION)
        if connection is not None:
            return Success(connection)
        if self._is_refused():
            return _refuse(f"another process answers in place of {self.name}")
        self._identifying += 1
        try:
            return await self._connect(deadline_s)
        finally:
            self._identifying -= 1
            self._wake_waiters()

    async def _wait_for_turn(self) -> UpstreamConnection | None:
        """Return an idle connection, or ``None`` once another one may be identified."""
        while True:
            connection = self._idle.take_newest(max_idle_s=self.limits.idle_timeout_s)
            is_allowed = self._identifying < MAX_IDENTIFYING
            if connection is not None or is_allowed or self._is_refused():
                return connection
            await self._changed.wait()

    def _is_refused(self) -> bool:
        """Return whether another process has answered a short time ago."""
        return asyncio.get_running_loop().time() < self._refused_until_s

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _connect(self, deadline_s: float) -> Result[UpstreamConnection, Refusal]:
        """Return a connection of the pool once its process has been identified."""
        for _ in range(MAX_ATTEMPTS):
            reserved = await self._pool.reserve(deadline_s=deadline_s)
            if not is_successful(reserved):
                return Failure(reserved.failure())
            connection = reserved.unwrap()
            if connection in self._identified:
                connection.owner = self
                return Success(connection)
            found = await self._identify(connection, deadline_s)
            self.is_identified &= found is not None
            if found in (self.name, None) and not connection.closed:
                return self._accept(connection)
            connection.abort()
            if found and found != self.name:
                now = asyncio.get_running_loop().time()
                self._refused_until_s = now + REPLACED_PAUSE_S
                self._on_replaced()
                return _refuse(f"{found} answers in place of {self.name}")
            if not found and not connection.is_reused:
                break
        return _refuse(f"{self.name} does not name itself")

    def _accept(
        self, connection: UpstreamConnection
    ) -> Result[UpstreamConnection, Refusal]:
        """Use a connection to a process with the expected id.

        It is the same process for certain as long as an earlier connection is open.
        """
        is_lost = self._has_identified and not self.has_open
        if self._is_interrupted or (is_lost and self._may_have_restarted()):
            self._is_interrupted = True
            connection.abort()
            return _refuse(f"{self.name} may have restarted")
        self._has_identified = True
        self._identified = {each for each in self._identified if not each.closed}
        self._identified.add(connection)
        return Success(connection)

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
        self._idle.add(connection)
        self._wake_waiters()
        if len(self._idle) > MAX_IDLE:
            spare = self._idle.take_oldest()
            spare.owner = self._pool
            self._pool.return_connection(spare)

    def drop_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        self._identified.discard(connection)
        self._idle.discard(connection)
        self._pool.drop_connection(connection)

    def retire(self) -> None:
        """Close idle connections now, and others when their exchange ends."""
        self._is_retired = True
        self._idle.close()


def _refuse(detail: str) -> Failure[Refusal]:
    return Failure(Refusal(kind=ErrorKind.UPSTREAM_UNREACHABLE, detail=detail))
