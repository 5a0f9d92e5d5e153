"""Whether the log answers slowly at present."""

__all__ = ["USUAL_RESPONSE_S", "LogSpeed"]

USUAL_RESPONSE_S = 0.1
"""Time for an answer up to which the log counts as fast."""

SLOW_TIME_S = 1.5
"""Time for which the log counts as slow after a slow answer, unless there is news.

A node that hears nothing looks for a configuration itself soon enough for it to be in
force within 2 s, if the log answers within half a second."""


class LogSpeed:
    """Knows how long the log took for the newest answer to any node.

    Only answers count: a call that failed does not show how long an answer takes. Times
    are in seconds of the event loop's clock.

    Attributes:
        read_s: Time of which the newest answer tells; it orders the answers.
        response_s: How long the log took for it; ``None`` if there was none yet.
    """

    def __init__(self) -> None:
        self.read_s = float("-inf")
        self.response_s: float | None = None
        self._slow_until_s = float("-inf")

    def note_answer(self, read_s: float, response_s: float, now: float) -> None:
        """Record an answer of the log to this node, or to another that tells of it.

        Args:
            read_s: Time of which the answer tells.
            response_s: How long the log took for it.
            now: Current time.
        """
        if read_s <= self.read_s:
            return
        self.read_s = read_s
        self.response_s = response_s
        is_slow = response_s > USUAL_RESPONSE_S
        self._slow_until_s = now + SLOW_TIME_S if is_slow else float("-inf")

    def is_slow(self, now: float) -> bool:
        """Return whether the log answers slowly."""
        return now < self._slow_until_s
