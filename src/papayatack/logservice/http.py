"""Adapter of the log service's interface to its HTTP form.

The service answers ``POST /streams/NAME/records`` with the new record's offset, and
``GET /streams/NAME/records?from=&limit=&wait_ms=`` with records in base64, or with
status 410 and the oldest kept offset. Status 503 says that an append had no effect.

An append fails with ``UNKNOWN`` exactly when bytes of it may have reached the service
and no usable answer came; everything that fails before is ``REFUSED``.
"""

import asyncio
import dataclasses
import http
import urllib.parse

import h11
import pydantic
from returns.result import Failure, Result, Success

from papayatack.logservice.interface import LogFailure, LogFailureKind, LogPage

__all__ = ["HttpLogService"]

READ_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 4
CONTENT_TYPE = "application/octet-stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _AppendAnswer:
    offset: pydantic.NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PageAnswer:
    first: pydantic.NonNegativeInt
    end: pydantic.NonNegativeInt
    records: tuple[pydantic.Base64Bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ExpiredAnswer:
    first: pydantic.NonNegativeInt


_APPEND_ANSWER = pydantic.TypeAdapter(_AppendAnswer)
_PAGE_ANSWER = pydantic.TypeAdapter(_PageAnswer)
_EXPIRED_ANSWER = pydantic.TypeAdapter(_ExpiredAnswer)


class _AnswerError(Exception):
    """The service's answer cannot be used."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Exchange:
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


class HttpLogService:
    """Calls the log service over kept connections.

    One instance serves all tasks of a process; calls that overlap take connections of
    their own, so that a waiting read delays no append. Call :meth:`close` at the end.

    Args:
        host: IP address of the service.
        port: Port of the service.
        connect_timeout_s: Longest time to open a connection, in seconds.
    """

    def __init__(self, *, host: str, port: int, connect_timeout_s: float = 1.0) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_Connection] = []

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        exchange = _Exchange(method="POST", target=_format_path(stream), body=payload)
        try:
            status, content = await self._call(exchange, timeout_s=timeout_s)
        except (OSError, h11.ProtocolError, _AnswerError) as error:
            kind = LogFailureKind.UNKNOWN if exchange.sent else LogFailureKind.REFUSED
            return _fail(kind, _describe(error))
        if status == http.HTTPStatus.OK:
            try:
                return Success(_APPEND_ANSWER.validate_json(content).offset)
            except ValueError:
                return _fail(LogFailureKind.UNKNOWN, "the answer is not usable")
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE or 400 <= status < 500:
            return _fail(LogFailureKind.REFUSED, f"status {status}")
        return _fail(LogFailureKind.UNKNOWN, f"status {status}")

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        """Return records from ``offset`` on, waiting up to ``wait_s`` for the first."""
        query = urllib.parse.urlencode(
            {"from": offset, "limit": limit, "wait_ms": int(wait_s * 1000)}
        )
        exchange = _Exchange(method="GET", target=f"{_format_path(stream)}?{query}")
        try:
            status, content = await self._call(exchange, timeout_s=timeout_s)
            if status == http.HTTPStatus.GONE:
                first = _EXPIRED_ANSWER.validate_json(content).first
                return Failure(LogFailure(kind=LogFailureKind.EXPIRED, first=first))
            if status != http.HTTPStatus.OK:
                return _fail(LogFailureKind.REFUSED, f"status {status}")
            answer = _PAGE_ANSWER.validate_json(content)
        except (OSError, h11.ProtocolError, _AnswerError, ValueError) as error:
            return _fail(LogFailureKind.REFUSED, _describe(error))
        if answer.first != offset:
            return _fail(LogFailureKind.REFUSED, "the answer has other records")
        page = LogPage(first=answer.first, payloads=answer.records, end=answer.end)
        return Success(page)

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            connection = self._idle.pop()
            connection.writer.close()

    async def _call(self, exchange: _Exchange, *, timeout_s: float):
        """Return status and content of the answer to one call."""
        async with asyncio.timeout(timeout_s):
            connection = await self._take_connection()
            try:
                answer = await _exchange(connection, exchange, host=self._host)
            except BaseException:
                connection.writer.close()
                raise
        self._keep_connection(connection)
        return answer

    async def _take_connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.writer.close()
        async with asyncio.timeout(self._connect_timeout_s):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        protocol = h11.Connection(our_role=h11.CLIENT)
        return _Connection(reader=reader, writer=writer, protocol=protocol)

    def _keep_connection(self, connection: _Connection) -> None:
        protocol = connection.protocol
        finished = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if finished and len(self._idle) < MAX_IDLE_CONNECTIONS:
            protocol.start_next_cycle()
            self._idle.append(connection)
        else:
            connection.writer.close()


async def _exchange(connection: _Connection, exchange: _Exchange, *, host: str):
    protocol = connection.protocol
    request = h11.Request(
        method=exchange.method,
        target=exchange.target,
        headers=[
            ("Host", host),
            ("Content-Type", CONTENT_TYPE),
            ("Content-Length", str(len(exchange.body))),
        ],
    )
    data = protocol.send(request)
    data += protocol.send(h11.Data(data=exchange.body))
    data += protocol.send(h11.EndOfMessage())
    exchange.sent = True
    connection.writer.write(data)
    await connection.writer.drain()
    return await _receive_answer(connection)


async def _receive_answer(connection: _Connection) -> tuple[int, bytes]:
    status = 0
    content = bytearray()
    while True:
        event = connection.protocol.next_event()
        if event is h11.NEED_DATA:
            data = await connection.reader.read(READ_BYTES)
            connection.protocol.receive_data(data)
        elif type(event) is h11.Response:
            status = event.status_code
        elif type(event) is h11.Data:
            content += event.data
            if len(content) > MAX_ANSWER_BYTES:
                raise _AnswerError("the answer is too large")
        elif type(event) is h11.EndOfMessage:
            return status, bytes(content)
        elif type(event) is h11.ConnectionClosed:
            raise _AnswerError("the connection was closed")


def _format_path(stream: str) -> str:
    return f"/streams/{urllib.parse.quote(stream, safe='')}/records"


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _fail(kind: LogFailureKind, detail: str) -> Failure[LogFailure]:
    return Failure(LogFailure(kind=kind, detail=detail))
