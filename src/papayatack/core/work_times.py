"""Estimates of how long requests of a kind take, from those that were answered::

work_times = WorkTimes()
work_times.record("orders", 0.21)
work_times.estimate("orders")  # 0.21
work_times.estimate("pages")  # None
"""

import dataclasses

__all__ = ["WorkTimes"]

SMOOTHING = 0.05
"""Least weight of a new sample in the moving averages."""

DEVIATION_MARGIN = 3.0
"""Mean deviations that an estimate includes, so that few requests take longer."""

MAX_KINDS = 4096
"""Most kinds with an estimate; the one that was first recorded is forgotten."""


@dataclasses.dataclass(slots=True)
class _Average:
    """Moving averages of the samples of one kind, in seconds."""

    mean_s: float
    deviation_s: float = 0.0
    count: int = 1

    def add(self, work_s: float) -> None:
        """Add a sample; early ones count alike, so that the first does not last."""
        self.count += 1
        weight = max(1.0 / self.count, SMOOTHING)
        difference_s = work_s - self.mean_s
        self.mean_s += weight * difference_s
        self.deviation_s += weight * (abs(difference_s) - self.deviation_s)


class WorkTimes:
    """Estimated durations by kind of request."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def record(self, kind: str, work_s: float) -> None:
        """Add the duration of an answered request, in seconds."""
        average = self._averages.get(kind)
        if average is not None:
            average.add(work_s)
            return
        if len(self._averages) >= MAX_KINDS:
            del self._averages[next(iter(self._averages))]
        self._averages[kind] = _Average(work_s)

    def estimate(self, kind: str) -> float | None:
        """Return the duration in seconds to allow for, ``None`` if none is known."""
        average = self._averages.get(kind)
        if average is None:
            return None
        return average.mean_s + DEVIATION_MARGIN * average.deviation_s
