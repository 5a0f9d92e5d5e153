"""HTTP implementation of the log service's interface.

The service responds to ``POST /streams/NAME/records`` with the new record's offset, and
to ``GET /streams/NAME/records?from=&limit=&wait_ms=`` with base64-encoded records, or
with status 410 and the oldest retained offset. Status 503 means that an append had no
effect.

An append fails with ``UNKNOWN`` if its bytes may have reached the service and neither a
usable response nor a status that rules out an effect (503 or 4xx) was received. Any
other failed append is ``REFUSED``.
"""

import dataclasses
import http
import urllib.parse

import h11
import pydantic
from returns.result import Failure, Result, Success

from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.logservice.interface import LogFailure, LogFailureKind, LogPage

__all__ = ["HttpLogService"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _AppendResponse:
    offset: pydantic.NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PageResponse:
    first: pydantic.NonNegativeInt
    end: pydantic.NonNegativeInt
    records: tuple[pydantic.Base64Bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ExpiredResponse:
    first: pydantic.NonNegativeInt


_APPEND_RESPONSE = pydantic.TypeAdapter(_AppendResponse)
_PAGE_RESPONSE = pydantic.TypeAdapter(_PageResponse)
_EXPIRED_RESPONSE = pydantic.TypeAdapter(_ExpiredResponse)


class HttpLogService:
    """Calls the log service over persistent HTTP connections.

    One instance serves all tasks of a process. Concurrent calls use separate
    connections, so a waiting read does not delay an append. Call :meth:`close` when
    done.

    Args:
        host: IP address of the service.
        port: Port of the service.
        connect_timeout_s: Timeout for opening a connection, in seconds.
    """

    def __init__(self, *, host: str, port: int, connect_timeout_s: float = 1.0) -> None:
        self._client = HttpClient(
            host=host, port=port, connect_timeout_s=connect_timeout_s
        )

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""
        call = HttpCall(method="POST", target=_format_path(stream), body=payload)
        try:
            status, content = await self._client.call(call, timeout_s=timeout_s)
        except (OSError, h11.ProtocolError, ResponseError) as error:
            kind = LogFailureKind.UNKNOWN if call.sent else LogFailureKind.REFUSED
            return _fail(kind, _describe(error))
        if status == http.HTTPStatus.OK:
            try:
                return Success(_APPEND_RESPONSE.validate_json(content).offset)
            except ValueError:
                return _fail(
                    LogFailureKind.UNKNOWN, "response to the append has no valid offset"
                )
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
        call = HttpCall(method="GET", target=f"{_format_path(stream)}?{query}")
        try:
            status, content = await self._client.call(call, timeout_s=timeout_s)
            if status == http.HTTPStatus.GONE:
                first = _EXPIRED_RESPONSE.validate_json(content).first
                return Failure(LogFailure(kind=LogFailureKind.EXPIRED, first=first))
            if status != http.HTTPStatus.OK:
                return _fail(LogFailureKind.REFUSED, f"status {status}")
            response = _PAGE_RESPONSE.validate_json(content)
        except (OSError, h11.ProtocolError, ResponseError, ValueError) as error:
            return _fail(LogFailureKind.REFUSED, _describe(error))
        if response.first != offset:
            return _fail(
                LogFailureKind.REFUSED,
                "response does not start at the requested offset",
            )
        page = LogPage(
            first=response.first, payloads=response.records, end=response.end
        )
        return Success(page)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()


def _format_path(stream: str) -> str:
    return f"/streams/{urllib.parse.quote(stream, safe='')}/records"


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__


def _fail(kind: LogFailureKind, detail: str) -> Failure[LogFailure]:
    return Failure(LogFailure(kind=kind, detail=detail))
