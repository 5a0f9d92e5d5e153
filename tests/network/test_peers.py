"""Tests of papayatack.network.peers on loopback."""

import asyncio
import random
import unittest

from returns.pipeline import is_successful
from returns.result import Failure, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress
from papayatack.core.inventory import RequestClass
from papayatack.core.messages import Fence
from papayatack.network.bodies import BodyQueue, BytesBody, IncompleteBodyError
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.limits import PeerLimits
from papayatack.network.peers import PeerNetwork
from papayatack.observability.metrics import Metrics
from papayatack.wire.frames import MAX_FRAME_BYTES
from tests.proxy.fakes import wait_until

DEADLINE_S = 5.0
"""Of each request."""

LATE_S_ALLOWED = 0.5
"""Within this time after its deadline a request has ended."""

LATE_S = 1.6
"""After three looks at the connections; a peer is silent after two."""

MESSAGE = Fence(lease=LeaseId(IncarnationId("x"), 1))


def build_peer_request(body=b"", recipient=""):
    """Return a request between nodes."""
    return PeerRequest(
        request=Request(method=b"GET", target=b"/", body=BytesBody(data=body)),
        service="hiring",
        shard="s",
        key="k",
        remaining_s=5.0,
        partner="",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        repeatable=True,
        request_id="r",
        recipient=recipient,
    )


