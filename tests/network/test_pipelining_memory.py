"""Tests of what a connection with several requests in flight holds."""

import asyncio
import socket

from papayatack.network.bodies import BodyQueue
from papayatack.network.exchanges import Response
from tests.network.pipelining import (
    KIB,
    LIMITS,
    SETTLE_S,
    PipeliningTestCase,
    build_get,
    build_gets,
    build_response,
)
from tests.proxy.fakes import wait_until


class MemoryTests(PipeliningTestCase):
    """Responses that wait for their turn, and slow readers."""

    def build_stream(self, size):
        """Return a response whose body is a queue, with what is left to be read."""
        body = BodyQueue()
        for _ in range(size // KIB):
            body.put(b"x" * KIB)
        body.finish()
        headers = ((b"content-length", b"%d" % size),)
        return Response(status=200, headers=headers, body=body)

    async def test_bytes_that_are_held_are_limited(self):
        """Bodies are read on in their turn; until then no request is read."""
        size = 48 * KIB
        names = [f"n{number}" for number in range(8)]
        streams = {name: self.build_stream(size) for name in names[1:5]}
        bodies = {name: response.body for name, response in streams.items()}
        self.responses |= streams
        self.close_gates(names[:1])
        reader, writer = await self.connect(build_gets(names[:5]))

        def count_read():
            return sum(size - body.buffered_bytes for body in bodies.values())

        await wait_until(lambda: count_read() >= LIMITS.pipelined_bytes)
        await asyncio.sleep(SETTLE_S)
        self.assertLessEqual(count_read(), LIMITS.pipelined_bytes + 4 * KIB)
        writer.write(build_gets(names[5:]))
        await wait_until(lambda: self.read_count("bytes") == 1)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, names[:5])
        self.assertEqual(self.read_count("bytes"), 1)
        self.gates[names[0]].set()
        data = await self.read_until(reader, names[-1])
        self.assertEqual(data.count(b"x" * size), 4)
        (connection,) = self.server._connections
        self.assertEqual(connection._queue.pipeline.held_bytes, 0)

    async def test_body_that_comes_slowly_goes_on_in_its_turn(self):
        """What has come is written at once when the turn comes."""
        body = BodyQueue()
        body.put(b"<b ")
        headers = ((b"content-length", b"6"),)
        self.responses["b"] = Response(status=200, headers=headers, body=body)
        self.close_gates("a")
        reader, _ = await self.connect(build_gets("abc"))
        await wait_until(lambda: self.ended == ["b", "c"])
        self.gates["a"].set()
        self.assert_order(await self.read_until(reader, "b"), "ab")
        body.put(b"end")
        body.finish()
        self.assertTrue((await self.read_until(reader, "c")).startswith(b"end"))

    async def test_slow_reader_is_cut_with_all_its_requests(self):
        """Requests that it sends meanwhile do not give it more time."""
        self.responses["a"] = build_response(b"x" * 20_000_000)
        self.close_gates("b")
        caller = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sendall(build_gets("ab"))
        await wait_until(lambda: self.begun == ["a", "b"])
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        number = 0
        while not self.cancelled and loop.time() < begun_s + 5:
            number += 1
            if number < 5:
                caller.sendall(build_get(f"n{number}"))
            await asyncio.sleep(0.2)
        self.assertIn("b", self.cancelled)
        self.assertEqual(
            self.metrics.read_count("caller_connections_cut", "slow-reader"), 1
        )
        self.assertLess(loop.time() - begun_s, 3.0)
        self.assertEqual(self.server.ahead, 0)
