"""Queue and service-time estimate of one request class of one rank."""

import dataclasses
from collections.abc import Mapping

from papayatack.core.admission.fair_queue import FairQueue
from papayatack.core.admission.wait_limit import WaitLimit
from papayatack.core.inventory import RequestClass

__all__ = ["WORK_MEMORY_S", "ClassState"]

SERVICE_TIME_SMOOTHING = 0.05
"""Weight of a new sample in the moving averages of the service time."""

DEVIATION_MARGIN = 2.0
"""Mean deviations that the time allowed for a request includes."""

WORK_MEMORY_S = 3.0
"""Time constant in seconds of the decided and started work."""

PRIOR_SECONDS_PER_COST = 0.02
"""Service time in seconds that is assumed for a cost of 1 before the first sample."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ClassState:
    """Queue, slots in use and measured service time of one class of one rank.

    Attributes:
        request_class: The class.
        rank: Precedence of its requests; 0 is the highest.
        share: Share of the slots that is guaranteed to the class.
        queue: Queued requests of the class.
        in_use: Slots that the class holds.
        wait_limits: Limits on the expected wait, by the name of the flow.
        usual_seconds_per_cost: Mean service time for a cost of 1 at the usual pace, in
            seconds; ``None`` before the first sample.
        usual_deviation: Mean absolute deviation of that service time.
        pace: How long work takes at the upstream now, relative to usual.
        decided_work: Expected slot-seconds of the requests that got a slot, were
            refused or left; older ones count less.
        started_work: The same of those that got a slot.
        precedence: Orders the classes of all ranks. The calls of a rank come before its
            other requests, since the requests that wait for them hold slots.
    """

    request_class: RequestClass
    rank: int
    share: float
    queue: FairQueue
    in_use: int = 0
    wait_limits: dict[str, WaitLimit] = dataclasses.field(default_factory=dict)
    usual_seconds_per_cost: float | None = None
    usual_deviation: float = 0.0
    pace: float = 1.0
    decided_work: float = 0.0
    started_work: float = 0.0
    precedence: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        is_call = self.request_class is RequestClass.CALL
        self.precedence = 2 * self.rank + (0 if is_call else 1)

    @property
    def load(self) -> float:
        """Return the mean number of slots that the started requests use."""
        return self.started_work / WORK_MEMORY_S

    @property
    def seconds_per_cost(self) -> float | None:
        """Mean service time for a cost of 1 now, ``None`` before the first sample."""
        if self.usual_seconds_per_cost is None:
            return None
        return self.usual_seconds_per_cost * self.pace

    @property
    def deviation(self) -> float:
        """Mean absolute deviation of the service time for a cost of 1 now."""
        return self.usual_deviation * self.pace

    @property
    def demand(self) -> int:
        """Return the number of slots that the class holds or waits for."""
        return self.in_use + len(self.queue)

    def get_wait_limit(self, flow: str) -> WaitLimit:
        """Return the limit on the expected wait of a flow."""
        return self.wait_limits.setdefault(flow, WaitLimit())

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply new weights of the partners, and drop the limits of removed ones."""
        self.queue.set_weights(weights)
        for flow in list(self.wait_limits):
            if self.queue.find_flow(flow) != flow:
                del self.wait_limits[flow]

    def estimate_charge(self, cost: float) -> float:
        """Return the expected use of a slot by a request, in slot-seconds."""
        return cost * (self.seconds_per_cost or PRIOR_SECONDS_PER_COST)

    def estimate_cost(self, charge: float) -> float:
        """Return the cost to which an expected use of slot-seconds corresponds."""
        return charge / (self.seconds_per_cost or PRIOR_SECONDS_PER_COST)

    def estimate_service_time(self, cost: float) -> float:
        """Return the time to allow for a request, 0 before the first sample.

        This is the mean plus two deviations: many requests that start with only the
        mean time left would finish late and waste their slots.
        """
        return cost * (
            (self.seconds_per_cost or 0.0) + DEVIATION_MARGIN * self.deviation
        )

    def record_service(self, cost: float, service_time_s: float) -> None:
        """Update the estimate with the service time of an answered request."""
        sample = service_time_s / (cost * self.pace)
        if self.usual_seconds_per_cost is None:
            self.usual_seconds_per_cost = sample
            return
        difference = sample - self.usual_seconds_per_cost
        deviation = abs(difference) - self.usual_deviation
        self.usual_seconds_per_cost += SERVICE_TIME_SMOOTHING * difference
        self.usual_deviation += SERVICE_TIME_SMOOTHING * deviation
