"""Tests of papayatack.network.upstreams."""

import asyncio
import unittest

from papayatack.network.exchanges import Request
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from standins.upstream import UpstreamStandin

DEADLINE_S = 30.0


class ReuseTests(unittest.IsolatedAsyncioTestCase):
    """Connections that carry one exchange after the other."""

    async def asyncSetUp(self):
        self.upstream = UpstreamStandin(check_grants=False)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop, timeout_s=0.0)
        self.pool = UpstreamPool(
            host="127.0.0.1",
            port=self.upstream.port,
            metrics=Metrics(),
            limits=UpstreamLimits(connections=1),
        )
        self.addCleanup(self.pool.close)

    async def exchange(self, target):
        """Return the response to one request."""
        deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
        request = Request(method=b"GET", target=target, headers=((b"host", b"a"),))
        result = await self.pool.exchange(request, deadline_s=deadline_s)
        return result.unwrap()

    async def test_closing_a_whole_body_spares_the_next_exchange(self):
        """A body that is closed late does not cut the request that came after it."""
        first = await self.exchange(b"/first")
        while not first.body.finished:
            await asyncio.sleep(0)
        second = asyncio.ensure_future(self.exchange(b"/second?sleep_ms=20"))
        await asyncio.sleep(0.005)
        first.body.close()
        response = await second
        self.assertEqual(response.status, 200)

    async def test_closing_a_partial_body_closes_the_connection(self):
        """A body given up half way is not followed by another exchange."""
        response = await self.exchange(b"/long?bytes=1000000")
        response.body.close()
        following = await self.exchange(b"/next")
        self.assertEqual(following.status, 200)
        self.assertEqual(await following.body.read(), b"xx")
