"""Tests of upstreams that report their load, from the response to what is told."""

import asyncio
import random
import unittest

import looptime

from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.inventory import RequestClass
from papayatack.network.exchanges import PeerRequest, Request
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import PlatformDialect
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.local import LocalServer
from tests.platform.test_limited_upstream import LimitedUpstream
from tests.proxy.fakes import FakeOwnership

SLOTS = 4
WORK_S = 0.1
"""Time that each request takes."""

LOAD = b"papayatack-server-load"
REPORT = ((LOAD, b"1,0,4,100"),)
SLOW_REPORT = ((LOAD, b"1,0,4,300"),)
ABSURD_VALUES = (b"nonsense", b"-1,0,4", b"1,0,4,nan", b"9" * 10_000)


def run(coroutine):
    """Run a coroutine on virtual time."""
    loop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


class Node:
    """A node beside an upstream that answers with the fields that a test sets."""

    def __init__(self):
        self.admission = AdmissionController(
            now=asyncio.get_running_loop().time(),
            limits=AdmissionLimits(slots=SLOTS, ramp_s=0.0),
            rng=random.Random(1),
        )
        self.metrics = Metrics()
        self.gate = AdmissionGate(admission=self.admission, metrics=self.metrics)
        self.upstream = LimitedUpstream()
        self.server = LocalServer(
            ownership=FakeOwnership(),
            gate=self.gate,
            metrics=self.metrics,
            upstream=self.upstream,
            dialect=PlatformDialect(),
        )

    async def serve(self, count=1, fields=()):
        """Serve requests one after the other, whose responses have these fields."""
        self.upstream.fields = fields
        for _ in range(count):
            await self.send()

    def send(self):
        """Return the coroutine of one request."""
        request = PeerRequest(
            request=Request(method=b"GET", target=b"/"),
            service="desk",
            shard="",
            key="",
            remaining_s=5.0,
            partner="",
            request_class=RequestClass.BROWSE,
            cost=1.0,
            repeatable=True,
            request_id="r",
        )
        deadline_s = asyncio.get_running_loop().time() + 5.0
        return self.server.serve(request, deadline_s=deadline_s)

    def estimate_service_s(self):
        """Return the service time that admission expects now."""
        return self.admission.get_class_state(RequestClass.BROWSE).seconds_per_cost


class ReportingUpstreamTests(unittest.TestCase):
    """What a node tells and expects, by what its upstream reports."""

    def test_node_tells_nothing_while_its_upstream_reports_nothing(self):
        """Where upstreams report no load, nothing is told and nothing measured."""

        async def scenario():
            node = Node()
            await node.serve(5)
            self.assertIsNone(node.gate.read_load())
            self.assertIsNone(node.gate.read_pace())
            self.assertNotIn("upstream_pace", node.metrics.gauges)

        run(scenario())

    def test_node_tells_the_work_that_is_left(self):
        """Requests that run and wait are told, beside the usual service time."""

        async def scenario():
            node = Node()
            await node.serve(5, REPORT)
            pending = [asyncio.create_task(node.send()) for _ in range(6)]
            await asyncio.sleep(WORK_S / 2)
            load = node.gate.read_load()
            self.assertAlmostEqual(load.service_s, WORK_S, places=3)
            self.assertAlmostEqual(load.work_s, 6 * WORK_S, places=3)
            self.assertAlmostEqual(load.wait_s, 3 * WORK_S / SLOTS, places=3)
            self.assertEqual((load.slots, load.pace), (SLOTS, 1.0))
            await asyncio.gather(*pending)
            self.assertEqual(node.gate.read_load().work_s, 0.0)

        run(scenario())

    def test_slow_moment_is_expected_and_forgotten(self):
        """Work is expected to take longer for the moment, then as long as usual."""

        async def scenario():
            node = Node()
            await node.serve(20, REPORT)
            usual_s = node.estimate_service_s()
            await node.serve(10, SLOW_REPORT)
            self.assertGreater(node.gate.read_load().pace, 2.5)
            # Its work takes no longer, whatever it reports: that is learned as well.
            self.assertLess(node.estimate_service_s(), 3 * usual_s)
            await asyncio.sleep(1.5)
            self.assertEqual(node.gate.read_load().pace, 1.0)
            self.assertEqual(node.gate.read_pace()[0], 1.0)
            self.assertAlmostEqual(node.gate.read_pace()[1], 1.5)

        run(scenario())

    def test_malformed_load_is_counted_and_changes_nothing(self):
        """Nonsense leaves what is told and expected as it was."""

        async def scenario():
            node = Node()
            await node.serve(5, REPORT)
            before = node.gate.read_load()
            expected_s = node.estimate_service_s()
            for value in ABSURD_VALUES:
                await node.serve(1, ((LOAD, value),))
            after = node.gate.read_load()
            self.assertEqual((after.slots, after.pace), (before.slots, before.pace))
            self.assertAlmostEqual(after.service_s, before.service_s)
            self.assertAlmostEqual(node.estimate_service_s(), expected_s)
            counted = node.metrics.read_count("reported_loads_malformed")
            self.assertEqual(counted, len(ABSURD_VALUES))

        run(scenario())

    def test_reports_that_stop_end_what_is_told(self):
        """A node whose upstream reports no longer tells nothing after 5 s."""

        async def scenario():
            node = Node()
            await node.serve(5, REPORT)
            await node.serve(55)
            self.assertIsNone(node.gate.read_load())

        run(scenario())

    def test_new_upstream_process_starts_without_reports(self):
        """What an earlier process reported says nothing of the next."""

        async def scenario():
            node = Node()
            await node.serve(20, SLOW_REPORT)
            node.gate.restart()
            self.assertIsNone(node.gate.read_load())
            self.assertIsNone(node.gate.read_pace())
            self.assertEqual(
                node.admission.get_class_state(RequestClass.BROWSE).pace, 1.0
            )

        run(scenario())
