"""The room and the work left at a node, as it tells others, and its ageing there."""

import dataclasses
import math

from papayatack.core.reported_load import decay_pace

__all__ = ["TOLD_MAX_AGE_S", "NodeLoad", "ToldLoad", "find_wait"]

TOLD_MAX_AGE_S = 5.0
"""Age in seconds after which a told load counts for nothing."""

MEAN_TIME_CONSTANT_S = 2.0
"""Time constant of the mean of what a node told, in seconds."""

MAX_TIME_S = 3600.0
"""Longest told time, in seconds."""

MAX_WORK_S = 1e7
"""Most told work, in slot-seconds."""

MAX_SLOTS = 100_000
MAX_REQUESTS_PER_S = 1e9
MIN_PACE = 0.01
MAX_PACE = 100.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeLoad:
    """The room and the work left at the upstream of a node.

    Attributes:
        wait_s: Expected wait of a new request for a slot, in seconds.
        work_s: Slot-seconds left of what runs and waits, at the upstream's speed. A run
            counts with a whole service time, since nothing says how far it is.
        slots: Slots that may be used now.
        service_s: Mean service time of a request at the usual pace, in seconds.
        requests_per_s: Limit in force; 0 if there is none.
        pace: How long work takes now, relative to usual.
    """

    wait_s: float
    work_s: float
    slots: int
    service_s: float
    requests_per_s: float = 0.0
    pace: float = 1.0

    @property
    def is_plausible(self) -> bool:
        """Whether all values are in their bounds."""
        return (
            0.0 <= self.wait_s <= MAX_TIME_S
            and 0.0 <= self.work_s <= MAX_WORK_S
            and 1 <= self.slots <= MAX_SLOTS
            and 0.0 < self.service_s <= MAX_TIME_S
            and 0.0 <= self.requests_per_s <= MAX_REQUESTS_PER_S
            and MIN_PACE <= self.pace <= MAX_PACE
        )


def find_wait(occupied: float, spread: float, slots: float, service_s: float) -> float:
    """Return the expected wait for a slot, in seconds.

    Args:
        occupied: Mean of the number of requests that run or wait.
        spread: Its standard deviation.
        slots: Slots that may be used.
        service_s: Service time of a request, in seconds.
    """
    excess = occupied - slots + 1.0
    if spread > 0.0:
        deviations = excess / spread
        density = math.exp(-0.5 * deviations * deviations) / math.sqrt(2.0 * math.pi)
        below = 0.5 * math.erfc(-deviations / math.sqrt(2.0))
        excess = spread * density + excess * below
    return max(0.0, excess) * service_s / slots


class ToldLoad:
    """What another node told of its load last, and how much of it is of other senders.

    Args:
        formed_s: When the news was formed, in seconds.
        load: What the node told.
        own: Requests of this node that were under way there at that time.
    """

    __slots__ = ("_formed_s", "_mean_others", "_others", "load")

    def __init__(self, formed_s: float, load: NodeLoad, *, own: int) -> None:
        self.load = load
        self._formed_s = formed_s
        self._others = max(0.0, _count_occupied(load) - own)
        self._mean_others = self._others

    def update(self, formed_s: float, load: NodeLoad, *, own: int) -> None:
        """Record newer news; see the constructor."""
        elapsed_s = max(0.0, formed_s - self._formed_s)
        weight = -math.expm1(-elapsed_s / MEAN_TIME_CONSTANT_S)
        self._others = max(0.0, _count_occupied(load) - own)
        self._mean_others += (self._others - self._mean_others) * weight
        self.load = load
        self._formed_s = formed_s

    def is_current(self, now: float) -> bool:
        """Return whether the news still counts."""
        return now - self._formed_s <= TOLD_MAX_AGE_S

    def is_fresh(self, now: float) -> bool:
        """Return whether the news is younger than a request takes there."""
        return now - self._formed_s <= self.load.service_s * self.load.pace

    def estimate_times(self, now: float, in_flight: int) -> tuple[float, float]:
        """Return the expected wait and service time of a request sent now, in seconds.

        What other senders have there is taken from the news, and with its age from the
        mean of the news. It is the less certain the older the news is, so that senders
        that all heard of a free slot do not all count on it.

        Args:
            now: The current time.
            in_flight: Own requests under way at the node.
        """
        load = self.load
        age_s = max(0.0, now - self._formed_s)
        service_s = load.service_s * decay_pace(load.pace, age_s)
        kept = math.exp(-age_s / service_s)
        others = self._mean_others + (self._others - self._mean_others) * kept
        spread = math.sqrt((others + 1.0) * (1.0 - kept * kept))
        slots = float(load.slots)
        if load.requests_per_s:
            slots = min(slots, load.requests_per_s * service_s)
        wait_s = find_wait(others + in_flight, spread, slots, service_s)
        return wait_s, service_s


def _count_occupied(load: NodeLoad) -> float:
    """Return the number of requests that the told work amounts to."""
    return load.work_s / (load.service_s * load.pace)
