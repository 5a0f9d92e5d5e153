"""Tests of papayatack.logservice.http against the stand-in's sockets."""

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
    """Run the stand-in and give its store with a client."""
    server = LogServer(store=LogStore())
    await server.start()
    client = HttpLogService(host="127.0.0.1", port=server.port)
    try:
        yield server.store, client
    finally:
        await client.close()
        await server.stop()


@contextlib.asynccontextmanager
async def serve_bytes(answer):
    """Run a service that answers each request with the given bytes and closes."""

    async def accept(reader, writer):
        await reader.read(1000)
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield HttpLogService(host="127.0.0.1", port=port)
    server.close()


class HttpLogServiceTests(unittest.IsolatedAsyncioTestCase):
    """HttpLogService."""

    async def assert_append_fails(self, client, kind, *, timeout_s=LONG_S):
        """Check the outcome of an append."""
        result = await client.append("s", b"x", timeout_s=timeout_s)
        self.assertIs(result.failure().kind, kind)

    async def assert_read_fails(self, client, kind, *, timeout_s=LONG_S):
        """Check the outcome of a read."""
        result = await client.read("s", 0, limit=1, wait_s=0, timeout_s=timeout_s)
        self.assertIs(result.failure().kind, kind)

    async def test_append_and_read(self):
        """Payloads of any bytes come back as they were, per stream."""
        async with serve() as (_, client):
            payloads = (b"\x00\xff", b"", b"{}")
            for offset, payload in enumerate(payloads):
                result = await client.append("a b/c", payload, timeout_s=LONG_S)
                self.assertEqual(result, Success(offset))
            page = await client.read("a b/c", 1, limit=9, wait_s=0, timeout_s=LONG_S)
            self.assertEqual(
                page, Success(LogPage(first=1, payloads=payloads[1:], end=3))
            )

    async def test_waiting_read_is_woken(self):
        """A read that waits returns with the append, on another connection."""
        async with serve() as (_, client):
            read = client.read("s", 0, limit=9, wait_s=LONG_S, timeout_s=LONG_S)
            task = asyncio.create_task(read)
            await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual((await task).unwrap().payloads, (b"x",))

    async def test_connection_is_kept(self):
        """Calls one after the other use one connection."""
        async with serve() as (_, client):
            await client.append("s", b"x", timeout_s=LONG_S)
            connection = client._client._idle[0]
            await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual(client._client._idle, [connection])

    async def test_expired(self):
        """A read before the oldest record tells where the records begin."""
        async with serve() as (store, client):
            for _ in range(3):
                store.append("s", b"x")
            store.expire("s", 2)
            result = await client.read("s", 0, limit=1, wait_s=0, timeout_s=LONG_S)
            self.assertIs(result.failure().kind, LogFailureKind.EXPIRED)
            self.assertEqual(result.failure().first, 2)

    async def test_nobody_listens(self):
        """Without a connection the append surely had no effect."""
        async with serve() as (_, client):
            pass
        await self.assert_append_fails(client, LogFailureKind.REFUSED)
        await self.assert_read_fails(client, LogFailureKind.REFUSED)

    async def test_service_refuses(self):
        """Status 503 says that the append had no effect."""
        async with serve() as (store, client):
            store.faults.outage = Outage.REFUSE
            await self.assert_append_fails(client, LogFailureKind.REFUSED)
            await self.assert_read_fails(client, LogFailureKind.REFUSED)

    async def test_service_hangs(self):
        """A timeout after bytes were sent leaves the append unknown."""
        async with serve() as (store, client):
            store.faults.outage = Outage.HANG
            await self.assert_append_fails(
                client, LogFailureKind.UNKNOWN, timeout_s=SHORT_S
            )
            await self.assert_read_fails(
                client, LogFailureKind.REFUSED, timeout_s=SHORT_S
            )
            self.assertEqual(client._client._idle, [])

    async def test_answer_is_lost(self):
        """An append whose answer is lost is unknown although it took effect."""
        async with serve() as (store, client):
            store.faults.lose_answers = 1
            await self.assert_append_fails(client, LogFailureKind.UNKNOWN)
            self.assertEqual(store.append_count, 1)
            result = await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual(result, Success(1))

    async def test_service_closes_an_idle_connection(self):
        """A kept connection that was closed meanwhile is replaced."""
        async with serve() as (store, client):
            await client.append("s", b"x", timeout_s=LONG_S)
            client._client._idle[0].reader.feed_eof()
            result = await client.append("s", b"x", timeout_s=LONG_S)
            self.assertEqual(result, Success(1))

    async def test_unusable_answers(self):
        """An answer that cannot be read leaves an append unknown."""
        answers = (
            b"",
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"offset":-1}',
            b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        )
        for answer in answers:
            with self.subTest(answer=answer):
                async with serve_bytes(answer) as client:
                    await self.assert_append_fails(client, LogFailureKind.UNKNOWN)
                    await self.assert_read_fails(client, LogFailureKind.REFUSED)
