"""Tests of papayatack.platform.coldness and of the news that it passes on."""

import asyncio
import json
import unittest

from papayatack.core.admission import AdmissionController, AdmissionLimits, ColdBounds
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Request
from papayatack.observability.metrics import Metrics
from papayatack.platform.coldness import ColdnessChecker
from papayatack.platform.fields import parse_ms
from papayatack.platform.heartbeats import HeartbeatReceiver
from papayatack.platform.lifetimes import Identity
from papayatack.proxy.gate import AdmissionGate
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.platform.documents import build_heartbeat

BOUNDS = ColdBounds(requests_per_s=6.0, start_s=6.0, overrun=1.5, slack=8.0)


class HealthServer:
    """Answers health checks of an upstream.

    Attributes:
        fields: Header fields of its answers, after the name of the lifetime.
        connections: Number of connections that it accepted.
        checks: Number of checks that it answered.
    """

    def __init__(self):
        self.instance = "i-1"
        self.fields = b""
        self.connections = 0
        self.checks = 0
        self._server = None

    async def start(self):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        """Listen no more."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.checks += 1
                name = self.instance.encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nPapayatack-Instance-Id: " + name + b"\r\n"
                    b"Papayatack-Server-Load: 0,0,8\r\n"
                    + self.fields
                    + b"Content-Length: 2\r\n\r\n{}"
                )
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


class CheckerTests(unittest.IsolatedAsyncioTestCase):
    """A node's checker with a health check on a real socket."""

    async def asyncSetUp(self):
        self.health = HealthServer()
        address = await self.health.start()
        self.addCleanup(self.health.close)
        self.metrics = Metrics()
        loop = asyncio.get_running_loop()
        limits = AdmissionLimits(cold=BOUNDS)
        admission = AdmissionController(now=loop.time(), limits=limits)
        self.limit = admission.cold_limit
        self.gate = AdmissionGate(
            admission=admission, metrics=self.metrics, ejects_upstream=False
        )
        self.desk = HeartbeatReceiver(
            metrics=self.metrics,
            interval_s=1.0,
            service="desk",
            address=address,
            find_health_path=lambda: "/health",
        )
        checker = ColdnessChecker(
            watch=self.gate.cold, desk=self.desk, find_health_path=lambda: "/health"
        )
        works = (checker.run(), self.desk.watch())
        self.tasks = [loop.create_task(work) for work in works]
        self.addAsyncCleanup(self.end_tasks)
        await self.desk.wait_changed()
        self.health.checks = self.health.connections = 0
        self.gate.configure(limits=limits, partners=())
        self.gate.restart()

    async def end_tasks(self):
        """End the node's tasks and wait until their connections are closed."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.sleep(0.01)

    async def wait_answered(self, result):
        """Wait until a question was answered in some way."""
        async with asyncio.timeout(3.0):
            while not self.metrics.read_count("cold_questions", result):
                await asyncio.sleep(0.01)

    async def test_start_is_asked_at_once(self):
        self.health.fields = b"Papayatack-Cold-Ms: 2500\r\n"
        self.gate.restart()
        await self.wait_answered("cold")
        state = self.gate.cold.describe()
        self.assertTrue(state.is_cold)
        self.assertEqual(state.source, "health-check")
        self.assertAlmostEqual(state.remaining_s, 2.5, delta=0.2)

    async def test_upstream_that_is_not_cold_is_warm_at_once(self):
        self.health.fields = b"Papayatack-Cold-Ms: 0\r\n"
        await self.wait_answered("warm")
        self.assertFalse(self.gate.cold.describe().is_cold)

    async def test_malformed_time_ends_no_coldness(self):
        for value in (b"x", b"-5", b"nan", b"1e9", b""):
            self.health.fields = b"Papayatack-Cold-Ms: " + value + b"\r\n"
            self.metrics = self.gate.cold._metrics = Metrics()
            self.gate.restart()
            await self.wait_answered("unstated")
            self.assertTrue(self.gate.cold.describe().is_cold)

    async def test_answer_of_another_lifetime_counts_for_nothing(self):
        self.health.fields = b"Papayatack-Cold-Ms: 0\r\n"
        self.health.instance = "i-2"
        await self.wait_answered("failed")
        self.assertTrue(self.gate.cold.describe().is_cold)

    async def test_questions_share_a_connection(self):
        self.health.fields = b"Papayatack-Cold-Ms: 0\r\n"
        for _ in range(5):
            self.metrics = self.gate.cold._metrics = Metrics()
            self.gate.cold.suspect()
            await self.wait_answered("warm")
        self.assertGreaterEqual(self.health.checks, 5)
        self.assertLessEqual(self.health.connections, 1)


class HeartbeatNewsTests(VirtualTimeTestCase):
    """Which heartbeats tell of a coldness."""

    async def test_only_newest_heartbeats_of_the_running_lifetime_count(self):
        reports = []

        async def check(address, path):
            return Identity(instance="i-1", is_ready=True, slots=8)

        desk = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=1.0,
            service="desk",
            address="127.0.0.1:9",
            find_health_path=lambda: "/health",
            check=check,
        )
        desk.on_report = reports.append
        watcher = asyncio.ensure_future(desk.watch())
        await desk.wait_changed()
        for instance, sequence, remaining in (
            ("i-1", 5, "2500ms"),
            ("i-0", 9, "0ms"),
            ("i-1", 4, "0ms"),
            ("i-1", 6, "1s"),
        ):
            document = build_heartbeat(seq=sequence)
            document["Status"]["ColdRemaining"] = remaining
            request = Request(
                method=b"POST",
                target=f"/instances/{instance}/heartbeat".encode(),
                body=BytesBody(data=json.dumps(document).encode()),
            )
            await desk.handle(request)
        watcher.cancel()
        self.assertEqual(reports, [2.5, 1.0])

    async def test_refused_connection_raises_a_suspicion(self):
        suspicions = []
        desk = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=1.0,
            service="desk",
            address="127.0.0.1:9",
            find_health_path=lambda: "",
        )
        desk.on_suspicion = lambda: suspicions.append(1)
        desk.suspect()
        self.assertEqual(suspicions, [1])


class ParseTests(unittest.TestCase):
    """Milliseconds in header fields."""

    def test_values(self):
        self.assertEqual(parse_ms(b"1500"), 1.5)
        self.assertEqual(parse_ms(b"0"), 0.0)
        for value in (None, b"", b"-1", b"inf", b"1e3", b"99999999999"):
            self.assertIsNone(parse_ms(value))
