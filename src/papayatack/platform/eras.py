"""The era of the platform's store, which rises when it returns from an older copy."""

import logging

from papayatack.network.exchanges import Headers
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["EraTracker"]

LOGGER = logging.getLogger(__name__)

ERA_NAMES = (b"papayatack-store-era", b"store-era")
MAX_ERA_DIGITS = 6


class EraTracker:
    """Follows the era that the store names in its responses.

    Args:
        metrics: Counts ``store_eras`` by what became of the era of a response.

    Attributes:
        era: Highest era named so far; ``None`` while the store has named none.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.era: int | None = None
        self._metrics = metrics
        self._last_rejected: tuple[str, bytes] | None = None

    def observe(self, headers: Headers) -> bool:
        """Record the era that a response names.

        Returns:
            Whether the response may be used. One of an earlier era may not; one whose
            era is missing or malformed counts as one of the present era.
        """
        value = next((value for name, value in headers if name in ERA_NAMES), None)
        if value is None:
            if self.era is not None:
                self._reject("missing", b"")
            return True
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            self._reject("malformed", value)
            return True
        era = int(value)
        if self.era is not None and era < self.era:
            self._reject("fallen", value)
            return False
        if era != self.era:
            self._rise(era)
        return True

    def _rise(self, era: int) -> None:
        before, self.era = self.era, era
        if before is None:
            return
        self._metrics.count("store_eras", "risen")
        log_event(
            LOGGER, Event.STORE_ERA_RISEN, level=logging.WARNING, before=before, era=era
        )

    def _reject(self, reason: str, value: bytes) -> None:
        """Count an unusable era; log it unless the last one was the same."""
        self._metrics.count("store_eras", reason)
        if self._last_rejected == (reason, value):
            return
        self._last_rejected = (reason, value)
        log_event(
            LOGGER,
            Event.STORE_ERA_REJECTED,
            level=logging.WARNING,
            reason=reason,
            value=value.decode("latin-1"),
            era=self.era,
        )
