"""Tests of papayatack.daemon.upstreams."""

import asyncio
import dataclasses
import types
import unittest
from unittest import mock

from papayatack.daemon.announcement import AnnouncedUpstream, UpstreamGone
from papayatack.daemon.upstreams import UpstreamKeeper
from papayatack.platform.grants import RangeGrantClient

FIRST = AnnouncedUpstream(
    service="desk", address="127.0.0.1:1", slots=8, connections=8, instance="i-1"
)
SECOND = dataclasses.replace(FIRST, address="127.0.0.1:2", instance="i-2")
REBORN = dataclasses.replace(FIRST, instance="i-3")


class UpstreamKeeperTests(unittest.IsolatedAsyncioTestCase):
    """What is kept of an upstream's grants when another follows it."""

    async def list_forgotten(self, *news):
        """Return how grants were forgotten after some news."""
        queue = asyncio.Queue()
        for item in news:
            queue.put_nowait(item)
        sink = RangeGrantClient(list_hot=list)
        sink.forget = mock.Mock(wraps=sink.forget)
        self.pools = []

        def build_pool(upstream):
            self.pools.append(mock.Mock())
            return self.pools[-1]

        keeper = UpstreamKeeper(
            environment=types.SimpleNamespace(
                desk=types.SimpleNamespace(
                    wait_changed=queue.get, suspect=None, note_leaving=mock.Mock()
                ),
                note_upstream=lambda upstream: None,
            ),
            control=mock.Mock(),
            engine=mock.Mock(),
            gate=mock.Mock(),
            sink=sink,
            build_pool=build_pool,
            drain_s=1.0,
        )
        running = asyncio.ensure_future(keeper.run())
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(running, 0.05)
        self.assertTrue(queue.empty())
        return [call.kwargs for call in sink.forget.call_args_list]

    async def test_upstream_at_another_address_may_follow_one_that_still_runs(self):
        """Its grants are waited out."""
        forgotten = await self.list_forgotten(FIRST, SECOND)
        self.assertEqual(forgotten, [{"is_certain": False}])

    async def test_upstream_at_the_same_address_follows_one_that_has_ended(self):
        """Its grants are over."""
        forgotten = await self.list_forgotten(FIRST, REBORN)
        self.assertEqual(forgotten, [{"is_certain": True}])

    async def test_another_upstream_follows_one_that_was_out_of_reach(self):
        """The new one does not have the grants of the old one."""
        gone = UpstreamGone(is_certain=False)
        forgotten = await self.list_forgotten(FIRST, gone, SECOND)
        self.assertEqual(forgotten, [{"is_certain": False}])

    async def test_upstream_that_was_out_of_reach_comes_back(self):
        """It may have its grants, or have been started again under its name."""
        gone = UpstreamGone(is_certain=False)
        forgotten = await self.list_forgotten(FIRST, gone, FIRST)
        self.assertEqual(forgotten, [{"is_certain": False}])

    async def test_another_upstream_follows_one_that_has_ended(self):
        """It is forgotten once."""
        gone = UpstreamGone(is_certain=True)
        self.assertEqual(await self.list_forgotten(FIRST, gone, SECOND), [{}])
        self.pools[0].retire.assert_called_once_with()
        self.pools[1].retire.assert_not_called()
