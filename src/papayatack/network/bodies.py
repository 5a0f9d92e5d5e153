"""Request and response bodies as byte streams with back-pressure."""

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

from papayatack.core.byte_budget import Holder
from papayatack.core.errors import ErrorKind, PapayatackError

__all__ = [
    "Body",
    "IncompleteBodyError",
    "BodyQueue",
    "BodyWrapper",
    "BytesBody",
    "ExpectContinueBody",
    "LengthCheckedBody",
    "PrefixedBody",
]


class IncompleteBodyError(PapayatackError):
    """A body ended before it was complete.

    Attributes:
        kind: Kind of the error.
        detail: Description of the error.
    """

    def __init__(self, *, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail


class Body(Protocol):
    """A byte stream with one reader."""

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body.

        Raises:
            IncompleteBodyError: If the body ends early.
        """

    def close(self) -> None:
        """Discard the rest. Every body must be closed after use."""


class BytesBody:
    """A body held in memory."""

    def __init__(self, *, data: bytes = b"") -> None:
        self._data = data

    @property
    def ready(self) -> bool:
        """Always true."""
        return True

    async def read(self) -> bytes:
        """Return all bytes, then ``b""``."""
        data, self._data = self._data, b""
        return data

    def close(self) -> None:
        """Discard the remaining bytes."""
        self._data = b""


def _ignore_read(size: int) -> None:
    """Default read callback; does nothing."""


def _ignore_close() -> None:
    """Default close callback; does nothing."""


def _accept_keep(size: int) -> bool:
    """Default callback for bytes that are kept; there is room for all."""
    return True


class BodyQueue:
    """A queue of body chunks that a connection fills and one task reads.

    The queue itself is unbounded: the connection limits what it puts by the sizes that
    ``on_read`` reports as read.

    Attributes:
        received_bytes: Number of bytes that were put, also those that were discarded.
        buffered_bytes: Number of bytes that are still to be read.
        finished: Whether the body is complete.
        closed: Whether the reader has closed the body.
        holder: What its bytes are charged to, ``None`` if to nothing.
    """

    def __init__(
        self,
        *,
        on_read: Callable[[int], None] = _ignore_read,
        on_close: Callable[[], None] = _ignore_close,
        on_keep: Callable[[int], bool] = _accept_keep,
    ) -> None:
        self._on_keep = on_keep
        self._chunks: collections.deque[bytes] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._error: IncompleteBodyError | None = None
        self._on_read = on_read
        self._on_close = on_close
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.finished = False
        self.closed = False
        self.holder: Holder | None = None

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        return bool(self._chunks) or self.finished or self._error is not None

    def put(self, data: bytes) -> None:
        """Add bytes; discard them if the reader has closed the body."""
        self.received_bytes += len(data)
        if self.closed or not data:
            return
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.finished = True
        self._wake()

    def fail(self, *, kind: ErrorKind, detail: str = "") -> None:
        """End the body with an error; has no effect on a complete body."""
        if not self.finished and self._error is None:
            self._error = IncompleteBodyError(kind=kind, detail=detail)
            self._wake()

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body."""
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.finished:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = self._chunks.popleft()
        self.buffered_bytes -= len(data)
        self._on_read(len(data))
        return data

    def keep(self, size: int) -> bool:
        """Ask whether bytes that were read may be kept until the body is closed.

        A negative size gives some of them back.
        """
        return self._on_keep(size)

    def detach(self) -> None:
        """Make no more calls, since the connection has ended the exchange.

        Connection and queue refer to each other. Without this they would be freed only
        by the garbage collector, which seldom runs in full.
        """
        self._on_read = _ignore_read
        self._on_close = _ignore_close
        self._on_keep = _accept_keep

    def close(self) -> None:
        """Discard the rest and call ``on_close``, once."""
        if not self.closed:
            self.closed = True
            self._chunks.clear()
            self.buffered_bytes = 0
            on_close = self._on_close
            self.detach()
            on_close()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class PrefixedBody:
    """A body whose first bytes have already been read."""

    def __init__(self, *, data: bytes, rest: Body) -> None:
        self._data = data
        self._rest = rest

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        return bool(self._data) or self._rest.ready

    async def read(self) -> bytes:
        """Return the first bytes, then those of the rest."""
        if self._data:
            data, self._data = self._data, b""
            return data
        return await self._rest.read()

    def close(self) -> None:
        """Discard the rest."""
        self._data = b""
        self._rest.close()


class BodyWrapper:
    """A body that is read from another one; the base of those that watch it.

    Args:
        body: The wrapped body.
    """

    def __init__(self, *, body: Body) -> None:
        self._body = body

    @property
    def ready(self) -> bool:
        """Whether :meth:`read` would return without waiting."""
        return self._body.ready

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body.

        Raises:
            IncompleteBodyError: If the body ends early.
        """
        return await self._body.read()

    def close(self) -> None:
        """Discard the rest."""
        self._body.close()


class LengthCheckedBody(BodyWrapper):
    """A body that must be as long as what was received of it when it ends.

    A body that is read in part and put back elsewhere would be passed on without that
    part, as a shorter one that looks complete.

    Args:
        body: The body that is passed on.
        received: The queue in which it was received.
    """

    def __init__(self, *, body: Body, received: BodyQueue) -> None:
        super().__init__(body=body)
        self._received = received
        self._read_bytes = 0

    async def read(self) -> bytes:
        """Return the next bytes, or ``b""`` at the end of a complete body.

        Raises:
            IncompleteBodyError: If the body ends early, or has another length.
        """
        data = await self._body.read()
        self._read_bytes += len(data)
        if not self._is_plausible(has_ended=not data):
            raise IncompleteBodyError(
                kind=ErrorKind.BODY_LOST,
                detail=f"{self._read_bytes} bytes of {self._received.received_bytes}",
            )
        return data

    def _is_plausible(self, *, has_ended: bool) -> bool:
        expected_bytes = self._received.received_bytes
        if not has_ended:
            return self._read_bytes <= expected_bytes
        return self._received.finished and self._read_bytes == expected_bytes


class ExpectContinueBody(BodyWrapper):
    """A body whose sender waits for ``100 Continue``, sent on the first read."""

    def __init__(self, *, body: Body, send: Callable[[], None]) -> None:
        super().__init__(body=body)
        self._send = send

    async def read(self) -> bytes:
        """Request the body if needed, then return its next bytes."""
        self._send()
        return await self._body.read()
