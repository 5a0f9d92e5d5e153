"""One HTTP/1.1 call to a node's operators' endpoint."""

import asyncio
import dataclasses
import enum
import json
from typing import Any

import h11
from returns.result import Failure, Result, Success

__all__ = ["CallFailure", "CallFailureKind", "Reply", "call_node"]

READ_BYTES = 65_536
MAX_BODY_BYTES = 32 * 1024 * 1024


class CallFailureKind(enum.StrEnum):
    """What is known of a call that was not answered."""

    NOT_SENT = "not-sent"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallFailure:
    """A call without a whole answer.

    Attributes:
        kind: Whether the node may have acted on it.
        detail: What happened.
    """

    kind: CallFailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        body: The body.
    """

    status: int
    body: bytes

    def read_json(self) -> Any:
        """Return the decoded body; ValueError if it is not JSON."""
        return json.loads(self.body)


async def call_node(
    address: str,
    method: str,
    target: str,
    *,
    document: Any = None,
    timeout_s: float,
) -> Result[Reply, CallFailure]:
    """Send one request to ``<ip>:<port>`` and return the whole answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        return _fail(CallFailureKind.NOT_SENT, address, error)
    try:
        async with asyncio.timeout(timeout_s):
            connection = h11.Connection(our_role=h11.CLIENT)
            await _send(connection, writer, address, method, target, document)
            return Success(await _receive(connection, reader))
    except (OSError, TimeoutError, h11.ProtocolError, EOFError) as error:
        return _fail(CallFailureKind.UNANSWERED, address, error)
    finally:
        writer.close()


def _fail(
    kind: CallFailureKind, address: str, error: Exception
) -> Result[Reply, CallFailure]:
    reason = str(error) or type(error).__name__
    return Failure(CallFailure(kind=kind, detail=f"{address}: {reason}"))


async def _send(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    address: str,
    method: str,
    target: str,
    document: Any,
) -> None:
    body = b"" if document is None else json.dumps(document).encode()
    request = h11.Request(
        method=method,
        target=target,
        headers=[
            ("Host", address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ],
    )
    writer.write(connection.send(request) or b"")
    if body:
        writer.write(connection.send(h11.Data(data=body)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")
    await writer.drain()


async def _receive(connection: h11.Connection, reader: asyncio.StreamReader) -> Reply:
    status, parts, size = 0, [], 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif type(event) is h11.Response:
            status = event.status_code
        elif type(event) is h11.Data:
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                raise EOFError("the answer is too large")
        elif type(event) in (h11.EndOfMessage, h11.ConnectionClosed):
            break
    if not status:
        raise EOFError("the node closed the connection without an answer")
    return Reply(status=status, body=b"".join(parts))
