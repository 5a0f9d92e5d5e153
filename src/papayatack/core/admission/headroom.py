"""Slots reserved for the classes of short requests."""

import dataclasses
import math

__all__ = ["Headroom"]

FAST_TIME_CONSTANT_S = 2.0
"""Time constant of the mean that follows a rising load, in seconds."""

SLOW_TIME_CONSTANT_S = 20.0
"""Time constant of the mean that bounds how fast the reservation falls, in seconds."""

SAFETY_FACTOR = 1.5
"""Multiple of the square root of the load that is reserved beyond the load itself."""

NEGLIGIBLE_LOAD = 0.01
"""Load in slots below which nothing is reserved."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Headroom:
    """Estimates how many slots the classes of short requests need.

    A download cannot be interrupted and occupies its slot for seconds. The classes of
    short requests therefore reserve their mean load plus a multiple of its square root
    (square-root staffing). The estimate uses the greater of a fast and a slow mean, so
    that it rises within seconds and falls within tens of seconds.

    Attributes:
        updated_s: Time of the last measurement.
    """

    updated_s: float
    _fast_mean: float = 0.0
    _slow_mean: float = 0.0

    def record(self, now: float, load: float) -> None:
        """Record the load of the period since the last call.

        Args:
            now: The current time.
            load: Slots that the short classes held or waited for in that period.
        """
        elapsed_s = now - self.updated_s
        if elapsed_s <= 0:
            return
        self.updated_s = now
        self._fast_mean += (load - self._fast_mean) * -math.expm1(
            -elapsed_s / FAST_TIME_CONSTANT_S
        )
        self._slow_mean += (load - self._slow_mean) * -math.expm1(
            -elapsed_s / SLOW_TIME_CONSTANT_S
        )

    def required_slots(self) -> int:
        """Return the number of slots to reserve for the short classes."""
        load = max(self._fast_mean, self._slow_mean)
        if load < NEGLIGIBLE_LOAD:
            return 0
        return math.ceil(load + SAFETY_FACTOR * math.sqrt(load))
