"""Limits of the daemon's parts, from its settings, the inventory and the upstream."""

import asyncio

from papayatack.control.node import ControlNode
from papayatack.core.admission import Limits
from papayatack.core.inventory import Configuration, Service
from papayatack.daemon.announcement import AnnouncedUpstream
from papayatack.daemon.settings import LimitSettings
from papayatack.network.limits import CallerLimits
from papayatack.proxy.gate import AdmissionGate

__all__ = ["build_caller_limits", "find_admission_limits", "follow_limits"]

FOLLOW_INTERVAL_S = 0.25


def build_caller_limits(settings: LimitSettings) -> CallerLimits:
    """Return the limits towards callers that the settings name."""
    return CallerLimits(
        header_bytes=settings.header_bytes,
        body_bytes=settings.body_bytes,
        connections=settings.caller_connections,
        header_timeout_s=settings.header_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
    )


def find_admission_limits(
    configuration: Configuration, upstream: AnnouncedUpstream
) -> Limits:
    """Return the tighter of what the inventory and the upstream say."""
    service = _find_service(configuration, upstream.service)
    if service is None:
        return Limits(slots=upstream.slots, connections=upstream.connections)
    return Limits(
        slots=min(service.slots, upstream.slots),
        connections=min(service.connections, upstream.connections),
    )


async def follow_limits(
    control: ControlNode, gate: AdmissionGate, upstream: AnnouncedUpstream
) -> None:
    """Put each changed inventory in force at the gate, until cancelled."""
    seen: Configuration | None = None
    while True:
        configuration = control.config.configuration
        if configuration is not seen:
            seen = configuration
            limits = find_admission_limits(configuration, upstream)
            gate.configure(limits=limits, partners=configuration.partners)
        await asyncio.sleep(FOLLOW_INTERVAL_S)


def _find_service(configuration: Configuration, name: str) -> Service | None:
    for service in configuration.services:
        if service.name == name:
            return service
    return None
