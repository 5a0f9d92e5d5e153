"""Connections to an upstream that wait for their next exchange."""

import asyncio
from collections.abc import Iterator

from papayatack.network.upstream_connection import UpstreamConnection

__all__ = ["IdleConnections"]


class IdleConnections:
    """A stack of idle connections: the one that was used last is taken first."""

    def __init__(self) -> None:
        self._connections: list[UpstreamConnection] = []

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    def __iter__(self) -> Iterator[UpstreamConnection]:
        """Return an iterator over a copy, as closed connections are discarded."""
        return iter(list(self._connections))

    def add(self, connection: UpstreamConnection) -> None:
        """Add a connection that has just been used."""
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._connections.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection, if it is one of them."""
        if connection in self._connections:
            self._connections.remove(connection)

    def take_oldest(self) -> UpstreamConnection:
        """Remove and return the connection that has been unused for longest."""
        return self._connections.pop(0)

    def take_newest(self, *, max_idle_s: float) -> UpstreamConnection | None:
        """Remove and return the connection that was used last, if there is one.

        Args:
            max_idle_s: Longest time for which one may be unused; others are closed.
        """
        oldest_s = asyncio.get_running_loop().time() - max_idle_s
        while self._connections:
            connection = self._connections.pop()
            if connection.closed:
                continue
            if connection.idle_since_s >= oldest_s:
                return connection
            connection.abort()
        return None

    def close(self) -> None:
        """Close all."""
        for connection in self:
            connection.abort()
