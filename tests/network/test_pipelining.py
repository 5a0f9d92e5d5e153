"""Tests of which requests sent ahead on one connection run side by side."""

import asyncio
import dataclasses

from tests.network.pipelining import (
    LIMITS,
    SETTLE_S,
    PipeliningTestCase,
    build_get,
    build_gets,
    build_post,
    build_response,
)
from tests.proxy.fakes import fetch, wait_until

WORK_S = 0.4


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
