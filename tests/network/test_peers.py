"""Tests of papayatack.network.peers on loopback."""

import asyncio
import contextlib
import random
import socket
import time
import unittest
from unittest import mock

from returns.pipeline import is_successful
from returns.result import Failure, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress
from papayatack.core.inventory import RequestClass
from papayatack.core.messages import Fence
from papayatack.core.node_load import NodeLoad
from papayatack.network import request_hold
from papayatack.network.bodies import BodyQueue, BytesBody, IncompleteBodyError
from papayatack.network.delivery_delay import DeliveryDelay
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.limits import PeerLimits
from papayatack.network.links import Link
from papayatack.network.peers import PeerNetwork
from papayatack.observability.metrics import Metrics
from papayatack.wire.frames import MAX_FRAME_BYTES
from tests.proxy.fakes import wait_until

DEADLINE_S = 5.0
"""Deadline of each request."""

DEADLINE_TOLERANCE_S = 0.5
"""A request must end within this time after its deadline."""

RESPONSE_DELAY_S = 1.6
RETIREMENT_S = 1.2
"""Time after which a replaced connection that is idle has been closed."""

RESUME_S = 0.3
CONNECT_S = 0.4
STOP_S = 5.0
ANSWER_BYTES = 60_000
"""Less than the flow-control window; two of them do not fit a connection's buffer."""

SMALL_BUFFER_BYTES = 4096
LARGE_BUFFER_BYTES = 1 << 20
NOTICE_SLACK_S = 0.15
"""Three checks of the links; a silent peer is unresponsive after two."""

BURST = 150
WORK_S = 0.006
"""Processor time that each request of a burst takes."""

PATIENCE_S = 0.3
WITHDRAW_S = 0.3
"""Time of six turns in which as many requests are begun as a turn allows: a cancel is
written, read and handled in turns of their own."""

MESSAGE = Fence(lease=LeaseId(IncarnationId("x"), 1))


def build_peer_request(body=b"", recipient="", target_s=None):
    """Build a request from one node to another."""
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
        target_s=target_s,
    )


