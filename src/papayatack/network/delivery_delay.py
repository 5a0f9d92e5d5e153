"""Estimate of how long messages from another process were delayed in delivery."""

__all__ = ["DeliveryDelay"]

EXPIRY_PERIOD_US = 5_000_000
"""Measurements expire after one to two periods, because the clocks drift apart."""


class DeliveryDelay:
    """Estimates delivery delays on one connection from the clocks of its two ends.

    The clocks have unrelated origins, so the difference between receive and send time
    is the clock offset plus the transit time. The smallest recent difference serves as
    the baseline, and the excess over it is the message's delay. This detects messages
    that waited in buffers while a process was paused or overloaded.
    """

    def __init__(self) -> None:
        self._period_start_us: int | None = None
        self._minimum_us: int | None = None
        self._previous_minimum_us: int | None = None

    def measure(self, now_us: int, sent_us: int | None) -> int:
        """Return a message's delay relative to the fastest one, in microseconds.

        Args:
            now_us: Receive time by the local clock, in microseconds.
            sent_us: Send time by the sender's clock, in microseconds; ``None`` if the
                sender does not report it, which counts as no delay.
        """
        if sent_us is None:
            return 0
        self._rotate_period(now_us)
        offset_us = now_us - sent_us
        minimums = [
            minimum_us
            for minimum_us in (self._minimum_us, self._previous_minimum_us)
            if minimum_us is not None
        ]
        if self._minimum_us is None or offset_us < self._minimum_us:
            self._minimum_us = offset_us
        return max(0, offset_us - min(minimums, default=offset_us))

    def _rotate_period(self, now_us: int) -> None:
        """Start a new period if due, keeping the minimum of the previous one."""
        if (
            self._period_start_us is not None
            and now_us - self._period_start_us < EXPIRY_PERIOD_US
        ):
            return
        self._period_start_us = now_us
        if self._minimum_us is not None:
            self._previous_minimum_us = self._minimum_us
            self._minimum_us = None
