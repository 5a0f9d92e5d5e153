"""Limits for admission control of one upstream."""

import dataclasses
from collections.abc import Mapping

from papayatack.core.admission.cold_limit import ColdBounds
from papayatack.core.inventory import RequestClass

__all__ = ["DEFAULT_CLASS_SHARES", "AdmissionLimits"]

DEFAULT_CLASS_SHARES: Mapping[RequestClass, float] = {
    RequestClass.ORDER: 0.35,
    RequestClass.BROWSE: 0.55,
    RequestClass.DOWNLOAD: 0.1,
    RequestClass.CALL: 1.0,
}
"""Shares by default: the slots are divided in proportion to those of the classes that
have requests. Calls get half of them while all others want them too: a call that is
refused wastes the slot time of the request that waits for it."""

QUEUE_PER_SLOT = 8
"""Default bound on the queued requests for each slot that a class can use."""

RAMP_S = 10.0
"""Default duration of an upstream's slow start, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionLimits:
    """Capacity of one upstream and how it is shared.

    Attributes:
        slots: Requests that the upstream runs concurrently.
        connections: Connections that the upstream accepts.
        class_shares: Share of the slots guaranteed to each class.
        queue_per_slot: Maximum queued requests for each slot that a class can use.
        ramp_s: Duration of the slow start after the upstream starts, in seconds.
        least_share: Minimum share of the slots that remain usable, however many
            requests the upstream sheds.
        cold: How much the upstream gets while it is cold; ``None`` if not limited.
    """

    slots: int = 14
    connections: int = 130
    class_shares: Mapping[RequestClass, float] = dataclasses.field(
        default_factory=lambda: DEFAULT_CLASS_SHARES
    )
    queue_per_slot: int = QUEUE_PER_SLOT
    ramp_s: float = RAMP_S
    least_share: float = 0.0
    cold: ColdBounds | None = None

    @property
    def usable_slots(self) -> int:
        """Return the concurrency limit, since each request needs its own connection."""
        return max(1, min(self.slots, self.connections))

    def guarantee_slots(self, request_class: RequestClass) -> int:
        """Return the number of slots guaranteed to a class, at least one."""
        return max(1, round(self.class_shares[request_class] * self.usable_slots))
