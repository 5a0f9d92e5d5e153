"""Notices peers that hang up while nothing is read from their connections.

A transport whose reading is paused reports neither the end nor a reset of its
connection. The kernel knows of both, even behind bytes that have not been read.
"""

import asyncio
import select
from collections.abc import Callable

__all__ = ["HangupWatch"]

CHECK_INTERVAL_S = 0.1


class HangupWatch:
    """Checks connections from which nothing is read at the moment.

    The check is a single system call for all of them, and there is none while no
    connection is watched.
    """

    def __init__(self) -> None:
        self._poll = select.poll()
        self._handlers: dict[int, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, descriptor: int, handle_hangup: Callable[[], None]) -> None:
        """Watch a socket, and call a function once if its peer hangs up.

        The socket must be removed before it is closed.
        """
        self._handlers[descriptor] = handle_hangup
        self._poll.register(descriptor, select.POLLRDHUP)
        if self._timer is None:
            self._start_timer()

    def remove(self, descriptor: int) -> None:
        """Stop watching a socket; has no effect on one that is not watched."""
        if self._handlers.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._handlers:
            return
        for descriptor, _ in self._poll.poll(0):
            handle_hangup = self._handlers.get(descriptor)
            self.remove(descriptor)
            if handle_hangup is not None:
                handle_hangup()
        if self._handlers:
            self._start_timer()
