"""Notes when the event loop of a process has stood still."""

import asyncio
import logging
import time

from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["StallMonitor"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
INTERVAL_S = 0.5
LATE_S = 0.25


class StallMonitor:
    """Tells a process that had no time for its requests from one that got none.

    Args:
        metrics: Counts ``loop_stalls`` and records the ``loop_lag``.
        interval_s: Time between two looks. A stall that is longer is always seen.
    """

    def __init__(self, *, metrics: Metrics, interval_s: float = INTERVAL_S) -> None:
        self._metrics = metrics
        self._interval_s = interval_s

    async def run(self) -> None:
        """Look on until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self._interval_s
            used_s = time.process_time()
            await asyncio.sleep(self._interval_s)
            late_s = max(loop.time() - due_s, 0.0)
            self._metrics.record_latency("loop_lag", late_s)
            if late_s < LATE_S:
                continue
            self._metrics.count("loop_stalls")
            log_event(
                LOGGER,
                Event.LOOP_STALLED,
                level=logging.WARNING,
                late_ms=int(late_s * MS_PER_S),
                processor_ms=int((time.process_time() - used_s) * MS_PER_S),
            )
