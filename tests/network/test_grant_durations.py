"""Tests of the duration of grants that wait for a connection."""

import asyncio
import json
import unittest

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.network.grants import GrantClient
from papayatack.network.limits import UpstreamLimits
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics

WAITED_S = 0.4
LEFT_S = 0.9
MARGIN_S = 0.1
US_PER_S = 1_000_000
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class GrantDurationTests(unittest.TestCase):
    """A grant to an upstream whose only connection is in use."""

    def test_grant_does_not_outlast_its_lease_by_the_wait_for_a_connection(self):
        """The upstream counts its duration from the arrival."""
        asyncio.run(self.check())

    async def check(self):
        """Let a grant wait for the connection, and look at what arrives."""
        loop = asyncio.get_running_loop()
        expires_s = []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            document = json.loads(await reader.readexactly(length))
            expires_s.append(loop.time() + document["remaining_us"] / US_PER_S)
            writer.write(RESPONSE)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = UpstreamPool(
            host="127.0.0.1",
            port=port,
            metrics=Metrics(),
            limits=UpstreamLimits(connections=1),
        )
        held = (await pool.reserve(deadline_s=loop.time() + 1)).unwrap()
        until_s = loop.time() + LEFT_S
        lease = LeaseId(incarnation=IncarnationId("n#1"), term=1)
        granting = asyncio.create_task(
            GrantClient(pool=pool).grant(lease, {"shard": 1}, until_s)
        )
        await asyncio.sleep(WAITED_S)
        pool.return_connection(held)
        await granting
        server.close()
        self.assertLessEqual(expires_s[0], until_s + MARGIN_S)
