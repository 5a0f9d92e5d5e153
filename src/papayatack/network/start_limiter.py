"""Limit of the requests that are begun in one turn of the event loop."""

import asyncio
import collections

__all__ = ["MAX_STARTS", "StartLimiter"]

MAX_STARTS = 8
"""Requests that are begun in one turn of the event loop."""


class StartLimiter:
    """Lets requests begin in order, a few in each turn of the event loop.

    If more requests come than the process has time for, some are withdrawn while the
    first of them are begun. The loop reads this between the turns, and cancels their
    tasks before they have begun.
    """

    def __init__(self) -> None:
        self._start_count = 0
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    async def wait(self) -> None:
        """Wait until a request may begin; the wait may be cancelled."""
        if self._start_count < MAX_STARTS and not self._waiters:
            self._note_start()
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    def _note_start(self) -> None:
        if self._start_count == 0:
            asyncio.get_running_loop().call_soon(self._begin_turn)
        self._start_count += 1

    def _begin_turn(self) -> None:
        """Let the next requests begin."""
        self._start_count = 0
        while self._waiters and self._start_count < MAX_STARTS:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                self._note_start()
