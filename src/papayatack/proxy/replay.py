"""Bodies that can be sent again, and bodies that report their end."""

from collections.abc import Callable

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import Body, IncompleteBodyError

__all__ = ["MeteredBody", "ReplayBody"]


class ReplayBody:
    """Keeps what was read of a body, up to a bound, for a further attempt."""

    def __init__(self, *, body: Body, limit_bytes: int) -> None:
        self._body = body
        self._limit_bytes = limit_bytes
        self._kept: list[bytes] = []
        self._size = 0
        self._position = 0
        self.replayable = True

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        return self._position < len(self._kept) or self._body.ready

    async def read(self) -> bytes:
        """Return the next bytes of this attempt."""
        if self._position < len(self._kept):
            self._position += 1
            return self._kept[self._position - 1]
        data = await self._body.read()
        if data and self.replayable:
            self._keep(data)
        return data

    def rewind(self) -> None:
        """Begin again for a further attempt."""
        self._position = 0

    def close(self) -> None:
        """Leave the body open, since a further attempt may read it."""

    def _keep(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._limit_bytes:
            self.replayable = False
            self._kept.clear()
            self._position = 0
            return
        self._kept.append(data)
        self._position += 1


class MeteredBody:
    """Reports once how the response ended: whole, cut, or not wanted."""

    def __init__(
        self, *, body: Body, on_end: Callable[[ErrorKind | None], None]
    ) -> None:
        self._body = body
        self._on_end = on_end
        self._ended = False

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        return self._body.ready

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a whole body."""
        try:
            data = await self._body.read()
        except IncompleteBodyError as error:
            self._end(error.kind)
            raise
        if not data:
            self._end(None)
        return data

    def close(self) -> None:
        """Give up the rest."""
        self._end(ErrorKind.CALLER_LEFT)
        self._body.close()

    def _end(self, kind: ErrorKind | None) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(kind)
