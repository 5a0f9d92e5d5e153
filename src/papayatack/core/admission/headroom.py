"""Slots that must stay free of long work."""

import dataclasses
import math

__all__ = ["Headroom"]

FAST_TIME_CONSTANT_S = 2.0

SLOW_TIME_CONSTANT_S = 20.0

SAFETY_FACTOR = 1.5

NEGLIGIBLE_LOAD = 0.01


@dataclasses.dataclass(slots=True, kw_only=True)
class Headroom:
    """Measures the short classes' need of slots.

    A download cannot be interrupted, so a slot given to it is gone for seconds. The
    short classes therefore keep their mean load plus a multiple of its square root
    (square-root staffing). The greater of a fast and a slow mean counts: the need
    rises in seconds and falls in tens of seconds.

    Attributes:
        updated_s: When the load was last measured.
    """

    updated_s: float
    _fast_mean: float = 0.0
    _slow_mean: float = 0.0

    def record(self, now: float, load: float) -> None:
        """Add the slots in use and asked for since the last call.

        Args:
            now: The current time.
            load: Slots that the short classes used or waited for until now.
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
        """Return the slots to keep for the short classes."""
        load = max(self._fast_mean, self._slow_mean)
        if load < NEGLIGIBLE_LOAD:
            return 0
        return math.ceil(load + SAFETY_FACTOR * math.sqrt(load))
