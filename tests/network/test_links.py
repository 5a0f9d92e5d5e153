"""Tests of papayatack.network.links without sockets."""

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
LOOK_S = 0.5
"""Time between two looks at a connection."""


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """A connection with one request, by a clock that counts whole milliseconds."""

    async def asyncSetUp(self):
        """Open a connection that carries one request."""
        self.now = 10.0
        patched = mock.patch.object(
            asyncio.get_running_loop(), "time", lambda: round(self.now, 3)
        )
        self.owner = mock.Mock(
            limits=LIMITS, metrics=Metrics(), incarnation=IncarnationId("a:1#own")
        )
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False
        with patched:
            self.link = Link(owner=self.owner, address=PeerAddress("b:2"))
            self.link.connection_made(self.transport)
            self.stream = self.link.open_stream()
        self.clock = patched
        self.stream.written = True
        self.stream.task = mock.Mock(done=lambda: True)
        self.doubted = []
        self.stream.on_unresponsive = self.doubted.append

    def receive_hello(self):
        """Take a sign of life of the peer."""
        hello = schema.Hello(
            incarnation="b:2#other", protocol=PROTOCOL_VERSION, sent_us=1
        )
        frame = schema.Frame(stream=CONTROL_STREAM, hello=hello)
        with self.clock:
            self.link.data_received(encode_frame(frame))

    async def look(self):
        """Look at the connection as late as is usual; count what the peer is asked."""
        self.transport.write.reset_mock()
        self.now += LOOK_S
        with self.clock:
            self.link.check_liveness(self.now)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        reader = FrameReader()
        written = b"".join(call.args[0] for call in self.transport.write.mock_calls)
        hellos = [frame.hello for frame in reader.feed(written)]
        return sum(bool(hello.reply_wanted) for hello in hellos if hello)

    async def test_peer_that_answers_in_the_same_tick_is_not_taken_for_silent(self):
        """The request on the connection stays open as long as the peer answers."""
        await asyncio.sleep(0)
        for _ in range(8):
            asked = await self.look()
            self.assertFalse(self.link.closed)
            if asked:
                self.receive_hello()
        self.assertFalse(self.stream.response.done())

    async def test_peer_is_asked_before_it_is_given_up(self):
        """However long the connection was without requests."""
        await asyncio.sleep(0)
        await self.look()
        self.receive_hello()
        self.link.drop_stream(self.stream)
        self.now += 20 * LOOK_S
        with self.clock:
            self.stream = self.link.open_stream()
        self.assertEqual(await self.look(), 1)
        self.assertFalse(self.link.closed)

    async def test_peer_that_does_not_answer_is_given_up(self):
        """Within the time for which it may be silent, and one look."""
        await asyncio.sleep(0)
        awaited = self.stream.response
        with self.assertLogs("papayatack.network.links", "WARNING"):
            while (
                not awaited.done()
                and self.now < 10.0 + LIMITS.unresponsive_after_s + LOOK_S
            ):
                await self.look()
        self.assertIs(awaited.result().failure().kind, ErrorKind.PEER_LOST)
        self.owner.handle_unresponsive.assert_called_once_with(self.link)

    async def test_answer_after_a_silence_is_passed_on(self):
        """It is awaited anew beside a further attempt."""
        await asyncio.sleep(0)
        awaited = self.stream.response
        with self.assertLogs("papayatack.network.links", "WARNING"):
            while not awaited.done():
                await self.look()
        self.assertEqual(self.doubted, [self.stream])
        head = schema.ResponseHead(status=200, reason=b"", headers=[])
        body = schema.Body(data=b"", final=True)
        frame = schema.Frame(stream=self.stream.stream_id, response=head, body=body)
        with self.clock:
            self.link.data_received(encode_frame(frame))
        self.assertEqual(self.stream.response.result().unwrap().status, 200)
        self.assertFalse(self.link.unresponsive)

    async def test_request_that_cannot_be_repeated_waits_for_a_silent_peer(self):
        """It ends with its deadline or the connection."""
        self.stream.on_unresponsive = None
        await asyncio.sleep(0)
        with self.assertLogs("papayatack.network.links", "WARNING"):
            for _ in range(10):
                await self.look()
        self.assertFalse(self.stream.response.done())
        self.assertFalse(self.link.closed)

    async def test_request_that_was_not_written_is_withdrawn(self):
        """It has not run."""
        self.stream.written = False
        awaited = self.stream.response
        await asyncio.sleep(0)
        with self.assertLogs("papayatack.network.links", "WARNING"):
            while not awaited.done():
                await self.look()
        self.assertIs(awaited.result().failure().kind, ErrorKind.PEER_UNREACHABLE)


class ClosingTests(unittest.IsolatedAsyncioTestCase):
    """A connection whose transport closes before the protocol hears of it."""

    async def test_request_for_a_closing_connection_does_not_count_as_sent(self):
        """It ends as not run, since none of it was written."""
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