class PeerNetworkTests(unittest.IsolatedAsyncioTestCase):
    """Two networks; the first sends requests and the second serves them."""

    async def asyncSetUp(self):
        """Start both on free ports."""
        self.received = []
        self.first = await self.start("first")
        self.second = await self.start("second")
        self.second.on_request = self.respond
        self.body_size = 2

    async def start(self, name):
        """Start a network on a free port, which its incarnation names."""
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
        """Abort both."""
        await self.first.abort()
        await self.second.abort()

    async def respond(self, peer_request):
        """Respond with a body of ``body_size`` bytes."""
        data = b"x" * self.body_size
        return Success(Response(status=200, body=BytesBody(data=data)))

    async def test_delivery_delay_is_subtracted_from_the_remaining_time(self):
        """Time spent in the buffers of a paused process counts as used."""
        await self.exchange()
        left = []

        async def record(peer_request):
            left.append(peer_request.remaining_s)
            return await self.respond(peer_request)

        self.second.on_request = record
        for link in self.second._all_links:
            link._transport.pause_reading()
        sent = asyncio.ensure_future(self.exchange())
        await asyncio.sleep(0.3)
        for link in self.second._all_links:
            link._transport.resume_reading()
        await sent
        self.assertLessEqual(left[0], 5.0 - 0.28)

    async def test_time_spent_connecting_is_subtracted_from_the_remaining_time(self):
        """The target time comes nearer by as much."""
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        received = []

        async def connect_slowly(*args, **kwargs):
            await asyncio.sleep(CONNECT_S)
            return await connect(*args, **kwargs)

        async def record(peer_request):
            received.append(peer_request)
            return await self.respond(peer_request)

        self.second.on_request = record
        with mock.patch.object(loop, "create_connection", connect_slowly):
            await self.exchange(target_s=1.0)
        self.assertLessEqual(received[0].remaining_s, 5.0 - CONNECT_S)
        self.assertLessEqual(received[0].target_s, 1.0 - CONNECT_S)

    async def exchange(self, **kwargs):
        """Send a request from the first node to the second."""
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
        """A message is delivered with its sender and recipient."""
        self.send(self.first, self.second)
        await wait_until(lambda: self.received)
        expected = ("second", self.first.incarnation, self.second.incarnation, MESSAGE)
        self.assertEqual(self.received, [expected])

    async def test_message_for_another_incarnation_is_dropped(self):
        """A restarted node drops messages addressed to its previous incarnation."""
        self.send(self.first, self.second, IncarnationId("gone"))
        metrics = self.second.metrics
        await wait_until(
            lambda: metrics.read_count("control_dropped", "other-incarnation")
        )
        self.assertEqual(self.received, [])

    async def test_request_for_another_incarnation_is_not_run(self):
        """A request is run only by the incarnation to which it is addressed."""
        result = await self.exchange(recipient="gone")
        self.assertIs(result.failure().kind, ErrorKind.NOT_OWNER)

    async def test_stopping_node_refuses_new_requests_and_finishes_running_ones(self):
        """Running requests get their responses; new ones are refused as not run."""
        released = asyncio.Event()
        respond = self.second.on_request

        async def wait(request):
            await released.wait()
            return await respond(request)

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

    async def test_stopping_node_waits_for_requests_until_its_deadline(self):
        """A request that never ends does not block the shutdown."""

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

    async def test_connections_opened_by_both_nodes_are_reduced_to_one(self):
        """If both nodes open one at the same time, the preferred one is kept."""
        for _ in range(3):
            self.send(self.first, self.second)
            self.send(self.second, self.first)
            await asyncio.sleep(0.01)
        await wait_until(lambda: len(self.received) == 6)
        await wait_until(
            lambda: len(self.first._all_links) == len(self.second._all_links) == 1
        )

    async def test_flow_control_limits_bytes_sent_to_a_slow_reader(self):
        """A reader that reads nothing is sent no more than the window."""
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

    async def test_large_unread_response_does_not_block_a_small_one(self):
        """Streams are flow-controlled independently."""
        self.body_size = 1_000_000
        large = await self.exchange()
        self.body_size = 2
        small = await self.exchange()
        self.assertEqual(await small.unwrap().body.read(), b"xx")
        large.unwrap().body.close()
        small.unwrap().body.close()
        await wait_until(lambda: not self.second._serving)

    async def test_body_that_was_lost_in_part_does_not_arrive_as_a_whole_one(self):
        """Its end is not sent, so that no other node passes it on."""
        arrived = []

        async def read(peer_request):
            data = b""
            while chunk := await peer_request.request.body.read():
                data += chunk
            arrived.append(data)
            return await self.respond(peer_request)

        self.second.on_request = read
        for data in (b"", b"bod", b"x" * 200_000):
            received = BodyQueue()
            received.put(b"body")
            received.finish()
            peer_request = build_peer_request(data)
            peer_request.request.received = received
            result = await self.first.exchange(
                address=PeerAddress(f"127.0.0.1:{self.second.port}"),
                peer_request=peer_request,
                deadline_s=asyncio.get_running_loop().time() + 2.0,
            )
            kinds = (ErrorKind.BODY_LOST, ErrorKind.UPSTREAM_LOST)
            self.assertIn(result.failure().kind, kinds)
        await asyncio.sleep(0.05)
        self.assertEqual(arrived, [])

    async def test_refusal_is_transmitted_with_its_retry_time(self):
        """Kind, detail and retry time arrive unchanged."""
        refusal = Refusal(kind=ErrorKind.QUEUE_FULL, detail="full", retry_after_s=1.5)

        async def refuse(peer_request):
            return Failure(refusal)

        self.second.on_request = refuse
        result = await self.exchange()
        self.assertEqual(result.failure(), refusal)

    async def test_load_is_told_with_responses_and_refusals(self):
        """The node that sent a request hears of the load of the one that served it."""
        told = []
        load = NodeLoad(wait_s=0.5, work_s=2.0, slots=8, service_s=0.2, pace=2.5)
        self.first.loads.on_news = lambda *news: told.append(news)
        await self.exchange(recipient=self.second.incarnation)
        self.second.loads.read = lambda: load
        await self.exchange(recipient=self.second.incarnation)

        async def refuse(peer_request):
            return Failure(Refusal(kind=ErrorKind.QUEUE_FULL))

        self.second.on_request = refuse
        await self.exchange(recipient=self.second.incarnation)
        node = self.second.incarnation
        expected = [("hiring", node, news) for news in (None, load, load)]
        self.assertEqual(told, expected)

    async def test_absurd_load_counts_as_none_and_is_counted(self):
        """A response with a load out of its bounds is a response all the same."""
        told = []
        self.first.loads.on_news = lambda *news: told.append(news[-1])
        self.second.loads.read = lambda: NodeLoad(
            wait_s=0.0, work_s=1.0, slots=0, service_s=0.2
        )
        result = await self.exchange(recipient=self.second.incarnation)
        self.assertEqual(result.unwrap().status, 200)
        self.assertEqual(told, [None])
        self.assertEqual(self.first.metrics.read_count("told_loads_malformed"), 1)

    async def test_exception_in_a_handler_is_an_internal_error(self):
        """The request fails with an internal error, which is logged."""

        async def fail(peer_request):
            raise KeyError("fault")

        self.second.on_request = fail
        with self.assertLogs("papayatack.network.peers", "ERROR"):
            result = await self.exchange()
        self.assertIs(result.failure().kind, ErrorKind.INTERNAL)

    async def test_bad_frame_closes_the_connection_and_is_counted(self):
        """An oversized frame is counted as malformed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.second.port)
        writer.write((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        await reader.read(-1)
        writer.close()
        counted = self.second.metrics.read_count("peer_frames_refused", "malformed")
        self.assertEqual(counted, 1)

    async def test_lost_connection_fails_the_body(self):
        """Reading a body whose connection is lost raises the loss of the peer."""
        queue = BodyQueue()
        queue.put(b"part")

        async def respond(peer_request):
            return Success(Response(status=200, body=queue))

        self.second.on_request = respond
        result = await self.exchange()
        body = result.unwrap().body
        self.assertEqual(await body.read(), b"part")
        await self.second.abort()
        with self.assertRaises(IncompleteBodyError) as caught:
            await body.read()
        self.assertIs(caught.exception.kind, ErrorKind.PEER_LOST)

    async def test_silent_peer_is_unresponsive_before_the_deadline(self):
        """A frozen process keeps its connection open but sends nothing."""
        frozen = await asyncio.start_server(lambda r, w: r.read(-1), "127.0.0.1", 0)
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        unresponsive = []
        result = await self.first.exchange(
            address=PeerAddress("{}:{}".format(*frozen.sockets[0].getsockname())),
            peer_request=build_peer_request(),
            deadline_s=asyncio.get_running_loop().time() + 30.0,
            on_unresponsive=unresponsive.append,
        )
        self.assertIs(result.failure().kind, ErrorKind.PEER_LOST)
        self.assertFalse(unresponsive[0].response.done())
        frozen.close()

    async def test_silent_connection_is_noticed_within_three_tenths_of_a_second(self):
        """Requests are not waited for until their deadlines, or for the next sweep."""
        self.first.limits = PeerLimits(probe_after_s=0.1, unresponsive_after_s=0.3)
        self.assertTrue(is_successful(await self.exchange()))
        resume = self.pause_reading(self.second)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        result = await self.first.exchange(
            address=PeerAddress(f"127.0.0.1:{self.second.port}"),
            peer_request=build_peer_request(),
            deadline_s=started_s + 30.0,
            on_unresponsive=lambda stream: None,
        )
        self.assertIs(result.failure().kind, ErrorKind.PEER_LOST)
        self.assertLess(loop.time() - started_s, 0.3 + NOTICE_SLACK_S)
        resume()

    async def test_peer_that_works_for_long_is_probed_ever_more_rarely(self):
        self.first.limits = PeerLimits(probe_after_s=0.1, unresponsive_after_s=0.3)
        self.assertTrue(is_successful(await self.exchange()))
        self.second.on_request = self.respond_late
        send_hello = Link._send_hello
        with mock.patch.object(
            Link, "_send_hello", autospec=True, side_effect=send_hello
        ) as send:
            self.assertTrue(is_successful(await self.exchange()))
        probes = [call for call in send.mock_calls if call.kwargs["reply_wanted"]]
        self.assertIn(len(probes), range(3, 7))

    def pause_reading(self, network):
        """Pause reading on a network's links; return a function that resumes it."""
        transports = [link._transport for link in network._all_links]
        for transport in transports:
            transport.pause_reading()

        def resume():
            for transport in transports:
                transport.resume_reading()

        return resume

    async def respond_late(self, peer_request):
        """Respond after :data:`RESPONSE_DELAY_S`."""
        await asyncio.sleep(RESPONSE_DELAY_S)
        return await self.respond(peer_request)

    async def test_request_to_a_peer_that_becomes_unresponsive_gets_its_response(self):
        """It may be running and must not be retried, so its response is awaited."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.second.on_request = self.respond_late
        sent = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second._serving)
        self.addCleanup(self.pause_reading(self.second))
        self.assertEqual((await sent).unwrap().status, 200)

    async def test_request_of_a_peer_that_becomes_unresponsive_is_not_cancelled(self):
        """The peer gets the response once it reads again."""
        self.second.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.second.on_request = self.respond_late
        sent = asyncio.ensure_future(self.exchange())
        await wait_until(lambda: self.second._serving)
        resume = self.pause_reading(self.first)
        await wait_until(lambda: not self.second._serving)
        resume()
        self.assertEqual((await sent).unwrap().status, 200)

    async def test_partial_response_of_an_unresponsive_peer_ends_by_the_deadline(self):
        """The head has arrived, but the rest of the body does not."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.body_size = 200_000
        response = (await self.exchange()).unwrap()
        self.pause_reading(self.second)
        with self.assertRaises(IncompleteBodyError):
            async with asyncio.timeout(DEADLINE_S + DEADLINE_TOLERANCE_S):
                while await response.body.read():
                    pass

    async def test_response_to_an_unresponsive_peer_ends_by_the_deadline(self):
        """A peer that is gone without closing its connection reads no more of it."""
        self.second.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        self.body_size = 200_000
        await self.exchange()
        self.pause_reading(self.first)
        async with asyncio.timeout(DEADLINE_S + DEADLINE_TOLERANCE_S):
            await wait_until(lambda: not self.second._serving)

    async def test_stop_waits_until_responses_to_peers_are_written(self):
        """Responses queued on a paused link would be lost with the process."""
        self.body_size = 16 * 1024
        await self.exchange()
        resume = self.pause_reading(self.first)
        sent = [asyncio.ensure_future(self.exchange()) for _ in range(400)]
        await wait_until(
            lambda: (
                any(link._ready for link in self.second._all_links)
                and not self.second._serving
                and not self.count_held(self.second)
            )
        )
        asyncio.get_running_loop().call_later(0.1, resume)
        until_s = asyncio.get_running_loop().time() + 2.0
        await self.second.finish_requests(until_s=until_s)
        await self.second.abort()
        results = await asyncio.gather(*sent)
        lost = [result for result in results if not is_successful(result)]
        self.assertEqual(len(lost), 0)

    async def test_time_until_a_request_begins_is_subtracted_from_what_it_has_left(
        self,
    ):
        """More come at once than begin in one turn."""
        loop = asyncio.get_running_loop()
        left = []

        async def work(peer_request):
            left.append((loop.time(), peer_request.remaining_s))
            time.sleep(WORK_S)  # noqa: ASYNC251
            return await self.respond(peer_request)

        await self.exchange()
        self.second.on_request = work
        sent = []

        async def send():
            sent.append(loop.time())
            await self.exchange()

        await asyncio.gather(*(send() for _ in range(BURST)))
        for sent_s, (begun_s, remaining_s) in zip(sent, left, strict=True):
            self.assertAlmostEqual(remaining_s, 5.0 - (begun_s - sent_s), delta=0.1)

    async def test_requests_withdrawn_while_others_are_begun_are_not_begun(self):
        """The node has less time than all of them take."""
        begun_s = []

        async def work(peer_request):
            begun_s.append(time.monotonic())
            time.sleep(WORK_S)  # noqa: ASYNC251
            return await self.respond(peer_request)

        await self.exchange()
        self.second.on_request = work
        sent = [asyncio.ensure_future(self.exchange()) for _ in range(BURST)]
        await asyncio.sleep(PATIENCE_S)
        left_s = time.monotonic()
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        await asyncio.sleep(BURST * WORK_S)
        late = [at_s for at_s in begun_s if at_s > left_s + WITHDRAW_S]
        self.assertEqual(late, [])
        self.assertLess(left_s, begun_s[0] + 2 * PATIENCE_S)

    async def test_requests_held_on_a_link_are_refused_in_a_stop(self):
        """They were late, and the peer does not answer before the stop."""
        await self.exchange()
        delay = mock.patch.object(DeliveryDelay, "measure", return_value=1_000_000)
        with delay, mock.patch.object(request_hold, "MAX_HOLD_S", DEADLINE_S):
            resume = self.pause_reading(self.first)
            sent = [asyncio.ensure_future(self.exchange()) for _ in range(5)]
            await wait_until(lambda: self.count_held(self.second) == len(sent))
            until_s = asyncio.get_running_loop().time() + 2.0
            stop = asyncio.ensure_future(self.second.finish_requests(until_s=until_s))
            await asyncio.sleep(0)
            self.assertEqual(self.count_held(self.second), 0)
            resume()
            await stop
            results = await asyncio.gather(*sent)
        kinds = {result.failure().kind for result in results}
        self.assertEqual(kinds, {ErrorKind.NODE_DRAINING})

    def count_held(self, network):
        """Return how many requests wait for an answer of their sender."""
        return sum(len(link.hold) for link in network._all_links)

    async def test_answers_queued_on_a_replaced_connection_arrive_whole(self):
        """The peer opens another connection while it reads slowly from this one."""
        self.assertEqual(await self.read_from_replaced(SMALL_BUFFER_BYTES), [])

    async def test_answers_in_the_buffers_of_a_replaced_connection_arrive_whole(self):
        """The system holds all bytes, and the peer returns credit as it reads them."""
        self.assertEqual(await self.read_from_replaced(LARGE_BUFFER_BYTES), [])

    async def test_answers_in_the_buffers_of_a_stopped_node_arrive_whole(self):
        """The peer returns credit to the node that has stopped."""
        answers = await self.answer_slow_reader(LARGE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_S, self.resume)
        sizes = asyncio.ensure_future(self.read_sizes(answers))
        await self.second.finish_requests(until_s=loop.time() + STOP_S)
        await self.second.close(until_s=loop.time() + STOP_S)
        self.assertEqual(await sizes, [ANSWER_BYTES] * 2)

    async def test_silent_peer_delays_the_end_of_a_stop_by_no_more_than_allowed(self):
        """It neither reads nor closes its connection."""
        await self.answer_slow_reader(SMALL_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self.second.close(until_s=started_s + RESUME_S)
        self.assertLess(loop.time() - started_s, RESUME_S + DEADLINE_TOLERANCE_S)

    async def read_from_replaced(self, send_buffer_bytes):
        """Return the sizes of the answers that are cut on a replaced connection."""
        answers = await self.answer_slow_reader(send_buffer_bytes)
        (link,), (served,) = self.first._all_links, self.second._all_links
        self.first.handle_unresponsive(link)
        await self.exchange()
        self.assertTrue(served.retired)
        await asyncio.sleep(RETIREMENT_S)
        self.resume()
        sizes = await self.read_sizes(answers)
        await wait_until(lambda: served not in self.second._all_links)
        return [size for size in sizes if size != ANSWER_BYTES]

    async def answer_slow_reader(self, send_buffer_bytes):
        """Have two requests answered whose sender reads nothing until ``resume``."""
        await self.exchange()
        (link,), (served,) = self.first._all_links, self.second._all_links
        for end, option, size in (
            (link, socket.SO_RCVBUF, SMALL_BUFFER_BYTES),
            (served, socket.SO_SNDBUF, send_buffer_bytes),
        ):
            sock = end._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, option, size)
        self.resume = self.pause_reading(self.first)
        self.body_size = ANSWER_BYTES
        used_s = asyncio.get_running_loop().time()
        answers = [asyncio.ensure_future(self.exchange()) for _ in range(2)]
        await wait_until(lambda: served.last_used_s > used_s)
        await wait_until(lambda: not self.second._serving)
        return answers

    async def read_sizes(self, answers):
        """Return the numbers of bytes that arrive of answers, whole or not."""
        return [await self.read_whole((await item).unwrap().body) for item in answers]

    async def read_whole(self, body):
        """Return the number of bytes until the end of a body, whole or not."""
        size = 0
        with contextlib.suppress(IncompleteBodyError):
            while data := await body.read():
                size += len(data)
        body.close()
        return size

    async def test_loss_of_a_connection_with_requests_is_logged(self):
        """Both nodes log the number of requests; the server's task gets the reason."""
        released = asyncio.Event()

        async def wait(request):
            await released.wait()
            return await self.respond(request)

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

    async def test_peer_is_not_unresponsive_because_its_link_was_idle(self):
        """A peer is unresponsive only if it does not answer a probe."""
        self.first.limits = PeerLimits(probe_after_s=0.01, unresponsive_after_s=0.02)
        (await self.exchange()).unwrap().body.close()
        await asyncio.sleep(0.1)

        async def respond_late(peer_request):
            await asyncio.sleep(0.7)
            return await self.respond(peer_request)

        self.second.on_request = respond_late
        result = await self.exchange()
        self.assertEqual(result.unwrap().status, 200)

    async def test_address_that_no_process_can_have_is_unreachable(self):
        """Another writer may put any text into the log; requests fail as not run."""
        for address in ("127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:x", "\0:1", ""):
            with self.subTest(address=address):
                result = await self.first.exchange(
                    address=PeerAddress(address),
                    peer_request=build_peer_request(),
                    deadline_s=asyncio.get_running_loop().time() + 1.0,
                )
                self.assertIs(result.failure().kind, ErrorKind.PEER_UNREACHABLE)

    async def test_failed_connects_back_off(self):
        """Requests to an unreachable node do not each attempt to connect."""
        await self.second.abort()
        for _ in range(5):
            result = await self.exchange()
            self.assertIs(result.failure().kind, ErrorKind.PEER_UNREACHABLE)
        self.assertEqual(self.first.metrics.read_count("peer_connects_failed"), 1)
