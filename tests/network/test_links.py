"""Tests of papayatack.network.links with a mock transport."""

import asyncio
import unittest
from unittest import mock

from papayatack.core.errors import ErrorKind
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.network.limits import PeerLimits
from papayatack.network.links import CONTROL_STREAM, PROTOCOL_VERSION, Link
from papayatack.observability.metrics import Metrics
from papayatack.wire.frames import FrameReader, encode_frame
from papayatack.wire.schema import schema

LIMITS = PeerLimits(probe_after_s=0.4, unresponsive_after_s=1.0)
CHECK_INTERVAL_S = 0.5
"""Simulated time between two checks of the link."""


class LivenessTests(unittest.IsolatedAsyncioTestCase):
    """A link with one request, on a simulated clock with millisecond resolution."""

    async def asyncSetUp(self):
        """Open a link that carries one request."""
        self.now = 10.0
        patched = mock.patch.object(
            asyncio.get_running_loop(), "time", lambda: round(self.now, 3)
        )
        self.owner = mock.Mock(
            limits=LIMITS, metrics=Metrics(), incarnation=IncarnationId("a:1#own")
        )
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False
        timers = mock.patch.object(asyncio.get_running_loop(), "call_at")
        with patched, timers:
            self.link = Link(owner=self.owner, address=PeerAddress("b:2"))
            self.link.connection_made(self.transport)
            self.stream = self.link.open_stream()
        self.clock = patched
        self.stream.written = True
        self.stream.task = mock.Mock(done=lambda: True)
        self.unresponsive = []
        self.stream.on_unresponsive = self.unresponsive.append

    def receive_hello(self):
        """Deliver a hello from the peer."""
        hello = schema.Hello(
            incarnation="b:2#other", protocol=PROTOCOL_VERSION, sent_us=1
        )
        frame = schema.Frame(stream=CONTROL_STREAM, hello=hello)
        with self.clock:
            self.link.data_received(encode_frame(frame))

    async def check(self):
        """Advance the clock, check the link, and return the number of probes sent."""
        self.transport.write.reset_mock()
        self.now += CHECK_INTERVAL_S
        with self.clock:
            self.link.check_liveness(self.now)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        reader = FrameReader()
        written = b"".join(call.args[0] for call in self.transport.write.mock_calls)
        hellos = [frame.hello for frame in reader.feed(written)]
        return sum(bool(hello.reply_wanted) for hello in hellos if hello)

    async def test_peer_that_answers_probes_in_the_same_tick_stays_responsive(self):
        """The request stays open as long as the peer answers probes."""
        await asyncio.sleep(0)
        for _ in range(8):
            probes = await self.check()
            self.assertFalse(self.link.closed)
            if probes:
                self.receive_hello()
        self.assertFalse(self.stream.response.done())

    async def test_peer_is_probed_before_it_is_unresponsive(self):
        """This holds even if the link was idle for a long time before the request."""
        await asyncio.sleep(0)
        await self.check()
        self.receive_hello()
        self.link.drop_stream(self.stream)
        self.now += 20 * CHECK_INTERVAL_S
        with self.clock:
            self.stream = self.link.open_stream()
        self.assertEqual(await self.check(), 1)
        self.assertFalse(self.link.closed)

    async def test_peer_that_does_not_answer_a_probe_is_unresponsive(self):
        """It is detected within the allowed silence plus one check interval."""
        await asyncio.sleep(0)
        awaited = self.stream.response
        with self.assertLogs("papayatack.network.links", "WARNING"):
            while (
                not awaited.done()
                and self.now < 10.0 + LIMITS.unresponsive_after_s + CHECK_INTERVAL_S
            ):
                await self.check()
        self.assertIs(awaited.result().failure().kind, ErrorKind.PEER_LOST)
        self.owner.handle_unresponsive.assert_called_once_with(self.link)

    async def test_late_response_of_an_unresponsive_peer_is_delivered(self):
        """The stream's new response future receives it beside a retry."""
        await asyncio.sleep(0)
        awaited = self.stream.response
        with self.assertLogs("papayatack.network.links", "WARNING"):
            while not awaited.done():
                await self.check()
        self.assertEqual(self.unresponsive, [self.stream])
        head = schema.ResponseHead(status=200, reason=b"", headers=[])
        body = schema.Body(data=b"", final=True)
        frame = schema.Frame(stream=self.stream.stream_id, response=head, body=body)
        with self.clock:
            self.link.data_received(encode_frame(frame))
        self.assertEqual(self.stream.response.result().unwrap().status, 200)
        self.assertFalse(self.link.unresponsive)

    async def test_request_that_cannot_be_retried_waits_for_an_unresponsive_peer(self):
        """Without a callback it ends only with its deadline or the connection."""
        self.stream.on_unresponsive = None
        await asyncio.sleep(0)
        with self.assertLogs("papayatack.network.links", "WARNING"):
            for _ in range(10):
                await self.check()
        self.assertFalse(self.stream.response.done())
        self.assertFalse(self.link.closed)

    async def test_unwritten_request_to_an_unresponsive_peer_fails_as_not_run(self):
        """No byte was sent, so it can't have run."""
        self.stream.written = False
        awaited = self.stream.response
        await asyncio.sleep(0)
        with self.assertLogs("papayatack.network.links", "WARNING"):
            while not awaited.done():
                await self.check()
        self.assertIs(awaited.result().failure().kind, ErrorKind.PEER_UNREACHABLE)


class ClosingTests(unittest.IsolatedAsyncioTestCase):
    """A link whose transport closes before ``connection_lost`` is called."""

    async def test_request_on_a_closing_connection_does_not_count_as_sent(self):
        """It fails as not run, because no byte of it was written."""
        owner = mock.Mock(
            limits=LIMITS, metrics=Metrics(), incarnation=IncarnationId("a:1#own")
        )
        transport = mock.Mock()
        transport.is_closing.return_value = False
        link = Link(owner=owner, address=PeerAddress("b:2"))
        link.connection_made(transport)
        await asyncio.sleep(0)
        stream = link.open_stream()
        transport.is_closing.return_value = True
        transport.write.side_effect = RuntimeError("the handler is closed")
        stream.queue_frame(schema.Frame(stream=stream.stream_id))
        await asyncio.sleep(0)
        with self.assertLogs("papayatack.network.links", "WARNING"):
            link.connection_lost(None)
        refusal = stream.response.result().failure()
        self.assertIs(refusal.kind, ErrorKind.PEER_UNREACHABLE)
