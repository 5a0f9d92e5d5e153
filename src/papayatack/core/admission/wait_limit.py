"""Limit on the expected wait at which requests of one flow are accepted."""

import dataclasses
import math

__all__ = ["WaitLimit"]

MEMORY_S = 5.0
"""Period in seconds; the permitted waits of this period and of the last one count."""

RESUME_WAIT_RATIO = 0.7
"""Share of the limit to which the expected wait must fall before refused requests are
accepted again."""


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitLimit:
    """Accepts requests up to the shortest wait that recent ones permitted.

    The limit is the same for all requests of a flow. If each were accepted up to the
    wait that it permits itself, the queue of an overloaded upstream would always be too
    long for those that permit less than others.

    Attributes:
        period_start_s: Time at which the current period began.
        shortest_s: Shortest permitted wait in the current period.
        last_shortest_s: Shortest permitted wait in the period before.
        limit_s: Limit that applied to the last request.
        refuses: Whether the last request was refused.
    """

    period_start_s: float = -math.inf
    shortest_s: float = math.inf
    last_shortest_s: float = math.inf
    limit_s: float = math.inf
    refuses: bool = False

    def accept(
        self, now: float, *, wait_s: float, max_wait_s: float, min_limit_s: float
    ) -> bool:
        """Return whether to accept a request, and record the wait that it permits.

        After a refusal, requests are accepted again only once the expected wait has
        fallen well below the limit. With this hysteresis, requests that arrive together
        are accepted or refused together.

        Args:
            now: The current time, in seconds.
            wait_s: The request's expected wait.
            max_wait_s: The wait that the request permits.
            min_limit_s: Lower bound on the limit, however little others permit.
        """
        self._record(now, max_wait_s)
        shortest_s = min(self.shortest_s, self.last_shortest_s)
        self.limit_s = min(max_wait_s, max(shortest_s, min_limit_s))
        if self.refuses:
            self.limit_s *= RESUME_WAIT_RATIO
        self.refuses = wait_s > self.limit_s
        return not self.refuses

    def _record(self, now: float, max_wait_s: float) -> None:
        elapsed_s = now - self.period_start_s
        if elapsed_s >= MEMORY_S:
            ended_now = elapsed_s < 2 * MEMORY_S
            self.last_shortest_s = self.shortest_s if ended_now else math.inf
            self.shortest_s = math.inf
            self.period_start_s = now
        self.shortest_s = min(self.shortest_s, max_wait_s)
