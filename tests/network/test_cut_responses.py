"""Tests of papayatack.network.upstreams against responses that break off."""

import asyncio
import socket
import struct
import unittest

from returns.pipeline import is_successful

from papayatack.network.bodies import IncompleteBodyError
from papayatack.network.exchanges import Request
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.buffering import buffer_response

DEADLINE_S = 5.0
BODY = b"hello world"
HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\n"
FRAMED = {
    "length": HEAD + b"Content-Length: 11\r\n\r\n" + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"5;x=y\r\nhello\r\n0006\r\n world\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "interim response": b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
    + HEAD
    + b"Content-Length: 11\r\n\r\n"
    + BODY,
}
UNFRAMED = HEAD + b"\r\n" + BODY
RESET = struct.pack("ii", 1, 0)


class CutResponseTests(unittest.IsolatedAsyncioTestCase):
    """An upstream that closes or resets the connection after some bytes.

    As on the platform, responses may end with their connection.
    """

    async def asyncSetUp(self):
        """Start the server and a pool."""
        self.data = b""
        self.resets = False
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.pool = UpstreamPool(
            host="127.0.0.1",
            port=server.sockets[0].getsockname()[1],
            metrics=Metrics(),
            limits=UpstreamLimits(accepts_unframed=True),
        )
        self.addCleanup(self.pool.close)

    async def serve(self, reader, writer):
        """Respond with the bytes that the test has chosen, then end."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.data)
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    async def read(self, data, *, resets):
        """Return the body of a response that counts as complete, else ``None``."""
        self.data, self.resets = data, resets
        result = await self.pool.exchange(
            Request(method=b"GET", target=b"/", headers=((b"host", b"a"),)),
            deadline_s=asyncio.get_running_loop().time() + DEADLINE_S,
        )
        if is_successful(result):
            result = await buffer_response(result.unwrap())
        if not is_successful(result):
            return None
        body = result.unwrap().body
        read = b""
        try:
            while chunk := await body.read():
                read += chunk
        except IncompleteBodyError:
            return None
        finally:
            body.close()
        return read

    async def test_response_cut_anywhere_is_never_taken_for_a_whole_one(self):
        """Within its head, a chunk's size line, a chunk, or the trailer."""
        taken = {}
        for name, data in FRAMED.items():
            for size in range(len(data)):
                for resets in (False, True):
                    body = await self.read(data[:size], resets=resets)
                    if body is not None:
                        taken[name, size, resets] = body
            self.assertEqual(await self.read(data, resets=False), BODY)
        self.assertEqual(taken, {})

    async def test_response_without_a_length_is_whole_only_if_closed_in_order(self):
        """A reset, or an end within the head, is no end of the response."""
        self.assertEqual(await self.read(UNFRAMED, resets=False), BODY)
        head_size = len(HEAD) + 2
        for size in range(head_size):
            self.assertIsNone(await self.read(UNFRAMED[:size], resets=False))
        for size in range(len(UNFRAMED)):
            self.assertIsNone(await self.read(UNFRAMED[:size], resets=True))
