"""Detection of event loop stalls."""

import asyncio
import logging
import time

from papayatack.observability.events import Event, log_event, to_ms
from papayatack.observability.metrics import Metrics

__all__ = ["StallMonitor"]

LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""Default time in seconds between two checks."""

STALL_THRESHOLD_S = 0.25
"""Delay of a check in seconds from which it is reported as a stall."""


class StallMonitor:
    """Monitor that reports when the event loop runs late.

    Its log events distinguish a process that had no time to handle its requests from
    one that received none.

    Args:
        metrics: Receives the counter ``loop_stalls`` and the histogram ``loop_lag``.
        interval_s: Time in seconds between two checks. A stall that exceeds it by
            ``STALL_THRESHOLD_S`` is always reported.
    """

    def __init__(
        self, *, metrics: Metrics, interval_s: float = CHECK_INTERVAL_S
    ) -> None:
        self._metrics = metrics
        self._interval_s = interval_s

    async def run(self) -> None:
        """Check the event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self._interval_s
            cpu_start_s = time.process_time()
            await asyncio.sleep(self._interval_s)
            late_s = max(loop.time() - due_s, 0.0)
            self._metrics.record_latency("loop_lag", late_s)
            if late_s < STALL_THRESHOLD_S:
                continue
            self._metrics.count("loop_stalls")
            log_event(
                LOGGER,
                Event.LOOP_STALLED,
                level=logging.WARNING,
                late_ms=to_ms(late_s),
                processor_ms=to_ms(time.process_time() - cpu_start_s),
            )
