"""The state of one request class."""

import dataclasses

from papayatack.core.admission.fair_queue import FairQueue

__all__ = ["ClassState"]

SERVICE_TIME_SMOOTHING = 0.05

DEVIATION_MARGIN = 2.0

PRIOR_SECONDS_PER_COST = 0.02

RESUME_WAIT_RATIO = 0.7


@dataclasses.dataclass(slots=True, kw_only=True)
class ClassState:
    """Queue, slots in use and measured service time of one class.

    Attributes:
        share: Share of the slots that the class is guaranteed.
        queue: Its waiting requests.
        in_use: Slots that it holds.
        refused_wait_s: Longest wait that a request allowed and was refused with, since
            such requests were last taken.
        seconds_per_cost: Mean service time of a request of cost 1, once measured.
        deviation: Mean absolute deviation of the service time for a cost of 1.
    """

    share: float
    queue: FairQueue
    in_use: int = 0
    refused_wait_s: float = 0.0
    seconds_per_cost: float | None = None
    deviation: float = 0.0

    @property
    def demand(self) -> int:
        """Return the slots that the class holds or waits for."""
        return self.in_use + len(self.queue)

    def accepts(self, wait_s: float, max_wait_s: float) -> bool:
        """Tell whether to take a request that allows to wait for ``allowed_s``.

        A class that refuses takes requests again only once the wait has sunk well below
        what they allow: those that come together then fare alike.
        """
        refuses = max_wait_s <= self.refused_wait_s
        if wait_s > max_wait_s * (RESUME_WAIT_RATIO if refuses else 1.0):
            self.refused_wait_s = max(self.refused_wait_s, max_wait_s)
            return False
        if refuses:
            self.refused_wait_s = 0.0
        return True

    def estimate_charge(self, cost: float) -> float:
        """Return the slot seconds that a request is expected to take."""
        return cost * (self.seconds_per_cost or PRIOR_SECONDS_PER_COST)

    def estimate_service_time(self, cost: float) -> float:
        """Return the time to allow for a request, 0 while nothing was measured.

        It is the mean and two deviations: of requests started with just the mean
        time left, many would end late and waste their slots.
        """
        return cost * (
            (self.seconds_per_cost or 0.0) + DEVIATION_MARGIN * self.deviation
        )

    def record_service(self, cost: float, service_time_s: float) -> None:
        """Learn from a request that was answered."""
        sample = service_time_s / cost
        if self.seconds_per_cost is None:
            self.seconds_per_cost = sample
            return
        difference = sample - self.seconds_per_cost
        self.seconds_per_cost += SERVICE_TIME_SMOOTHING * difference
        self.deviation += SERVICE_TIME_SMOOTHING * (abs(difference) - self.deviation)
