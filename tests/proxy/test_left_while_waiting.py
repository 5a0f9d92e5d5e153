"""Tests of callers that leave while their requests wait somewhere on the way."""

import asyncio

from papayatack.core.identity import PeerAddress
from tests.proxy.fakes import build_request, fetch, wait_until
from tests.proxy.two_nodes import TwoNodesTestCase

BUSY_MS = 600
LONG_MS = 3000
LARGE_BYTES = 700_000
READ_S = 0.1
SETTLE_S = 0.3


class LeftWhileWaitingTests(TwoNodesTestCase):
    """Two nodes; the second owns the shard and has one connection to its upstream."""

    connections = 1

    async def asyncSetUp(self):
        """Start the nodes, and connect them."""
        await super().asyncSetUp()
        await fetch(self.entry.callers.port, build_request("GET", "/hiring/v/k1"))
        self.upstream.runs.clear()

    def count_runs(self):
        """Return how many requests have reached the upstream."""
        return sum(self.upstream.runs.values())

    async def send(self, data):
        """Send a request to the entry node; return the connection."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.entry.callers.port)
        writer.write(data)
        return writer

    async def occupy(self, busy_ms=BUSY_MS):
        """Have the upstream's only connection in use; return the request."""
        target = f"/hiring/v/k1?sleep_ms={busy_ms}"
        occupying = asyncio.create_task(
            fetch(self.owner.callers.port, build_request("GET", target))
        )
        await wait_until(self.count_runs)
        return occupying

    async def leave_in_queue(self, data):
        """Leave while the request waits for a connection; return the number of runs."""
        occupying = await self.occupy()
        writer = await self.send(data)
        await asyncio.sleep(READ_S)
        writer.transport.abort()
        self.assertIn(b" 200 ", await occupying)
        await asyncio.sleep(SETTLE_S)
        return self.count_runs()

    async def test_left_while_waiting_for_a_connection(self):
        """The request is taken out of the queue at the other node."""
        data = build_request("GET", "/hiring/v/k1")
        self.assertEqual(await self.leave_in_queue(data), 1)

    async def test_left_while_waiting_with_a_body_that_nobody_reads(self):
        """Neither node reads on, as the body fills the buffers between them."""
        data = build_request("POST", "/hiring/v/k1", body=b"x" * LARGE_BYTES)
        self.assertEqual(await self.leave_in_queue(data), 1)

    async def test_left_while_waiting_with_further_requests_behind(self):
        """None of the pipelined requests reaches the upstream."""
        data = b"GET /hiring/v/k1 HTTP/1.1\r\nHost: a\r\n\r\n" * 3
        self.assertEqual(await self.leave_in_queue(data), 1)

    async def test_left_while_the_owner_stands_still(self):
        """The owner reads the request and its cancellation together."""
        links = list(self.owner.network.links)
        for link in links:
            link._transport.pause_reading()
        writer = await self.send(build_request("GET", "/hiring/v/k1"))
        await asyncio.sleep(READ_S)
        writer.transport.abort()
        await asyncio.sleep(READ_S)
        for link in links:
            link._transport.resume_reading()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.count_runs(), 0)

    async def test_left_between_two_attempts(self):
        """The owner becomes reachable only after the caller has left."""
        reachable = self.entry.ownership.route
        self.entry.ownership.route = self.owner.build_route(
            local=False, address=PeerAddress("127.0.0.1:1")
        )
        writer = await self.send(build_request("GET", "/hiring/v/k1"))
        await asyncio.sleep(0.02)
        writer.transport.abort()
        await asyncio.sleep(0.02)
        self.entry.ownership.route = reachable
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.count_runs(), 0)

    async def test_many_callers_that_leave_at_once(self):
        """A hundred requests wait; none of them runs after that."""
        occupying = await self.occupy(LONG_MS)
        data = build_request("GET", "/hiring/v/k1")
        writers = [await self.send(data) for _ in range(100)]
        await asyncio.sleep(READ_S)
        for writer in writers:
            writer.transport.abort()
        self.assertFalse(occupying.done())
        await occupying
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.count_runs(), 1)
