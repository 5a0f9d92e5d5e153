"""Tests of papayatack.logservice.http against the stand-in service, over sockets."""

import asyncio
import contextlib
import unittest

from returns.result import Success

from papayatack.logservice.http import HttpLogService
from papayatack.logservice.interface import LogFailureKind, LogPage
from standins.logservice import LogServer, LogStore
from standins.logstore import Outage

SHORT_S = 0.2
LONG_S = 30.0


@contextlib.asynccontextmanager
async def serve():
    """Run the stand-in service and yield its store and a client."""
    server = LogServer(store=LogStore())
    await server.start()
    client = HttpLogService(host="127.0.0.1", port=server.port)
    try:
        yield server.store, client
    finally:
        await client.close()
        await server.stop()


@contextlib.asynccontextmanager
async def serve_bytes(response):
    """Run a service that sends the given bytes to each request and closes."""

    async def accept(reader, writer):
        await reader.read(1000)
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield HttpLogService(host="127.0.0.1", port=port)
    server.close()


class HttpLogServiceTests(unittest.IsolatedAsyncioTestCase):
    """Tests of HttpLogService."""

    async def assert_append_fails(self, client, kind, *, timeout_s=LONG_S):
        """Assert that an append fails with the given kind."""
        result = await client.append("s", b"x", timeout_s=timeout_s)
        self.assertIs(result.failure().kind, kind)

    async def assert_read_fails(self, client, kind, *, timeout_s=LONG_S):
        """Assert that a read fails with the given kind."""
        result = await client.read("s", 0, limit=1, wait_s=0, timeout_s=timeout_s)
        self.assertIs(result.failure().kind, kind)

    async def test_append_and_read(self):
        """Arbitrary bytes are appended to and read from a stream unchanged."""
        async with serve() as (_, client):
            payloads = (b"\x00\xff", b"", b"{}")
            for offset, payload in enumerate(payloads):
                result = await client.append("a b/c", payload, timeout_s=LONG_S)
                self.assertEqual(result, Success(offset))
            page = await client.read("a b/c", 1, limit=9, wait_s=0, timeout_s=LONG_S)
            self.assertEqual(
                page, Success(LogPage(first=1, payloads=payloads[1:], end=3))
            )

    async def test_waiting_read_returns_with_the_append(self):
        """An append over another connection completes a waiting read."""
        async with serve() as (_, client):
            read = client.read("s", 0, limit=9, wait_s=LONG_S, timeout_s=LONG_S)
            task = asyncio.create_task(read)
            await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual((await task).unwrap().payloads, (b"x",))

    async def test_connection_is_reused(self):
        """Consecutive calls use the same connection."""
        async with serve() as (_, client):
            await client.append("s", b"x", timeout_s=LONG_S)
            connection = client._client._idle[0]
            await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual(client._client._idle, [connection])

    async def test_expired_records(self):
        """A read before the oldest retained record returns that record's offset."""
        async with serve() as (store, client):
            for _ in range(3):
                store.append("s", b"x")
            store.expire("s", 2)
            result = await client.read("s", 0, limit=1, wait_s=0, timeout_s=LONG_S)
            self.assertIs(result.failure().kind, LogFailureKind.EXPIRED)
            self.assertEqual(result.failure().first, 2)

    async def test_connection_refused(self):
        """Without a connection, the append certainly had no effect."""
        async with serve() as (_, client):
            pass
        await self.assert_append_fails(client, LogFailureKind.REFUSED)
        await self.assert_read_fails(client, LogFailureKind.REFUSED)

    async def test_service_refuses(self):
        """Status 503 means that the append had no effect."""
        async with serve() as (store, client):
            store.faults.outage = Outage.REFUSE
            await self.assert_append_fails(client, LogFailureKind.REFUSED)
            await self.assert_read_fails(client, LogFailureKind.REFUSED)

    async def test_service_hangs(self):
        """After bytes were sent, a timeout leaves the append's outcome unknown."""
        async with serve() as (store, client):
            store.faults.outage = Outage.HANG
            await self.assert_append_fails(
                client, LogFailureKind.UNKNOWN, timeout_s=SHORT_S
            )
            await self.assert_read_fails(
                client, LogFailureKind.REFUSED, timeout_s=SHORT_S
            )
            self.assertEqual(client._client._idle, [])

    async def test_lost_response_leaves_the_append_unknown(self):
        """The append took effect, but its outcome is unknown to the client."""
        async with serve() as (store, client):
            store.faults.lose_answers = 1
            await self.assert_append_fails(client, LogFailureKind.UNKNOWN)
            self.assertEqual(store.append_count, 1)
            result = await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual(result, Success(1))

    async def test_closed_idle_connection_is_replaced(self):
        """A new connection replaces an idle one that the service has closed."""
        async with serve() as (store, client):
            await client.append("s", b"x", timeout_s=LONG_S)
            client._client._idle[0].reader.feed_eof()
            result = await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual(result, Success(1))

    async def test_unusable_responses(self):
        """An unusable response leaves an append's outcome unknown and fails a read."""
        responses = (
            b"",
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"offset":-1}',
            b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        )
        for response in responses:
            with self.subTest(response=response):
                async with serve_bytes(response) as client:
                    await self.assert_append_fails(client, LogFailureKind.UNKNOWN)
                    await self.assert_read_fails(client, LogFailureKind.REFUSED)
