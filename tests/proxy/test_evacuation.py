"""Tests of the last check before a request is sent to an evacuated upstream."""

import asyncio

from returns.pipeline import is_successful
from returns.result import Success

from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.errors import ErrorKind, Outcome, Refusal, get_error_response
from papayatack.core.handover import HANDOVER_ERRORS
from papayatack.network.exchanges import Response
from papayatack.observability.metrics import Metrics
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.local import LocalServer
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.proxy.fakes import FakeOwnership, build_peer_request

WORK_S = 1.0
END_S = 1.5
DEADLINE_S = 10.0
EVACUATED = Refusal(kind=ErrorKind.DATA_CENTRE_EVACUATED)


class Upstream:
    """An upstream that serves requests one after the other.

    Attributes:
        started_s: When each request arrived.
    """

    def __init__(self):
        self.name = "u"
        self.is_leaving = False
        self.failed_ids = ()
        self.is_reused = False
        self.started_s = []
        self.returned = 0

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        return Success(self)

    def return_connection(self, connection):
        """Count a connection that was not used."""
        self.returned += 1

    async def exchange(self, request, *, deadline_s, matches_request):
        """Run a request."""
        self.started_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK_S)
        return Success(Response(status=200))


class LastCheckTests(VirtualTimeTestCase):
    """An order whose time ends while requests wait for the only slot."""

    async def asyncSetUp(self):
        now = asyncio.get_running_loop().time()
        self.gate = AdmissionGate(
            admission=AdmissionController(
                now=now, limits=AdmissionLimits(slots=1, ramp_s=0.0)
            ),
            metrics=Metrics(),
        )
        self.server = LocalServer(
            ownership=FakeOwnership(), gate=self.gate, metrics=Metrics()
        )
        self.upstream = self.server.upstream = Upstream()
        self.end_s = now + END_S
        self.server.find_evacuation = self.find_evacuation

    def find_evacuation(self):
        """Refuse from the end on."""
        is_over = asyncio.get_running_loop().time() >= self.end_s
        return EVACUATED if is_over else None

    async def serve(self):
        """Serve a request; return its status or the kind of its error."""
        deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
        result = await self.server.serve(build_peer_request(), deadline_s=deadline_s)
        if is_successful(result):
            return result.unwrap().status
        return result.failure().kind

    async def test_nothing_is_sent_from_the_end_on(self):
        """Not even what was admitted or waited before; its connection is given back."""
        results = await asyncio.gather(*(self.serve() for _ in range(4)))
        self.assertEqual(results.count(200), 2)
        self.assertEqual(results.count(ErrorKind.DATA_CENTRE_EVACUATED), 2)
        self.assertTrue(all(at_s < self.end_s for at_s in self.upstream.started_s))
        self.assertEqual(self.upstream.returned, 2)

    async def test_waiting_requests_are_refused_at_the_end(self):
        """They do not wait for the request that runs."""
        loop = asyncio.get_running_loop()
        loop.call_at(self.end_s, self.gate.refuse_waiting, EVACUATED)
        asked = [asyncio.ensure_future(self.serve()) for _ in range(4)]
        await asyncio.sleep(END_S + 0.01)
        ended = [task.result() for task in asked if task.done()]
        self.assertEqual(ended.count(ErrorKind.DATA_CENTRE_EVACUATED), 2)
        await asyncio.gather(*asked)

    async def test_new_request_is_refused_without_a_wait(self):
        """It does not enter the queue, and may be attempted elsewhere."""
        self.end_s = 0.0
        started_s = asyncio.get_running_loop().time()
        self.assertIs(await self.serve(), ErrorKind.DATA_CENTRE_EVACUATED)
        self.assertEqual(asyncio.get_running_loop().time(), started_s)
        response = get_error_response(ErrorKind.DATA_CENTRE_EVACUATED)
        self.assertIs(response.outcome, Outcome.NOT_RUN)
        self.assertIn(ErrorKind.DATA_CENTRE_EVACUATED, HANDOVER_ERRORS)
        self.assertFalse(get_error_response(ErrorKind.SERVICE_EVACUATED).retryable)
