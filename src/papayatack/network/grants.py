"""HTTP client for the local upstream's grants, health and load.

:class:`GrantClient` implements :class:`papayatack.control.interface.GrantSink`. The
upstream responds ``409`` to a grant if it has seen a higher fencing token.
"""

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import pydantic
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import LeaseId, ShardId
from papayatack.network.bodies import BytesBody, IncompleteBodyError
from papayatack.network.exchanges import Headers, Request, Response
from papayatack.network.upstreams import UpstreamPool

__all__ = [
    "GrantClient",
    "UpstreamHealth",
    "UpstreamLoad",
    "build_json_request",
    "format_lease",
]

CALL_TIMEOUT_S = 1.0
"""Time for one call, including the connect."""
MAX_REPORT_BYTES = 64 * 1024
"""Largest response body accepted."""
STATUS_CONFLICT = 409
MICROSECONDS = 1_000_000
GRANTS_TARGET = b"/papayatack/grants"

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


class UpstreamHealth(pydantic.BaseModel):
    """Health reported by an upstream; it may be outdated or wrong."""

    healthy: bool = True
    draining: bool = False


class UpstreamLoad(pydantic.BaseModel):
    """Load reported by an upstream; it may be outdated or wrong."""

    busy: float = 0.0
    slots: int = 0


def format_lease(lease: LeaseId) -> str:
    """Return the lease id in the form sent to the upstream."""
    return f"{lease.incarnation}/{lease.term}"


class GrantClient:
    """Tells the local upstream which shards it may serve.

    Attributes:
        pool: Connections to the upstream; ``None`` while no upstream runs.
    """

    def __init__(self, *, pool: UpstreamPool | None = None) -> None:
        self.pool = pool

    def forget(self, *, is_certain: bool = True) -> None:
        """Do nothing when an upstream has ended: the upstream stores its grants."""

    def restart(self) -> None:
        """Do nothing when an upstream restarts: the upstream stores its grants."""

    async def grant(
        self,
        lease: LeaseId,
        tokens: Mapping[ShardId, int],
        until_s: float,
        handovers: Mapping[ShardId, str] | None = None,
    ) -> Result[None, Refusal]:
        """Grant shards with their fencing tokens, before their first request."""
        document = {"lease": format_lease(lease), "tokens": dict(tokens)}
        return await self._send(b"PUT", GRANTS_TARGET, document, until_s)

    async def extend(self, lease: LeaseId, until_s: float) -> Result[None, Refusal]:
        """Extend all grants of a lease."""
        document = {"lease": format_lease(lease)}
        return await self._send(b"POST", GRANTS_TARGET + b"/extend", document, until_s)

    async def revoke(
        self, lease: LeaseId, shards: tuple[ShardId, ...]
    ) -> Result[Mapping[ShardId, str], Refusal]:
        """Revoke the grants of shards.

        The result is empty: these upstreams return no handover data.
        """
        document = {"lease": format_lease(lease), "shards": list(shards)}
        result = await self._send(b"POST", GRANTS_TARGET + b"/revoke", document)
        return result.map(lambda _: {})

    async def read_health(self) -> Result[UpstreamHealth, Refusal]:
        """Return the health that the upstream reports."""
        return await self._read(b"/papayatack/health", UpstreamHealth)

    async def read_load(self) -> Result[UpstreamLoad, Refusal]:
        """Return the load that the upstream reports."""
        return await self._read(b"/papayatack/load", UpstreamLoad)

    async def _send(
        self,
        method: bytes,
        target: bytes,
        document: Mapping[str, Any],
        until_s: float | None = None,
    ) -> Result[None, Refusal]:
        """Send a document, with the time left until ``until_s`` if it is given."""

        def build_data() -> bytes:
            if until_s is None:
                return json.dumps(document).encode()
            remaining_us = _compute_remaining_us(until_s)
            return json.dumps({**document, "remaining_us": remaining_us}).encode()

        result = await self._call(method, target, build_data)
        return result.map(lambda _: None)

    async def _read(
        self, target: bytes, model: type[_Model]
    ) -> Result[_Model, Refusal]:
        result = await self._call(b"GET", target, lambda: b"")
        if not is_successful(result):
            return Failure(result.failure())
        try:
            return Success(model.model_validate_json(result.unwrap()))
        except pydantic.ValidationError as error:
            detail = f"invalid report: {error.error_count()} validation errors"
            return Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=detail))

    async def _call(
        self, method: bytes, target: bytes, build_data: Callable[[], bytes]
    ) -> Result[bytes, Refusal]:
        """Call the upstream with what is returned once a connection is available."""
        pool = self.pool
        if pool is None:
            detail = "this node runs no upstream"
            return Failure(Refusal(kind=ErrorKind.UPSTREAM_UNREACHABLE, detail=detail))
        deadline_s = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        reserved = await pool.reserve(deadline_s=deadline_s)
        if not is_successful(reserved):
            return Failure(reserved.failure())
        request = build_json_request(pool.address, method, target, build_data())
        result = await reserved.unwrap().exchange(request, deadline_s=deadline_s)
        if not is_successful(result):
            return Failure(result.failure())
        return await _read_response(result.unwrap())


def _compute_remaining_us(until_s: float) -> int:
    """Return the microseconds until an event loop time, at least 0."""
    remaining_s = until_s - asyncio.get_running_loop().time()
    return max(0, int(remaining_s * MICROSECONDS))


def build_json_request(
    address: str, method: bytes, target: bytes, data: bytes, *, fields: Headers = ()
) -> Request:
    """Build a JSON request from the node to the upstream at an address.

    Args:
        address: The upstream's ``host:port``.
        method: Method.
        target: Request target.
        data: Encoded body.
        fields: Further header fields.
    """
    return Request(
        method=method,
        target=target,
        headers=(
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
            *fields,
        ),
        body=BytesBody(data=data),
    )


async def _read_response(response: Response) -> Result[bytes, Refusal]:
    """Return the complete body of a 2xx response, or a refusal for any other."""
    data = b""
    try:
        while chunk := await response.body.read():
            data += chunk
            if len(data) > MAX_REPORT_BYTES:
                raise IncompleteBodyError(kind=ErrorKind.BODY_TOO_LARGE)
    except IncompleteBodyError as error:
        return Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST, detail=str(error)))
    finally:
        response.body.close()
    if 200 <= response.status < 300:
        return Success(data)
    refused = response.status == STATUS_CONFLICT
    kind = ErrorKind.GRANT_REFUSED if refused else ErrorKind.UPSTREAM_LOST
    detail = f"the upstream responded with status {response.status}"
    return Failure(Refusal(kind=kind, detail=detail))
