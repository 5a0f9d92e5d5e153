"""Tests of how the node of a running request recognises the calls that it makes."""

import unittest
from unittest import mock

from returns.result import Failure, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Response
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import PlatformDialect
from papayatack.proxy.body_wrappers import RecordedBody
from papayatack.proxy.crashes import Run
from papayatack.proxy.engine import RequestEngine
from tests.proxy.fakes import FakeGate, FakeOwnership, build_peer_request


class ParentTests(unittest.IsolatedAsyncioTestCase):
    """A node whose upstream runs the request ``parent``."""

    async def asyncSetUp(self):
        self.metrics = Metrics()
        self.engine = RequestEngine(
            incarnation="a#1",
            ownership=FakeOwnership(),
            gate=FakeGate(),
            peers=mock.Mock(),
            metrics=self.metrics,
            retry=mock.Mock(),
            dialect=PlatformDialect(),
        )
        self.run = Run(
            peer_request=build_peer_request("parent"),
            body=RecordedBody(body=BytesBody()),
            standings=None,
            pool=mock.Mock(),
        )
        self.engine.crashes.start(self.run)
        self.outcome = Success(Response(status=200))

    async def handle(self, request_id):
        """Handle a request; return whether it counts as a call."""
        peer_request = build_peer_request(request_id)
        classifier = mock.Mock()
        classifier.classify.return_value = Success(peer_request)
        run = mock.AsyncMock(return_value=self.outcome)
        with (
            mock.patch.object(self.engine, "_find_classifier", lambda: classifier),
            mock.patch.object(self.engine, "_run_caller_request", run),
        ):
            await self.engine.handle(peer_request.request)
        return peer_request.is_call

    async def test_call_of_a_running_request_is_recognised(self):
        self.assertTrue(await self.handle("parent.1"))

    async def test_id_that_names_no_running_request_is_no_call(self):
        for request_id in ("other.1", "parent", ".1", "parent1", "x.parent.1"):
            with self.subTest(request_id=request_id):
                self.assertFalse(await self.handle(request_id))

    async def test_request_that_has_ended_makes_no_calls(self):
        self.engine.crashes.end(self.run)
        self.assertFalse(await self.handle("parent.1"))

    async def test_refused_call_is_recorded_with_its_parent(self):
        self.outcome = Failure(Refusal(kind=ErrorKind.DEADLINE_UNREACHABLE))
        await self.handle("parent.1")
        self.assertEqual(self.run.failed_call, "parent.1")
        self.assertEqual(self.metrics.read_count("calls", "deadline-unreachable"), 1)
        self.assertTrue(self.run.is_call_refused)

    async def test_call_that_failed_otherwise_is_not_recorded_as_refused(self):
        self.outcome = Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST))
        await self.handle("parent.1")
        self.assertEqual(self.run.failed_call, "parent.1")
        self.assertFalse(self.run.is_call_refused)
