"""How long messages of another process were held up on their way."""

__all__ = ["Lag"]

PERIOD_US = 5_000_000
"""Old measurements are dropped after one or two periods, as clocks drift apart."""


class Lag:
    """Compares the clocks of the two ends of one connection.

    The clocks have unrelated origins. The message that came fastest shows how far they
    are apart at most, and each other one how much longer than that it took: what waits
    in buffers before a process that was paused or is overloaded is found to be late.
    """

    def __init__(self) -> None:
        self._since_us: int | None = None
        self._least_us: int | None = None
        self._least_before_us: int | None = None

    def measure(self, now_us: int, sent_us: int | None) -> int:
        """Return by how many microseconds a message is later than the fastest.

        Args:
            now_us: Time of the own clock.
            sent_us: Time of the sender's clock; ``None`` if it does not tell.
        """
        if sent_us is None:
            return 0
        self._turn(now_us)
        lag_us = now_us - sent_us
        known = [
            least
            for least in (self._least_us, self._least_before_us)
            if least is not None
        ]
        if self._least_us is None or lag_us < self._least_us:
            self._least_us = lag_us
        return max(0, lag_us - min(known, default=lag_us))

    def _turn(self, now_us: int) -> None:
        """Begin a new period; that of the last message still counts."""
        if self._since_us is not None and now_us - self._since_us < PERIOD_US:
            return
        self._since_us = now_us
        if self._least_us is not None:
            self._least_before_us = self._least_us
            self._least_us = None
