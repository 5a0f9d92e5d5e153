"""Delays between repeated calls of the log service."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Doubles a delay at each failure, with full jitter.

    Args:
        first_s: Longest first delay, in seconds.
        longest_s: Longest delay, in seconds.
        random: Source of the jitter, so that nodes do not call in step.
    """

    def __init__(
        self, *, initial_s: float, max_s: float, random: random.Random
    ) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random
        self._next_s = initial_s

    def advance_delay_s(self) -> float:
        """Return the delay before the next attempt."""
        ceiling_s = self._next_s
        self._next_s = min(self._next_s * 2, self._max_s)
        return self._random.uniform(ceiling_s / 2, ceiling_s)

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self._next_s = self._initial_s
