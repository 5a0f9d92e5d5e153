"""Any schedule of requests on a connection, beside one that serves one at a time."""

import asyncio
import dataclasses
import logging
import unittest

import hypothesis
import looptime
from hypothesis import strategies

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import BodyQueue, BytesBody
from papayatack.network.caller_connection import CallerConnection
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Response
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics

HELD_BYTES = 2_000
CHUNK_BYTES = 700
HIGH_BYTES = 1_500
LIMITS = CallerLimits(
    buffer_bytes=300, pipelined_requests=1, pipelined_bytes=HELD_BYTES
)
DRAIN_S = 0.05
END_S = 100.0
DELAYS_S = (0.0, 0.0, 0.1, 0.4, 1.5)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """A request and what its handler does.

    Attributes:
        kind: How it is sent: a method, or ``fixed`` for a GET that may not be repeated.
        pause_s: Time since the request before it was sent.
        work_s: How long the handler takes.
        chunks: Chunks of the response.
        chunk_s: Time between them; 0 for a response that is whole at once.
        end: How the response ends.
    """

    kind: str
    pause_s: float
    work_s: float
    chunks: int
    chunk_s: float
    end: str


exchanges = strategies.builds(
    Exchange,
    kind=strategies.sampled_from(["GET"] * 6 + ["HEAD", "POST", "DELETE", "fixed"]),
    pause_s=strategies.sampled_from((0.0, 0.0, 0.0, 0.05, 0.5)),
    work_s=strategies.sampled_from(DELAYS_S),
    chunks=strategies.integers(0, 6),
    chunk_s=strategies.sampled_from((0.0, 0.0, 0.05)),
    end=strategies.sampled_from(["whole"] * 12 + ["cut", "fault", "closes"]),
)


class FakeTransport:
    """Keeps what is written; its buffer is emptied after a while."""

    def __init__(self, connection, slow_s):
        self._connection = connection
        self._slow_s = slow_s
        self._buffered_bytes = 0
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self.written = b""
        self.was_reset = False
        self.paused = False
        self.unread = []
        self.most_buffered_bytes = 0

    def set_write_buffer_limits(self, *, high):
        """The fake has limits of its own."""

    def get_extra_info(self, name):
        """There is no socket."""

    def is_closing(self):
        """Tell whether it has been closed."""
        return self._closed

    def get_write_buffer_size(self):
        """Return the size of what has not been read."""
        return self._buffered_bytes

    def can_write_eof(self):
        """An end can be written, and is left out."""
        return False

    def receive(self, data):
        """Give bytes to the connection unless reading is paused."""
        if self.paused:
            self.unread.append(data)
        elif not self._closed:
            self._connection.data_received(data)

    def pause_reading(self):
        """Keep what comes."""
        self.paused = True

    def resume_reading(self):
        """Give what has come to the connection in the next turn."""
        self.paused = False
        self._loop.call_soon(self._give_unread)

    def _give_unread(self):
        while self.unread and not self.paused:
            self.receive(self.unread.pop(0))

    def write(self, data):
        """Buffer bytes, and pause the writer when there are many."""
        self.written += data
        self._buffered_bytes += len(data)
        self.most_buffered_bytes = max(self.most_buffered_bytes, self._buffered_bytes)
        if self._slow_s and self._buffered_bytes > HIGH_BYTES:
            self._connection.pause_writing()
            self._loop.call_later(self._slow_s, self._empty)
        elif not self._slow_s:
            self._buffered_bytes = 0

    def _empty(self):
        self._buffered_bytes = 0
        self._connection.resume_writing()

    def abort(self):
        """End the connection with a reset."""
        self.was_reset = not self._closed
        self.close()

    def close(self):
        """End the connection."""
        if not self._closed:
            self._closed = True
            self._loop.call_soon(self._connection.connection_lost, None)


