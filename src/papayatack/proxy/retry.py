"""A plain bounded retry policy, used where no budget is configured."""

import random

__all__ = ["BoundedRetry"]

MAX_ATTEMPTS = 3
FIRST_DELAY_S = 0.01


class BoundedRetry:
    """Allows a fixed number of attempts with jittered exponential delays."""

    def __init__(self, *, rng: random.Random, max_attempts: int = MAX_ATTEMPTS) -> None:
        self._rng = rng
        self._max_attempts = max_attempts

    def record_request(self, now: float) -> None:
        """Note nothing; the bound does not depend on the traffic."""

    def allow_retry(self, now: float, attempt: int, deadline: float) -> float | None:
        """Return the delay before a further attempt inside the deadline."""
        if attempt >= self._max_attempts:
            return None
        delay_s = FIRST_DELAY_S * 2 ** (attempt - 1) * self._rng.uniform(0.5, 1.0)
        return delay_s if now + delay_s < deadline else None
