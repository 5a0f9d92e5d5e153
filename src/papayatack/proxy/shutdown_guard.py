"""Gives requests their end by the plan of a stop."""

import asyncio
import math
from collections.abc import Awaitable

from returns.result import Failure, Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.shutdown import ShutdownPlan
from papayatack.network.exchanges import Response

__all__ = ["ShutdownGuard"]

_REFUSED = Refusal(kind=ErrorKind.NODE_DRAINING, detail="the node is stopping")
_CUT = Refusal(
    kind=ErrorKind.UPSTREAM_TIMEOUT, detail="the node stopped before the answer came"
)


class ShutdownGuard:
    """Knows the requests in flight, and ends them when a stop is at its end.

    What waits for a slot or an owner is refused before by whoever lets it wait. What is
    left at the end counts as one that may have run.

    Attributes:
        plan: The stop's times; ``None`` for a node that goes on.
    """

    def __init__(self) -> None:
        self.plan: ShutdownPlan | None = None
        self._last_come_s = math.inf
        self._scopes: set[asyncio.Timeout] = set()

    @property
    def in_flight(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._scopes)

    def begin(self, plan: ShutdownPlan, *, accept_until_s: float) -> None:
        """Give all requests in flight their end, and take none later than a time."""
        self.plan = plan
        self._last_come_s = accept_until_s
        for scope in self._scopes:
            scope.reschedule(plan.drain_end_s)

    def limit_deadline(self, deadline_s: float) -> float:
        """Return until when a request may be at work."""
        return deadline_s if self.plan is None else self.plan.limit_deadline(deadline_s)

    def limit_dispatch(self, deadline_s: float) -> float:
        """Return until when a request may wait to be sent."""
        return deadline_s if self.plan is None else self.plan.limit_dispatch(deadline_s)

    async def run(
        self, work: Awaitable[Result[Response, Refusal]]
    ) -> Result[Response, Refusal]:
        """Wait for a request's result, but not beyond the end of a stop."""
        scope = asyncio.timeout_at(None if self.plan is None else self.plan.drain_end_s)
        try:
            async with scope:
                self._scopes.add(scope)
                return await work
        except TimeoutError:
            if not scope.expired():
                raise
            return Failure(_CUT)
        finally:
            self._scopes.discard(scope)

    def find_obstacle(self, now: float) -> Refusal | None:
        """Return why a request that comes now is not taken."""
        return None if now < self._last_come_s else _REFUSED
