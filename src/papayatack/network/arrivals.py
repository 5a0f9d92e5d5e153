"""Begins the requests that have been read, but for those whose callers have hung up.

If the event loop has stood still, a request and the end of its connection are read in
two turns of the loop, and the request would be sent on in between. If more requests
come than the process has time for, callers leave while the first of them are begun.
"""

import asyncio
import collections
import logging
import select
from collections.abc import Callable

from papayatack.observability.events import Event, log_event

__all__ = ["ArrivalQueue"]

LOGGER = logging.getLogger(__name__)

MAX_STARTS = 8
"""Requests that are begun in one turn of the event loop. The hang-ups of the others are
read before the next turn."""

HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ArrivalQueue:
    """Begins requests a few at a time, unless their callers have hung up.

    A single system call checks all connections that were added in one turn of the event
    loop, before any task that is created after :meth:`add` runs. Hang-ups that come
    later are read by the loop while requests wait for their turn.
    """

    def __init__(self) -> None:
        self._handlers: dict[int, Callable[[], None]] = {}
        self._start_count = 0
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    def add(self, descriptor: int, handle_hangup: Callable[[], None]) -> None:
        """Check a socket, and call a function if its peer has hung up."""
        if not self._handlers:
            asyncio.get_running_loop().call_soon(self._check)
        self._handlers[descriptor] = handle_hangup

    async def wait_turn(self) -> None:
        """Wait until a request may be begun, in the order of the calls."""
        loop = asyncio.get_running_loop()
        if self._start_count < MAX_STARTS and not self._waiters:
            self._note_start()
            return
        waiter = loop.create_future()
        self._waiters.append(waiter)
        await waiter

    def _begin_turn(self) -> None:
        """Let the next requests begin, whose callers have not left meanwhile."""
        self._start_count = 0
        while self._waiters and self._start_count < MAX_STARTS:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                self._note_start()

    def _note_start(self) -> None:
        if self._start_count == 0:
            asyncio.get_running_loop().call_soon(self._begin_turn)
        self._start_count += 1

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
