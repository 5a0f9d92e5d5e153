"""Tests of papayatack.proxy.crashes."""

import asyncio

from papayatack.network.bodies import BytesBody
from papayatack.network.probes import ProbeResult
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import RecordedBody
from papayatack.proxy.crashes import END_WINDOW_S, LOSS_SPREAD_S, CrashDetector, Run
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.proxy.fakes import build_peer_request


class FakePool:
    """Connections to an upstream that a probe finds in a given state."""

    def __init__(self, found=ProbeResult.CLOSED):
        self.found = found
        self.probes = 0
        self.is_leaving = False
        self.is_crashed = False

    async def probe(self):
        """Return the state."""
        self.probes += 1
        await asyncio.sleep(0)
        return self.found


class CrashTestCase(VirtualTimeTestCase):
    """A detector whose reports are recorded."""

    async def asyncSetUp(self):
        self.reports = []
        self.metrics = Metrics()
        self.detector = CrashDetector(metrics=self.metrics, report=self.record)
        self.pool = FakePool()

    def record(self, pool, runs):
        """Record the ids of the requests in flight at a crash."""
        self.reports.append(sorted(run.peer_request.request_id for run in runs))

    def start(self, *numbers, pool=None):
        """Start runs."""
        runs = [
            Run(
                peer_request=build_peer_request(str(number)),
                body=RecordedBody(body=BytesBody()),
                standings=None,
                pool=pool or self.pool,
            )
            for number in numbers
        ]
        for run in runs:
            self.detector.start(run)
        return runs


class LossTests(CrashTestCase):
    """Lost connections, with and without a crash."""

    async def test_all_requests_in_flight_are_suspected_once(self):
        ended, first, second, running = self.start(1, 2, 3, 4)
        self.detector.end(ended)
        found = await asyncio.gather(
            self.detector.check_loss(first), self.detector.check_loss(second)
        )
        self.assertEqual(found, [True, True])
        self.assertTrue(await self.detector.check_loss(running))
        self.assertEqual(self.reports, [["2", "3", "4"]])
        self.assertEqual(self.pool.probes, 1)

    async def test_reset_connection_of_a_listening_upstream_is_no_crash(self):
        self.pool.found = ProbeResult.LISTENING
        lost, _ = self.start(1, 2)
        self.assertFalse(await self.detector.check_loss(lost))
        self.assertEqual(self.reports, [])

    async def test_silent_upstream_is_no_crash(self):
        self.pool.found = ProbeResult.UNRESPONSIVE
        (lost,) = self.start(1)
        self.assertFalse(await self.detector.check_loss(lost))
        self.assertEqual(self.reports, [])

    async def test_announced_end_is_no_crash(self):
        self.pool.is_leaving = True
        (lost,) = self.start(1)
        self.assertFalse(await self.detector.check_loss(lost))
        self.detector.note_end(self.pool)
        self.assertEqual(self.reports, [])

    async def test_requests_of_the_next_process_are_not_suspected(self):
        (lost,) = self.start(1)
        self.start(2, pool=FakePool())
        await self.detector.check_loss(lost)
        self.assertEqual(self.reports, [["1"]])


class LateSignTests(CrashTestCase):
    """Crashes that are known by later signs only."""

    async def test_request_whose_caller_left_just_before_is_suspected(self):
        early, late = self.start(1, 2)
        self.detector.abandon(early)
        await asyncio.sleep(END_WINDOW_S)
        self.detector.abandon(late)
        await asyncio.sleep(LOSS_SPREAD_S)
        self.detector.note_end(self.pool)
        self.detector.note_end(self.pool)
        self.assertEqual(self.reports, [["2"]])

    async def test_restart_so_fast_that_the_probe_met_the_next_process(self):
        self.pool.found = ProbeResult.LISTENING
        (lost,) = self.start(1)
        await self.detector.check_loss(lost)
        self.detector.note_end(self.pool)
        self.assertEqual(self.reports, [["1"]])
