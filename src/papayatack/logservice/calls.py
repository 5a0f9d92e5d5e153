"""HTTP calls to the platform's service over kept connections."""

import asyncio
import dataclasses

import h11

from papayatack.network.exchanges import Headers

__all__ = ["ResponseError", "HttpCall", "HttpClient"]

READ_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 4
CONTENT_TYPE = "application/octet-stream"


class ResponseError(Exception):
    """The service's answer cannot be used."""


@dataclasses.dataclass(slots=True, kw_only=True)
class HttpCall:
    """One call.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        sent: Whether bytes of it may have reached the service.
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
        """Whether another call may be sent on it."""
        return not (self.reader.at_eof() or self.writer.is_closing())


class HttpClient:
    """Calls one address; calls that overlap take connections of their own.

    Call :meth:`close` at the end.

    Args:
        host: IP address of the service.
        port: Port of the service.
        connect_timeout_s: Longest time to open a connection, in seconds.
        content_type: Media type of the bodies.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connect_timeout_s: float = 1.0,
        content_type: str = CONTENT_TYPE,
    ) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._content_type = content_type
        self._idle: list[_Connection] = []

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            connection = self._idle.pop()
            connection.writer.close()

    async def call(self, call: HttpCall, *, timeout_s: float) -> tuple[int, bytes]:
        """Return status and content of the answer to one call.

        Raises:
            OSError: No answer came, or not in time.
            h11.ProtocolError: The answer is not HTTP.
            ResponseError: The answer cannot be used.
        """
        status, content, _ = await self.call_with_headers(call, timeout_s=timeout_s)
        return status, content

    async def call_with_headers(
        self, call: HttpCall, *, timeout_s: float
    ) -> tuple[int, bytes, Headers]:
        """Return status, content and header fields of the answer to one call.

        Raises:
            OSError: No answer came, or not in time.
            h11.ProtocolError: The answer is not HTTP.
            ResponseError: The answer cannot be used.
        """
        async with asyncio.timeout(timeout_s):
            connection = await self._acquire_connection()
            try:
                response = await _exchange(
                    connection, call, host=self._host, content_type=self._content_type
                )
            except BaseException:
                connection.writer.close()
                raise
        self._release_connection(connection)
        return response

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


async def _exchange(
    connection: _Connection, call: HttpCall, *, host: str, content_type: str
) -> tuple[int, bytes, Headers]:
    protocol = connection.protocol
    request = h11.Request(
        method=call.method,
        target=call.target,
        headers=[
            ("Host", host),
            ("Content-Type", content_type),
            ("Content-Length", str(len(call.body))),
        ],
    )
    data = protocol.send(request)
    data += protocol.send(h11.Data(data=call.body))
    data += protocol.send(h11.EndOfMessage())
    call.sent = True
    connection.writer.write(data)
    await connection.writer.drain()
    return await _receive_response(connection)


async def _receive_response(connection: _Connection) -> tuple[int, bytes, Headers]:
    status = 0
    headers: Headers = ()
    content = bytearray()
    while True:
        event = connection.protocol.next_event()
        if event is h11.NEED_DATA:
            data = await connection.reader.read(READ_BYTES)
            connection.protocol.receive_data(data)
        elif type(event) is h11.Response:
            status = event.status_code
            headers = tuple(event.headers)
        elif type(event) is h11.Data:
            content += event.data
            if len(content) > MAX_RESPONSE_BYTES:
                raise ResponseError("the answer is too large")
        elif type(event) is h11.EndOfMessage:
            return status, bytes(content), headers
        elif type(event) is h11.ConnectionClosed:
            raise ResponseError("the connection was closed")
