"""Probes whether anything listens at an address."""

import asyncio
import enum

__all__ = ["ProbeResult", "probe"]

PROBE_TIMEOUT_S = 0.3


class ProbeResult(enum.Enum):
    """Result of a connection attempt.

    Attributes:
        LISTENING: The connection was accepted.
        CLOSED: The connection was refused: no process listens.
        UNRESPONSIVE: Neither happened in time.
    """

    LISTENING = "listening"
    CLOSED = "closed"
    UNRESPONSIVE = "silent"


async def probe(address: str) -> ProbeResult:
    """Open a connection to ``<ip>:<port>`` and close it again."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return ProbeResult.CLOSED
    except (OSError, ValueError, OverflowError):
        return ProbeResult.UNRESPONSIVE
    writer.close()
    return ProbeResult.LISTENING
