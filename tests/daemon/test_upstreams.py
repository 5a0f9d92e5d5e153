"""Tests of papayatack.daemon.upstreams."""

import asyncio
import dataclasses
import types
import unittest
from unittest import mock

from papayatack.core.admission import ColdBounds
from papayatack.core.inventory import Configuration, Service
from papayatack.daemon.announcement import (
    AnnouncedUpstream,
    UpstreamGone,
    UpstreamInterrupted,
)
from papayatack.daemon.limits import find_admission_limits
from papayatack.daemon.settings import LimitSettings
from papayatack.daemon.upstreams import UpstreamKeeper
from papayatack.platform.grants import RangeGrantClient

FIRST = AnnouncedUpstream(
    service="desk", address="127.0.0.1:1", slots=8, connections=8, instance="i-1"
)
SECOND = dataclasses.replace(FIRST, address="127.0.0.1:2", instance="i-2")
REBORN = dataclasses.replace(FIRST, instance="i-3")


class StartTests(unittest.IsolatedAsyncioTestCase):
    """An upstream that is put into service."""

    async def test_limits_are_in_force_before_it_gets_requests(self):
        """They are known when it counts as started, which is before it is reached."""
        calls = []
        queue = asyncio.Queue()
        queue.put_nowait(FIRST)
        engine = mock.Mock(upstream=None)
        gate = mock.Mock()
        gate.restart = lambda: calls.append(("start", engine.upstream))
        desk = types.SimpleNamespace(
            wait_changed=queue.get, suspect=None, note_leaving=mock.Mock()
        )
        keeper = UpstreamKeeper(
            environment=mock.Mock(desk=desk),
            control=mock.Mock(),
            engine=engine,
            gate=gate,
            sink=RangeGrantClient(list_hot=list, build_connections=mock.Mock()),
            build_pool=lambda upstream: mock.Mock(),
            drain_s=1.0,
            limit=lambda upstream: calls.append((upstream, engine.upstream)),
        )
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(keeper.run(), 0.05)
        self.assertEqual(calls, [(FIRST, None), ("start", None)])


class UpstreamKeeperTests(unittest.IsolatedAsyncioTestCase):
    """What is kept of an upstream's grants when another follows it."""

    def setUp(self):
        self.control = mock.Mock()

    async def list_forgotten(self, *news):
        """Return how grants were forgotten after some news."""
        queue = asyncio.Queue()
        for item in news:
            queue.put_nowait(item)
        sink = RangeGrantClient(list_hot=list, build_connections=mock.Mock())
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
            control=self.control,
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

    async def test_upstream_that_may_have_restarted_is_granted_its_shards_again(self):
        """Its grants are not forgotten, and it stays in service."""
        forgotten = await self.list_forgotten(FIRST, UpstreamInterrupted())
        self.assertEqual(forgotten, [])
        self.assertEqual(self.control.handle_upstream_restart.call_count, 2)
        self.control.evacuate_shards.assert_not_called()
        self.pools[0].retire.assert_not_called()


class ColdLimitTests(unittest.TestCase):
    """Limits for cold upstreams, from the inventory and the settings."""

    def find_limits(self, **fields):
        """Return the limits of an upstream of a service."""
        service = Service(name="desk", prefix="/desk", **fields)
        settings = LimitSettings(cold_overrun=1.5, cold_slack=8.0)
        return find_admission_limits(
            Configuration(services=(service,)), FIRST, settings
        )

    def test_service_without_a_limit_has_no_bounds(self):
        self.assertIsNone(self.find_limits(cold_start_s=6.0).cold)

    def test_bounds_are_those_of_service_and_settings(self):
        limits = self.find_limits(cold_start_s=6.0, cold_requests_per_s=6.0)
        expected = ColdBounds(requests_per_s=6.0, start_s=6.0, overrun=1.5, slack=8.0)
        self.assertEqual(limits.cold, expected)
