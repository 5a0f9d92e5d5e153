"""Tests of how a connection with several requests in flight ends."""

import asyncio
import dataclasses

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import BodyQueue
from papayatack.network.exchanges import Response
from tests.network.pipelining import (
    KIB,
    LIMITS,
    SETTLE_S,
    PipeliningTestCase,
    build_get,
    build_gets,
    build_post,
    build_response,
)
from tests.proxy.fakes import wait_until

NOTICE_S = 0.5


class EndTests(PipeliningTestCase):
    """Responses that end the connection, callers that leave, and shutdown."""

    async def test_nothing_runs_behind_a_request_that_closes(self):
        """What is behind counts as not read."""
        for fields, version in ((b"Connection: close\r\n", b"1.1"), (b"", b"1.0")):
            with self.subTest(version=version):
                self.begun.clear()
                self.close_gates("ab")
                last = build_get("b", fields=fields, version=version)
                data = build_get("a") + last + build_gets("cd")
                reader, _ = await self.connect(data)
                await wait_until(lambda: self.begun == ["a", "b"])
                self.gates["b"].set()
                self.gates["a"].set()
                self.assert_order(await reader.read(), "ab")
                self.assertEqual(self.begun, ["a", "b"])

    async def test_response_that_closes_ends_those_behind(self):
        """Those that run are cancelled, those that wait never begin."""
        self.close_gates("ab")
        closing = ((b"connection", b"close"),)
        self.responses["a"] = build_response(b"<a >", fields=closing)
        reader, _ = await self.connect(build_gets("ab") + build_post("m"))
        await wait_until(lambda: self.begun == ["a", "b"])
        self.gates["a"].set()
        data = await reader.read()
        self.assert_order(data, "a")
        self.assertIn(b"connection: close", data.lower())
        await wait_until(lambda: self.cancelled == ["b"])
        self.assertEqual(self.begun, ["a", "b"])
        self.assertEqual(self.read_count("cancelled"), 1)
        self.assertEqual(self.server.ahead, 0)

    async def test_cut_first_response_resets_the_connection(self):
        """Nothing of the others is written, and they are cancelled."""
        body = BodyQueue()
        body.put(b"<a part")
        headers = ((b"content-length", b"100"),)
        self.responses["a"] = Response(status=200, headers=headers, body=body)
        self.close_gates("c")
        reader, _ = await self.connect(build_gets("abc"))
        self.assertIn(b"<a part", await reader.readuntil(b"part"))
        await wait_until(lambda: self.begun == ["a", "b", "c"])
        body.fail(kind=ErrorKind.RESPONSE_TRUNCATED)
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        await wait_until(lambda: self.cancelled == ["c"])
        self.assertEqual(self.server.ahead, 0)

    async def test_cut_of_a_later_response_comes_behind_the_earlier_ones(self):
        """What came before the cut is written in its turn, not whole."""
        body = BodyQueue()
        body.put(b"<b part")
        body.fail(kind=ErrorKind.RESPONSE_TRUNCATED)
        headers = ((b"content-length", b"100"),)
        self.responses["b"] = Response(status=200, headers=headers, body=body)
        self.close_gates("a")
        reader, _ = await self.connect(build_gets("abc"))
        await wait_until(lambda: self.ended == ["b", "c"])
        self.gates["a"].set()
        with self.assertRaises(ConnectionResetError):
            while data := await reader.read(KIB):
                self.assertNotIn(b"<c", data)
        self.assertEqual(
            self.metrics.read_count("answers_cut", "response-truncated"), 1
        )

    async def test_caller_that_leaves_cancels_all(self):
        """At once, whether its bytes are read or not."""
        for data in (build_gets("abc"), build_gets("abc") + build_post("m")):
            for resets in (False, True):
                with self.subTest(size=len(data), resets=resets):
                    self.begun.clear()
                    self.cancelled.clear()
                    self.close_gates("abcm")
                    _, writer = await self.connect(data)
                    await wait_until(lambda: self.begun == ["a", "b", "c"])
                    if resets:
                        writer.transport.abort()
                    else:
                        writer.close()
                    await wait_until(lambda: len(self.cancelled) == 3)
                    self.assertEqual(self.begun, ["a", "b", "c"])
                    self.assertEqual(self.server.ahead, 0)
        self.assertEqual(
            self.metrics.read_count("requests_cancelled", "caller-left"), 12
        )

    async def test_caller_that_leaves_while_reading_is_paused_is_noticed(self):
        """Many bytes wait behind the requests in flight."""
        self.server.limits = dataclasses.replace(LIMITS, buffer_bytes=2000)
        names = [f"n{number:03}" for number in range(200)]
        self.close_gates(names)
        _, writer = await self.connect(build_gets(names))
        await wait_until(lambda: len(self.begun) == LIMITS.pipelined_requests)
        (connection,) = self.server._connections
        await wait_until(lambda: connection._read_paused)
        writer.close()
        loop = asyncio.get_running_loop()
        left_s = loop.time()
        await wait_until(lambda: len(self.cancelled) == LIMITS.pipelined_requests)
        self.assertLess(loop.time() - left_s, NOTICE_S)

    async def test_shutdown_answers_what_is_in_flight(self):
        """The last response in flight says that the connection ends."""
        self.close_gates("abc")
        reader, writer = await self.connect(build_gets("abc") + build_post("m"))
        await wait_until(lambda: self.begun == ["a", "b", "c"])
        stop = asyncio.create_task(self.server.stop(timeout_s=5))
        await asyncio.sleep(SETTLE_S)
        writer.write(build_get("d"))
        for name in "cba":
            self.gates[name].set()
        data = await reader.read()
        writer.close()
        self.assert_order(data, "abc")
        self.assertEqual(data.lower().count(b"connection: close"), 1)
        self.assertGreater(data.lower().index(b"connection: close"), data.index(b"<b"))
        await stop
        self.assertEqual(self.begun, ["a", "b", "c"])
        self.assertEqual(self.cancelled, [])

    async def test_malformed_bytes_behind_requests(self):
        """The requests are answered first, then the error is told."""
        for tail, status in ((b"nonsense\r\n\r\n", b" 400 "), (b"G" * 2000, b" 431 ")):
            with self.subTest(status=status):
                self.begun.clear()
                self.close_gates("ab")
                reader, writer = await self.connect(build_gets("ab") + tail)
                await wait_until(lambda: self.begun == ["a", "b"])
                self.gates["b"].set()
                await asyncio.sleep(SETTLE_S)
                self.gates["a"].set()
                data = await reader.read()
                writer.close()
                self.assert_order(data, "ab")
                self.assertLess(data.index(b"<b"), data.index(status))
                self.assertEqual(data.lower().count(b"connection: close"), 1)

    async def test_incomplete_header_behind_requests_times_out(self):
        """The time starts once all before it are answered."""
        reader, writer = await self.connect(build_gets("a") + b"GET /b HT")
        data = await asyncio.wait_for(reader.read(), 3.0)
        writer.close()
        self.assertLess(data.index(b"<a"), data.index(b" 408 "))
