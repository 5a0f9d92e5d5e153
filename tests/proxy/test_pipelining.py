"""Tests of requests sent ahead through two nodes to an upstream."""

import asyncio
import unittest

from papayatack.daemon.limits import build_caller_limits
from papayatack.daemon.settings import LimitSettings
from tests.proxy.fakes import wait_until
from tests.proxy.two_nodes import TwoNodesTestCase

READ = b"GET /hiring/v/k1?sleep_ms=%d&bytes=100 HTTP/1.1\r\nHost: a\r\n\r\n"
ORDER = b"POST /hiring/v/k1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
LAST = b"GET /hiring/v/k1?bytes=7 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
LONG_MS = 3000
SHORT_MS = 300
READS = 5


class PipeliningTests(TwoNodesTestCase):
    """The second node owns the shard; the first has the limits of the settings."""

    async def asyncSetUp(self):
        """Have the first node serve requests sent ahead side by side."""
        await super().asyncSetUp()
        self.entry.callers.limits = build_caller_limits(LimitSettings())
        self.entry.callers.is_repeatable = self.entry.engine.is_repeatable
        self.most_busy = 0

    def count_runs(self):
        """Return how many requests have reached the upstream."""
        self.most_busy = max(self.most_busy, self.upstream._busy)
        return sum(self.upstream.runs.values())

    async def connect(self, data):
        """Send bytes to the first node; return the connection."""
        port = self.entry.callers.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def test_reads_run_side_by_side_at_the_upstream(self):
        """The later ones start before the first has ended."""
        reader, _ = await self.connect(READ % SHORT_MS * READS + LAST)
        await wait_until(lambda: self.count_runs() == READS + 1)
        self.assertGreaterEqual(self.most_busy, READS)
        data = await reader.read()
        self.assertEqual(data.count(b" 200 "), READS + 1)
        self.assertEqual(len(data.rpartition(b"\r\n\r\n")[2]), 7)

    async def test_order_runs_once_and_alone(self):
        """The upstream gets it once the reads before it are answered."""
        reader, _ = await self.connect(READ % SHORT_MS * 2 + ORDER + LAST)
        await wait_until(lambda: self.count_runs() == 2)
        await asyncio.sleep(SHORT_MS / 3000)
        self.assertEqual(self.count_runs(), 2)
        data = await reader.read()
        self.assertEqual(data.count(b" 200 "), 4)
        self.assertEqual(self.count_runs(), 4)
        self.assertEqual(set(self.upstream.runs.values()), {1})

    async def test_caller_that_leaves_ends_all_at_the_upstream(self):
        """None of them runs to its end."""
        _, writer = await self.connect(READ % LONG_MS * READS)
        await wait_until(lambda: self.count_runs() == READS)
        writer.close()
        await wait_until(lambda: self.upstream.cancelled == READS)
        self.assertEqual(self.upstream._busy, 0)


class SettingsTests(unittest.TestCase):
    """The limits of a node."""

    def test_settings_become_limits(self):
        """Both have an entry of their own."""
        settings = LimitSettings(pipelined_requests=5, pipelined_bytes=6)
        limits = build_caller_limits(settings)
        self.assertEqual((limits.pipelined_requests, limits.pipelined_bytes), (5, 6))