class Served:
    """One connection on which a schedule is played.

    Attributes:
        begun: Number of each request whose handler was called.
        beside: Those in flight when it was.
        most_held_bytes: Most bytes of responses that were held.
    """

    def __init__(self, schedule, limits, slow_s, piece_bytes):
        self._schedule = schedule
        self._piece_bytes = piece_bytes
        self._slow_s = slow_s
        self._running = []
        self.begun = []
        self.beside = {}
        self.most_held_bytes = 0
        self.server = CallerServer(
            host="", port=0, handler=self.handle, metrics=Metrics(), limits=limits
        )
        self.server.is_repeatable = self.is_repeatable
        self.connection = CallerConnection(owner=self.server)
        self.transport = FakeTransport(self.connection, slow_s)

    def is_repeatable(self, request):
        """Tell by the kind of the exchange."""
        return self._schedule[int(request.target[1:])].kind != "fixed"

    def build_request(self, number):
        """Return the bytes of a request."""
        kind = self._schedule[number].kind
        method = "GET" if kind == "fixed" else kind
        head = f"{method} /{number} HTTP/1.1\r\nHost: a\r\n"
        if kind == "POST":
            return f"{head}Content-Length: 400\r\n\r\n".encode() + b"b" * 400
        return f"{head}\r\n".encode()

    async def handle(self, request):
        """Respond as the schedule says."""
        number = int(request.target[1:])
        exchange = self._schedule[number]
        self.begun.append(number)
        self.beside[number] = list(self._running)
        self._running.append(number)
        try:
            while await request.body.read():
                pass
            await asyncio.sleep(exchange.work_s)
        finally:
            self._running.remove(number)
            held_bytes = self.connection._queue.pipeline.held_bytes
            self.most_held_bytes = max(self.most_held_bytes, held_bytes)
        if exchange.end == "fault":
            raise ValueError(number)
        return self.build_response(number, exchange)

    def build_response(self, number, exchange):
        """Return a response whose body names its request."""
        chunk = (b"<%d>" % number).ljust(CHUNK_BYTES, b".")
        size = CHUNK_BYTES * exchange.chunks
        headers = [(b"content-length", b"%d" % size), (b"x-number", b"%d" % number)]
        if exchange.end == "closes":
            headers.append((b"connection", b"close"))
        if not exchange.chunk_s and exchange.end != "cut":
            body = BytesBody(data=chunk * exchange.chunks)
        else:
            body = BodyQueue()
            asyncio.ensure_future(self.fill(body, chunk, exchange))  # noqa: RUF006
        return Response(status=200, headers=tuple(headers), body=body)

    async def fill(self, body, chunk, exchange):
        """Put the chunks of a body one by one."""
        for _ in range(exchange.chunks):
            body.put(chunk)
            if exchange.chunk_s:
                await asyncio.sleep(exchange.chunk_s)
        if exchange.end == "cut":
            body.fail(kind=ErrorKind.RESPONSE_TRUNCATED)
        else:
            body.finish()

    async def play(self):
        """Send the requests, and wait until nothing more happens."""
        self.connection.connection_made(self.transport)
        for number, exchange in enumerate(self._schedule):
            if exchange.pause_s:
                await asyncio.sleep(exchange.pause_s)
            data = self.build_request(number)
            for start in range(0, len(data), self._piece_bytes):
                self.transport.receive(data[start : start + self._piece_bytes])
        await asyncio.sleep(END_S)

    def list_responses(self):
        """Return the number in each response head that was written, in order."""
        parts = self.transport.written.split(b"x-number: ")[1:]
        return [int(part.split(b"\r\n")[0]) for part in parts]


def play(schedule, limits, slow_s, piece_bytes):
    """Play a schedule on virtual time."""

    async def run():
        served = Served(schedule, limits, slow_s, piece_bytes)
        await served.play()
        return served

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(run())


def is_alone(exchange):
    """Return whether the request must run while no other does."""
    return exchange.kind not in ("GET", "HEAD")


class ScheduleTests(unittest.TestCase):
    """Sizes, delays, failures, slow readers and pieces of requests."""

    def setUp(self):
        """Leave out the lines on failures."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        schedule=strategies.lists(exchanges, max_size=9),
        most=strategies.integers(2, 6),
        slow_s=strategies.sampled_from((0.0, 0.0, 0.3)),
        piece_bytes=strategies.sampled_from((7, 10_000)),
    )
    def test_same_bytes_as_one_at_a_time(self, schedule, most, slow_s, piece_bytes):
        """The caller can't tell but by the time; nothing runs beside what may not."""
        naive = play(schedule, LIMITS, slow_s, piece_bytes)
        limits = dataclasses.replace(LIMITS, pipelined_requests=most)
        ahead = play(schedule, limits, slow_s, piece_bytes)
        self.assertEqual(ahead.transport.was_reset, naive.transport.was_reset)
        if naive.transport.was_reset:
            whole = max(ahead.transport.written, naive.transport.written, key=len)
            self.assertTrue(whole.startswith(ahead.transport.written))
            self.assertTrue(whole.startswith(naive.transport.written))
        else:
            self.assertEqual(ahead.transport.written, naive.transport.written)
        self.check_runs(schedule, ahead, most)

    def check_runs(self, schedule, served, most):
        """Check what ran beside what, and what is left at the end."""
        self.assertEqual(served.begun, list(range(len(served.begun))))
        self.assertEqual(served.list_responses(), sorted(served.list_responses()))
        for number, beside in served.beside.items():
            self.assertLess(len(beside), most)
            if is_alone(schedule[number]):
                self.assertEqual(beside, [])
            for other in beside:
                self.assertFalse(is_alone(schedule[other]))
        chunk_bytes = most * CHUNK_BYTES * 6
        self.assertLess(served.most_held_bytes, HELD_BYTES + chunk_bytes)
        self.assertEqual(served.server.ahead, 0)
        if not served.transport.is_closing():
            self.assertEqual(served.connection._queue.pipeline.held_bytes, 0)
            self.assertFalse(served.connection.busy)
            self.assertEqual(len(served.begun), len(schedule))
