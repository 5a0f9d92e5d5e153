"""Tests of papayatack.platform.heartbeats."""

import asyncio
import json
import unittest

import looptime

from papayatack.daemon.announcement import UpstreamGone
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Request
from papayatack.observability.metrics import Metrics
from papayatack.platform.heartbeats import HeartbeatReceiver
from standins.platformupstream import PlatformUpstream
from tests.platform.documents import build_heartbeat


class CountedEvent(asyncio.Event):
    """An event that is wait_count without end only by a task that never pauses."""

    wait_count = 0

    async def wait(self):
        """Count."""
        self.wait_count += 1
        if self.wait_count > 100:
            raise AssertionError("asked without a pause")
        return await super().wait()


class HeartbeatTests(unittest.TestCase):
    """What the upstream says, and what the node makes of it."""

    def run_scenario(self, scenario):
        """Run a scenario with a receiver on a paused clock."""

        async def run():
            receiver = HeartbeatReceiver(
                metrics=Metrics(),
                interval_s=0.87,
                service="desk",
                address="127.0.0.1:9",
                find_health_path=lambda: "",
            )
            await scenario(receiver)

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    async def send(self, receiver, instance, document, call="heartbeat"):
        """Send a call; return the status."""
        data = document if isinstance(document, bytes) else json.dumps(document)
        request = Request(
            method=b"POST",
            target=f"/instances/{instance}/{call}".encode(),
            body=BytesBody(data=data if isinstance(data, bytes) else data.encode()),
        )
        return (await receiver.handle(request)).status

    def test_ready_draining_and_gone(self):
        """Each change is news once; a repeated heartbeat is none."""

        async def scenario(receiver):
            self.assertEqual(await self.send(receiver, "i-1", build_heartbeat()), 200)
            await self.send(receiver, "i-1", build_heartbeat(seq=2))
            first = await receiver.wait_changed()
            self.assertEqual((first.instance, first.slots), ("i-1", 13))
            await self.send(receiver, "i-1", build_heartbeat(state="draining", seq=3))
            self.assertTrue((await receiver.wait_changed()).leaving)
            self.assertEqual(await self.send(receiver, "i-1", b"", "deregister"), 200)
            watching = asyncio.ensure_future(receiver.watch())
            gone = await receiver.wait_changed()
            self.assertEqual(gone, UpstreamGone(is_certain=True))
            watching.cancel()

        self.run_scenario(scenario)

    def test_late_heartbeats_change_nothing(self):
        """Neither an older one of the same life nor one of a life before."""

        async def scenario(receiver):
            await self.send(receiver, "i-1", build_heartbeat(seq=5))
            await self.send(receiver, "i-1", build_heartbeat(state="draining", seq=4))
            await self.send(receiver, "i-2", build_heartbeat(seq=1))
            await self.send(receiver, "i-1", build_heartbeat(seq=6))
            self.assertEqual((await receiver.wait_changed()).instance, "i-1")
            news = await receiver.wait_changed()
            self.assertEqual((news.instance, news.leaving), ("i-2", False))
            self.assertTrue(receiver._updates.empty())

        self.run_scenario(scenario)

    def test_suspicion_after_the_upstream_has_gone(self):
        """Connections that were under way still fail; the node goes on."""

        async def scenario(receiver):
            receiver._suspected = CountedEvent()
            watching = asyncio.ensure_future(receiver.watch())
            await asyncio.sleep(3.0)
            receiver.suspect()
            await asyncio.sleep(1.0)
            self.assertFalse(watching.done())
            watching.cancel()

        self.run_scenario(scenario)

    def test_leaving_without_a_word_before(self):
        """A deregistration counts as the wish to drain."""

        async def scenario(receiver):
            await self.send(receiver, "i-1", build_heartbeat())
            await receiver.wait_changed()
            await self.send(receiver, "i-1", b"", "deregister")
            self.assertTrue((await receiver.wait_changed()).leaving)

        self.run_scenario(scenario)

    def test_bad_input_gets_clear_errors(self):
        """It is refused, and names no upstream."""

        async def scenario(receiver):
            for document in (
                b"",
                b"[]",
                b"\xff",
                build_heartbeat(slots=0),
                build_heartbeat(state="asleep"),
                {**build_heartbeat(), "Info": None},
            ):
                with self.subTest(document=document):
                    self.assertEqual(await self.send(receiver, "i-1", document), 400)
            self.assertEqual(await self.send(receiver, "i-1", b"", "dance"), 404)
            self.assertTrue(receiver._updates.empty())

        self.run_scenario(scenario)


class RestartTests(unittest.IsolatedAsyncioTestCase):
    """An upstream that is started again under its id."""

    async def asyncSetUp(self):
        self.path = "/health"
        self.receiver = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=0.87,
            service="desk",
            address="127.0.0.1:9",
            find_health_path=lambda: self.path,
        )
        watching = asyncio.ensure_future(self.receiver.watch())
        self.addCleanup(watching.cancel)

    async def send(self, seq):
        """Send a heartbeat."""
        request = Request(
            method=b"POST",
            target=b"/instances/i-1/heartbeat",
            body=BytesBody(data=json.dumps(build_heartbeat(seq=seq)).encode()),
        )
        await self.receiver.handle(request)

    async def end_abruptly(self):
        """Have an upstream that sent many heartbeats end without a word."""
        await self.send(57)
        await self.receiver.wait_changed()
        self.receiver.suspect()
        gone = await asyncio.wait_for(self.receiver.wait_changed(), timeout=5.0)
        self.assertEqual(gone, UpstreamGone(is_certain=True))

    async def test_it_is_taken_back(self):
        """Its heartbeats count from one again; it says itself who it is."""
        await self.end_abruptly()
        upstream = PlatformUpstream(instance="i-1", service="desk", place="east")
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        self.receiver._address = upstream.address
        await self.send(1)
        found = await asyncio.wait_for(self.receiver.wait_changed(), timeout=5.0)
        self.assertEqual((found.instance, found.leaving), ("i-1", False))

    async def test_late_heartbeat_of_the_life_before(self):
        """Nothing runs at the address: the heartbeat was under way for long."""
        await self.end_abruptly()
        await self.send(56)
        await asyncio.sleep(1.0)
        self.assertTrue(self.receiver._updates.empty())


class DiscoveryTests(unittest.IsolatedAsyncioTestCase):
    """An upstream that ran before this node was started."""

    async def start(self, *, draining=False):
        """Return a receiver beside a running upstream, and what it hears."""
        upstream = PlatformUpstream(instance="i-7", service="desk", place="east")
        upstream.healthy = not draining
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        receiver = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=0.87,
            service="desk",
            address=upstream.address,
            find_health_path=lambda: "/health",
        )
        watching = asyncio.ensure_future(receiver.watch())
        self.addCleanup(watching.cancel)
        return receiver

    async def test_it_is_asked_who_it_is(self):
        """It need not wait for the next heartbeat."""
        receiver = await self.start()
        found = await asyncio.wait_for(receiver.wait_changed(), timeout=0.5)
        self.assertEqual((found.instance, found.slots), ("i-7", 8))

    async def test_one_that_leaves_is_not_taken(self):
        """It answers that it is not to be used."""
        receiver = await self.start(draining=True)
        await asyncio.sleep(0.3)
        self.assertTrue(receiver._updates.empty())
