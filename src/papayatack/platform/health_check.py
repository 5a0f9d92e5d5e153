"""Asks the upstream's health check which lifetime answers, and how it is."""

import asyncio
import http

import h11
from returns.pipeline import is_successful

from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.network.exchanges import Headers, Request, find_header
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.platform.fields import COLD, INSTANCE, LOAD, NOT_EXECUTED, parse_ms
from papayatack.platform.lifetimes import Identity
from papayatack.platform.upstream_calls import build_response_matcher
from papayatack.proxy.buffering import buffer_response

__all__ = ["HealthClient", "check_health", "read_instance"]

TIMEOUT_S = 0.3
MAX_RESPONSE_BYTES = 16 * 1024
MAX_SLOTS = 100_000
SLOTS_FIELD = 2
"""Position of the slots in a reported load."""

REUSE_S = 1.5
"""Time in seconds for which an unused connection is kept: upstreams close idle ones."""


async def check_health(address: str, path: str) -> Identity | None:
    """Return what the health check at ``<ip>:<port>`` says.

    Returns:
        ``None`` if there is no answer, or if it names no lifetime or refuses the check
        like any other request.
    """
    client = HealthClient(address=address)
    try:
        return await client.check(path)
    finally:
        await client.close()


async def read_instance(
    connection: UpstreamConnection, *, address: str, path: str, deadline_s: float
) -> str:
    """Return the id of the lifetime that answers on a connection.

    It is empty if there is no answer before an event loop time that names one. A
    lifetime that is not ready, or has no free slot, names itself all the same.
    """
    request = Request(
        method=b"GET", target=path.encode(), headers=((b"host", address.encode()),)
    )
    result = await connection.exchange(
        request, deadline_s=deadline_s, matches_request=build_response_matcher()
    )
    if not is_successful(result):
        return ""
    buffered = await buffer_response(result.unwrap())
    if not is_successful(buffered):
        return ""
    return _find_instance(buffered.unwrap().headers)


class HealthClient:
    """Asks one upstream's health check repeatedly, on a connection that is kept.

    Args:
        address: ``<ip>:<port>`` of the upstream.
    """

    def __init__(self, *, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._client = HttpClient(
            host=host, port=int(port), max_response_bytes=MAX_RESPONSE_BYTES
        )
        self._used_s = float("-inf")

    async def check(self, path: str) -> Identity | None:
        """Return what the health check says, as :func:`check_health` does."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._used_s >= REUSE_S:
            await self._client.close()
        call = HttpCall(method="GET", target=path)
        try:
            status, _, headers = await self._client.call_with_headers(
                call, timeout_s=TIMEOUT_S
            )
        except (OSError, h11.ProtocolError, ResponseError):
            return None
        self._used_s = loop.time()
        return _read_identity(status, headers)

    async def close(self) -> None:
        """Close the connection."""
        await self._client.close()


def _read_identity(status: int, headers: Headers) -> Identity | None:
    instance = _find_instance(headers)
    if not instance or find_header(headers, NOT_EXECUTED) is not None:
        return None
    return Identity(
        instance=instance,
        is_ready=status == http.HTTPStatus.OK,
        slots=_read_slots(find_header(headers, LOAD) or b""),
        cold_s=parse_ms(find_header(headers, COLD)),
    )


def _find_instance(headers: Headers) -> str:
    return (find_header(headers, INSTANCE) or b"").decode("latin-1")


def _read_slots(load: bytes) -> int:
    """Return the number of slots in a reported load, 0 if it is malformed.

    A load has the numbers of running and waiting requests, the slots, and in some
    installations the present speed of the machine.
    """
    fields = load.split(b",")
    if len(fields) <= SLOTS_FIELD or not fields[SLOTS_FIELD].isdigit():
        return 0
    slots = int(fields[SLOTS_FIELD])
    return slots if slots <= MAX_SLOTS else 0
