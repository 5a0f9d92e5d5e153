"""A server whose tests send requests ahead on one connection, on loopback."""

import asyncio
import unittest

from papayatack.network.bodies import BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Response
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics

KIB = 1024
READER_BYTES = 8 * KIB * KIB
LIMITS = CallerLimits(
    header_bytes=1000,
    body_bytes=5000,
    header_timeout_s=0.5,
    body_timeout_s=0.5,
    write_timeout_s=0.5,
    pipelined_requests=8,
    pipelined_bytes=64 * KIB,
)
SETTLE_S = 0.05


def build_get(name, *, fields=b"", version=b"1.1", method=b"GET"):
    """Return the bytes of a request without a body."""
    line = b"%s /%s HTTP/%s\r\nHost: a\r\n" % (method, name.encode(), version)
    return line + fields + b"\r\n"


def build_gets(names):
    """Return the bytes of several requests."""
    return b"".join(build_get(name) for name in names)


def build_post(name, body=b"abc"):
    """Return the bytes of a request with a body."""
    head = b"POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (name.encode(), len(body)) + body


def build_response(data, *, fields=()):
    """Return a response that is whole."""
    headers = ((b"content-length", b"%d" % len(data)), *fields)
    return Response(status=200, headers=headers, body=BytesBody(data=data))


class PipeliningTestCase(unittest.IsolatedAsyncioTestCase):
    """A server whose handler answers each request when the test lets it."""

    async def asyncSetUp(self):
        """Start the server."""
        self.requests = {}
        self.begun = []
        self.ended = []
        self.cancelled = []
        self.running = 0
        self.most_running = 0
        self.gates = {}
        self.responses = {}
        self.unrepeatable = set()
        self.metrics = Metrics()
        self.server = CallerServer(
            host="127.0.0.1",
            port=0,
            handler=self.handle,
            metrics=self.metrics,
            limits=LIMITS,
        )
        self.server.is_repeatable = self.is_repeatable
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, timeout_s=0)

    def is_repeatable(self, request):
        """Tell by the name of the request."""
        return request.target.decode().strip("/") not in self.unrepeatable

    async def handle(self, request):
        """Respond with the name and the body once the gate of the name is open."""
        name = request.target.decode().strip("/")
        self.requests[name] = request
        self.begun.append(name)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            body = b""
            while data := await request.body.read():
                body += data
            if name in self.gates:
                await self.gates[name].wait()
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        finally:
            self.running -= 1
        self.ended.append(name)
        response = self.responses.get(name)
        return response or build_response(b"<%s %s>" % (name.encode(), body))

    def close_gates(self, names):
        """Have the requests of these names wait."""
        for name in names:
            self.gates[name] = asyncio.Event()

    async def connect(self, data):
        """Open a connection and send bytes; return its ends."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port, limit=READER_BYTES
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def read_until(self, reader, name):
        """Return what comes up to the body of a response."""
        return await asyncio.wait_for(
            reader.readuntil(b"<%s " % name.encode()), timeout=5
        )

    def assert_order(self, data, names):
        """Assert that these responses are in the bytes, in order, and no others."""
        found = [part.split()[0].decode() for part in data.split(b"<")[1:]]
        self.assertEqual(found, list(names))

    def read_count(self, reason):
        """Return how often the counter of requests sent ahead says a reason."""
        return self.metrics.read_count("pipelined_requests", reason)
