"""Tests of papayatack.logservice.calls."""

import asyncio
import time
import unittest

from papayatack.logservice.calls import HttpCall, HttpClient

TIMEOUT_S = 0.2
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SilencingServer:
    """Answers all requests but those on connections that were silenced.

    Attributes:
        connections: Number of connections accepted.
        requests: Number of requests received.
    """

    def __init__(self):
        self.connections = 0
        self.requests = 0
        self._silenced = 0
        self._answer = asyncio.Event()
        self._answer.set()
        self._server = None

    async def start(self):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening."""
        self._server.close()

    def hold_answers(self, held):
        """Hold back the answers, or send them."""
        (self._answer.clear if held else self._answer.set)()

    def silence(self):
        """Answer no more on the connections that are open."""
        self._silenced = self.connections

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while await reader.read(65_536):
            self.requests += 1
            await self._answer.wait()
            if number > self._silenced:
                writer.write(RESPONSE)


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Connections that stay open and carry nothing any more."""

    async def asyncSetUp(self):
        self.server = SilencingServer()
        port = await self.server.start()
        self.addCleanup(self.server.stop)
        self.client = HttpClient(host="127.0.0.1", port=port)
        self.addAsyncCleanup(self.client.close)

    async def call(self):
        """Return whether a call is answered in time."""
        call = HttpCall(method="GET", target="/")
        try:
            await self.client.call(call, timeout_s=TIMEOUT_S)
        except TimeoutError:
            return False
        return True

    async def open_connections(self, count):
        """Leave a number of idle connections in the client."""
        self.server.hold_answers(True)
        calls = [asyncio.ensure_future(self.call()) for _ in range(count)]
        while self.server.requests < count:
            await asyncio.sleep(0.001)
        self.server.hold_answers(False)
        self.assertEqual(await asyncio.gather(*calls), [True] * count)

    async def test_one_call_that_gets_no_answer_retires_all_idle_connections(self):
        await self.open_connections(3)
        self.server.silence()
        started_s = time.monotonic()
        self.assertFalse(await self.call())
        self.assertTrue(await self.call())
        self.assertLess(time.monotonic() - started_s, 2 * TIMEOUT_S)

    async def test_call_that_is_cancelled_retires_only_its_own_connection(self):
        await self.open_connections(3)
        self.server.hold_answers(True)
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(TIMEOUT_S / 4)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.server.hold_answers(False)
        self.assertTrue(await self.call())
        self.assertEqual(self.server.connections, 3)
