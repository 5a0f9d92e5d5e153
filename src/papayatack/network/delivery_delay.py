"""Estimate of how long messages from another process were on their way."""

import math

__all__ = ["DeliveryDelay"]

MESSAGE_PERIOD_US = 5_000_000
ANSWER_PERIOD_US = 60_000_000
"""Bounds expire after one to two periods, because the clocks drift apart. Every message
gives an upper bound, but only an answer a lower one."""

MAX_UNCERTAINTY_US = 100_000


class _RecentMaximum:
    """The largest of the values of the last one to two periods."""

    def __init__(self, *, period_us: int) -> None:
        self._period_us = period_us
        self._period_start_us = -math.inf
        self._current = -math.inf
        self._previous = -math.inf

    @property
    def value(self) -> float:
        """The largest value; negative infinity if there is none."""
        return max(self._current, self._previous)

    def add(self, now_us: int, value: float) -> None:
        """Record a value."""
        self._rotate_period(now_us)
        self._current = max(self._current, value)

    def reset(self) -> None:
        """Forget all values."""
        self._current = self._previous = -math.inf

    def _rotate_period(self, now_us: int) -> None:
        """Start a new period if due, keeping the maximum of the previous one."""
        if now_us - self._period_start_us < self._period_us:
            return
        self._period_start_us = now_us
        if not math.isinf(self._current):
            self._previous, self._current = self._current, -math.inf


class DeliveryDelay:
    """Estimates delivery delays on one connection from the clocks of its two ends.

    The clocks have unrelated origins. How far the local clock is ahead of the sender's
    is bounded from both sides: a message is received after it was sent, and the answer
    to a question was sent after the question. The delay is what a message took by the
    lower of these bounds. It is never too short, and too long by at most the shortest
    round trip. Without an answer, the fastest message counts as not delayed.
    """

    def __init__(self) -> None:
        self._lower = _RecentMaximum(period_us=ANSWER_PERIOD_US)
        self._negated_upper = _RecentMaximum(period_us=MESSAGE_PERIOD_US)
        self._answered_us = -math.inf

    @property
    def is_certain(self) -> bool:
        """Whether the bounds are close to each other."""
        return self._upper_us - self._lower.value <= MAX_UNCERTAINTY_US

    def needs_answer(self, now_us: int) -> bool:
        """Return whether a question to the sender would improve the estimate."""
        if math.isinf(self._lower.value):
            return True
        return now_us - self._answered_us >= ANSWER_PERIOD_US

    def measure(self, now_us: int, sent_us: int | None) -> int:
        """Return a message's delay in microseconds.

        Args:
            now_us: Receive time by the local clock, in microseconds.
            sent_us: Send time by the sender's clock, in microseconds; ``None`` if the
                sender does not report it, which counts as no delay.
        """
        if sent_us is None:
            return 0
        difference_us = now_us - sent_us
        earlier_upper_us = self._upper_us
        self._negated_upper.add(now_us, -difference_us)
        if self._upper_us < self._lower.value:
            self._lower.reset()
        lower_us = self._lower.value
        if math.isinf(lower_us):
            lower_us = min(earlier_upper_us, difference_us)
        return int(difference_us - lower_us)

    def measure_answer(self, now_us: int, sent_us: int | None, asked_us: int) -> None:
        """Improve the estimate by the answer to a question.

        Bounds that contradict it are dropped: a clock has stood still.

        Args:
            now_us: Receive time by the local clock, in microseconds.
            sent_us: Send time by the sender's clock, in microseconds, or ``None``.
            asked_us: Time of the question by the local clock, in microseconds.
        """
        self._answered_us = now_us
        if sent_us is None:
            return
        difference_us = now_us - sent_us
        lower_us = asked_us - sent_us
        if lower_us > self._upper_us:
            self._negated_upper.reset()
        if difference_us < self._lower.value:
            self._lower.reset()
        self._negated_upper.add(now_us, -difference_us)
        self._lower.add(now_us, lower_us)

    @property
    def _upper_us(self) -> float:
        """Upper bound of the clocks' difference; infinite if there is none."""
        return -self._negated_upper.value
