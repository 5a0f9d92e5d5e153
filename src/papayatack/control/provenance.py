"""How log records reached a node."""

import dataclasses

from papayatack.core.identity import IncarnationId
from papayatack.core.messages import LogBatch

__all__ = ["US_PER_S", "Provenance"]

US_PER_S = 1_000_000

MAX_HOPS = 1_000
"""Largest number of hops that is told; it is greater than the depth of any tree."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Provenance:
    """How records reached this node.

    Attributes:
        sender: Node that sent the records; empty if this node read them from the log.
        hops: Number of nodes through which they passed before this one.
        read_s: Event loop time at which the first node read them from the log. The
            time that they were on their way between nodes is not included.
    """

    sender: IncarnationId = IncarnationId("")
    hops: int = 0
    read_s: float

    @classmethod
    def of_batch(
        cls, batch: LogBatch, sender: IncarnationId, now: float
    ) -> "Provenance":
        """Return the provenance of the records of a batch that has just arrived."""
        age_s = max(batch.age_us, 0) / US_PER_S
        hops = min(max(batch.hops, 0), MAX_HOPS)
        return cls(sender=sender, hops=hops, read_s=now - age_s)

    def find_age_us(self, now: float) -> int:
        """Return the time since the records were read from the log."""
        return int(max(now - self.read_s, 0.0) * US_PER_S)
