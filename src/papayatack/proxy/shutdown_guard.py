"""Enforcement of a graceful shutdown's time limits on requests."""

import asyncio
import math
from collections.abc import Awaitable

from returns.result import Failure, Result

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.shutdown import ShutdownPlan
from papayatack.network.exchanges import Response

__all__ = ["LATE_REFUSAL", "ShutdownGuard"]

_REFUSED = Refusal(kind=ErrorKind.NODE_DRAINING, detail="the node is shutting down")
LATE_REFUSAL = Refusal(
    kind=ErrorKind.NODE_DRAINING,
    detail="the node shuts down before the request could end",
)
"""Refusal of a request that cannot end before the end of the drain time."""

_CANCELLED = Refusal(
    kind=ErrorKind.UPSTREAM_TIMEOUT,
    detail="the node shut down before the response arrived",
)


class ShutdownGuard:
    """Tracks the requests in flight and ends them when the drain time is over.

    Requests that wait for a slot or an owner are refused earlier by the component in
    which they wait. A request that is ended here counts as one that may have run.

    Attributes:
        plan: The times of the shutdown; ``None`` before it begins.
    """

    def __init__(self) -> None:
        self.plan: ShutdownPlan | None = None
        self._accept_until_s = math.inf
        self._scopes: set[asyncio.Timeout] = set()

    @property
    def in_flight(self) -> int:
        """Number of requests without a response."""
        return len(self._scopes)

    def begin(self, plan: ShutdownPlan, *, accept_until_s: float) -> None:
        """Limit all requests in flight to the end of the drain time.

        Args:
            plan: The times of the shutdown.
            accept_until_s: Event loop time from which new requests are refused.
        """
        self.plan = plan
        self._accept_until_s = accept_until_s
        for scope in self._scopes:
            scope.reschedule(plan.drain_end_s)

    def limit_deadline(self, deadline_s: float) -> float:
        """Return the deadline, limited by the plan of the shutdown."""
        return deadline_s if self.plan is None else self.plan.limit_deadline(deadline_s)

    def limit_dispatch(self, deadline_s: float, work_s: float | None = None) -> float:
        """Return the event loop time until which a request may wait to be sent.

        Args:
            deadline_s: Event loop time of the request's deadline.
            work_s: Expected duration of its work, in seconds; ``None`` if unknown.
        """
        if self.plan is None:
            return deadline_s
        return self.plan.limit_dispatch(deadline_s, work_s)

    async def run(
        self, execution: Awaitable[Result[Response, Refusal]]
    ) -> Result[Response, Refusal]:
        """Wait for a request's result, at most until the end of the drain time."""
        scope = asyncio.timeout_at(None if self.plan is None else self.plan.drain_end_s)
        try:
            async with scope:
                self._scopes.add(scope)
                return await execution
        except TimeoutError:
            if not scope.expired():
                raise
            return Failure(_CANCELLED)
        finally:
            self._scopes.discard(scope)

    def find_obstacle(self, now: float) -> Refusal | None:
        """Return why a request that arrives now is refused, ``None`` if it is not."""
        return None if now < self._accept_until_s else _REFUSED

    def find_dispatch_obstacle(
        self, now: float, deadline_s: float, work_s: float | None
    ) -> Refusal | None:
        """Return why a request must not be sent now, ``None`` if it may.

        Args:
            now: Event loop time.
            deadline_s: Event loop time of the request's deadline.
            work_s: Expected duration of its work, in seconds; ``None`` if unknown.
        """
        if self.plan is None or now < self.plan.limit_dispatch(deadline_s, work_s):
            return None
        return LATE_REFUSAL
