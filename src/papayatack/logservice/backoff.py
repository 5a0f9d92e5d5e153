"""Delays between retries of calls to the log service."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Exponential backoff with jitter.

    Each delay is drawn uniformly between half of a ceiling and the ceiling, which
    doubles at each failure.

    Args:
        initial_s: Ceiling of the first delay, in seconds.
        max_s: Upper bound of the ceiling, in seconds.
        random: Source of the jitter, which keeps nodes from retrying in sync.
    """

    def __init__(
        self, *, initial_s: float, max_s: float, random: random.Random
    ) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random
        self._next_s = initial_s

    def advance_delay_s(self) -> float:
        """Return the next delay, in seconds, and double its ceiling."""
        ceiling_s = self._next_s
        self._next_s = min(self._next_s * 2, self._max_s)
        return self._random.uniform(ceiling_s / 2, ceiling_s)

    def reset(self) -> None:
        """Reset the delay to its initial ceiling, after a success."""
        self._next_s = self._initial_s
