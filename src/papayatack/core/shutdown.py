"""Schedule of a graceful shutdown, fixed when the shutdown begins.

A shutdown consists of a notice period, in which callers are served as usual, and a
drain period. No request is dispatched to an upstream after the first half of the drain
period, or if it is expected to take longer than what is left of the drain period. The
node itself responds to every request that is still unanswered at its end::

    plan = plan_shutdown(now, notice_s=2.3, drain_s=2.8)
    plan.limit_deadline(deadline_s)
    plan.limit_dispatch(deadline_s, work_s=0.4)
"""

import dataclasses

__all__ = ["CLOSE_GRACE_S", "RESPONSE_MARGIN_S", "ShutdownPlan", "plan_shutdown"]

DISPATCH_SHARE = 0.5
"""Share of the drain period in which accepted requests may still be dispatched."""

RESPONSE_MARGIN_S = 0.1
"""Time by which the work of a dispatched request must end before the drain period."""

CLOSE_GRACE_S = 0.5
"""Time after the drain period to write the last responses and close connections."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownPlan:
    """Event loop times of the stages of a shutdown.

    Attributes:
        notice_end_s: End of the notice period, until which callers are served as usual.
        accept_until_s: Requests of callers that arrive later are refused. Without a
            notice period, requests are accepted as long as they may be dispatched.
        dispatch_until_s: From then on no request is sent to an upstream.
        drain_end_s: When the node itself responds to the remaining requests.
        close_at_s: When all responses must have been written and the remaining
            connections are closed.
    """

    notice_end_s: float
    accept_until_s: float
    dispatch_until_s: float
    drain_end_s: float
    close_at_s: float

    def limit_deadline(self, deadline_s: float) -> float:
        """Return the deadline, or the end of the drain period if that is earlier."""
        return min(deadline_s, self.drain_end_s)

    def limit_dispatch(self, deadline_s: float, work_s: float | None = None) -> float:
        """Return the time until which a request may wait to be dispatched.

        Unless its own deadline comes first, its work must end within the drain period.

        Args:
            deadline_s: Event loop time at which the request ends anyway.
            work_s: Expected duration of its work, in seconds; ``None`` if unknown.
        """
        limit_s = min(deadline_s, self.dispatch_until_s)
        if work_s is None or deadline_s < self.drain_end_s:
            return limit_s
        return min(limit_s, self.drain_end_s - work_s - RESPONSE_MARGIN_S)


def plan_shutdown(now: float, *, notice_s: float, drain_s: float) -> ShutdownPlan:
    """Return the schedule of a shutdown that begins now.

    Args:
        now: Event loop time.
        notice_s: Length of the notice period, in seconds.
        drain_s: Length of the drain period for requests in flight, in seconds.
    """
    notice_end_s = now + notice_s
    dispatch_until_s = notice_end_s + drain_s * DISPATCH_SHARE
    return ShutdownPlan(
        notice_end_s=notice_end_s,
        accept_until_s=notice_end_s if notice_s > 0 else dispatch_until_s,
        dispatch_until_s=dispatch_until_s,
        drain_end_s=notice_end_s + drain_s,
        close_at_s=notice_end_s + drain_s + CLOSE_GRACE_S,
    )
