"""Limits of the daemon's parts, from its settings, the inventory and the upstream."""

import asyncio
import dataclasses
from typing import Protocol

from papayatack.control.node import ControlNode
from papayatack.core.admission import (
    DEFAULT_CLASS_SHARES,
    AdmissionLimits,
    ColdBounds,
)
from papayatack.core.inventory import Configuration, Service
from papayatack.daemon.announcement import AnnouncedUpstream
from papayatack.daemon.settings import LimitSettings
from papayatack.network.callers import CallerServer
from papayatack.network.limits import CallerLimits
from papayatack.proxy.gate import AdmissionGate

__all__ = [
    "apply_admission_limits",
    "build_caller_limits",
    "build_side_limits",
    "find_admission_limits",
    "follow_limits",
]

FOLLOW_INTERVAL_S = 0.25
START_INTERVAL_S = 0.05
"""Interval in seconds while the service of the upstream is not yet known."""

SPARE_CONNECTIONS = 4
"""Left for whoever else asks the upstream how it is."""


class UpstreamHolder(Protocol):
    """Knows the upstream in service."""

    current: AnnouncedUpstream | None

    def limit_connections(self, connections: int) -> None:
        """Open at most so many connections to the upstream."""


def build_caller_limits(
    settings: LimitSettings, configuration: Configuration | None = None
) -> CallerLimits:
    """Return the limits towards callers; a configuration's bounds go first."""
    limits = CallerLimits(
        header_bytes=settings.header_bytes,
        body_bytes=settings.body_bytes,
        connections=settings.caller_connections,
        header_timeout_s=settings.header_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
        pipelined_requests=settings.pipelined_requests,
        pipelined_bytes=settings.pipelined_bytes,
    )
    bounds = configuration.bounds if configuration is not None else None
    if bounds is None:
        return limits
    return dataclasses.replace(
        limits,
        header_bytes=bounds.header_bytes,
        body_bytes=bounds.body_bytes,
        header_timeout_s=bounds.header_timeout_s,
        idle_timeout_s=bounds.idle_timeout_s,
    )


def build_side_limits(settings: LimitSettings) -> CallerLimits:
    """Return the limits at the ports for the upstream, readiness and operators."""
    return CallerLimits(connections=settings.side_connections)


def find_admission_limits(
    configuration: Configuration, upstream: AnnouncedUpstream, settings: LimitSettings
) -> AdmissionLimits:
    """Return the tighter of what the inventory and the upstream say."""
    service = _find_service(configuration, upstream.service)
    if service is None:
        return AdmissionLimits(slots=upstream.slots, connections=upstream.connections)
    return AdmissionLimits(
        slots=min(service.slots, upstream.slots),
        connections=min(service.connections, upstream.connections),
        ramp_s=service.ramp_s,
        least_share=service.least_share,
        class_shares=service.shares or DEFAULT_CLASS_SHARES,
        cold=_find_cold_bounds(service, settings),
    )


def apply_admission_limits(
    configuration: Configuration,
    gate: AdmissionGate,
    upstream: AnnouncedUpstream,
    settings: LimitSettings,
) -> AdmissionLimits:
    """Put the limits of an upstream in force, and return them."""
    limits = find_admission_limits(configuration, upstream, settings)
    gate.configure(limits=limits, partners=configuration.partners)
    return limits


async def follow_limits(
    control: ControlNode,
    gate: AdmissionGate,
    holder: UpstreamHolder,
    callers: CallerServer,
    settings: LimitSettings,
) -> None:
    """Put each changed inventory or upstream in force, until cancelled."""
    seen: tuple[Configuration, AnnouncedUpstream | None] | None = None
    while True:
        configuration = control.config.configuration
        now = (configuration, holder.current)
        if seen is None or now[0] is not seen[0] or now[1] != seen[1]:
            seen = now
            callers.limits = build_caller_limits(settings, configuration)
            if holder.current is not None:
                limits = apply_admission_limits(
                    configuration, gate, holder.current, settings
                )
                holder.limit_connections(max(1, limits.connections - SPARE_CONNECTIONS))
        is_unknown = (
            holder.current is not None
            and _find_service(configuration, holder.current.service) is None
        )
        await asyncio.sleep(START_INTERVAL_S if is_unknown else FOLLOW_INTERVAL_S)


def _find_cold_bounds(service: Service, settings: LimitSettings) -> ColdBounds | None:
    if not service.cold_requests_per_s:
        return None
    return ColdBounds(
        requests_per_s=service.cold_requests_per_s,
        start_s=service.cold_start_s,
        overrun=settings.cold_overrun,
        slack=settings.cold_slack,
    )


def _find_service(configuration: Configuration, name: str) -> Service | None:
    for service in configuration.services:
        if service.name == name:
            return service
    return None
