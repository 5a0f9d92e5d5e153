"""Which connections of callers stay open if there are too many."""

import dataclasses
import enum
import itertools
from typing import Protocol

__all__ = ["Admission", "ConnectionTable", "Rest"]

MAX_COMPARED = 64
"""Connections that are compared to find the one that is closed."""

REJECTED_SHARE = 1 / 16
"""Connections beyond the limit that may be told so, relative to the limit."""

MIN_REST_S = 0.3
"""Time for which a connection must have waited for a request to be closed."""


class Admission(enum.Enum):
    """What becomes of a new connection.

    Attributes:
        ACCEPTED: It is served.
        REJECTED: It gets a response that says that there are too many.
        CLOSED: It is closed without a response.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Rest:
    """For how long a connection has waited for a request.

    The one that sorts first has the least claim to stay: it has never sent a whole
    request, or has waited longest.

    Attributes:
        has_served: Whether a request was answered on it.
        since_s: Event loop time since which it waits.
    """

    has_served: bool
    since_s: float


class Connection(Protocol):
    """A connection of a caller."""

    @property
    def rest(self) -> Rest | None:
        """How long it has waited for a request; ``None`` with one in flight."""

    def close_at_rest(self) -> None:
        """Close a connection without a request in flight, to make room for another."""


class ConnectionTable:
    """The open connections of a server, in an order in which they are compared."""

    def __init__(self) -> None:
        self._connections: dict[Connection, None] = {}
        self._rejected: set[Connection] = set()

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self):
        return iter(list(self._connections))

    def add(self, now: float, connection: Connection, limit: int) -> Admission:
        """Add a connection, and close another one at rest if there are too many."""
        is_full = len(self._connections) - len(self._rejected) >= limit
        has_room = not is_full or self._close_one(now)
        self._connections[connection] = None
        if has_room:
            return Admission.ACCEPTED
        if len(self._rejected) < max(1, int(limit * REJECTED_SHARE)):
            self._rejected.add(connection)
            return Admission.REJECTED
        return Admission.CLOSED

    def discard(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(connection, None)
        self._rejected.discard(connection)

    def _close_one(self, now: float) -> bool:
        """Close a connection at rest; return whether there was one.

        Those that were compared come last the next time.
        """
        compared = list(itertools.islice(self._connections, MAX_COMPARED))
        resting: list[tuple[Rest, Connection]] = []
        for connection in compared:
            del self._connections[connection]
            self._connections[connection] = None
            rest = connection.rest
            if rest is not None and now - rest.since_s >= MIN_REST_S:
                resting.append((rest, connection))
        if not resting:
            return False
        _, closed = min(resting, key=lambda found: found[0])
        self.discard(closed)
        closed.close_at_rest()
        return True
