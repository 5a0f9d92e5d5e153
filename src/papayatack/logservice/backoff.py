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
        self, *, first_s: float, longest_s: float, random: random.Random
    ) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = random
        self._next_s = first_s

    def take_delay_s(self) -> float:
        """Return the delay before the next attempt."""
        limit_s = self._next_s
        self._next_s = min(self._next_s * 2, self._longest_s)
        return self._random.uniform(limit_s / 2, limit_s)

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self._next_s = self._first_s
