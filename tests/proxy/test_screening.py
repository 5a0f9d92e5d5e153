"""Tests of papayatack.proxy.screening with the local server before an upstream."""

import asyncio

from returns.pipeline import is_successful
from returns.result import Failure, Success

from papayatack.control.quarantine import QuarantineControl
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.ownership import OwnershipState
from papayatack.core.ownership.node import NodeCore
from papayatack.core.quarantine import BODY_PREFIX_BYTES
from papayatack.core.quarantine.verdict import HOLD_S
from papayatack.core.records import Announce
from papayatack.network.bodies import BodyQueue, BytesBody
from papayatack.network.exchanges import Response
from papayatack.network.probes import ProbeResult
from papayatack.observability.metrics import Metrics
from papayatack.proxy.local import LocalServer
from tests.fakes.virtual_time import VirtualTimeTestCase
from tests.proxy.fakes import FakeGate, FakeOwnership, build_peer_request

WORK_S = 0.1
CRASH_AFTER_S = 0.02
DEADLINE_S = 2.0


class Process:
    """Connections to one life of an upstream that some requests end.

    Attributes:
        received: Target and body of each request that arrived.
        most_running: Highest number of requests that ran at the same time.
    """

    def __init__(self):
        self.name = "up"
        self.address = "127.0.0.1:1"
        self.is_leaving = False
        self.is_crashed = False
        self.received = []
        self.failed_ids = []
        self.is_reused = False
        self.most_running = 0
        self._running = 0
        self._ended = asyncio.Event()

    async def probe(self):
        """Return whether the process listens."""
        return ProbeResult.CLOSED if self._ended.is_set() else ProbeResult.LISTENING

    async def reserve(self, *, deadline_s):
        """Return a connection."""
        return Success(self)

    def return_connection(self, connection):
        """Take a connection back."""

    async def exchange(self, request, *, deadline_s, matches_request):
        """Run a request until it or another one ends the process."""
        body = b""
        while data := await request.body.read():
            body += data
        self.received.append((request.target, body))
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        is_crashing = request.target.startswith(b"/crash")
        try:
            async with asyncio.timeout(CRASH_AFTER_S if is_crashing else WORK_S):
                await self._ended.wait()
        except TimeoutError:
            if not is_crashing:
                return Success(Response(status=200))
            self._ended.set()
        finally:
            self._running -= 1
        return Failure(Refusal(kind=ErrorKind.UPSTREAM_LOST))


def build_core():
    """Return the core of a node that is alone."""
    announcement = Announce(
        record_id="",
        writer="a#1",
        incarnation="a#1",
        address="a",
        operator_address="a",
        data_centre="1",
        region="r",
        service="records",
        upstream="u",
        slots=8,
        connections=8,
    )
    return NodeCore(
        announcement=announcement,
        state=OwnershipState(),
        now=0.0,
        find_service=lambda name: None,
    )


