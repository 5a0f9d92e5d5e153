"""Limit on the requests per second that an upstream names itself."""

import dataclasses
import math

__all__ = ["RateLimit"]

BURST_S = 0.25
"""Period in seconds whose requests may be sent at once after a pause."""

ROUNDING_TOLERANCE = 1e-6
"""Part of a token that may be missing because of rounding."""

LAPSE_S = 1.0
"""Time in seconds for which a limit still applies after it was named last."""


@dataclasses.dataclass(slots=True, kw_only=True)
class RateLimit:
    """A token bucket with the rate that the upstream named last.

    The limit ends with the first response that does not name it, a second or more after
    the last one that did. Until there are responses, it stays.

    Attributes:
        requests_per_s: The limit; ``None`` while there is none.
    """

    requests_per_s: float | None = None
    _tokens: float = 0.0
    _updated_s: float = 0.0
    _named_s: float = -math.inf

    def observe(self, now: float, requests_per_s: float | None) -> None:
        """Record the limit that a response names, ``None`` if it names none."""
        if requests_per_s is not None:
            self._refill(now)
            self.requests_per_s = requests_per_s
            self._named_s = now
        elif now >= self._named_s + LAPSE_S:
            self.clear()

    def clear(self) -> None:
        """End the limit."""
        self.requests_per_s = None
        self._tokens = 0.0
        self._named_s = -math.inf

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        self._refill(now)
        return self.requests_per_s is None or self._tokens >= 1.0 - ROUNDING_TOLERANCE

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._refill(now)
        if self.requests_per_s is not None:
            self._tokens -= 1.0

    def find_next(self, now: float) -> float:
        """Return the time at which the next request may be sent."""
        self._refill(now)
        if self.requests_per_s is None:
            return now
        return now + max(0.0, 1.0 - self._tokens) / self.requests_per_s

    def scale_slots(self, slots: float, service_s: float) -> float:
        """Return how many of the slots the limit keeps busy.

        Args:
            slots: Slots that may be used.
            service_s: Mean service time of a request, in seconds.
        """
        if self.requests_per_s is None or not service_s:
            return slots
        return min(slots, self.requests_per_s * service_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = max(now, self._updated_s)
        if self.requests_per_s is None:
            return
        capacity = max(1.0, self.requests_per_s * BURST_S)
        tokens = self._tokens + elapsed_s * self.requests_per_s
        self._tokens = min(capacity, tokens)
