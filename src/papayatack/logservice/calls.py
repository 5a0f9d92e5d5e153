"""HTTP client for the platform's services, with persistent connections."""

import asyncio
import dataclasses
from collections.abc import Callable

import h11

from papayatack.network.exchanges import Headers

__all__ = ["ResponseError", "HttpCall", "HttpClient"]

READ_BYTES = 8 * 1024
"""Maximum number of bytes that are parsed before other tasks get their turn. A parser
takes long for bytes that are many small messages or chunks."""

MAX_HEAD_BYTES = 64 * 1024
"""Maximum number of bytes up to the head of a response, with the interim responses."""

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Default for the maximum size of a response's content."""

MAX_IDLE_CONNECTIONS = 4
CONTENT_TYPE = "application/octet-stream"


class ResponseError(Exception):
    """The service's response is truncated, too large or otherwise unusable."""


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpCall:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: Request body.
        sent: Whether bytes of the request may have reached the service.
    """

    method: str
    target: str
    body: bytes = b""
    sent: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return not (self.reader.at_eof() or self.writer.is_closing())


class HttpClient:
    """HTTP client of one address; concurrent calls use separate connections.

    Call :meth:`close` when done.

    Args:
        host: IP address of the service.
        port: Port of the service.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        content_type: Media type of the request bodies.
        max_response_bytes: Maximum size of a response's content.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connect_timeout_s: float = 1.0,
        content_type: str = CONTENT_TYPE,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._content_type = content_type
        self._max_response_bytes = max_response_bytes
        self._idle: list[_Connection] = []

    async def close(self) -> None:
        """Close the idle connections."""
        self._retire_idle()

    async def call(self, call: HttpCall, *, timeout_s: float) -> tuple[int, bytes]:
        """Send a request and return the response's status and content.

        Raises:
            OSError: No response arrived within ``timeout_s`` seconds, or at all.
            h11.ProtocolError: The response is not valid HTTP.
            ResponseError: The response is too large, or the connection was closed.
        """
        status, content, _ = await self.call_with_headers(call, timeout_s=timeout_s)
        return status, content

    async def call_with_headers(
        self,
        call: HttpCall,
        *,
        timeout_s: float,
        idle_timeout_s: float | None = None,
    ) -> tuple[int, bytes, Headers]:
        """Send a request and return the response's status, content and headers.

        Args:
            call: The request.
            timeout_s: Seconds after which the call is given up.
            idle_timeout_s: If given, a call whose response has begun to arrive is given
                up only if nothing arrives for so many seconds.

        Raises:
            OSError: No response arrived in time, or at all.
            h11.ProtocolError: The response is not valid HTTP.
            ResponseError: The response is too large, or the connection was closed.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s) as limit:

                def extend() -> None:
                    if idle_timeout_s is not None:
                        limit.reschedule(loop.time() + idle_timeout_s)

                return await self._call(call, extend)
        except TimeoutError:
            # A network that lost one open connection may have lost all of them.
            self._retire_idle()
            raise

    async def _call(
        self, call: HttpCall, on_data: Callable[[], None]
    ) -> tuple[int, bytes, Headers]:
        connection = await self._acquire_connection()
        try:
            await self._send(connection, call)
            response = await _receive_response(
                connection, self._max_response_bytes, on_data
            )
        except BaseException:
            connection.writer.close()
            raise
        self._release_connection(connection)
        return response

    async def _send(self, connection: _Connection, call: HttpCall) -> None:
        request = h11.Request(
            method=call.method,
            target=call.target,
            headers=[
                ("Host", self._host),
                ("Content-Type", self._content_type),
                ("Content-Length", str(len(call.body))),
            ],
        )
        protocol = connection.protocol
        data = protocol.send(request)
        data += protocol.send(h11.Data(data=call.body))
        data += protocol.send(h11.EndOfMessage())
        call.sent = True
        connection.writer.write(data)
        await connection.writer.drain()

    def _retire_idle(self) -> None:
        while self._idle:
            self._idle.pop().writer.close()

    async def _acquire_connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.writer.close()
        async with asyncio.timeout(self._connect_timeout_s):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        protocol = h11.Connection(our_role=h11.CLIENT)
        return _Connection(reader=reader, writer=writer, protocol=protocol)

    def _release_connection(self, connection: _Connection) -> None:
        protocol = connection.protocol
        finished = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if finished and len(self._idle) < MAX_IDLE_CONNECTIONS:
            protocol.start_next_cycle()
            self._idle.append(connection)
        else:
            connection.writer.close()


async def _receive_response(
    connection: _Connection,
    max_content_bytes: int,
    on_data: Callable[[], None] = lambda: None,
) -> tuple[int, bytes, Headers]:
    """Receive a response, and call ``on_data`` whenever a part of it arrives."""
    status = 0
    head_bytes = 0
    headers: Headers = ()
    content = bytearray()
    while True:
        event = connection.protocol.next_event()
        if event is h11.NEED_DATA:
            # A read of buffered bytes does not wait.
            await asyncio.sleep(0)
            data = await connection.reader.read(READ_BYTES)
            connection.protocol.receive_data(data)
            on_data()
            head_bytes += 0 if status else len(data)
            if head_bytes > MAX_HEAD_BYTES:
                raise ResponseError("no response within the size limit of its head")
        elif type(event) is h11.Response:
            status = event.status_code
            headers = tuple(event.headers)
        elif type(event) is h11.Data:
            content += event.data
            if len(content) > max_content_bytes:
                raise ResponseError("response exceeds the size limit")
        elif type(event) is h11.EndOfMessage:
            return status, bytes(content), headers
        elif type(event) is h11.ConnectionClosed:
            raise ResponseError("connection closed before the response was complete")
