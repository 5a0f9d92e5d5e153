"""Tests of papayatack.proxy.attempts with a fake of the other nodes."""

import asyncio
import unittest
from unittest import mock

from returns.result import Failure

from papayatack.core.errors import ErrorKind, Refusal
from tests.proxy.fakes import Node, build_peer_request

ATTEMPT_S = 0.2
TARGET_S = 1.0


class RemainingTimeTests(unittest.IsolatedAsyncioTestCase):
    """A request whose first two attempts reach no node."""

    async def asyncSetUp(self):
        """Start a node that knows another one."""
        self.node = await Node(name="entry").start()
        self.addAsyncCleanup(self.node.stop)
        route = self.node.build_route(local=False)
        self.node.ownership.nodes = (route,)
        self.node.ownership.route = route
        self.sent = []

    async def exchange(self, *, peer_request, **kwargs):
        """Record an attempt, which fails after some time."""
        self.sent.append((asyncio.get_running_loop().time(), peer_request))
        await asyncio.sleep(ATTEMPT_S)
        return Failure(Refusal(kind=ErrorKind.PEER_UNREACHABLE))

    async def test_later_attempt_has_less_time_until_its_target(self):
        """The target is that of the caller, not of the attempt."""
        request = build_peer_request(target_s=TARGET_S)
        with mock.patch.object(self.node.network, "exchange", self.exchange):
            await self.node.engine._attempts.run(request)
        self.assertGreater(len(self.sent), 1)
        started_s = self.sent[0][0]
        for sent_s, attempt in self.sent:
            elapsed_s = sent_s - started_s
            self.assertAlmostEqual(attempt.target_s, TARGET_S - elapsed_s, delta=0.05)
