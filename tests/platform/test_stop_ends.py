"""Tests of shutdown under load: when each request and the process end."""

import asyncio
import json
import signal

from tests.platform.documents import build_manifest
from tests.platform.test_process import GRACE_S, LIMIT_S, ProcessTestCase

CALLERS = 16
MANY_CALLERS = 200
PROCESSOR_SHARE = 0.43
SLICE_S = 0.05
FIRST_REQUEST_S = 0.3
LAST_REQUEST_S = 2.05
DEADLINE_MS = 5_500
LONG_DEADLINE_MS = 9_700
ABANDON_S = GRACE_S * 5 / 6
"""From this time after the signal, running requests may get an unknown outcome."""


class StopTestCase(ProcessTestCase):
    """Callers with open connections to a node that gets SIGTERM."""

    async def asyncSetUp(self):
        """Start nodes and a route with long deadlines."""
        await super().asyncSetUp()
        self.ended_in_time = True
        self.ended_s = GRACE_S
        routes = json.loads(build_manifest())["Routes"]
        routes["orders"] |= {"Timeout": "9700ms", "TargetLatency": "6000ms"}
        self.store.store.append("keyed.op", b"config", build_manifest(Routes=routes))
        await self.wait_for(self.is_served)

    async def open(self):
        """Open a connection to the node that is stopped."""
        return await asyncio.open_connection(
            "127.0.0.1", self.machines[0].ports["callers"]
        )

    async def send(self, connection, number, *, at_s, deadline_ms):
        """Send a request; return when it was sent and when it ended, and the status.

        The status is 0 if the connection ended without a complete response.
        """
        loop = asyncio.get_running_loop()
        reader, writer = connection
        await asyncio.sleep(at_s - loop.time())
        lines = (
            "GET /orders/1 HTTP/1.1",
            "Host: shop.example",
            f"Papayatack-Request-Id: r{number}",
            f"Papayatack-Deadline-Ms: {deadline_ms}",
            f"Papayatack-Shard-Key: {number * 4_000 % 65_536}",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            async with asyncio.timeout(LIMIT_S):
                status = await _read_response(reader)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        finally:
            writer.close()
        return at_s, loop.time(), status

    async def stop_under_work(self, *, work_s, deadline_ms, callers=CALLERS):
        """Stop a node with a request on each connection; return times and statuses.

        Times are in seconds after the signal.
        """
        for machine in self.machines:
            machine.upstream.work_s = work_s
        loop = asyncio.get_running_loop()
        connections = [await self.open() for _ in range(callers)]
        node = self.machines[0].process
        node.send_signal(signal.SIGTERM)
        began_s = loop.time()
        step_s = (LAST_REQUEST_S - FIRST_REQUEST_S) / (callers - 1)
        answers = await asyncio.gather(
            *(
                self.send(
                    connection,
                    number,
                    at_s=began_s + FIRST_REQUEST_S + number * step_s,
                    deadline_ms=deadline_ms,
                )
                for number, connection in enumerate(connections)
            ),
            self.check_end(began_s),
        )
        return [
            (round(sent_s - began_s, 2), round(ended_s - began_s, 2), status)
            for sent_s, ended_s, status in answers[:-1]
        ]

    async def check_end(self, began_s):
        """Record whether the process ends within the grace period."""
        try:
            async with asyncio.timeout_at(began_s + GRACE_S):
                await self.machines[0].process.wait()
            self.ended_s = asyncio.get_running_loop().time() - began_s
        except TimeoutError:
            self.ended_in_time = False


class StopTests(StopTestCase):
    """Requests that take a large part of the grace period or longer."""

    async def test_shutdown_resets_no_connection(self):
        """Requests take 3.6 s and start from 0.3 to 2.05 s after the signal."""
        answers = await self.stop_under_work(work_s=3.6, deadline_ms=DEADLINE_MS)
        self.assertEqual([answer for answer in answers if not answer[2]], [], answers)
        self.assertTrue(self.ended_in_time, answers)

    async def test_requests_longer_than_the_grace_period_time_out(self):
        """The node sends a complete 504 response, and not before the last sixth."""
        answers = await self.stop_under_work(work_s=8.0, deadline_ms=LONG_DEADLINE_MS)
        self.assertEqual([answer for answer in answers if not answer[2]], [], answers)
        timed_out = [answer for answer in answers if answer[2] == 504]
        early = [answer for answer in timed_out if answer[1] < ABANDON_S]
        self.assertEqual(early, [], answers)
        self.assertTrue(self.ended_in_time, answers)


class SlowNodeTests(StopTestCase):
    """Shutdown of a node with less than half of a core."""

    async def throttle(self):
        """Suspend the node for a part of each time slice."""
        process = self.machines[0].process
        while process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLICE_S * (1 - PROCESSOR_SHARE))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SLICE_S * PROCESSOR_SHARE)

    async def test_slow_node_answers_many_callers_before_it_is_killed(self):
        """Queues are full, and requests take longer than the grace period."""
        throttling = asyncio.ensure_future(self.throttle())
        try:
            answers = await self.stop_under_work(
                work_s=8.0, deadline_ms=LONG_DEADLINE_MS, callers=MANY_CALLERS
            )
        finally:
            throttling.cancel()
        self.assertEqual([answer for answer in answers if not answer[2]], [])
        self.assertTrue(self.ended_in_time)


async def _read_response(reader):
    """Read a complete response with a length; return its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    size = int(head.partition("content-length:")[2].split("\r\n")[0])
    await reader.readexactly(size)
    return int(head.split()[1])
