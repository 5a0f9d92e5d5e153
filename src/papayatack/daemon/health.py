"""Asks the own upstream how it is; the answers are hints to the gate."""

import asyncio

from returns.result import Success

from papayatack.network.grants import GrantClient
from papayatack.proxy.gate import AdmissionGate

__all__ = ["follow_health"]

HEALTH_INTERVAL_S = 1.0


async def follow_health(client: GrantClient, gate: AdmissionGate) -> None:
    """Pass the upstream's health reports on to the gate, until cancelled.

    The gate's own measurements go before a report, which may lag or mislead.
    """
    while True:
        await asyncio.sleep(HEALTH_INTERVAL_S)
        match await client.read_health():
            case Success(health):
                gate.report_health(healthy=health.healthy)
