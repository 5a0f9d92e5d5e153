"""Follows whether the local upstream is cold, and has its health check asked."""

import asyncio
import logging
from collections.abc import Callable

from papayatack.core.admission.cold_limit import ColdLimit, ColdState
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics

__all__ = ["ColdWatch"]

LOGGER = logging.getLogger(__name__)


class ColdWatch:
    """Runs a :class:`ColdLimit` on the clock of the event loop.

    Args:
        limit: The limit, which the admission of requests shares.
        metrics: Counts ``cold_questions`` by result, and has the gauge ``cold_room``.
        on_change: Called after news of the upstream.

    Attributes:
        on_question: Called when the health check is to be asked; ``None`` if there is
            nobody who could ask it.
    """

    def __init__(
        self, *, limit: ColdLimit, metrics: Metrics, on_change: Callable[[], None]
    ) -> None:
        self.on_question: Callable[[], None] | None = None
        self._limit = limit
        self._metrics = metrics
        self._on_change = on_change
        self._was_cold = False
        self._cold_since_s = 0.0

    def update(self, now: float) -> bool:
        """Log a change between cold and warm; return whether it has become cold."""
        if self._limit.bounds is None:
            return False
        is_cold = self._limit.is_cold(now)
        if is_cold:
            self._metrics.set_gauge("cold_room", self._limit.count_room(now))
        if is_cold == self._was_cold:
            return False
        self._was_cold = is_cold
        state = self._limit.describe(now)
        if is_cold:
            self._cold_since_s = now
            self._log_cold(state)
        else:
            self._metrics.set_gauge("cold_room", state.room)
            log_event(
                LOGGER,
                Event.UPSTREAM_WARM,
                source=state.source.value,
                cold_ms=to_ms(now - self._cold_since_s),
            )
        return is_cold

    def ask_if_wanted(self, now: float) -> None:
        """Have the health check asked, if its answer is needed now."""
        if self.on_question is not None and self._limit.wants_question(now):
            self.on_question()

    def begin_question(self) -> float | None:
        """Record that the health check is asked now.

        Returns:
            The event loop time, or ``None`` if the answer is not needed any more.
        """
        now = _read_clock()
        if not self._limit.wants_question(now):
            return None
        self._limit.record_question(now)
        return now

    def record_answer(self, asked_s: float, remaining_s: float | None) -> None:
        """Record an answer of the health check of the running upstream.

        Args:
            asked_s: Event loop time at which it was asked.
            remaining_s: Seconds for which the upstream stays cold, 0 if it is not cold;
                ``None`` if the answer does not say so.
        """
        result = (
            "unstated" if remaining_s is None else "cold" if remaining_s else "warm"
        )
        self._metrics.count("cold_questions", result)
        self._limit.record_answer(
            _read_clock(), asked_s=asked_s, remaining_s=remaining_s
        )
        self._on_change()

    def record_failure(self) -> None:
        """Record that the health check did not answer, or for another upstream."""
        self._metrics.count("cold_questions", "failed")
        self._limit.record_failure(_read_clock())
        self._on_change()

    def record_report(self, remaining_s: float) -> None:
        """Record for how long the running upstream reports to stay cold."""
        self._limit.record_report(_read_clock(), remaining_s)
        self._on_change()

    def suspect(self) -> None:
        """Have the health check asked, since the upstream may have restarted."""
        self._limit.request_question()
        self._on_change()

    def describe(self) -> ColdState:
        """Return what is known, for operators."""
        return self._limit.describe(_read_clock())

    def _log_cold(self, state: ColdState) -> None:
        log_event(
            LOGGER,
            Event.UPSTREAM_COLD,
            source=state.source.value,
            remaining_ms=to_ms(state.remaining_s),
            room=state.room,
        )


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
