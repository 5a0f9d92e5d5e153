"""Tests of a real node beside an upstream that is cold, measured by the upstream."""

import asyncio
import bisect
import contextlib
import json
import random

from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase

COLD_S = 6.0
COLD_PER_S = 6
MOST_IN_A_SECOND = 17
"""With the bounds of the settings: 6 x 1.5 + 8."""

RATE = 60.0
"""Requests per second; the upstream could serve 160 while it is warm."""

WORK_S = 0.05


class ColdProcessTests(ProcessTestCase):
    """One node with an upstream that shares all requests, under a steady load."""

    layout = (("east", "papers"),)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.machine,) = self.machines
        self.upstream = self.machine.upstream
        self.upstream.work_s = WORK_S
        self.answers = []
        document = json.loads(build_manifest())
        document["Routes"] = {"pages": document["Routes"]["pages"]}
        del document["Routes"]["pages"]["TrafficSplit"]
        document["Routes"]["pages"]["Service"] = "papers"
        document["Services"] = {
            "papers": {
                "HealthPath": "/healthy",
                "MaxConnections": 100,
                "ColdStart": f"{COLD_S:.0f}s",
                "ColdPerS": COLD_PER_S,
            }
        }
        manifest = json.dumps(document).encode()
        self.store.store.append("keyed.op", b"config", manifest)
        await self.wait_for(self.is_warm)
        load = asyncio.ensure_future(self.send_load())
        self.addCleanup(load.cancel)
        await asyncio.sleep(2.0)

    async def is_warm(self):
        """Return whether the node serves."""
        status, _, _ = await self.machine.ask("/a")
        return status == 200

    async def send_load(self):
        """Send requests until cancelled."""
        rng = random.Random(1)
        async with asyncio.TaskGroup() as tasks:
            while True:
                tasks.create_task(self.send())
                await asyncio.sleep(rng.expovariate(RATE))

    async def send(self):
        """Send a request and keep the time, status and head of its answer."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with contextlib.suppress(OSError, TimeoutError, IndexError):
            status, head, _ = await self.machine.ask(
                "/a", request_id=f"r-{len(self.upstream.runs)}-{started_s}"
            )
            self.answers.append((started_s, status, head))

    def find_most(self, start_s, end_s):
        """Return the most arrivals in any second of a period."""
        arrivals_s = self.upstream.arrivals_s
        return max(
            bisect.bisect_left(arrivals_s, min(at_s + 1.0, end_s))
            - bisect.bisect_left(arrivals_s, at_s)
            for at_s in arrivals_s
            if start_s <= at_s < end_s
        )

    def count_arrivals(self, start_s, end_s):
        """Return the arrivals of a period."""
        arrivals_s = self.upstream.arrivals_s
        return bisect.bisect_left(arrivals_s, end_s) - bisect.bisect_left(
            arrivals_s, start_s
        )

    async def check_coldness(self):
        """Check a coldness that has just begun, and the time after it."""
        loop = asyncio.get_running_loop()
        end_s = self.upstream.cold_until_s
        start_s = end_s - COLD_S
        await asyncio.sleep(end_s + 2.5 - loop.time())
        self.assertLessEqual(self.find_most(start_s, end_s), MOST_IN_A_SECOND)
        self.assertGreaterEqual(self.count_arrivals(end_s - 3.0, end_s), 12)
        self.assertGreaterEqual(self.count_arrivals(end_s + 1, end_s + 2), RATE / 2)
        refused = [
            head
            for at_s, status, head in self.answers
            if status == 503 and start_s + 1.0 <= at_s < end_s - 0.5
        ]
        self.assertTrue(refused)
        for head in refused:
            self.assertIn("retry-after:", head)

    async def wait_back(self):
        """Wait until the upstream has started again."""
        before_s = self.upstream.cold_until_s
        async with asyncio.timeout(5.0):
            while self.upstream.cold_until_s == before_s:
                await asyncio.sleep(0.01)

    def find_sources(self, message):
        """Return from where the node has learned news of a kind, in order."""
        return [
            line["source"]
            for line in self.machine.read_lines()
            if line["message"] == message
        ]

    async def test_start(self):
        """The upstream crashes under load and starts again cold."""
        self.upstream.cold_start_s = COLD_S
        self.upstream.crash()
        await self.wait_back()
        await self.check_coldness()
        self.assertIn("start", self.find_sources("UPSTREAM_COLD"))
        self.assertTrue(self.find_sources("UPSTREAM_WARM"))

    async def test_cold_again_while_it_runs(self):
        """Only the health check says so."""
        self.upstream.reports_coldness = False
        self.upstream.become_cold(COLD_S)
        await self.check_coldness()
        self.assertEqual(self.find_sources("UPSTREAM_COLD")[-1], "health-check")

    async def test_node_is_killed_while_the_upstream_is_cold(self):
        """The next node doesn't know what the last one has sent."""
        self.upstream.become_cold(2 * COLD_S)
        await asyncio.sleep(1.5)
        self.machine.process.kill()
        await self.machine.process.wait()
        await self.machine.start_node()
        loop = asyncio.get_running_loop()
        end_s = self.upstream.cold_until_s
        await asyncio.sleep(end_s + 2.5 - loop.time())
        most = self.find_most(end_s - 2 * COLD_S, end_s)
        self.assertLessEqual(most, MOST_IN_A_SECOND)
        self.assertGreaterEqual(self.count_arrivals(end_s - 3.0, end_s), 12)
        self.assertGreaterEqual(self.count_arrivals(end_s + 1, end_s + 2), RATE / 2)
