"""How many requests the upstream is given at once."""

import dataclasses

__all__ = ["ConcurrencyLimit"]

RAMP_START_SHARE = 0.25

SHED_DECREASE_FACTOR = 0.8

SHED_INTERVAL_S = 0.1

POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """Slots that may be used now: ramped after a cold start, cut by sheds.

    A shed cuts the limit by a factor, at most once an interval, for the sheds of
    one burst speak of one overload; each answer raises it again by a fraction of a
    slot, so that the limit probes for the upstream's true capacity.

    Attributes:
        slots: Requests that the upstream says it runs at once.
        started_s: When the upstream started, cold.
        ramp_s: Time to reach all slots.
        least_share: Share of the slots that sheds leave in use. An upstream that sheds
            while it has free slots does not do so for too much work.
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
        """Return the slots that may be in use."""
        if now < self.started_s + self.ramp_s:
            return max(1, int(min(self._limit, self._slow_start_limit(now))))
        return max(1, int(self._limit))

    def is_ramping(self, now: float) -> bool:
        """Return whether time alone will raise the limit."""
        return self._slow_start_limit(now) < self.slots

    def restart(self, now: float) -> None:
        """Ramp again, for the upstream was restarted."""
        self.started_s = now
        self._limit = float(self.slots)

    def resize(self, slots: int) -> None:
        """Put a new number of slots in force."""
        self._limit = self._limit * slots / self.slots
        self.slots = slots

    def record_shed(self, now: float, in_use: int) -> None:
        """Cut the limit below what was in use when the upstream shed."""
        last_s = self._last_shed_s
        if last_s is not None and now - last_s < SHED_INTERVAL_S:
            return
        self._last_shed_s = now
        min_limit = max(1.0, self.least_share * self.slots)
        self._limit = max(
            min_limit, min(self._limit, float(in_use)) * SHED_DECREASE_FACTOR
        )

    def record_response(self) -> None:
        """Raise the limit by one slot for each round of answers."""
        self._limit = min(float(self.slots), self._limit + 1.0 / self._limit)

    def _slow_start_limit(self, now: float) -> float:
        if self.ramp_s <= 0 or now >= self.started_s + self.ramp_s:
            return float(self.slots)
        elapsed = max(0.0, now - self.started_s) / self.ramp_s
        share = RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * elapsed
        return share * self.slots
