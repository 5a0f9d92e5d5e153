"""Tests of papayatack.logservice.calls."""

import asyncio
import time
import unittest

import h11

from papayatack.logservice.calls import (
    HttpCall,
    HttpClient,
    ResponseError,
    _Connection,
    _receive_response,
)

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


ENDLESS_TIMEOUT_S = 5.0
WRITTEN_BYTES = 1_000_000
MIN_TURNS = 50
"""Turns that other tasks get at least while so many bytes are read."""


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    """A service whose responses are many small parts, or do not end."""

    async def start(self, start, rest):
        """Return a client of a server that goes on to write ``rest``."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            try:
                while True:
                    writer.write(rest)
                    await writer.drain()
            except ConnectionError:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = HttpClient(host="127.0.0.1", port=server.sockets[0].getsockname()[1])
        self.addAsyncCleanup(client.close)
        return client

    async def test_interim_responses_without_end_are_an_error(self):
        """They end the call before its timeout."""
        client = await self.start(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50)
        call = HttpCall(method="GET", target="/")
        with self.assertRaises(ResponseError):
            await client.call(call, timeout_s=ENDLESS_TIMEOUT_S)

    async def test_other_tasks_get_their_turn_while_many_small_chunks_are_read(self):
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        reader = asyncio.StreamReader()
        reader.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        reader.feed_data(b"1\r\nx\r\n" * (WRITTEN_BYTES // 6) + b"0\r\n\r\n")
        protocol = h11.Connection(our_role=h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        protocol.send(h11.EndOfMessage())
        connection = _Connection(reader=reader, writer=None, protocol=protocol)
        counting = asyncio.ensure_future(count_turns())
        _, content, _ = await _receive_response(connection, WRITTEN_BYTES)
        counting.cancel()
        self.assertEqual(len(content), WRITTEN_BYTES // 6)
        self.assertGreater(turns, MIN_TURNS)


class SlowResponseTests(unittest.IsolatedAsyncioTestCase):
    """Responses that arrive in parts, over longer than the time limit of a call."""

    parts = 6

    async def asyncSetUp(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.client = HttpClient(
            host="127.0.0.1", port=server.sockets[0].getsockname()[1]
        )
        self.addAsyncCleanup(self.client.close)
        self.stops_after = self.parts

    async def _serve(self, reader, writer):
        await reader.read(65_536)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.parts)
        for _ in range(self.stops_after):
            await asyncio.sleep(TIMEOUT_S / 2)
            writer.write(b"x")
        await reader.read()
        writer.close()

    async def test_response_that_keeps_arriving_is_not_given_up(self):
        """The time between two parts counts, not that of the whole response."""
        _, content, _ = await self.client.call_with_headers(
            HttpCall(method="GET", target="/"),
            timeout_s=TIMEOUT_S,
            idle_timeout_s=TIMEOUT_S,
        )
        self.assertEqual(content, b"x" * self.parts)

    async def test_response_that_stops_arriving_is_given_up(self):
        """The call ends once nothing has arrived for the idle timeout."""
        self.stops_after = 3
        with self.assertRaises(TimeoutError):
            await self.client.call_with_headers(
                HttpCall(method="GET", target="/"),
                timeout_s=TIMEOUT_S,
                idle_timeout_s=TIMEOUT_S,
            )

    async def test_time_limit_of_other_calls_holds_for_the_whole_response(self):
        """Without an idle timeout, a response in parts does not extend the call."""
        with self.assertRaises(TimeoutError):
            await self.client.call(
                HttpCall(method="GET", target="/"), timeout_s=TIMEOUT_S
            )
