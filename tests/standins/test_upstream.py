"""Tests of the stand-in of an upstream, through the product's grant client."""

import asyncio
import json
import unittest

from returns.pipeline import is_successful

from papayatack.core.errors import ErrorKind
from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.network.grants import GrantClient
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from standins.upstream import UpstreamStandin
from tests.proxy.fakes import build_request, fetch

LEASE = LeaseId(IncarnationId("a"), 1)
LATER = LeaseId(IncarnationId("b"), 1)
SHARD = ShardId("hiring/all/0")
LONG_US = 60_000_000


def find_end(duration_us):
    """Return the event loop time after a duration in microseconds."""
    return asyncio.get_running_loop().time() + duration_us / 1e6


class UpstreamStandinTests(unittest.IsolatedAsyncioTestCase):
    """Grants, refusals and reports."""

    async def asyncSetUp(self):
        """Start one and a client of it."""
        self.upstream = UpstreamStandin()
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop, timeout_s=0.0)
        self.pool = UpstreamPool(
            host="127.0.0.1", port=self.upstream.port, metrics=Metrics()
        )
        self.addCleanup(self.pool.close)
        self.client = GrantClient(pool=self.pool)

    async def request(self, token, target="/x", method="GET"):
        """Return the raw answer to a request under a token."""
        headers = (f"Papayatack-Shard: {SHARD}", f"Papayatack-Token: {token}")
        data = build_request(method, target, headers=headers)
        return await fetch(self.upstream.port, data)

    async def control(self, **behaviour):
        """Change the behaviour over HTTP."""
        data = json.dumps(behaviour).encode()
        await fetch(self.upstream.port, build_request("POST", "/control", body=data))

    async def test_lower_tokens_are_refused_for_good(self):
        """A later grant ends the requests and the grants of earlier ones."""
        await self.client.grant(LEASE, {SHARD: 1}, find_end(LONG_US))
        self.assertIn(b" 200 ", await self.request(1))
        await self.client.grant(LATER, {SHARD: 2}, find_end(LONG_US))
        self.assertIn(b"papayatack-refused: token", await self.request(1))
        await self.client.revoke(LATER, (SHARD,))
        self.assertIn(b"papayatack-refused: grant", await self.request(2))
        stale = await self.client.grant(LEASE, {SHARD: 1}, find_end(LONG_US))
        self.assertIs(stale.failure().kind, ErrorKind.GRANT_REFUSED)

    async def test_expired_grant_refuses_until_it_is_extended(self):
        """A grant lasts as long as it was given or extended."""
        await self.client.grant(LEASE, {SHARD: 1}, find_end(0))
        self.assertIn(b"papayatack-refused: grant", await self.request(1))
        self.assertTrue(
            is_successful(await self.client.extend(LEASE, find_end(LONG_US)))
        )
        self.assertIn(b" 200 ", await self.request(1))

    async def test_refused_requests_are_not_run(self):
        """Draining and shedding run nothing."""
        await self.client.grant(LEASE, {SHARD: 1}, find_end(LONG_US))
        for name in ("draining", "shed"):
            await self.control(**{name: True})
            answer = await self.request(1)
            self.assertIn(f"papayatack-refused: {name}".encode(), answer)
            await self.control(**{name: False})
        self.assertEqual(self.upstream.runs, {})

    async def test_reports_can_lie(self):
        """Health and load say what they were told to say."""
        await self.control(healthy=False, busy=99.0)
        health = (await self.client.read_health()).unwrap()
        load = (await self.client.read_load()).unwrap()
        self.assertEqual((health.healthy, load.busy), (False, 99.0))

    async def test_frozen_upstream_answers_once_thawed(self):
        """A frozen upstream takes requests and does nothing."""
        await self.client.grant(LEASE, {SHARD: 1}, find_end(LONG_US))
        await self.control(frozen=True)
        answer = asyncio.create_task(self.request(1))
        await asyncio.sleep(0.02)
        self.assertEqual(self.upstream.runs, {})
        await self.control(frozen=False)
        self.assertIn(b" 200 ", await answer)
