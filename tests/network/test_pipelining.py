"""Tests of requests sent ahead on one connection, on loopback."""

import asyncio
import dataclasses
import socket
import unittest

from papayatack.core.errors import ErrorKind
from papayatack.network.bodies import BodyQueue, BytesBody
from papayatack.network.callers import CallerServer
from papayatack.network.exchanges import Response
from papayatack.network.limits import CallerLimits
from papayatack.observability.metrics import Metrics
from tests.proxy.fakes import fetch, wait_until

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
NOTICE_S = 0.5
WORK_S = 0.4


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


class SideBySideTests(PipeliningTestCase):
    """Requests that may run side by side."""

    async def test_slow_reads_run_side_by_side_and_are_answered_in_order(self):
        """Five reads of 0.4 s are answered after 0.4 s, not after 2 s."""

        async def work(request):
            self.begun.append(request.target)
            await asyncio.sleep(WORK_S)
            self.ended.append(request.target)
            return build_response(b"<%s >" % request.target.strip(b"/"))

        self.server.handler = work
        last = build_get("4", fields=b"Connection: close\r\n")
        data = await fetch(self.server.port, build_gets("0123") + last)
        self.assert_order(data, "01234")
        self.assertEqual(len(self.begun), 5)
        self.assertEqual(self.begun, sorted(self.begun))
        self.assertEqual(self.read_count("ahead"), 4)
        self.assertEqual(self.server.ahead, 0)

    async def test_second_starts_before_the_first_has_ended(self):
        """Nothing of the second is written until the first is."""
        self.close_gates("ab")
        reader, _ = await self.connect(build_gets("ab"))
        await wait_until(lambda: self.begun == ["a", "b"])
        self.assertEqual(self.ended, [])
        self.gates["b"].set()
        await wait_until(lambda: self.ended == ["b"])
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), timeout=SETTLE_S)
        self.gates["a"].set()
        self.assert_order(await self.read_until(reader, "b"), "ab")

    async def test_requests_that_come_one_by_one_run_side_by_side(self):
        """Each is sent while the earlier ones run, some in pieces."""
        self.close_gates("abc")
        reader, writer = await self.connect(build_get("a"))
        await wait_until(lambda: self.begun == ["a"])
        whole = build_gets("bc")
        for start in range(0, len(whole), 11):
            writer.write(whole[start : start + 11])
            await asyncio.sleep(0.005)
        await wait_until(lambda: self.begun == ["a", "b", "c"])
        for name in "cba":
            self.gates[name].set()
        self.assert_order(await self.read_until(reader, "c"), "abc")
        writer.write(build_get("d"))
        self.assert_order(await self.read_until(reader, "d"), "d")
        self.assertEqual(self.server.ahead, 0)

    async def test_head_among_others_gets_no_body(self):
        """Its response ends after its header."""
        self.close_gates("a")
        reader, _ = await self.connect(
            build_get("a") + build_get("h", method=b"HEAD") + build_get("c")
        )
        await wait_until(lambda: self.ended == ["h", "c"])
        self.gates["a"].set()
        data = await self.read_until(reader, "c")
        self.assert_order(data, "ac")
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3)

    async def test_number_in_flight_is_limited(self):
        """The next begins when one has been answered."""
        names = [f"n{number:02}" for number in range(20)]
        self.close_gates(names)
        reader, _ = await self.connect(build_gets(names))
        await wait_until(lambda: len(self.begun) == LIMITS.pipelined_requests)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, names[: LIMITS.pipelined_requests])
        self.gates[names[3]].set()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(len(self.begun), LIMITS.pipelined_requests)
        self.gates[names[0]].set()
        await wait_until(lambda: len(self.begun) == LIMITS.pipelined_requests + 1)
        for name in names:
            self.gates[name].set()
        self.assert_order(await self.read_until(reader, names[-1]), names)
        self.assertEqual(self.most_running, LIMITS.pipelined_requests)
        self.assertGreater(self.read_count("number"), 0)
        self.assertEqual(self.server.ahead, 0)

    async def test_one_at_a_time_by_its_limit(self):
        """The limits of a configuration apply to open connections."""
        reader, writer = await self.connect(build_get("z"))
        await self.read_until(reader, "z")
        self.server.limits = dataclasses.replace(LIMITS, pipelined_requests=1)
        self.close_gates("ab")
        writer.write(build_gets("abc"))
        await wait_until(lambda: self.begun == ["z", "a"])
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, ["z", "a"])
        for name in "ab":
            self.gates[name].set()
        self.assertIn(b"<c", await self.read_until(reader, "c"))
        self.assertEqual(self.most_running, 1)

    async def test_node_limits_requests_ahead(self):
        """Connections go on one at a time when there is no room."""
        self.server.ahead = 1_000_000
        self.close_gates("a")
        reader, _ = await self.connect(build_gets("ab"))
        await wait_until(lambda: self.begun == ["a"])
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, ["a"])
        self.gates["a"].set()
        self.assert_order(await self.read_until(reader, "b"), "ab")
        self.assertEqual(self.read_count("node"), 1)
        self.assertEqual(self.server.ahead, 1_000_000)

    async def test_wait_counts_from_the_arrival_of_the_bytes(self):
        """Also for a request that stood unparsed behind others."""
        self.server.limits = dataclasses.replace(LIMITS, pipelined_requests=2)
        self.close_gates("a")
        reader, writer = await self.connect(build_gets("abc"))
        await wait_until(lambda: self.ended == ["b"])
        await asyncio.sleep(0.2)
        writer.write(build_get("d"))
        await asyncio.sleep(0.1)
        self.gates["a"].set()
        await self.read_until(reader, "d")
        waited_s = {name: each.waited_s for name, each in self.requests.items()}
        self.assertGreaterEqual(waited_s["c"], 0.3)
        self.assertLess(waited_s["b"], waited_s["c"] - 0.25)
        self.assertGreaterEqual(waited_s["d"], 0.1)
        self.assertLess(waited_s["d"], waited_s["c"] - 0.15)


