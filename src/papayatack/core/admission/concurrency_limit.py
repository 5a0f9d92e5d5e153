"""Adaptive limit on the requests that run concurrently at the upstream."""

import dataclasses

__all__ = ["ConcurrencyLimit"]

RAMP_START_SHARE = 0.25
"""Share of the slots that are usable at the beginning of the slow start."""

SHED_DECREASE_FACTOR = 0.8
"""Factor by which the limit decreases when the upstream sheds load."""

SHED_INTERVAL_S = 0.1
"""Minimum time between two decreases, in seconds."""

POLL_INTERVAL_S = 0.05
"""Time between polls while requests wait and the limit may rise, in seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """Limit with slow start, multiplicative decrease and additive increase.

    When the upstream sheds load, the limit decreases by a factor, at most once per
    interval, because all sheds of one burst have the same cause. Each response raises
    the limit by a fraction of a slot, so that it probes for the upstream's real
    capacity.

    Attributes:
        slots: Requests that the upstream declares to run concurrently.
        started_s: Time of the upstream's cold start.
        ramp_s: Duration of the slow start, in seconds.
        least_share: Minimum share of the slots that remains after sheds. An upstream
            that sheds load while it has free slots is not overloaded.
    """

    slots: int
    started_s: float
    ramp_s: float
    least_share: float = 0.0
    _limit: float = dataclasses.field(init=False)
    _last_shed_s: float | None = dataclasses.field(init=False, default=None)

    def __post_init__(self) -> None:
        self._limit = float(self.slots)

    def current_limit(self, now: float) -> int:
        """Return the number of slots that may be in use."""
        if now < self.started_s + self.ramp_s:
            return max(1, int(min(self._limit, self._slow_start_limit(now))))
        return max(1, int(self._limit))

    def is_ramping(self, now: float) -> bool:
        """Return whether the limit is still rising in the slow start."""
        return self._slow_start_limit(now) < self.slots

    def restart(self, now: float) -> None:
        """Begin a new slow start after a restart of the upstream."""
        self.started_s = now
        self._limit = float(self.slots)

    def resize(self, slots: int) -> None:
        """Apply a new number of slots; the limit changes in proportion."""
        self._limit = self._limit * slots / self.slots
        self.slots = slots

    def record_shed(self, now: float, in_use: int) -> None:
        """Decrease the limit below the slots that were in use at the shed."""
        last_s = self._last_shed_s
        if last_s is not None and now - last_s < SHED_INTERVAL_S:
            return
        self._last_shed_s = now
        min_limit = max(1.0, self.least_share * self.slots)
        self._limit = max(
            min_limit, min(self._limit, float(in_use)) * SHED_DECREASE_FACTOR
        )

    def record_response(self) -> None:
        """Raise the limit, by one slot in total for as many responses as the limit."""
        self._limit = min(float(self.slots), self._limit + 1.0 / self._limit)

    def _slow_start_limit(self, now: float) -> float:
        if self.ramp_s <= 0 or now >= self.started_s + self.ramp_s:
            return float(self.slots)
        elapsed = max(0.0, now - self.started_s) / self.ramp_s
        share = RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * elapsed
        return share * self.slots
