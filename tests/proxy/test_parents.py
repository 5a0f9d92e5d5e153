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

    async def handle(self, request_id, *, rank=0, route="calls"):
        """Handle a request; return whether it counts as a call."""
        return (await self.serve(request_id, rank=rank, route=route)).is_call

    async def serve(self, request_id, *, rank, route="calls"):
        """Handle a request of a route of the given rank; return it as it was sent."""
        peer_request = build_peer_request(request_id, rank=rank, route=route)
        classifier = mock.Mock()
        classifier.classify.return_value = Success(peer_request)
        run = mock.AsyncMock(return_value=self.outcome)
        with (
            mock.patch.object(self.engine, "_find_classifier", lambda: classifier),
            mock.patch.object(self.engine, "_run_caller_request", run),
        ):
            await self.engine.handle(peer_request.request)
        return run.call_args.args[0]

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

    async def test_call_has_the_rank_of_its_parent(self):
        """Whether that is better or worse than the rank of its route."""
        self.run.peer_request.rank = 1
        for rank in (0, 1, 2):
            with self.subTest(rank=rank):
                self.assertEqual((await self.serve("parent.1", rank=rank)).rank, 1)

    async def test_call_of_a_call_has_the_rank_of_the_first_request(self):
        self.run.peer_request.rank = 2
        call = await self.serve("parent.1", rank=0)
        self.engine.crashes.start(
            Run(
                peer_request=call,
                body=RecordedBody(body=BytesBody()),
                standings=None,
                pool=mock.Mock(),
            )
        )
        self.assertEqual((await self.serve("parent.1.1", rank=0)).rank, 2)

    async def test_call_that_arrives_after_the_end_of_its_parent_has_no_better_rank(
        self,
    ):
        """It has the rank of its route, or the worst one of known calls on it."""
        self.run.peer_request.rank = 2
        await self.serve("parent.1", rank=0)
        self.engine.crashes.end(self.run)
        late = await self.serve("parent.2", rank=0)
        self.assertEqual((late.rank, late.is_call), (2, False))
        self.assertEqual((await self.serve("parent.3", rank=3)).rank, 3)
        other = await self.serve("parent.4", rank=1, route="other")
        self.assertEqual(other.rank, 1)

    async def test_caller_cannot_raise_its_rank_by_an_id(self):
        self.run.peer_request.rank = 0
        for request_id in ("other.1", "parent", ".1", "parent1", "x.parent.1"):
            with self.subTest(request_id=request_id):
                self.assertEqual((await self.serve(request_id, rank=2)).rank, 2)

    async def test_calls_of_a_parent_whose_node_was_replaced_keep_their_route(self):
        """The new node knows no runs of the one before."""
        self.run.peer_request.rank = 0
        await self.asyncSetUp()
        self.engine.crashes.end(self.run)
        call = await self.serve("parent.1", rank=2)
        self.assertEqual((call.rank, call.is_call), (2, False))
