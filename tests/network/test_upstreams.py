"""Tests of papayatack.network.upstreams on loopback."""

import asyncio
import unittest

from returns.pipeline import is_successful

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import BodyQueue, IncompleteBodyError
from papayatack.network.exchanges import Request
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from standins.upstream import UpstreamStandin

DEADLINE_S = 30.0
REQUEST = Request(method=b"GET", target=b"/", headers=((b"host", b"a"),))


class UpstreamPoolTests(unittest.IsolatedAsyncioTestCase):
    """A raw TCP server that responds with prepared bytes."""

    async def asyncSetUp(self):
        """Start the server and a pool of two connections."""
        self.responses = []
        self.accepted = 0
        self.closed = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.pool = UpstreamPool(
            host="127.0.0.1",
            port=self.server.sockets[0].getsockname()[1],
            metrics=Metrics(),
            limits=UpstreamLimits(connections=2),
        )

    async def asyncTearDown(self):
        """Close the pool and the server."""
        self.pool.close()
        self.server.close()

    async def serve(self, reader, writer):
        """Respond to each request with the next prepared bytes."""
        self.accepted += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                data = self.responses.pop(0)
                writer.write(data.removesuffix(b"CLOSE"))
                if data.endswith(b"CLOSE"):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.closed += 1
        writer.close()

    async def exchange(self, *, timeout_s=5.0):
        """Send one request."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        return await self.pool.exchange(REQUEST, deadline_s=deadline_s)

    async def read(self, result):
        """Return the complete body."""
        data = b""
        while chunk := await result.unwrap().body.read():
            data += chunk
        result.unwrap().body.close()
        return data

    async def test_connection_is_reused(self):
        """Consecutive requests share a connection."""
        self.responses = [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"] * 3
        for _ in range(3):
            self.assertEqual(await self.read(await self.exchange()), b"ok")
        self.assertEqual(self.accepted, 1)

    async def test_unframed_response_is_refused(self):
        """A body delimited only by the close of its connection may be truncated."""
        self.responses = [b"HTTP/1.1 200 OK\r\n\r\nsome bytesCLOSE"]
        result = await self.exchange()
        self.assertIs(result.failure().kind, ErrorKind.RESPONSE_TRUNCATED)

    async def test_response_without_a_final_status_is_none(self):
        """It does not reach the caller, and its connection serves no other request."""
        for status in (b"000", b"099", b"600", b"700", b"999", b"1000", b"-01", b""):
            with self.subTest(status=status):
                self.responses = [
                    b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status,
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                ]
                result = await self.exchange()
                self.assertIs(result.failure().kind, ErrorKind.UPSTREAM_LOST)
                self.assertEqual(await self.read(await self.exchange()), b"ok")
        self.responses = [b"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok"]
        self.assertEqual((await self.exchange()).unwrap().status, 599)

    async def test_short_body_is_an_error(self):
        """A body shorter than its Content-Length raises an error."""
        self.responses = [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nokCLOSE"]
        result = await self.exchange()
        with self.assertRaises(IncompleteBodyError) as caught:
            await self.read(result)
        self.assertIs(caught.exception.kind, ErrorKind.RESPONSE_TRUNCATED)

    async def test_connection_lost_after_the_write_is_a_lost_upstream(self):
        """Without any response the outcome of a written request is unknown."""
        self.responses = [b"CLOSE"]
        result = await self.exchange()
        self.assertIs(result.failure().kind, ErrorKind.UPSTREAM_LOST)

    async def test_no_listener_is_unreachable(self):
        """A refused connection means that no byte was sent."""
        self.server.close()
        result = await self.exchange()
        self.assertIs(result.failure().kind, ErrorKind.UPSTREAM_UNREACHABLE)

    async def send_body(self, data, *framing, received=b"", delay_s=0.0):
        """Send a request whose body is ``data`` although ``received`` was received."""
        queue = BodyQueue()
        queue.put(received)
        queue.finish()
        body = BodyQueue()
        body.put(data)
        asyncio.get_running_loop().call_later(delay_s, body.finish)
        if not delay_s:
            body.finish()
        headers = ((b"host", b"a"), framing)
        request = Request(
            method=b"POST", target=b"/", headers=headers, body=body, received=queue
        )
        deadline_s = asyncio.get_running_loop().time() + 5.0
        return await self.pool.exchange(request, deadline_s=deadline_s)

    async def test_body_that_was_lost_in_part_is_not_sent_as_a_whole_one(self):
        """Nothing of it is written, and the connections are free again."""
        self.responses = [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"] * 9
        for data in (b"", b"bod", b"bodybody"):
            for framing in (
                (b"transfer-encoding", b"chunked"),
                (b"content-length", b"4"),
            ):
                with self.subTest(data=data, framing=framing):
                    result = await self.send_body(data, *framing, received=b"body")
                    self.assertIs(result.failure().kind, ErrorKind.BODY_LOST)
        self.assertEqual(len(self.responses), 9)
        framing = (b"content-length", b"4")
        result = await self.send_body(b"body", *framing, received=b"body")
        self.assertEqual(await self.read(result), b"ok")

    async def test_end_of_a_body_that_was_lost_in_part_is_not_written(self):
        """The head and the first bytes were written; the request may have begun."""
        self.responses = [b""]
        framing = (b"transfer-encoding", b"chunked")
        result = await self.send_body(b"bo", *framing, received=b"body", delay_s=0.1)
        self.assertIs(result.failure().kind, ErrorKind.UPSTREAM_LOST)

    async def test_body_of_another_length_than_declared_ends_as_not_run(self):
        """It ended in an exception, and the connection was busy until the deadline."""
        request = Request(
            method=b"POST",
            target=b"/",
            headers=((b"host", b"a"), (b"content-length", b"4")),
        )
        deadline_s = asyncio.get_running_loop().time() + 5.0
        for _ in range(3):
            result = await self.pool.exchange(request, deadline_s=deadline_s)
            self.assertIs(result.failure().kind, ErrorKind.BODY_LOST)
        await asyncio.sleep(0.05)
        self.assertEqual(self.pool.open_connections, 0)

    async def test_connection_limit_is_enforced(self):
        """A third request waits, and expires without being sent."""
        self.responses = [b""] * 2
        waiting = [asyncio.create_task(self.exchange()) for _ in range(2)]
        await asyncio.sleep(0.01)
        result = await self.exchange(timeout_s=0.02)
        self.assertIs(result.failure().kind, ErrorKind.DEADLINE_EXPIRED)
        self.assertEqual(self.pool.open_connections, 2)
        for task in waiting:
            task.cancel()

    async def test_cancellation_closes_the_connection(self):
        """The upstream can tell that the response is no longer wanted."""
        self.responses = [b""]
        task = asyncio.create_task(self.exchange())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        while not self.closed:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        self.assertEqual(self.pool.open_connections, 0)

    async def test_deadline_after_the_write_is_a_timeout(self):
        """At its deadline a request to a silent upstream has an unknown outcome."""
        self.responses = [b""]
        result = await self.exchange(timeout_s=0.02)
        self.assertFalse(is_successful(result))
        self.assertIs(result.failure().kind, ErrorKind.UPSTREAM_TIMEOUT)


class ReuseTests(unittest.IsolatedAsyncioTestCase):
    """Connections that carry several exchanges in sequence."""

    async def asyncSetUp(self):
        self.upstream = UpstreamStandin(check_grants=False)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop, timeout_s=0.0)
        self.pool = UpstreamPool(
            host="127.0.0.1",
            port=self.upstream.port,
            metrics=Metrics(),
            limits=UpstreamLimits(connections=1),
        )
        self.addCleanup(self.pool.close)

    async def exchange(self, target):
        """Send a request and return its response."""
        deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
        request = Request(method=b"GET", target=target, headers=((b"host", b"a"),))
        result = await self.pool.exchange(request, deadline_s=deadline_s)
        return result.unwrap()

    async def test_closing_a_complete_body_does_not_affect_the_next_exchange(self):
        """A body closed late does not abort the request sent after it."""
        first = await self.exchange(b"/first")
        while not first.body.finished:
            await asyncio.sleep(0)
        second = asyncio.ensure_future(self.exchange(b"/second?sleep_ms=20"))
        await asyncio.sleep(0.005)
        first.body.close()
        response = await second
        self.assertEqual(response.status, 200)

    async def test_closing_a_partial_body_closes_the_connection(self):
        """The next exchange uses a new connection."""
        response = await self.exchange(b"/long?bytes=1000000")
        response.body.close()
        following = await self.exchange(b"/next")
        self.assertEqual(following.status, 200)
        self.assertEqual(await following.body.read(), b"xx")
