"""Two networks on loopback, for tests of requests between nodes."""

import asyncio
import contextlib
import random
import socket
import unittest

from returns.result import Success

from papayatack.core.identity import IncarnationId, LeaseId, PeerAddress
from papayatack.core.inventory import RequestClass
from papayatack.core.messages import Fence
from papayatack.network.bodies import BytesBody, IncompleteBodyError
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.peers import PeerNetwork
from papayatack.observability.metrics import Metrics
from tests.proxy.fakes import wait_until

DEADLINE_S = 5.0
"""Deadline of each request."""
DEADLINE_TOLERANCE_S = 0.5
"""A request must end within this time after its deadline."""
RESPONSE_DELAY_S = 1.6
ANSWER_BYTES = 60_000
"""Less than the flow-control window; two of them do not fit a connection's buffer."""
SMALL_BUFFER_BYTES = 4096
LARGE_BUFFER_BYTES = 1 << 20
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


class TwoNetworksTestCase(unittest.IsolatedAsyncioTestCase):
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

    async def respond_late(self, peer_request):
        """Respond after :data:`RESPONSE_DELAY_S`."""
        await asyncio.sleep(RESPONSE_DELAY_S)
        return await self.respond(peer_request)

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

    def pause_reading(self, network):
        """Pause reading on a network's links; return a function that resumes it."""
        transports = [link._transport for link in network.links]
        for transport in transports:
            transport.pause_reading()

        def resume():
            for transport in transports:
                transport.resume_reading()

        return resume

    def count_held(self, network):
        """Return how many requests wait for an answer of their sender."""
        return sum(len(link.hold) for link in network.links)

    async def answer_slow_reader(self, send_buffer_bytes):
        """Have two requests answered whose sender reads nothing until ``resume``."""
        await self.exchange()
        (link,), (served,) = self.first.links, self.second.links
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
        await wait_until(lambda: not self.second.serving.tasks)
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
