"""The state of one request class."""

import dataclasses

from papayatack.core.admission.queue import FairQueue

__all__ = ["ClassState"]

SMOOTHING = 0.05
DEVIATIONS = 2.0
PRIOR_SECONDS_PER_COST = 0.02


@dataclasses.dataclass(slots=True, kw_only=True)
class ClassState:
    """Queue, slots in use and measured service time of one class.

    Attributes:
        share: Share of the slots that the class is guaranteed.
        queue: Its waiting requests.
        in_use: Slots that it holds.
        refuses: It refused the last request that found no free slot.
        seconds_per_cost: Mean service time of a request of cost 1, once measured.
        deviation: Mean absolute deviation of the service time for a cost of 1.
    """

    share: float
    queue: FairQueue
    in_use: int = 0
    refuses: bool = False
    seconds_per_cost: float | None = None
    deviation: float = 0.0

    @property
    def demand(self) -> int:
        """Return the slots that the class holds or waits for."""
        return self.in_use + len(self.queue)

    def estimate_charge(self, cost: float) -> float:
        """Return the slot seconds that a request is expected to take."""
        return cost * (self.seconds_per_cost or PRIOR_SECONDS_PER_COST)

    def estimate_service_time(self, cost: float) -> float:
        """Return the time to allow for a request, 0 while nothing was measured.

        It is the mean and two deviations: of requests started with just the mean
        time left, many would end late and waste their slots.
        """
        return cost * ((self.seconds_per_cost or 0.0) + DEVIATIONS * self.deviation)

    def record_service(self, cost: float, service_time_s: float) -> None:
        """Learn from a request that was answered."""
        sample = service_time_s / cost
        if self.seconds_per_cost is None:
            self.seconds_per_cost = sample
            return
        difference = sample - self.seconds_per_cost
        self.seconds_per_cost += SMOOTHING * difference
        self.deviation += SMOOTHING * (abs(difference) - self.deviation)
