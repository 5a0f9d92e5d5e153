"""Writing of responses to a caller, with back-pressure."""

import asyncio
from typing import Any

import h11

from papayatack.network.caller_exchange import CallerExchange
from papayatack.network.exchanges import Response

__all__ = ["WRITE_HIGH_BYTES", "ResponseWriter"]

WRITE_HIGH_BYTES = 64 * 1024
"""High-water mark of the transport's write buffer."""
_END = h11.EndOfMessage()


class ResponseWriter:
    """Writes one response after the other to a transport.

    Attributes:
        paused: Whether the transport's write buffer is full.
        deadline_s: When the caller counts as too slow, ``None`` unless paused.
    """

    __slots__ = ("_transport", "_waiter", "deadline_s", "paused")

    def __init__(self, *, transport: Any) -> None:
        self._transport = transport
        self._waiter: asyncio.Future[None] | None = None
        self.paused = False
        self.deadline_s: float | None = None
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)

    def pause(self, deadline_s: float) -> None:
        """Write nothing more until the write buffer has been emptied."""
        self.paused = True
        self.deadline_s = deadline_s

    def resume(self) -> None:
        """Go on writing."""
        self.paused = False
        self.deadline_s = None
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def send(
        self, exchange: CallerExchange, response: Response, *, closes: bool
    ) -> None:
        """Write a response; its head goes out with the body bytes already available.

        Args:
            exchange: The exchange that the response ends.
            response: The response.
            closes: Whether the response says that the connection will be closed.

        Raises:
            IncompleteBodyError: If the response's body ends early.
            h11.LocalProtocolError: If the response is not valid HTTP.
        """
        parser = exchange.parser
        headers = list(response.headers)
        if closes:
            headers.append((b"connection", b"close"))
        head = h11.Response(
            status_code=response.status, headers=headers, reason=response.reason
        )
        pending = [parser.send(head)]
        size = 0
        body = response.body
        while not exchange.head_only:
            if size >= WRITE_HIGH_BYTES or not body.ready:
                await self._write(exchange, pending)
                pending, size = [], 0
            data = await body.read()
            if not data:
                break
            pending.append(parser.send(h11.Data(data=data)))
            size += len(data)
        pending.append(parser.send(_END))
        await self._write(exchange, pending)

    def send_continue(self, exchange: CallerExchange) -> None:
        """Ask for the body of a request whose sender waits for that."""
        parser = exchange.parser
        if parser.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(
                status_code=100, headers=[], reason=b"Continue"
            )
            self._transport.write(parser.send(head))

    async def _write(self, exchange: CallerExchange, parts: list[bytes | None]) -> None:
        data = b"".join([part for part in parts if part])
        if data:
            exchange.written_bytes += len(data)
            self._transport.write(data)
        while self.paused:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
