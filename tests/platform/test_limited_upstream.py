"""Tests of upstreams that name a limit in their responses, or say that they leave."""

import asyncio
import random
import unittest

import looptime
from returns.pipeline import is_successful
from returns.result import Success

from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import RequestClass
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import PlatformDialect
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.local import LocalServer
from tests.proxy.fakes import FakeOwnership

SLOTS = 13
WORK_S = 0.1
DEADLINE_S = 0.8
TARGET_S = 0.3
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_BEYOND = 5


class LimitedUpstream:
    """A pool of connections to an upstream that may name a limit.

    Attributes:
        fields: Header fields that all responses have.
        arrivals_s: Times at which requests arrived.
    """

    def __init__(self):
        self.fields = ()
        self.arrivals_s = []
        self.failed_ids = []
        self.is_reused = False

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        return Success(self)

    def return_connection(self, connection):
        """Take a connection back."""

    async def exchange(self, request, *, deadline_s, matches_request):
        """Run a request."""
        self.arrivals_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK_S)
        signature = (b"papayatack-response-signature", b"1")
        return Success(Response(status=200, headers=(signature, *self.fields)))

    def count_arrivals(self, start_s, end_s):
        """Return the number of requests that arrived in a period."""
        return sum(start_s <= at_s < end_s for at_s in self.arrivals_s)

    def find_most_arrivals(self, start_s):
        """Return the most requests that arrived in any window since a time."""
        return max(
            self.count_arrivals(at_s, at_s + WINDOW_S)
            for at_s in self.arrivals_s
            if at_s >= start_s
        )


class LimitedUpstreamTests(unittest.TestCase):
    """One node under more requests than its upstream takes."""

    def setUp(self):
        self.upstream = LimitedUpstream()
        self.metrics = Metrics()
        self.results = []

    def play(self, *phases, rate=95.0):
        """Send requests; a phase has its duration and the fields of the responses."""

        async def run():
            gate = AdmissionGate(
                admission=AdmissionController(
                    now=0.0, limits=AdmissionLimits(slots=SLOTS, ramp_s=0.0)
                ),
                metrics=self.metrics,
                ejects_upstream=False,
            )
            server = LocalServer(
                ownership=FakeOwnership(),
                gate=gate,
                metrics=self.metrics,
                upstream=self.upstream,
                dialect=PlatformDialect(),
            )
            rng = random.Random(1)
            loop = asyncio.get_running_loop()
            tasks = []
            end_s = 0.0
            for duration_s, fields in phases:
                end_s += duration_s
                self.upstream.fields = fields
                while loop.time() < end_s:
                    tasks.append(asyncio.ensure_future(self.send(server)))
                    await asyncio.sleep(rng.expovariate(rate))
            await asyncio.gather(*tasks)

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    async def send(self, server):
        """Send one request and keep its result."""
        request = PeerRequest(
            request=Request(method=b"GET", target=b"/a/"),
            service="desk",
            shard="",
            key="",
            remaining_s=DEADLINE_S,
            partner="",
            request_class=RequestClass.BROWSE,
            cost=1.0,
            repeatable=True,
            request_id="r",
            target_s=TARGET_S,
        )
        deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
        self.results.append(await server.serve(request, deadline_s=deadline_s))

    def list_refusals(self):
        """Return the refusals of all requests."""
        return [
            result.failure() for result in self.results if not is_successful(result)
        ]

    def test_upstream_gets_no_more_than_the_limit_that_it_names(self):
        for limit, name in ((15.9, b"server-limit"), (4.0, b"papayatack-server-limit")):
            self.setUp()
            self.play((2.0, ()), (20.0, ((name, b"%.1f" % limit),)))
            allowed = ALLOWED_RATIO * limit * WINDOW_S + ALLOWED_BEYOND
            self.assertLessEqual(self.upstream.find_most_arrivals(3.0), allowed)

    def test_limit_is_used_and_the_rest_is_refused_at_once_as_not_run(self):
        self.play((20.0, ((b"papayatack-server-limit", b"15.9"),)))
        served = self.upstream.count_arrivals(4.0, 20.0)
        self.assertGreaterEqual(served, 0.95 * 15.9 * 16.0)
        refusals = self.list_refusals()
        self.assertTrue(refusals)
        kinds = {refusal.kind for refusal in refusals}
        self.assertLessEqual(
            kinds, {ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.QUEUE_FULL}
        )
        self.assertTrue(all(refusal.retry_after_s for refusal in refusals))

    def test_limit_ends_when_responses_name_it_no_longer(self):
        self.play((5.0, ((b"papayatack-server-limit", b"15.9"),)), (10.0, ()))
        self.assertGreaterEqual(self.upstream.count_arrivals(8.0, 14.0), 0.9 * 95 * 6)

    def test_malformed_limits_are_counted_and_ignored(self):
        for value in (b"", b"x", b"-1", b"0", b"nan", b"inf", b"1e400", b"1,5"):
            self.setUp()
            self.play((4.0, ((b"papayatack-server-limit", value),)))
            self.assertGreaterEqual(self.upstream.count_arrivals(1.0, 4.0), 0.9 * 285)
            self.assertGreater(
                self.metrics.read_count("upstream_limits_malformed", ""), 0, value
            )
