"""Tests of papayatack.platform.health_check against answers that never end."""

import asyncio
import socket
import threading
import unittest

from papayatack.platform.health_check import check_health
from papayatack.platform.lifetimes import Identity

KIB = 1024
NAMED = (
    b"HTTP/1.1 200 OK\r\nPapayatack-Instance-Id: i-1\r\n"
    b"Papayatack-Server-Load: 0,0,8\r\n"
)
ENDLESS = {
    "status line": (b"", b"x" * KIB),
    "fields": (NAMED, b"Y: 1\r\n" * 100),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50),
    "chunks": (
        NAMED + b"Transfer-Encoding: chunked\r\n\r\n",
        b"100\r\n" + b"x" * 256 + b"\r\n",
    ),
    "small chunks": (
        NAMED + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 100,
    ),
    "declared length": (
        NAMED + b"Content-Length: 9999999999\r\n\r\n",
        b"x" * 64 * KIB,
    ),
    "body up to the end of the connection": (NAMED + b"\r\n", b"x" * 64 * KIB),
}
MAX_WRITTEN_BYTES = 12 * KIB * KIB
"""Bytes that a server can write before it learns that the connection is closed: what
the sockets of both sides buffer."""


class EndlessServer:
    """Answers one request without end, in a thread of its own.

    Attributes:
        address: Where it listens.
        written_bytes: Number of bytes that it could write.
    """

    def __init__(self, start, rest):
        self.written_bytes = 0
        self._start, self._rest = start, rest
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        connection, _ = self._socket.accept()
        with connection:
            try:
                connection.recv(KIB)
                connection.sendall(self._start)
                while self.written_bytes < 128 * KIB * KIB:
                    connection.sendall(self._rest)
                    self.written_bytes += len(self._rest)
            except OSError:
                return

    def join(self):
        """Wait until the connection has ended."""
        self._thread.join(10.0)
        self._socket.close()


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    """An instance that answers its health check with bytes without end."""

    async def test_endless_answer_to_a_health_check_is_not_kept(self):
        for name, (start, rest) in ENDLESS.items():
            with self.subTest(name):
                server = EndlessServer(start, rest)
                self.assertIsNone(await check_health(server.address, "/health"))
                await asyncio.to_thread(server.join)
                self.assertLess(server.written_bytes, MAX_WRITTEN_BYTES)

    async def test_short_answer_names_the_lifetime(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(NAMED + b"Content-Length: 2\r\n\r\n{}")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        found = await check_health(f"127.0.0.1:{port}", "/health")
        self.assertEqual(found, Identity(instance="i-1", is_ready=True, slots=8))
