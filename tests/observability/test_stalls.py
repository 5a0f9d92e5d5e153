"""Tests of papayatack.observability.stalls."""

import asyncio
import time
import unittest

from papayatack.observability.metrics import Metrics
from papayatack.observability.stalls import StallMonitor

STALL_S = 0.4


class StallTests(unittest.IsolatedAsyncioTestCase):
    """A task that holds the event loop up."""

    async def asyncSetUp(self):
        """Watch the loop."""
        self.metrics = Metrics()
        watch = StallMonitor(metrics=self.metrics, interval_s=0.02)
        task = asyncio.ensure_future(watch.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)

    async def stall(self, seconds):
        """Hold the loop up, then give the watch its turn."""
        asyncio.get_running_loop().call_soon(time.sleep, seconds)
        await asyncio.sleep(0.1)

    async def test_a_stall_is_logged(self):
        """With what of it the process used itself."""
        with self.assertLogs("papayatack.observability.stalls", "WARNING") as logs:
            await self.stall(STALL_S)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "LOOP_STALLED")
        self.assertGreater(record.late_ms, 300)
        self.assertLess(record.processor_ms, 200)
        self.assertEqual(self.metrics.read_count("loop_stalls"), 1)

    async def test_short_delays_are_not_logged(self):
        """They are in the histogram alone."""
        with self.assertNoLogs("papayatack.observability.stalls", "WARNING"):
            await self.stall(0.05)
        self.assertIn("loop_lag", self.metrics.latencies)