class PeerNetworkTests(unittest.IsolatedAsyncioTestCase):
    """Two networks, of which the second answers."""

    async def asyncSetUp(self):
        """Start both on free ports."""
        self.received = []
        self.first = await self.start("first")
        self.second = await self.start("second")
        self.second.on_request = self.answer
        self.body_size = 2

    async def start(self, name):
        """Start a network whose incarnation names its port."""
        probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        network = PeerNetwork(
            incarnation=IncarnationId(f"127.0.0.1:{port}#{name}"),
            host="127.0.0.1",
            port=port,
            metrics=Metrics(),
            rng=random.Random(1),
            on_control=lambda *message: self.received.append((name, *message)),
        )
        await network.start()
        return network

    async def asyncTearDown(self):
        """Stop both."""
        await self.first.abort()
        await self.second.abort()

    async def answer(self, peer_request):
        """Answer with a body of the chosen size."""
        data = b"x" * self.body_size
        return Success(Response(status=200, body=BytesBody(data=data)))

    async def test_request_that_was_held_up_has_less_time_left(self):
        """What waited before a paused process counts as used."""
        await self.exchange()
        left = []

        async def note(peer_request):
            left.append(peer_request.remaining_s)
            return await self.answer(peer_request)

        self.second.on_request = note
        for link in self.second._all_links:
            link._transport.pause_reading()
        sent = asyncio.ensure_future(self.exchange())
        await asyncio.sleep(0.3)
        for link in self.second._all_links:
            link._transport.resume_reading()
        await sent
        self.assertLessEqual(left[0], 5.0 - 0.28)

    async def exchange(self, **kwargs):
        """Send a request from the first to the second."""
        return await self.first.exchange(
            address=PeerAddress(f"127.0.0.1:{self.second.port}"),
            peer_request=build_peer_request(**kwargs),
            deadline_s=asyncio.get_running_loop().time() + 5.0,
        )

    def send(self, network, other, recipient=None):
        """Send a control message."""
        address = PeerAddress(f"127.0.0.1:{other.port}")
        network.send(address, recipient or other.incarnation, MESSAGE)

    async def test_control_message_arrives(self):
        """A message reaches the other node with its sender and recipient."""
        self.send(self.first, self.second)
        await wait_until(lambda: self.received)
        expected = ("second", self.first.incarnation, self.second.incarnation, MESSAGE)
        self.assertEqual(self.received, [expected])

    async def test_message_for_another_incarnation_is_dropped(self):
        """A restarted node does not take what was meant for its predecessor."""
        self.send(self.first, self.second, IncarnationId("gone"))
        metrics = self.second.metrics
        await wait_until(
            lambda: metrics.read_count("control_dropped", "other-incarnation")
        )
        self.assertEqual(self.received, [])

    async def test_request_for_another_incarnation_is_not_run(self):
        """A request names the incarnation that may run it."""
        result = await self.exchange(recipient="gone")
        self.assertIs(result.failure().kind, ErrorKind.NOT_OWNER)

    async def test_stopping_node_takes_no_request_and_finishes_what_it_has(self):
        """What it runs is answered; what comes now is refused as not run."""
        released = asyncio.Event()
        answer = self.second.on_request

        async def wait(request):
            await released.wait()
            return await answer(request)

        self.second.on_request = wait
        running = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second._serving)
        stopping = asyncio.ensure_future(self.second.stop())
        await asyncio.sleep(0.01)
        refused = await self.exchange()
        self.assertIs(refused.failure().kind, ErrorKind.NODE_DRAINING)
        released.set()
        self.assertEqual((await running).unwrap().status, 200)
        await stopping

    async def test_stopping_node_waits_for_peers_no_longer_than_its_stop(self):
        """A request that never ends does not keep the node."""

        async def hang(request):
            await asyncio.get_running_loop().create_future()

        self.second.on_request = hang
        running = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second._serving)
        until_s = asyncio.get_running_loop().time() + 0.1
        async with asyncio.timeout(1.0):
            await self.second.finish_requests(until_s=until_s)
        self.assertGreaterEqual(asyncio.get_running_loop().time(), until_s - 0.001)
        await self.second.abort()
        self.assertIs((await running).failure().kind, ErrorKind.PEER_LOST)

    async def test_both_sides_opening_leaves_one_connection_each(self):
        """Connections opened at once are reduced to the preferred one."""
        for _ in range(3):
            self.send(self.first, self.second)
            self.send(self.second, self.first)
            await asyncio.sleep(0.01)
        await wait_until(lambda: len(self.received) == 6)
        await wait_until(
            lambda: len(self.first._all_links) == len(self.second._all_links) == 1
        )

    async def test_slow_reader_bounds_what_is_sent(self):
        """No more than the window is sent to a reader that takes nothing."""
        self.body_size = 1_000_000
        result = await self.exchange()
        body = result.unwrap().body
        await asyncio.sleep(0.05)
        self.assertLessEqual(body.buffered_bytes, PeerLimits().window_bytes)
        size = 0
        while data := await body.read():
            size += len(data)
        self.assertEqual(size, 1_000_000)
        body.close()

    async def test_small_answer_is_not_held_up_by_a_large_unread_one(self):
        """Streams do not wait for one another."""
        self.body_size = 1_000_000
        large = await self.exchange()
        self.body_size = 2
        small = await self.exchange()
        self.assertEqual(await small.unwrap().body.read(), b"xx")
        large.unwrap().body.close()
        small.unwrap().body.close()
        await wait_until(lambda: not self.second._serving)

    async def test_refusal_crosses_with_its_time(self):
        """Kind, detail and retry time arrive as they were given."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL, detail="full", retry_after_s=1.5)

        async def refuse(peer_request):
            return Failure(refusal)

        self.second.on_request = refuse
        result = await self.exchange()
        self.assertEqual(result.failure(), refusal)

    async def test_fault_of_a_handler_is_an_internal_error(self):
        """A request that fails does not end the connection."""

        async def fail(peer_request):
            raise KeyError("fault")

        self.second.on_request = fail
        with self.assertLogs("papayatack.network.peers", "ERROR"):
            result = await self.exchange()
        self.assertIs(result.failure().kind, ErrorKind.INTERNAL)

    async def test_bad_frame_closes_the_connection_and_is_counted(self):
        """Garbage from a peer is refused without harm to others."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.second.port)
        writer.write((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        await reader.read(-1)
        writer.close()
        counted = self.second.metrics.read_count("peer_frames_refused", "malformed")
        self.assertEqual(counted, 1)

    async def test_lost_connection_cuts_the_body(self):
        """A body whose connection is lost ends as cut by the peer's loss."""
        queue = BodyQueue()
        queue.put(b"part")

        async def answer(peer_request):
            return Success(Response(status=200, body=queue))

        self.second.on_request = answer
        result = await self.exchange()
        body = result.unwrap().body
        self.assertEqual(await body.read(), b"part")
        await self.second.abort()
        with self.assertRaises(IncompleteBodyError) as caught:
            await body.read()
        self.assertIs(caught.exception.kind, ErrorKind.PEER_LOST)

    async def test_silent_peer_is_given_up_before_the_deadline(self):
        """A frozen process keeps its connection open but answers nothing."""
        frozen = await asyncio.start_server(lambda r, w: r.read(-1), "127.0.0.1", 0)
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        doubted = []
        result = await self.first.exchange(
            address=PeerAddress("{}:{}".format(*frozen.sockets[0].getsockname())),
            peer_request=build_peer_request(),
            deadline_s=asyncio.get_running_loop().time() + 30.0,
            on_unresponsive=doubted.append,
        )
        self.assertIs(result.failure().kind, ErrorKind.PEER_LOST)
        self.assertFalse(doubted[0].response.done())
        frozen.close()

    def hold_up(self, network):
        """Let a network read nothing from its peers; return what ends that."""
        transports = [link._transport for link in network._all_links]
        for transport in transports:
            transport.pause_reading()

        def resume():
            for transport in transports:
                transport.resume_reading()

        return resume

    async def answer_late(self, peer_request):
        """Answer after a while."""
        await asyncio.sleep(LATE_S)
        return await self.answer(peer_request)

    async def test_request_at_a_peer_that_falls_silent_gets_its_answer(self):
        """Its run may have begun; another may not begin."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.second.on_request = self.answer_late
        sent = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second._serving)
        self.addCleanup(self.hold_up(self.second))
        self.assertEqual((await sent).unwrap().status, 200)

    async def test_run_for_a_peer_that_falls_silent_is_not_cut(self):
        """It gets the answer once it reads again."""
        self.second.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.second.on_request = self.answer_late
        sent = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second._serving)
        resume = self.hold_up(self.first)
        await wait_until(lambda: not self.second._serving)
        resume()
        self.assertEqual((await sent).unwrap().status, 200)

    async def test_answer_that_a_silent_peer_breaks_off_ends_by_the_deadline(self):
        """Its head has come; no more of its body does."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.body_size = 200_000
        response = (await self.exchange()).unwrap()
        self.hold_up(self.second)
        with self.assertRaises(IncompleteBodyError):
            async with asyncio.timeout(DEADLINE_S + LATE_S_ALLOWED):
                while await response.body.read():
                    pass

    async def test_answer_to_a_silent_peer_does_not_hold_its_run_for_ever(self):
        """A peer that is gone without a word takes no more of the body."""
        self.second.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.body_size = 200_000
        await self.exchange()
        self.hold_up(self.first)
        async with asyncio.timeout(DEADLINE_S + LATE_S_ALLOWED):
            await wait_until(lambda: not self.second._serving)

    async def test_stop_does_not_end_before_the_answers_to_peers_are_written(self):
        """What is queued on a link that is held up would be gone with the process."""
        self.body_size = 16 * 1024
        await self.exchange()
        resume = self.hold_up(self.first)
        sent = [asyncio.ensure_future(self.exchange()) for _ in range(400)]
        await wait_until(
            lambda: (
                any(link._ready for link in self.second._all_links)
                and not self.second._serving
            )
        )
        asyncio.get_running_loop().call_later(0.1, resume)
        until_s = asyncio.get_running_loop().time() + 2.0
        await self.second.finish_requests(until_s=until_s)
        await self.second.abort()
        results = await asyncio.gather(*sent)
        lost = [result for result in results if not is_successful(result)]
        self.assertEqual(len(lost), 0)

    async def test_loss_of_a_connection_with_requests_is_logged(self):
        """Both ends say how many requests it carried, and the server why it ended."""
        released = asyncio.Event()

        async def wait(request):
            await released.wait()
            return await self.answer(request)

        self.second.on_request = wait
        with self.assertLogs("papayatack.network.links", "WARNING") as logs:
            running = asyncio.ensure_future(self.exchange())
            await wait_until(lambda: self.second._serving)
            serving = next(iter(self.second._serving))
            for link in list(self.first._all_links):
                link.abort("cut by the test")
            await wait_until(lambda: len(logs.records) == 2)
        self.assertIs((await running).failure().kind, ErrorKind.PEER_LOST)
        self.assertEqual(
            {record.getMessage() for record in logs.records}, {"PEER_LINK_LOST"}
        )
        self.assertEqual(logs.records[0].detail, "cut by the test")
        self.assertEqual([record.streams for record in logs.records], [1, 1])
        with self.assertRaises(asyncio.CancelledError) as caught:
            await serving
        self.assertEqual(str(caught.exception), logs.records[1].detail)

    async def test_idle_connection_is_not_taken_for_a_silent_peer(self):
        """A peer is given up only if it stays silent after being asked."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        (await self.exchange()).unwrap().body.close()
        await asyncio.sleep(0.1)

        async def answer_late(peer_request):
            await asyncio.sleep(0.7)
            return await self.answer(peer_request)

        self.second.on_request = answer_late
        result = await self.exchange()
        self.assertEqual(result.unwrap().status, 200)

    async def test_failed_connects_back_off(self):
        """A node that cannot be reached is not tried on every request."""
        await self.second.abort()
        for _ in range(5):
            result = await self.exchange()
            self.assertIs(result.failure().kind, ErrorKind.PEER_UNREACHABLE)
        self.assertEqual(self.first.metrics.read_count("peer_connects_failed"), 1)
