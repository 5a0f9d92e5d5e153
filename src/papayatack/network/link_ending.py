"""The end of a connection between two nodes, on which both have agreed.

The node that no longer wants a connection asks the peer to end it. The peer knows which
of its requests are on their way, and ends the connection once all of them are answered.
"""

import asyncio
from typing import Protocol

__all__ = ["CLOSE_TIMEOUT_S", "EndingLink", "LinkEnding"]

CLOSE_TIMEOUT_S = 10.0
"""Time after which a connection that is being ended is closed in any case."""
UNSENT_POLL_INTERVAL_S = 0.02
"""Interval between checks for unwritten bytes on a connection that is to be ended."""


class EndingLink(Protocol):
    """Interface of the link that ends."""

    closed: bool

    @property
    def has_unsent(self) -> bool:
        """Whether frames are queued or bytes are left in the write buffer."""

    @property
    def pending_count(self) -> int:
        """Number of requests that still need the connection."""

    def send_go_away(self) -> None:
        """Ask the peer to end the connection."""

    def close_in_order(self) -> None:
        """End writing, and close once the peer has read all of it and closes too."""


class LinkEnding:
    """Decides when a connection that one of the nodes no longer wants is ended."""

    def __init__(self, *, link: EndingLink) -> None:
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._asked_s: float | None = None
        self._is_asked_by_peer = False

    @property
    def has_begun(self) -> bool:
        """Whether one of the nodes sends no more requests on the connection."""
        return self._is_asked_by_peer or self._asked_s is not None

    def go_away(self) -> None:
        """Ask the peer to end the connection.

        One that has not done so within :data:`CLOSE_TIMEOUT_S` gets no more answers.
        """
        now = self._loop.time()
        if self._asked_s is None:
            self._asked_s = now
            self._link.send_go_away()
        elif now - self._asked_s >= CLOSE_TIMEOUT_S:
            self._link.close_in_order()

    def handle_go_away(self) -> None:
        """End the connection once this node needs it no longer, as the peer wants."""
        self._is_asked_by_peer = True
        self.check()

    def check(self) -> None:
        """Check in the next turn of the event loop whether the connection is needed."""
        if self._is_asked_by_peer:
            self._loop.call_soon(self._end_if_unused)

    def _end_if_unused(self) -> None:
        if self._link.closed or self._link.pending_count:
            return
        if self._link.has_unsent:
            self._loop.call_later(UNSENT_POLL_INTERVAL_S, self._end_if_unused)
        else:
            self._link.close_in_order()
