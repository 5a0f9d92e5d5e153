"""How long a request may wait for a slot so that it can still meet its target."""

import math

from papayatack.core.admission.class_state import ClassState

__all__ = ["find_late_wait", "find_latest_start"]

MIN_LATE_WAIT_S = 0.03
"""Lower bound, in seconds, on the wait of a request that misses its target anyway; it
is the mean service time if that is longer."""


def find_latest_start(
    now: float, state: ClassState, cost: float, target_s: float | None
) -> float:
    """Return the latest start with which a request is expected to meet its target."""
    if target_s is None:
        return math.inf
    mean_s = cost * (state.seconds_per_cost or 0.0)
    return max(target_s - mean_s, now + find_late_wait(state, cost))


def find_late_wait(state: ClassState, cost: float) -> float:
    """Return for how many seconds a request waits that misses its target anyway."""
    return max(cost * (state.seconds_per_cost or 0.0), MIN_LATE_WAIT_S)
