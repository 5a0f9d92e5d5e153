"""Tests of papayatack.network.peer_requests on loopback."""

import asyncio
from unittest import mock

from returns.result import Failure, Success

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.identity import PeerAddress
from papayatack.core.node_load import NodeLoad
from papayatack.network.bodies import BodyQueue, IncompleteBodyError
from papayatack.network.exchanges import Response
from papayatack.network.limits import PeerLimits
from tests.network.two_networks import TwoNetworksTestCase, build_peer_request
from tests.proxy.fakes import wait_until

CONNECT_S = 0.4


class PeerRequestTests(TwoNetworksTestCase):
    """A request and its response, whole or in part."""

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

    async def test_response_of_a_peer_without_a_final_status_is_none(self):
        """It is lost; other requests to the peer are served."""
        statuses = (0, -1, 99, 100, 199, 600, 700, 999, 2**31 - 1)
        for status in statuses:
            with self.subTest(status=status):

                async def respond(peer_request, status=status):
                    return Success(Response(status=status))

                self.second.on_request = respond
                result = await self.exchange()
                self.assertIs(result.failure().kind, ErrorKind.PEER_LOST)
                self.second.on_request = self.respond
                self.assertEqual((await self.exchange()).unwrap().status, 200)

    async def test_large_unread_response_does_not_block_a_small_one(self):
        """Streams are flow-controlled independently."""
        self.body_size = 1_000_000
        large = await self.exchange()
        self.body_size = 2
        small = await self.exchange()
        self.assertEqual(await small.unwrap().body.read(), b"xx")
        large.unwrap().body.close()
        small.unwrap().body.close()
        await wait_until(lambda: not self.second.serving.tasks)

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
