"""Tests of papayatack.network.callers on loopback."""

import asyncio
import socket
import unittest

from papayatack.network.bodies import BodyQueue, BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Response
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics
from tests.proxy.fakes import build_request, fetch, wait_until

LIMITS = CallerLimits(
    header_bytes=1000,
    body_bytes=5000,
    connections=3,
    header_timeout_s=0.05,
    body_timeout_s=0.05,
    write_timeout_s=0.05,
    buffer_bytes=2000,
)


class CallerServerTestCase(unittest.IsolatedAsyncioTestCase):
    """A server whose handler echoes the body's size."""

    async def asyncSetUp(self):
        """Start the server."""
        self.requests = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self.metrics = Metrics()
        self.server = CallerServer(
            host="127.0.0.1",
            port=0,
            handler=self.handle,
            metrics=self.metrics,
            limits=LIMITS,
        )
        await self.server.start()

    async def asyncTearDown(self):
        """Stop the server."""
        await self.server.stop(timeout_s=0)

    async def handle(self, request):
        """Answer with the size of the body."""
        self.requests.append(request)
        size = 0
        try:
            await self.release.wait()
            while data := await request.body.read():
                size += len(data)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        data = b"%s %d" % (request.target, size)
        headers = ((b"content-length", b"%d" % len(data)),)
        return Response(status=200, headers=headers, body=BytesBody(data=data))

    async def fetch(self, data):
        """Return the raw answer."""
        return await fetch(self.server.port, data)


class ParsingTests(CallerServerTestCase):
    """Requests, well formed and not."""

    async def test_pipelined_requests_are_answered_in_order(self):
        """Answers come in the order of the requests."""
        data = b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % n for n in range(5))
        answer = await self.fetch(data + build_request("GET", "/last"))
        places = [answer.index(b"/%d 0" % n) for n in range(5)]
        self.assertEqual(places, sorted(places))
        self.assertIn(b"/last 0", answer)

    async def test_malformed_requests_get_a_clear_error(self):
        """Each fault has its status, and nothing reaches the handler."""
        cases = {
            b"nonsense\r\n\r\n": b" 400 ",
            b"GET / HTTP/1.1\r\n\r\n": b" 400 ",
            b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 2000: b" 431 ",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": b" 400 ",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n": b" 413 ",
        }
        for data, status in cases.items():
            with self.subTest(data=data[:40]):
                answer = await self.fetch(data)
                self.assertIn(status, answer.split(b"\r\n")[0] + b" ")
                self.assertIn(b"papayatack-outcome: not-run", answer)
        self.assertEqual(self.requests, [])

    async def test_chunked_body_over_the_limit_is_cut_off(self):
        """The limit holds for bodies of unknown length too."""
        chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
        head = (
            b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        answer = await self.fetch(head + chunk * 6 + b"0\r\n\r\n")
        self.assertIn(b" 413 ", answer)

    async def test_head_gets_no_body(self):
        """The answer to HEAD ends after its header."""
        answer = await self.fetch(build_request("HEAD", "/x"))
        self.assertTrue(answer.endswith(b"\r\n\r\n"))

    async def test_continue_is_sent_when_the_body_is_read(self):
        """A caller that expects 100 Continue gets it, then its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            b"POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        self.assertIn(b"100", await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"abc")
        self.assertIn(b"/c 3", await reader.readuntil(b"/c 3"))
        writer.close()


class LimitTests(CallerServerTestCase):
    """Slow, many and leaving callers."""

    async def test_connections_over_the_limit_are_refused(self):
        """One connection too many is told so; the others go on."""
        opened = [
            await asyncio.open_connection("127.0.0.1", self.server.port)
            for _ in range(LIMITS.connections)
        ]
        answer = await self.fetch(b"")
        self.assertIn(b"papayatack-error: connection-limit", answer)
        opened[0][1].write(build_request("GET", "/still"))
        self.assertIn(b"/still 0", await opened[0][0].read(-1))
        for _, writer in opened:
            writer.close()

    async def test_slow_header_and_slow_body_are_ended(self):
        """A caller that pauses is told 408, and its connection ends."""
        for data in (b"GET / HT", build_request("POST", "/", body=b"abc")[:-1]):
            answer = await self.fetch(data)
            if data.startswith(b"GET"):
                self.assertIn(b" 408 ", answer)
            self.assertNotIn(b" 200 ", answer)

    async def test_leaving_caller_cancels_its_request(self):
        """The handler is cancelled when the connection is lost."""
        self.release.clear()
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(build_request("GET", "/x"))
        await wait_until(lambda: self.requests)
        writer.close()
        await wait_until(lambda: self.cancelled)

    async def test_graceful_stop_finishes_what_is_in_flight(self):
        """A request in flight is answered, and its connection closed."""
        self.release.clear()
        answer = asyncio.create_task(self.fetch(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"))
        await wait_until(lambda: self.requests)
        stop = asyncio.create_task(self.server.stop(timeout_s=5))
        await asyncio.sleep(0)
        self.release.set()
        self.assertIn(b"connection: close", (await answer).lower())
        await stop

    async def test_request_that_the_stop_finds_unread_is_answered_not_reset(self):
        """On an open connection, and on one that is not yet accepted."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        await wait_until(lambda: self.server._connections)
        unaccepted = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(unaccepted.close)
        unaccepted.sendall(build_request("GET", "/new"))
        writer.write(build_request("GET", "/open"))
        await self.server.stop(timeout_s=5)
        self.assertIn(b"/open 0", await reader.read())
        self.assertIn(b"/new 0", unaccepted.recv(4096))
        writer.close()

    async def test_answer_that_is_missing_at_the_end_of_a_stop_is_told(self):
        """The cut has a line in the log; idle connections are closed without one."""
        self.release.clear()
        idle, _ = await asyncio.open_connection("127.0.0.1", self.server.port)
        answer = asyncio.create_task(self.fetch(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"))
        await wait_until(lambda: self.requests)
        with self.assertLogs("papayatack.network", "ERROR") as logs:
            await self.server.stop(timeout_s=0.05)
        self.assertEqual(len(logs.output), 1)
        self.assertIn("CONNECTION_CUT", logs.output[0])
        self.assertEqual(await idle.read(), b"")
        self.assertEqual(await answer, b"")

    async def test_unread_body_stops_the_reading(self):
        """Bytes that nobody takes are not gathered in memory."""
        self.release.clear()
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(build_request("POST", "/x", body=b"x" * 4500))
        await wait_until(lambda: self.requests)
        (connection,) = self.server._connections
        await wait_until(lambda: connection._read_paused)
        self.assertIsInstance(self.requests[0].body, BodyQueue)
        self.release.set()
        await wait_until(lambda: not self.server._connections)
        writer.close()
