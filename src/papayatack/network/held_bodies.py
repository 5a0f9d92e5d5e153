"""Bodies of responses that wait until earlier ones have been written."""

import asyncio
import collections

from papayatack.core.pipeline import Pipeline
from papayatack.network.bodies import Body, IncompleteBodyError

__all__ = ["HeldBody"]


class HeldBody:
    """A body that is read into memory while its response waits for its turn.

    What has been read is held until the next read, as it may still be unwritten.

    Args:
        body: The body.
        pipeline: Counts the bytes that are held on the connection.
        max_bytes: Held bytes of the connection at which the body is not read on.
    """

    __slots__ = (
        "_body",
        "_chunks",
        "_ended",
        "_error",
        "_max_bytes",
        "_pipeline",
        "_reading",
        "_unwritten_bytes",
    )

    def __init__(self, *, body: Body, pipeline: Pipeline, max_bytes: int) -> None:
        self._body = body
        self._pipeline = pipeline
        self._max_bytes = max_bytes
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unwritten_bytes = 0
        self._ended = False
        self._error: IncompleteBodyError | None = None
        self._reading: asyncio.Task[bytes] | None = None

    async def hold(self, turn: asyncio.Future[None]) -> None:
        """Read as much as may be held until the turn comes.

        A failure is raised by :meth:`read`, behind the bytes that came before it.
        """
        while not turn.done():
            if not self._may_read_on() or not await self._read_one(turn):
                await turn

    def _may_read_on(self) -> bool:
        has_ended = self._ended or self._error is not None
        return not has_ended and self._pipeline.may_hold(self._max_bytes)

    async def _read_one(self, turn: asyncio.Future[None]) -> bool:
        """Read the next bytes unless the turn comes first; return whether it did."""
        reading = asyncio.ensure_future(self._body.read())
        self._reading = reading
        await asyncio.wait((reading, turn), return_when=asyncio.FIRST_COMPLETED)
        if not reading.done():
            return False
        self._reading = None
        try:
            data = reading.result()
        except IncompleteBodyError as error:
            self._error = error
            return False
        self._ended = not data
        if data:
            self._chunks.append(data)
            self._pipeline.hold(len(data))
        return not self._ended

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        if self._chunks or self._ended or self._error is not None:
            return True
        if self._reading is not None:
            return self._reading.done()
        return self._body.ready

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body.

        Raises:
            IncompleteBodyError: If the body ends early.
        """
        self._release_unwritten()
        if self._chunks:
            data = self._chunks.popleft()
            self._unwritten_bytes = len(data)
            return data
        if self._error is not None:
            raise self._error
        if self._ended:
            return b""
        if self._reading is not None:
            reading, self._reading = self._reading, None
            return await reading
        return await self._body.read()

    def close(self) -> None:
        """Discard the rest."""
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
        self._release_unwritten()
        self._pipeline.release(sum(map(len, self._chunks)))
        self._chunks.clear()
        self._body.close()

    def _release_unwritten(self) -> None:
        self._pipeline.release(self._unwritten_bytes)
        self._unwritten_bytes = 0
