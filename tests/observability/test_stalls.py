"""Tests of papayatack.observability.stalls."""

import asyncio
import time
import unittest

from papayatack.observability.metrics import Metrics
from papayatack.observability.stalls import StallMonitor

STALL_S = 0.4
"""Duration of a stall in seconds, longer than the threshold."""


class StallMonitorTests(unittest.IsolatedAsyncioTestCase):
    """Monitoring an event loop that a callback blocks."""

    async def asyncSetUp(self):
        """Start the monitor."""
        self.metrics = Metrics()
        monitor = StallMonitor(metrics=self.metrics, interval_s=0.02)
        task = asyncio.ensure_future(monitor.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)

    async def stall(self, seconds):
        """Block the event loop, then let the monitor run."""
        asyncio.get_running_loop().call_soon(time.sleep, seconds)
        await asyncio.sleep(0.1)

    async def test_stall_is_logged(self):
        """The event has the delay and the processor time used by the process."""
        with self.assertLogs("papayatack.observability.stalls", "WARNING") as logs:
            await self.stall(STALL_S)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "LOOP_STALLED")
        self.assertGreater(record.late_ms, 300)
        self.assertLess(record.processor_ms, 200)
        self.assertEqual(self.metrics.read_count("loop_stalls"), 1)

    async def test_short_delays_are_not_logged(self):
        """A delay below the threshold is only recorded in the histogram."""
        with self.assertNoLogs("papayatack.observability.stalls", "WARNING"):
            await self.stall(0.05)
        self.assertIn("loop_lag", self.metrics.latencies)
