"""Tests with an upstream that writes an earlier refusal, or another answer, later."""

import asyncio
import dataclasses
import unittest

from returns.pipeline import is_successful

from papayatack.core.errors import Outcome, get_error_response
from papayatack.network.exchanges import Request
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import PlatformDialect
from papayatack.platform.upstream_calls import build_response_matcher
from papayatack.proxy.local import LocalServer
from tests.proxy.fakes import FakeGate, FakeOwnership, build_peer_request

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nPapayatack-Not-Executed: full\r\n"
    b"%sContent-Length: 0\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nPapayatack-Request-Id: %s\r\n"
    b"Papayatack-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
)
FAILURE = (
    b"HTTP/1.1 500 Internal Server Error\r\nPapayatack-Request-Id: %s\r\n"
    b"Papayatack-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
)
SECOND = (
    b"HTTP/1.1 200 OK\r\nPapayatack-Request-Id: %s\r\n"
    b"Papayatack-Response-Signature: s\r\nContent-Length: 5\r\n\r\nother"
)
DEADLINE_S = 2.0
WORK_S = 0.05


class UpstreamTestCase(unittest.IsolatedAsyncioTestCase):
    """A local server before an upstream that answers as ``serve`` says."""

    async def asyncSetUp(self):
        """Start the upstream and a local server before it."""
        self.ran = []
        self.connections = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.pool = UpstreamPool(
            host="127.0.0.1",
            port=server.sockets[0].getsockname()[1],
            metrics=Metrics(),
            limits=UpstreamLimits(),
        )
        self.addCleanup(self.pool.close)
        self.local = LocalServer(
            ownership=FakeOwnership(),
            gate=FakeGate(),
            metrics=Metrics(),
            upstream=self.pool,
            dialect=PlatformDialect(),
        )

    async def send(self, request_id):
        """Send a request that may run once, and return its result."""
        request = Request(
            method=b"POST",
            target=b"/x",
            headers=(
                (b"host", b"h"),
                (b"papayatack-request-id", request_id.encode()),
                (b"content-length", b"0"),
            ),
        )
        peer_request = dataclasses.replace(
            build_peer_request(request_id, repeatable=False), request=request
        )
        deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
        return await self.local.serve(peer_request, deadline_s=deadline_s)


class RepeatedRefusalTests(UpstreamTestCase):
    """An upstream that refuses the first request, and then again as it runs the next.

    The refusals are written as ``refusal``, with the id of the first request if
    ``has_id``.
    """

    async def asyncSetUp(self):
        self.has_id = False
        self.refusal = b""
        await super().asyncSetUp()

    async def serve(self, reader, writer):
        """Refuse the first request of all; run the others, after the refusal again."""
        self.connections += 1
        has_refused_here = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = [line for line in head.split(b"\r\n") if b"-request-id" in line]
                request_id = lines[0].partition(b": ")[2]
                if not self.refusal:
                    named = b"Papayatack-Request-Id: %s\r\n" % request_id
                    self.refusal = REFUSAL % (named if self.has_id else b"")
                    has_refused_here = True
                    writer.write(self.refusal)
                    continue
                self.ran.append(request_id.decode())
                if has_refused_here:
                    writer.write(self.refusal)
                await asyncio.sleep(WORK_S)
                writer.write(RESPONSE % request_id)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def find_outcome(self, result):
        """Return what a caller is told of a request that got no response."""
        return get_error_response(result.failure().kind).outcome

    async def test_repeated_refusal_without_an_id_does_not_say_that_another_ran_not(
        self,
    ):
        """The second request runs; nobody may be told that it did not."""
        self.assertIs(self.find_outcome(await self.send("a")), Outcome.NOT_RUN)
        result = await self.send("b")
        self.assertEqual(self.ran, ["b"])
        if not is_successful(result):
            self.assertIs(self.find_outcome(result), Outcome.UNKNOWN)

    async def test_request_that_is_sent_again_does_not_take_its_first_refusal(self):
        """Both attempts have the same id, which does not tell them apart."""
        self.has_id = True
        self.assertIs(self.find_outcome(await self.send("a")), Outcome.NOT_RUN)
        result = await self.send("a")
        self.assertEqual(self.ran, ["a"])
        self.assertEqual(result.unwrap().status, 200)

    async def test_repeated_refusal_with_the_id_of_another_request_is_skipped(self):
        """The second request gets its own response."""
        self.has_id = True
        await self.send("a")
        self.assertEqual((await self.send("b")).unwrap().status, 200)
        self.assertEqual(self.connections, 1)

    async def test_refusal_without_an_id_on_a_new_connection_is_believed(self):
        """Nothing else was sent on it whose refusal this could be."""
        self.assertIs(self.find_outcome(await self.send("a")), Outcome.NOT_RUN)

    async def test_answer_to_a_request_is_not_that_of_a_grant(self):
        """Grants and requests share connections; answers to grants name no request."""
        matches = build_response_matcher()
        self.assertTrue(matches(((b"papayatack-handover", b"x"),)))
        self.assertFalse(matches(((b"papayatack-request-id", b"a"),)))
        self.assertFalse(matches(((b"papayatack-response-signature", b"s"),)))


class SecondAnswerTests(UpstreamTestCase):
    """An upstream that fails a request, and writes another answer to it afterwards."""

    async def serve(self, reader, writer):
        """Fail the first request of all; answer it again where the next one is read."""
        self.connections += 1
        has_failed_here = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = [line for line in head.split(b"\r\n") if b"-request-id" in line]
                request_id = lines[0].partition(b": ")[2]
                self.ran.append(request_id.decode())
                if len(self.ran) == 1:
                    has_failed_here = True
                    writer.write(FAILURE % request_id)
                    continue
                if has_failed_here:
                    writer.write(SECOND % self.ran[0].encode())
                await asyncio.sleep(WORK_S)
                writer.write(RESPONSE % request_id)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def test_request_that_is_sent_again_does_not_take_a_second_answer(self):
        """Both attempts have the same id, which does not tell them apart."""
        failed = (await self.send("a")).unwrap()
        self.assertEqual(failed.status, 500)
        response = (await self.send("a")).unwrap()
        self.assertEqual(await response.body.read(), b"ok")
        self.assertEqual(self.ran, ["a", "a"])