class ScreeningTests(VirtualTimeTestCase):
    """Requests that were in flight at crashes, at the upstream's own node."""

    async def asyncSetUp(self):
        self.gate = FakeGate()
        self.core = build_core()
        self.server = LocalServer(
            ownership=FakeOwnership(),
            gate=self.gate,
            metrics=Metrics(),
            quarantine=QuarantineControl(
                core=self.core, execute_effects=lambda effects: None
            ),
        )

    async def serve(self, target, *, body=None, caller="caribe", crashes=0):
        """Serve a request; return its status or the kind of its error."""
        peer_request = build_peer_request(
            target=target, body=body, partner=caller, crashes=crashes
        )
        deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
        result = await self.server.serve(peer_request, deadline_s=deadline_s)
        if is_successful(result):
            return result.unwrap().status
        return result.failure().kind

    async def crash(self, target, *others, **options):
        """Serve a request that crashes a new process, with others beside it."""
        self.server.upstream = Process()
        asked = [self.serve(other) for other in others]
        return await asyncio.gather(*asked, self.serve(target, **options))

    async def test_third_crash_is_the_last(self):
        crashed = ErrorKind.UPSTREAM_CRASHED
        self.assertEqual(await self.crash(b"/crash"), [crashed])
        self.assertEqual(await self.crash(b"/crash"), [crashed])
        self.assertEqual(await self.crash(b"/crash"), [ErrorKind.REQUEST_HELD])
        await asyncio.sleep(HOLD_S)
        self.assertEqual(await self.crash(b"/crash"), [crashed])
        await asyncio.sleep(3600.0)
        found = await self.crash(b"/crash")
        self.assertEqual(found, [ErrorKind.REQUEST_QUARANTINED])
        self.assertEqual(self.server.upstream.received, [])

    async def test_others_in_flight_at_each_crash_are_served(self):
        for _ in range(4):
            await self.crash(b"/crash", b"/popular", b"/rare")
            self.server.upstream = Process()
            self.assertEqual(await self.serve(b"/popular"), 200)
        self.assertEqual(await self.serve(b"/rare"), 200)

    async def test_suspects_run_one_at_a_time(self):
        targets = [b"/%d" % number for number in range(6)]
        await self.crash(b"/crash", *targets)
        self.server.upstream = Process()
        statuses = await asyncio.gather(*map(self.serve, targets))
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual(self.server.upstream.most_running, 1)

    async def test_request_that_ends_frees_the_others_that_are_the_same(self):
        await self.crash(b"/crash", b"/popular")
        self.server.upstream = Process()
        statuses = await asyncio.gather(*(self.serve(b"/popular") for _ in range(8)))
        self.assertEqual(statuses, [200] * 8)
        self.assertEqual(self.server.upstream.most_running, 7)

    async def test_request_that_becomes_suspected_in_the_queue_is_not_sent(self):
        for _ in range(2):
            await self.crash(b"/crash")
        await asyncio.sleep(HOLD_S)
        process = self.server.upstream = Process()
        kinds = await asyncio.gather(*(self.serve(b"/crash") for _ in range(5)))
        self.assertEqual(len(process.received), 1)
        self.assertEqual(kinds.count(ErrorKind.REQUEST_QUARANTINED), 4)

    async def test_same_path_with_another_body_or_caller_is_served(self):
        for _ in range(3):
            await self.crash(b"/crash", body=BytesBody(data=b"bodx"))
            await asyncio.sleep(HOLD_S)
        self.server.upstream = Process()
        refused = await self.serve(b"/crash", body=BytesBody(data=b"bodx"))
        self.assertIs(refused, ErrorKind.REQUEST_QUARANTINED)
        await self.serve(b"/crash", body=BytesBody(data=b"body"))
        await self.serve(b"/crash", body=BytesBody(data=b"bodx"), caller="other")
        bodies = [body for _, body in self.server.upstream.received]
        self.assertEqual(bodies, [b"body", b"bodx"])

    async def test_body_that_was_compared_reaches_the_upstream_whole(self):
        size = BODY_PREFIX_BYTES // 2
        parts = [bytes([number]) * size for number in range(4)]
        await self.crash(b"/crash", b"/long")
        self.server.upstream = Process()
        body = BodyQueue()

        async def fill():
            for part in parts:
                body.put(part)
                await asyncio.sleep(0.01)
            body.finish()

        status, _ = await asyncio.gather(self.serve(b"/long", body=body), fill())
        self.assertEqual(status, 200)
        self.assertEqual(self.server.upstream.received[0][1], b"".join(parts))

    async def test_request_that_becomes_suspected_in_the_queue_keeps_its_body(self):
        """It is compared twice: when it arrives, and again after the crash."""
        for size in (4, BODY_PREFIX_BYTES // 2, BODY_PREFIX_BYTES + 1):
            with self.subTest(size=size):
                await self.check_body_after_wait(b"b" * size)

    async def check_body_after_wait(self, data):
        """Fail if a request that waits during a crash is sent with another body."""
        await self.crash(b"/crash", body=BytesBody(data=b"other"))
        acquire, freed = self.gate.acquire, asyncio.Event()

        async def wait_for_slot(request):
            await freed.wait()
            return await acquire(request)

        self.gate.acquire = wait_for_slot
        waiting = asyncio.ensure_future(
            self.serve(b"/crash", body=BytesBody(data=data))
        )
        await asyncio.sleep(0)
        self.gate.acquire = acquire
        await self.crash(b"/crash", body=BytesBody(data=data))
        process = self.server.upstream = Process()
        freed.set()
        await waiting
        self.assertEqual([len(body) for _, body in process.received], [len(data)])
        await asyncio.sleep(HOLD_S)

    async def test_body_that_never_ends_is_not_waited_for_beyond_the_deadline(self):
        await self.crash(b"/crash", b"/slow")
        self.server.upstream = Process()
        found = await self.serve(b"/slow", body=BodyQueue())
        self.assertIs(found, ErrorKind.DEADLINE_EXPIRED)

    async def test_crash_that_is_not_reported_here_yet_counts_as_a_round(self):
        await self.crash(b"/crash", crashes=1)
        found = await self.crash(b"/crash")
        self.assertEqual(found, [ErrorKind.REQUEST_HELD])

    async def test_slots_are_free_while_suspects_wait(self):
        targets = [b"/%d" % number for number in range(6)]
        await self.crash(b"/crash", *targets)
        self.server.upstream = Process()
        acquired = self.gate.acquired
        waiting = [asyncio.ensure_future(self.serve(target)) for target in targets]
        await asyncio.sleep(WORK_S / 2)
        self.assertEqual(self.gate.acquired, acquired + 1)
        await asyncio.gather(*waiting)
        self.assertEqual(self.gate.acquired, self.gate.released)
