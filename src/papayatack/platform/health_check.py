"""Asks the upstream's health check which lifetime answers, and whether it is ready."""

import http

import h11

from papayatack.logservice.calls import HttpCall, HttpClient, ResponseError
from papayatack.network.exchanges import Headers, find_header
from papayatack.platform.fields import INSTANCE, LOAD, NOT_EXECUTED
from papayatack.platform.lifetimes import Identity

__all__ = ["check_health"]

TIMEOUT_S = 0.3
MAX_RESPONSE_BYTES = 16 * 1024
MAX_SLOTS = 100_000
SLOTS_FIELD = 2
"""Position of the slots in a reported load."""


async def check_health(address: str, path: str) -> Identity | None:
    """Return what the health check at ``<ip>:<port>`` says.

    Returns:
        ``None`` if there is no answer, or if it names no lifetime or refuses the check
        like any other request.
    """
    host, _, port = address.rpartition(":")
    client = HttpClient(
        host=host, port=int(port), max_response_bytes=MAX_RESPONSE_BYTES
    )
    call = HttpCall(method="GET", target=path)
    try:
        status, _, headers = await client.call_with_headers(call, timeout_s=TIMEOUT_S)
    except (OSError, h11.ProtocolError, ResponseError):
        return None
    finally:
        await client.close()
    return _read_identity(status, headers)


def _read_identity(status: int, headers: Headers) -> Identity | None:
    instance = (find_header(headers, INSTANCE) or b"").decode("latin-1")
    if not instance or find_header(headers, NOT_EXECUTED) is not None:
        return None
    return Identity(
        instance=instance,
        is_ready=status == http.HTTPStatus.OK,
        slots=_read_slots(find_header(headers, LOAD) or b""),
    )


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
