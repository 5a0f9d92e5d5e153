"""Tests of papayatack.proxy.shutdown_guard."""

import asyncio
import unittest

from returns.result import Success

from papayatack.core.errors import ErrorKind
from papayatack.core.shutdown import plan_shutdown
from papayatack.network.exchanges import Response
from papayatack.proxy.shutdown_guard import ShutdownGuard

DRAIN_S = 0.1


async def work(work_s):
    """Return a response after ``work_s`` seconds."""
    await asyncio.sleep(work_s)
    return Success(Response(status=200))


class StopGuardTests(unittest.IsolatedAsyncioTestCase):
    """Requests before and during a graceful shutdown."""

    async def asyncSetUp(self):
        """Create a guard and a plan."""
        self.guard = ShutdownGuard()
        now = asyncio.get_running_loop().time()
        self.plan = plan_shutdown(now, notice_s=0.0, drain_s=DRAIN_S)

    def begin(self):
        """Begin the shutdown."""
        self.guard.begin(self.plan, accept_until_s=self.plan.accept_until_s)

    async def test_request_in_flight_ends_with_the_drain_time(self):
        """A request that may have run ends as unknown at the end of the drain time."""
        running = asyncio.ensure_future(self.guard.run(work(10.0)))
        await asyncio.sleep(0)
        self.assertEqual(self.guard.in_flight, 1)
        self.begin()
        result = await running
        self.assertIs(result.failure().kind, ErrorKind.UPSTREAM_TIMEOUT)
        now = asyncio.get_running_loop().time()
        self.assertGreaterEqual(now, self.plan.drain_end_s)
        self.assertEqual(self.guard.in_flight, 0)

    async def test_responses_within_the_drain_time_are_returned(self):
        """Requests that began before or during the shutdown get their responses."""
        running = asyncio.ensure_future(self.guard.run(work(DRAIN_S / 4)))
        await asyncio.sleep(0)
        self.begin()
        later = await self.guard.run(work(0.0))
        self.assertEqual(later.unwrap().status, 200)
        self.assertEqual((await running).unwrap().status, 200)

    async def test_timeout_of_the_request_is_not_taken_for_the_shutdown(self):
        """A ``TimeoutError`` of the request itself is raised to the caller."""

        async def fail():
            raise TimeoutError

        self.begin()
        with self.assertRaises(TimeoutError):
            await self.guard.run(fail())

    async def test_request_after_accept_until_is_refused(self):
        """A request from ``accept_until_s`` on is refused as not run."""
        self.assertIsNone(self.guard.find_obstacle(self.plan.close_at_s))
        self.begin()
        self.assertIsNone(self.guard.find_obstacle(self.plan.accept_until_s - 0.01))
        refusal = self.guard.find_obstacle(self.plan.accept_until_s)
        self.assertIs(refusal.kind, ErrorKind.NODE_DRAINING)
