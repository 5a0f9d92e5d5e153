"""The times of a planned stop, which knows its end from its beginning.

A stop has a notice, in which callers are served as ever, and a time to drain. Nothing
is begun once half of the drain is over, and whatever is still unanswered at its end
gets an answer of the node's own::

    plan = plan_stop(now, notice_s=2.3, drain_s=2.8)
    plan.limit_deadline(deadline_s)
"""

import dataclasses

__all__ = ["CLOSE_GRACE_S", "ShutdownPlan", "plan_shutdown"]

DISPATCH_SHARE = 0.5
"""Part of the drain in which what has been taken may still begin."""

CLOSE_GRACE_S = 0.5
"""After the end, for the last answers to be written and connections to be closed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownPlan:
    """Times of the event loop.

    Attributes:
        notice_s: Until then callers are served as ever.
        last_come_s: Requests of callers that come later are not taken. Without a
            notice they come until nothing may begin any more.
        last_start_s: From then on nothing is sent to an upstream any more.
        end_s: When what is still unanswered is answered by the node itself.
        close_s: When all must be written, and what is left is closed.
    """

    notice_end_s: float
    accept_until_s: float
    dispatch_until_s: float
    drain_end_s: float
    close_at_s: float

    def limit_deadline(self, deadline_s: float) -> float:
        """Return until when a request may be at work."""
        return min(deadline_s, self.drain_end_s)

    def limit_dispatch(self, deadline_s: float) -> float:
        """Return until when a request may wait to be sent."""
        return min(deadline_s, self.dispatch_until_s)


def plan_shutdown(now: float, *, notice_s: float, drain_s: float) -> ShutdownPlan:
    """Return the times of a stop that begins now.

    Args:
        now: The current time.
        notice_s: Length of the notice.
        drain_s: Time after the notice for what is in flight.
    """
    ending_s = now + notice_s
    last_start_s = ending_s + drain_s * DISPATCH_SHARE
    return ShutdownPlan(
        notice_end_s=ending_s,
        accept_until_s=ending_s if notice_s > 0 else last_start_s,
        dispatch_until_s=last_start_s,
        drain_end_s=ending_s + drain_s,
        close_at_s=ending_s + drain_s + CLOSE_GRACE_S,
    )
