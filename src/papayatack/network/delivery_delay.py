"""How long messages of another process were held up on their way."""

__all__ = ["DeliveryDelay"]

MINIMUM_PERIOD_US = 5_000_000
"""Old measurements are dropped after one or two periods, as clocks drift apart."""


class DeliveryDelay:
    """Compares the clocks of the two ends of one connection.

    The clocks have unrelated origins. The message that came fastest shows how far they
    are apart at most, and each other one how much longer than that it took: what waits
    in buffers before a process that was paused or is overloaded is found to be late.
    """

    def __init__(self) -> None:
        self._period_start_us: int | None = None
        self._minimum_us: int | None = None
        self._previous_minimum_us: int | None = None

    def measure(self, now_us: int, sent_us: int | None) -> int:
        """Return by how many microseconds a message is later than the fastest.

        Args:
            now_us: Time of the own clock.
            sent_us: Time of the sender's clock; ``None`` if it does not tell.
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
        """Begin a new period; that of the last message still counts."""
        if (
            self._period_start_us is not None
            and now_us - self._period_start_us < MINIMUM_PERIOD_US
        ):
            return
        self._period_start_us = now_us
        if self._minimum_us is not None:
            self._previous_minimum_us = self._minimum_us
            self._minimum_us = None
