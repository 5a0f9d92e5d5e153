"""Notices callers that hung up before their requests were read.

If the event loop has stood still, a request and the end of its connection are read in
two turns of the loop, and the request would be sent on in between.
"""

import asyncio
import logging
import select
from collections.abc import Callable

from papayatack.observability.events import Event, log_event

__all__ = ["ArrivalCheck"]

LOGGER = logging.getLogger(__name__)

HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ArrivalCheck:
    """Looks for hang-ups on the connections from which requests have just been read.

    A single system call checks all connections that were added in one turn of the event
    loop, before any task that is created after :meth:`add` runs.
    """

    def __init__(self) -> None:
        self._handlers: dict[int, Callable[[], None]] = {}

    def add(self, descriptor: int, handle_hangup: Callable[[], None]) -> None:
        """Check a socket, and call a function if its peer has hung up."""
        if not self._handlers:
            asyncio.get_running_loop().call_soon(self._check)
        self._handlers[descriptor] = handle_hangup

    def _check(self) -> None:
        handlers, self._handlers = self._handlers, {}
        poll = select.poll()
        for descriptor in handlers:
            poll.register(descriptor, select.POLLRDHUP)
        found = [item for item, events in poll.poll(0) if events & HANGUP_EVENTS]
        if not found:
            return
        log_event(LOGGER, Event.CALLERS_LEFT, count=len(found), requests=len(handlers))
        for descriptor in found:
            handlers[descriptor]()
