"""The load that an upstream reports of itself, and how long work takes there now."""

import dataclasses
import math

__all__ = [
    "USUAL_PACE",
    "Pace",
    "ReportedLoad",
    "UpstreamReports",
    "decay_pace",
]

PACE_TIME_CONSTANT_S = 0.1
"""Time constant of the moving average of the pace, in seconds."""

PACE_DECAY_S = 0.5
"""Time constant in seconds with which a pace that is not renewed returns to 1."""

PACE_MAX_AGE_S = 1.0
"""Age in seconds after which a pace counts for nothing."""

MIN_WEIGHT = 0.05
"""Least weight of a reported pace, however shortly it follows another."""

LOAD_MAX_AGE_S = 5.0
"""Age in seconds after which an upstream no longer counts as reporting its load."""

USUAL_PACE = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """What an upstream reports in one response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there for a slot.
        slots: Requests that it runs at once.
        pace: How long work takes relative to usual; ``None`` if not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


def decay_pace(pace: float, age_s: float) -> float:
    """Return what a pace that was known some seconds ago says of the present one."""
    if age_s > PACE_MAX_AGE_S:
        return USUAL_PACE
    weight = math.exp(-max(age_s, 0.0) / PACE_DECAY_S)
    return USUAL_PACE + (pace - USUAL_PACE) * weight


@dataclasses.dataclass(slots=True, kw_only=True)
class Pace:
    """How long work takes at an upstream, relative to usual.

    Attributes:
        value: The moving average of the reported values, as of ``updated_s``.
        updated_s: Time of the last report, in seconds.
    """

    value: float = USUAL_PACE
    updated_s: float = -math.inf

    def record(self, now: float, pace: float) -> None:
        """Add a reported value, weighted by the time since the previous one."""
        elapsed_s = max(0.0, now - self.updated_s)
        if elapsed_s > PACE_MAX_AGE_S:
            self.value = pace
        else:
            weight = -math.expm1(-elapsed_s / PACE_TIME_CONSTANT_S)
            self.value += (pace - self.value) * max(weight, MIN_WEIGHT)
        self.updated_s = now

    def read(self, now: float) -> float:
        """Return the present pace; 1 if there was no recent report."""
        return decay_pace(self.value, now - self.updated_s)


class UpstreamReports:
    """What an upstream process has reported of its load so far.

    Attributes:
        last: The last report; ``None`` if there was none.
        pace: How long work takes there.
    """

    def __init__(self) -> None:
        self.last: ReportedLoad | None = None
        self.pace = Pace()
        self._updated_s = -math.inf

    def record(self, now: float, load: ReportedLoad) -> None:
        """Record a report."""
        self.last = load
        self._updated_s = now
        if load.pace is not None:
            self.pace.record(now, load.pace)

    def is_reported(self, now: float) -> bool:
        """Return whether the upstream has reported its load lately."""
        return now - self._updated_s <= LOAD_MAX_AGE_S

    def find_age_s(self, now: float) -> float:
        """Return the age of the last report in seconds, infinite if there was none."""
        return now - self._updated_s

    def clear(self) -> None:
        """Forget all reports, since the upstream process has ended."""
        self.last = None
        self.pace = Pace()
        self._updated_s = -math.inf
