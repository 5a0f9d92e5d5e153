"""Tests of papayatack.network.identified_connections on loopback."""

import asyncio
import unittest

from returns.pipeline import is_successful

from papayatack.core.errors import ErrorKind
from papayatack.network.exchanges import Request
from papayatack.network.identified_connections import (
    MAX_IDENTIFYING,
    MAX_IDLE,
    IdentifiedConnections,
)
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.platform.health_check import read_instance
from papayatack.proxy.buffering import buffer_response
from standins.platformupstream import PlatformUpstream

HEALTH_PATH = "/health"
LIMIT_S = 5.0
SETTLE_S = 0.02
CONNECTIONS = 8


class IdentifiedConnectionsTests(unittest.IsolatedAsyncioTestCase):
    """Connections to an upstream that may be replaced at its address."""

    async def asyncSetUp(self):
        self.upstream = PlatformUpstream(instance="i-1", service="desk", place="east")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        host, _, port = self.upstream.address.partition(":")
        self.pool = UpstreamPool(
            host=host,
            port=int(port),
            metrics=Metrics(),
            limits=UpstreamLimits(connections=CONNECTIONS),
            name="i-1",
        )
        self.addCleanup(self.pool.close)
        self.replaced = 0
        self.may_have_restarted = False
        self.asked = 0
        self.connections = IdentifiedConnections(
            pool=self.pool,
            read_id=self.read_id,
            on_replaced=self.note_replaced,
            may_have_restarted=lambda: self.may_have_restarted,
        )

    def note_replaced(self):
        """Count the answers of other processes."""
        self.replaced += 1

    async def read_id(self, connection, *, deadline_s):
        """Ask the health check, and count the questions."""
        self.asked += 1
        return await read_instance(
            connection,
            address=self.pool.address,
            path=HEALTH_PATH,
            deadline_s=deadline_s,
        )

    async def reserve(self, limit_s=LIMIT_S):
        """Reserve a connection."""
        deadline_s = asyncio.get_running_loop().time() + limit_s
        return await self.connections.reserve(deadline_s=deadline_s)

    async def restart(self, instance):
        """Have another process listen at the address."""
        port = int(self.upstream.address.rpartition(":")[2])
        await self.upstream.stop()
        self.upstream = PlatformUpstream(
            instance=instance, service="desk", place="east"
        )
        self.upstream._server = self.upstream._build_server(port)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)

    async def test_process_is_asked_once_a_connection(self):
        """A connection leads to the same process for as long as it is open."""
        first = (await self.reserve()).unwrap()
        self.connections.return_connection(first)
        again = (await self.reserve()).unwrap()
        self.assertIs(again, first)
        self.assertEqual(self.asked, 1)
        second = (await self.reserve()).unwrap()
        self.assertIsNot(second, first)
        self.assertEqual(self.asked, 2)

    async def test_connection_to_another_process_is_not_used(self):
        """Its answer is reported, so that the running process is looked for."""
        first = (await self.reserve()).unwrap()
        self.connections.return_connection(first)
        await self.restart("i-2")
        await asyncio.sleep(SETTLE_S)
        asked = self.asked
        results = await asyncio.gather(*(self.reserve() for _ in range(CONNECTIONS)))
        self.assertEqual(
            {reserved.failure().kind for reserved in results},
            {ErrorKind.UPSTREAM_UNREACHABLE},
        )
        self.assertGreaterEqual(self.replaced, 1)
        self.assertLessEqual(self.asked - asked, MAX_IDENTIFYING)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.pool.open_connections, 0)

    async def test_process_with_the_same_id_may_be_another_one_after_all_were_lost(
        self,
    ):
        """Where ids are used again, only an open connection shows that it is not."""
        self.may_have_restarted = True
        first = (await self.reserve()).unwrap()
        second = (await self.reserve()).unwrap()
        first.abort()
        await asyncio.sleep(SETTLE_S)
        third = await self.reserve()
        self.assertTrue(is_successful(third))
        self.connections.return_connection(second)
        self.connections.return_connection(third.unwrap())
        await self.restart("i-1")
        await asyncio.sleep(SETTLE_S)
        for _ in range(2):
            self.assertFalse(is_successful(await self.reserve()))
        self.assertEqual(self.replaced, 0)

    async def test_connection_that_was_closed_while_idle_is_replaced(self):
        """Its end may not have been seen yet."""
        deadline_s = asyncio.get_running_loop().time() + LIMIT_S
        request = Request(method=b"GET", target=b"/health", headers=((b"host", b"a"),))
        response = await self.pool.exchange(request, deadline_s=deadline_s)
        await buffer_response(response.unwrap())
        await self.restart("i-1")
        self.assertEqual(self.pool.open_connections, 1)
        self.assertTrue(is_successful(await self.reserve()))
        self.assertEqual(self.asked, 2)
        self.assertEqual(self.replaced, 0)

    async def test_silent_process_gets_nothing(self):
        """A process that does not name itself in time may be another one."""
        gate = asyncio.Event()

        async def read_id(connection, *, deadline_s):
            await gate.wait()
            return ""

        self.connections = IdentifiedConnections(
            pool=self.pool,
            read_id=read_id,
            on_replaced=self.note_replaced,
            may_have_restarted=lambda: False,
        )
        reserving = asyncio.ensure_future(self.reserve())
        await asyncio.sleep(0.05)
        gate.set()
        self.assertFalse(is_successful(await reserving))
        self.assertEqual(self.replaced, 0)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.pool.open_connections, 0)

    async def test_connections_count_towards_the_limit_of_the_pool(self):
        """The upstream accepts so many from all callers."""
        for _ in range(CONNECTIONS):
            self.assertTrue(is_successful(await self.reserve()))
        self.assertEqual(self.pool.open_connections, CONNECTIONS)
        reserved = await self.reserve(limit_s=0.1)
        self.assertEqual(reserved.failure().kind, ErrorKind.DEADLINE_EXPIRED)

    async def test_grants_share_connections_that_are_identified(self):
        """Those that wait take the first that is returned, without a question."""
        asked = []

        async def use():
            connection = (await self.reserve()).unwrap()
            asked.append(self.asked)
            await asyncio.sleep(0.01)
            self.connections.return_connection(connection)

        await asyncio.gather(*(use() for _ in range(4 * CONNECTIONS)))
        self.assertLessEqual(self.asked, CONNECTIONS)
        self.assertEqual(len(asked), 4 * CONNECTIONS)

    async def test_spare_connections_return_to_the_pool(self):
        """Requests use them; few are kept apart."""
        reserved = [(await self.reserve()).unwrap() for _ in range(CONNECTIONS)]
        for connection in reserved:
            self.connections.return_connection(connection)
        deadline_s = asyncio.get_running_loop().time() + LIMIT_S
        for _ in range(CONNECTIONS - MAX_IDLE):
            taken = await self.pool.reserve(deadline_s=deadline_s)
            self.assertIn(taken.unwrap(), reserved)

    async def test_retired_connections_are_closed(self):
        """Idle ones at once, others when they are returned."""
        used = (await self.reserve()).unwrap()
        idle = (await self.reserve()).unwrap()
        self.connections.return_connection(idle)
        self.connections.retire()
        self.connections.return_connection(used)
        self.assertTrue(idle.closed)
        self.assertTrue(used.closed)
