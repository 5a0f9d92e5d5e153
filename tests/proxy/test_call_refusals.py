"""Tests of requests that are refused because their calls find no room."""

import asyncio

from returns.result import Success

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Response
from papayatack.observability.metrics import Metrics
from papayatack.proxy.local import LocalServer
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.proxy.fakes import FakeGate, FakeOwnership, build_peer_request

REQUESTS = 400
RUN_S = 0.01


class FailingUpstream:
    """Fails each request after one of its calls was refused, while told so.

    Attributes:
        loses_calls: Whether the calls of its runs are refused.
        run_count: How many requests it has run.
    """

    def __init__(self):
        self.name = "up"
        self.address = "127.0.0.1:1"
        self.is_leaving = self.is_crashed = self.is_reused = False
        self.refused_ids = []
        self.loses_calls = True
        self.run_count = 0
        self.server = None

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        return Success(self)

    async def exchange(self, request, *, deadline_s, matches_request):
        """Run a request and end it, with 500 if it has lost a call."""
        self.run_count += 1
        run = self.server.crashes.find_run(dict(request.headers)[b"id"].decode())
        run.is_call_refused = self.loses_calls
        await asyncio.sleep(RUN_S)
        status = 500 if self.loses_calls else 200
        return Success(Response(status=status, body=BytesBody(data=b"x")))


class CallRefusalTests(VirtualTimeTestCase):
    """A local server before an upstream whose calls are refused."""

    async def asyncSetUp(self):
        self.metrics = Metrics()
        self.upstream = FailingUpstream()
        self.server = LocalServer(
            ownership=FakeOwnership(),
            gate=FakeGate(),
            metrics=self.metrics,
            upstream=self.upstream,
        )
        self.upstream.server = self.server

    async def serve(self, number, **fields):
        """Serve a request; return the result."""
        request = build_peer_request(f"r{number}", **fields)
        request.request.headers = ((b"id", b"r%d" % number),)
        deadline_s = asyncio.get_running_loop().time() + 2.0
        return await self.server.serve(request, deadline_s=deadline_s)

    async def test_most_requests_are_refused_before_they_run(self):
        refused = 0
        for number in range(REQUESTS):
            result = await self.serve(number)
            if not isinstance(result, Success):
                self.assertIs(result.failure().kind, ErrorKind.CALLS_UNREACHABLE)
                self.assertGreater(result.failure().retry_after_s, 0)
                refused += 1
                await asyncio.sleep(RUN_S)
        self.assertEqual(refused + self.upstream.run_count, REQUESTS)
        self.assertGreater(refused, REQUESTS / 2)
        count = self.metrics.read_count("calls_unreachable", "records")
        self.assertEqual(count, refused)

    async def test_calls_are_let_through(self):
        for number in range(REQUESTS // 4):
            await self.serve(number, is_call=True)
        self.assertEqual(self.upstream.run_count, REQUESTS // 4)