class AloneTests(PipeliningTestCase):
    """Requests that run while no other of their connection does."""

    async def check_alone(self, middle):
        """Send a request between others; check when each begins."""
        self.close_gates("abmcd")
        reader, _ = await self.connect(build_gets("ab") + middle + build_gets("cd"))
        await wait_until(lambda: self.begun == ["a", "b"])
        self.gates["b"].set()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, ["a", "b"])
        self.gates["a"].set()
        await wait_until(lambda: self.begun == ["a", "b", "m"])
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, ["a", "b", "m"])
        self.gates["m"].set()
        await wait_until(lambda: len(self.begun) == 5)
        self.assertEqual(self.running, 2)
        for name in "cd":
            self.gates[name].set()
        data = await self.read_until(reader, "d")
        self.assert_order(data, "abmcd")
        self.assertEqual(self.begun.count("m"), 1)
        self.assertGreater(self.read_count("alone"), 0)
        return data

    async def test_request_with_a_body_runs_alone(self):
        """Its body arrives whole."""
        self.assertIn(b"<m abc>", await self.check_alone(build_post("m")))

    async def test_get_with_a_body_runs_alone(self):
        """Whatever its method says."""
        data = build_post("m").replace(b"POST", b"GET")
        self.assertIn(b"<m abc>", await self.check_alone(data))

    async def test_method_that_is_not_safe_runs_alone(self):
        """Also without a body."""
        await self.check_alone(build_get("m", method=b"DELETE"))

    async def test_route_that_is_not_repeatable_runs_alone(self):
        """Though its method only reads."""
        self.unrepeatable = {"m"}
        await self.check_alone(build_get("m"))

    async def test_offer_of_another_protocol_runs_alone(self):
        """The offer is not taken, and the connection goes on."""
        await self.check_alone(build_get("m", fields=b"Upgrade: other\r\n"))

    async def test_first_that_is_not_repeatable_runs_alone(self):
        """Nothing behind it begins before it is answered."""
        self.unrepeatable = {"a"}
        self.close_gates("a")
        reader, _ = await self.connect(build_gets("ab"))
        await wait_until(lambda: self.begun == ["a"])
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.begun, ["a"])
        self.gates["a"].set()
        self.assert_order(await self.read_until(reader, "b"), "ab")

    async def test_large_body_behind_a_slow_request_is_not_read(self):
        """It waits in the socket, then arrives whole."""
        self.server.limits = dataclasses.replace(
            LIMITS, body_bytes=10_000_000, buffer_bytes=2000
        )
        self.close_gates("a")
        body = b"x" * 3_000_000
        reader, _ = await self.connect(build_get("a") + build_post("m", body))
        await wait_until(lambda: self.begun == ["a"])
        (connection,) = self.server._connections
        await wait_until(lambda: connection._read_paused)
        self.assertEqual(self.begun, ["a"])
        self.gates["a"].set()
        data = await reader.readuntil(b"x>")
        self.assertEqual(data.count(b"x"), len(body))

    async def test_body_that_is_too_large_is_refused_in_its_turn(self):
        """Then the connection is closed, and what is behind counts as not read."""
        self.close_gates("a")
        data = build_get("a") + build_post("m", b"x" * 6000) + build_get("c")
        reader, writer = await self.connect(data)
        await wait_until(lambda: self.begun == ["a"])
        self.gates["a"].set()
        data = await reader.read()
        writer.close()
        self.assert_order(data, "a")
        self.assertLess(data.index(b"<a"), data.index(b" 413 "))
        self.assertEqual(self.begun, ["a"])


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
