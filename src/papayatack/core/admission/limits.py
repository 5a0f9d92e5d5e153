"""Limits of admission before one upstream."""

import dataclasses
from collections.abc import Mapping

from papayatack.core.inventory import RequestClass

__all__ = ["DEFAULT_CLASS_SHARES", "AdmissionLimits"]

DEFAULT_CLASS_SHARES: Mapping[RequestClass, float] = {
    RequestClass.ORDER: 0.35,
    RequestClass.BROWSE: 0.55,
    RequestClass.DOWNLOAD: 0.1,
}
"""Share of the slots that each class is guaranteed."""

QUEUE_PER_SLOT = 8

RAMP_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionLimits:
    """What one upstream takes.

    Attributes:
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        shares: Share of the slots guaranteed to each class.
        queue_per_slot: Requests that may wait for each slot that a class can use.
        ramp_s: Seconds after a start in which the slots come into use.
        least_share: Share of the slots that stay in use however much is shed.
    """

    slots: int = 14
    connections: int = 130
    class_shares: Mapping[RequestClass, float] = dataclasses.field(
        default_factory=lambda: DEFAULT_CLASS_SHARES
    )
    queue_per_slot: int = QUEUE_PER_SLOT
    ramp_s: float = RAMP_S
    least_share: float = 0.0

    @property
    def usable_slots(self) -> int:
        """Return the requests that may run, each on a connection of its own."""
        return max(1, min(self.slots, self.connections))

    def guarantee_slots(self, request_class: RequestClass) -> int:
        """Return the slots guaranteed to a class, at least one."""
        return max(1, round(self.class_shares[request_class] * self.usable_slots))
