"""Body wrappers that buffer for a retry, or report how a body ended."""

from collections.abc import Callable

from papayatack.core.errors import ErrorKind
from papayatack.core.quarantine import BODY_PREFIX_BYTES
from papayatack.network.bodies import Body, BodyWrapper, IncompleteBodyError

__all__ = ["MonitoredBody", "RecordedBody", "RewindableBody"]


class RewindableBody:
    """Buffers the bytes that were read of a request body for a retry.

    Args:
        body: The wrapped body.
        limit_bytes: Longest body that is buffered.
        may_keep: Asked whether so many more bytes may be buffered.

    Attributes:
        rewindable: Whether all bytes that were read are still buffered.
    """

    def __init__(
        self,
        *,
        body: Body,
        limit_bytes: int,
        may_keep: Callable[[int], bool] = lambda size: True,
    ) -> None:
        self._may_keep = may_keep
        self._body = body
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size = 0
        self._position = 0
        self.rewindable = True

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        return self._position < len(self._chunks) or self._body.ready

    async def read(self) -> bytes:
        """Return the next bytes of this attempt."""
        if self._position < len(self._chunks):
            self._position += 1
            return self._chunks[self._position - 1]
        data = await self._body.read()
        if data and self.rewindable:
            self._buffer(data)
        return data

    def rewind(self) -> None:
        """Return to the start of the body for a retry."""
        self._position = 0

    def close(self) -> None:
        """Leave the wrapped body open, since a retry may read it."""

    def _buffer(self, data: bytes) -> None:
        size = self._size + len(data)
        if size > self._limit_bytes or not self._may_keep(len(data)):
            self.rewindable = False
            self._chunks.clear()
            self._position = 0
            self._may_keep(-self._size)
            return
        self._size = size
        self._chunks.append(data)
        self._position += 1


class RecordedBody(BodyWrapper):
    """Keeps the part of a request body by which requests are compared.

    Args:
        body: The wrapped body.
    """

    def __init__(self, *, body: Body) -> None:
        super().__init__(body=body)
        self._chunks: list[bytes] = []
        self._size = 0
        self._has_ended = False

    @property
    def prefix(self) -> bytes:
        """The first ``BODY_PREFIX_BYTES`` that were read, or all of them."""
        return b"".join(self._chunks)[:BODY_PREFIX_BYTES]

    @property
    def is_whole(self) -> bool:
        """Whether the prefix is the whole body."""
        return self._has_ended and self._size <= BODY_PREFIX_BYTES

    @property
    def is_comparable(self) -> bool:
        """Whether enough was read to tell which requests are the same."""
        return self._has_ended or self._size > BODY_PREFIX_BYTES

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body."""
        data = await self._body.read()
        if not data:
            self._has_ended = True
        elif self._size <= BODY_PREFIX_BYTES:
            self._chunks.append(data)
            self._size += len(data)
        return data


class MonitoredBody(BodyWrapper):
    """Reports once how a response body ended.

    Args:
        body: The wrapped body.
        on_end: Receives ``None`` for a complete body, or the kind of error if the body
            was truncated or closed early, and a description of the error.

    Attributes:
        read_bytes: Number of bytes that were read.
    """

    def __init__(
        self, *, body: Body, on_end: Callable[[ErrorKind | None, str], None]
    ) -> None:
        super().__init__(body=body)
        self.read_bytes = 0
        self._on_end = on_end
        self._ended = False

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body."""
        try:
            data = await self._body.read()
        except IncompleteBodyError as error:
            self._end(error.kind, error.detail)
            raise
        self.read_bytes += len(data)
        if not data:
            self._end(None, "")
        return data

    def close(self) -> None:
        """Close the body without reading the rest."""
        self._end(ErrorKind.CALLER_LEFT, "the response is not wanted")
        super().close()

    def _end(self, kind: ErrorKind | None, detail: str) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(kind, detail)
