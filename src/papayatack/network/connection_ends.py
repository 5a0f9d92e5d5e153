"""How a caller's connection ends: closed, closed after a while, or reset."""

import asyncio
import logging
import socket
import struct
from typing import Any

from papayatack.network.caller_exchange import CallerExchange
from papayatack.network.read_pauses import ReadPause
from papayatack.observability.events import Event, log_event

__all__ = ["ConnectionEnd"]

_logger = logging.getLogger(__name__)

DISCARD_TIMEOUT_S = 2.0
"""Time for which a lingering close discards the caller's bytes."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionEnd:
    """Ends a connection.

    Attributes:
        begun: Whether the connection is ending.
    """

    __slots__ = ("_pause", "_transport", "begun")

    def __init__(self, *, transport: Any, pause: ReadPause) -> None:
        self._transport = transport
        self._pause = pause
        self.begun = False

    def close(self) -> None:
        """Close once everything has been written."""
        self._pause.unwatch()
        self._transport.close()

    async def linger(self, *, is_read_whole: bool) -> None:
        """Close after reading for :data:`DISCARD_TIMEOUT_S`.

        Closing with unread bytes would reset the connection, and the caller could lose
        the response.

        Args:
            is_read_whole: Whether the caller's last request has been read whole.
        """
        self.begun = True
        if is_read_whole and not self._pause.active:
            self.close()
            return
        self._pause.end()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        await asyncio.sleep(DISCARD_TIMEOUT_S)
        self.close()

    def reset(self) -> None:
        """Reset the connection, so that a partial response can't look complete."""
        self.begun = True
        sock: socket.socket | None = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._pause.unwatch()
        self._transport.abort()

    def log_cut(
        self,
        exchange: CallerExchange,
        *,
        event: Event,
        reason: str,
        detail: str,
        level: int,
    ) -> None:
        """Log a response that the caller does not get in full."""
        unsent_bytes = self._transport.get_write_buffer_size()
        response = exchange.response
        log_event(
            _logger,
            event,
            level=level,
            request=exchange.request_id,
            reason=reason,
            detail=detail,
            begun=exchange.written_bytes > 0,
            source=response.source if response is not None else "",
            sent_bytes=max(0, exchange.written_bytes - unsent_bytes),
        )
