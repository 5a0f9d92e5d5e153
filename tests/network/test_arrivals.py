"""Tests of papayatack.network.arrivals on loopback."""

import asyncio
import socket
import threading
import time
import unittest

from papayatack.network.arrivals import ArrivalCheck
from papayatack.network.bodies import BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Response
from papayatack.observability.metrics import Metrics

LOGGER = "papayatack.network.arrivals"
CALLERS = 150
WORK_S = 0.006
"""Processor time that each request takes; together more than the callers wait."""

PATIENCE_S = 0.3
NOTICE_S = 0.2
"""Time of four turns in which as many requests are begun as a turn allows."""

SETTLE_S = 0.2
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class ArrivalCheckTests(unittest.IsolatedAsyncioTestCase):
    """Connected sockets, on each of which a request waits."""

    def setUp(self):
        self.check = ArrivalCheck()
        self.left = []

    def connect(self, name):
        """Add one end of a connection; return the peer's."""
        own, peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        self.addCleanup(own.close)
        self.addCleanup(peer.close)
        peer.sendall(b"unread")
        self.check.add(own.fileno(), lambda: self.left.append(name))
        return peer

    async def test_peers_that_hung_up_are_told_from_those_that_stay(self):
        """A line of the log counts them."""
        peers = [self.connect(number) for number in range(5)]
        for peer in peers[1:3]:
            peer.close()
        with self.assertLogs(LOGGER, "INFO") as logs:
            await asyncio.sleep(0)
        self.assertEqual(self.left, [1, 2])
        (record,) = logs.records
        self.assertEqual((record.count, record.requests), (2, 5))

    async def test_nothing_is_logged_if_all_stay(self):
        """Later hang-ups are not looked for."""
        peer = self.connect("stays")
        with self.assertNoLogs(LOGGER):
            await asyncio.sleep(0)
            peer.close()
            await asyncio.sleep(0)
        self.assertEqual(self.left, [])

    async def test_hang_ups_are_found_before_a_task_that_is_created_later_runs(self):
        """The order holds in each turn of the loop."""
        for name in ("first", "second"):
            self.connect(name).close()
            seen = await asyncio.create_task(self.list_left())
            self.assertEqual(seen[-1], name)

    async def list_left(self):
        """Return the peers found so far."""
        return list(self.left)


class OverloadTests(unittest.IsolatedAsyncioTestCase):
    """More requests come at once than the process can serve before callers leave."""

    async def asyncSetUp(self):
        """Start a server whose handler keeps the processor busy."""
        self.handled_s = []
        self.waited_s = []
        self.server = CallerServer(
            host="127.0.0.1", port=0, handler=self.handle, metrics=Metrics()
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, timeout_s=0)

    async def handle(self, request):
        """Work without a pause, then respond."""
        self.handled_s.append(time.monotonic())
        self.waited_s.append(request.waited_s)
        time.sleep(WORK_S)  # noqa: ASYNC251
        return Response(status=200, body=BytesBody())

    async def test_requests_whose_callers_left_in_the_meantime_are_not_begun(self):
        """The process looks for hang-ups between the requests that it begins."""
        address = ("127.0.0.1", self.server.port)
        callers = [
            await asyncio.to_thread(socket.create_connection, address)
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(SETTLE_S)
        left_s = []

        def leave():
            time.sleep(PATIENCE_S)
            left_s.append(time.monotonic())
            for caller in callers:
                caller.close()

        for caller in callers:
            caller.sendall(REQUEST)
        thread = threading.Thread(target=leave)
        thread.start()
        await asyncio.sleep(CALLERS * WORK_S + PATIENCE_S + SETTLE_S)
        thread.join()
        self.assertAlmostEqual(max(self.waited_s), PATIENCE_S, delta=NOTICE_S)
        late = [begun_s for begun_s in self.handled_s if begun_s > left_s[0] + NOTICE_S]
        self.assertEqual(late, [])
        self.assertGreater(len(self.handled_s), PATIENCE_S / WORK_S / 4)
