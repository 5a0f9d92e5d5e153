"""Tests of papayatack.platform.heartbeats."""

import asyncio
import json
import unittest

import looptime

from papayatack.daemon.announcement import UpstreamGone, UpstreamInterrupted
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Request
from papayatack.observability.metrics import Metrics
from papayatack.platform.heartbeats import HeartbeatReceiver
from papayatack.platform.lifetimes import CONFIRMATION_S, Identity
from standins.platformupstream import PlatformUpstream
from tests.platform.documents import build_heartbeat


class CountedEvent(asyncio.Event):
    """An event that fails the test when a task waits for it in a busy loop."""

    wait_count = 0

    async def wait(self):
        """Count the call and wait."""
        self.wait_count += 1
        if self.wait_count > 100:
            raise AssertionError("waited in a busy loop")
        return await super().wait()


NOBODY_S = 1.0
"""Time in which no update must come."""


class HeartbeatTests(unittest.TestCase):
    """Updates that follow from the upstream's calls."""

    def run_scenario(self, scenario):
        """Run a scenario with a receiver on a simulated clock.

        The health check answers with ``self.identity``.
        """
        self.identity = None
        self.path = "/health"
        self.checks = 0

        async def check(address, path):
            self.checks += 1
            return self.identity

        async def run():
            receiver = HeartbeatReceiver(
                metrics=Metrics(),
                interval_s=0.87,
                service="desk",
                address="127.0.0.1:9",
                find_health_path=lambda: self.path,
                check=check,
            )
            watcher = asyncio.ensure_future(receiver.watch())
            await scenario(receiver)
            self.assertFalse(watcher.done())
            watcher.cancel()

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run())

    def name(self, instance, *, is_ready=True, slots=0):
        """Let the health check name a lifetime."""
        self.identity = Identity(instance=instance, is_ready=is_ready, slots=slots)

    async def start(self, receiver, instance, seq=1):
        """Put a lifetime into service; return its update."""
        self.name(instance)
        await self.send(receiver, instance, build_heartbeat(seq=seq))
        return await receiver.wait_changed()

    async def check_no_update(self, receiver):
        """Fail if an update comes soon."""
        await asyncio.sleep(NOBODY_S)
        self.assertTrue(receiver._updates.empty())

    async def send(self, receiver, instance, document, call="heartbeat"):
        """Send a call and return its status."""
        data = document if isinstance(document, bytes) else json.dumps(document)
        request = Request(
            method=b"POST",
            target=f"/instances/{instance}/{call}".encode(),
            body=BytesBody(data=data if isinstance(data, bytes) else data.encode()),
        )
        return (await receiver.handle(request)).status

    def test_changes_of_state_are_reported_once(self):
        """The upstream is ready, drains and ends; a repeated heartbeat is no update."""

        async def scenario(receiver):
            self.name("i-1")
            self.assertEqual(await self.send(receiver, "i-1", build_heartbeat()), 200)
            await self.send(receiver, "i-1", build_heartbeat(seq=2))
            first = await receiver.wait_changed()
            self.assertEqual((first.instance, first.slots), ("i-1", 13))
            await self.send(receiver, "i-1", build_heartbeat(state="draining", seq=3))
            self.assertTrue((await receiver.wait_changed()).leaving)
            self.assertEqual(await self.send(receiver, "i-1", b"", "deregister"), 200)
            gone = await receiver.wait_changed()
            self.assertEqual(gone, UpstreamGone(is_certain=True))

        self.run_scenario(scenario)

    def test_heartbeats_out_of_order_are_ignored(self):
        """Older ones of the same process and ones of a previous process."""

        async def scenario(receiver):
            first = await self.start(receiver, "i-1", seq=5)
            self.assertEqual((first.instance, first.leaving), ("i-1", False))
            await self.send(receiver, "i-1", build_heartbeat(state="draining", seq=4))
            news = await self.start(receiver, "i-2")
            self.assertEqual((news.instance, news.leaving), ("i-2", False))
            await self.send(receiver, "i-1", build_heartbeat(seq=6))
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_late_heartbeat_of_an_ended_process_does_not_displace_the_running_one(self):
        """This node has not heard of either process before its own start."""

        async def scenario(receiver):
            await self.start(receiver, "i-2")
            for seq in (55, 56, 57):
                await self.send(receiver, "i-1", build_heartbeat(seq=seq))
                await self.check_no_update(receiver)
                await self.send(receiver, "i-2", build_heartbeat(seq=seq))
            await self.send(receiver, "i-1", build_heartbeat(state="draining", seq=58))
            await self.send(receiver, "i-1", b"", "deregister")
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_late_heartbeat_of_a_leaving_upstream_does_not_put_it_into_service(self):
        """It has deregistered at an earlier process of this node."""

        async def scenario(receiver):
            self.name("i-1", is_ready=False, slots=8)
            for seq in (5, 6):
                await self.send(receiver, "i-1", build_heartbeat(seq=seq))
                await self.check_no_update(receiver)
            await asyncio.sleep(CONFIRMATION_S)
            await self.send(receiver, "i-1", build_heartbeat(seq=7))
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_upstream_whose_health_check_is_wrong_is_announced_after_a_time(self):
        """Its heartbeats go on for longer than any is delayed."""

        async def scenario(receiver):
            self.name("i-1", is_ready=False)
            for seq in range(1, 7):
                await self.send(receiver, "i-1", build_heartbeat(seq=seq))
                await self.check_no_update(receiver)
            await self.send(receiver, "i-1", build_heartbeat(seq=7))
            self.assertEqual((await receiver.wait_changed()).instance, "i-1")

        self.run_scenario(scenario)

    def test_upstream_that_leaves_while_its_health_check_is_under_way_is_not_announced(
        self,
    ):
        async def scenario(receiver):
            answered = asyncio.Event()

            async def check(address, path):
                await answered.wait()
                return Identity(instance="i-1", is_ready=True, slots=8)

            receiver._check = check
            await self.send(receiver, "i-1", build_heartbeat())
            await asyncio.sleep(0.1)
            await self.send(receiver, "i-1", b"", "deregister")
            answered.set()
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_health_check_that_is_wrong_does_not_revive_an_upstream_that_leaves(self):
        """It deregisters at a node that has just started, and heartbeats are late."""

        async def scenario(receiver):
            await asyncio.sleep(1.0)
            await self.send(receiver, "i-1", b"", "deregister")
            self.name("i-1", slots=8)
            for seq in (5, 4, 6):
                await self.send(receiver, "i-1", build_heartbeat(seq=seq))
                await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_upstream_that_restarts_with_its_id_after_it_left_is_announced(self):
        """Its end was seen: nothing listened at its address."""

        async def scenario(receiver):
            await self.start(receiver, "i-1", seq=9)
            await self.send(receiver, "i-1", b"", "deregister")
            self.assertTrue((await receiver.wait_changed()).leaving)
            gone = await receiver.wait_changed()
            self.assertEqual(gone, UpstreamGone(is_certain=True))
            await self.send(receiver, "i-1", build_heartbeat(seq=1))
            await asyncio.sleep(0.1)
            await self.send(receiver, "i-1", build_heartbeat(seq=2))
            found = await receiver.wait_changed()
            self.assertEqual((found.instance, found.leaving), ("i-1", False))

        self.run_scenario(scenario)

    async def wait_update(self, receiver):
        """Return the next update; fail if there is none for long."""
        async with asyncio.timeout(CONFIRMATION_S):
            return await receiver.wait_changed()

    async def restart_with_its_id(self, receiver):
        """Let an upstream restart with the id that it had, unnoticed so far."""
        self.name("i-1")
        await self.send(receiver, "i-1", build_heartbeat(seq=50, born=1_000))
        await self.wait_update(receiver)
        await self.send(receiver, "i-1", build_heartbeat(seq=1, born=9_000))

    def test_upstream_that_restarts_with_its_id_unnoticed_is_announced_again(self):
        """It may hold grants that were sent to it as renewals of those before."""

        async def scenario(receiver):
            await self.restart_with_its_id(receiver)
            gone = await self.wait_update(receiver)
            self.assertEqual(gone, UpstreamGone(is_certain=False))
            self.assertEqual((await self.wait_update(receiver)).instance, "i-1")
            await self.send(receiver, "i-1", build_heartbeat(seq=2, born=9_000))
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_upstream_whose_connections_were_lost_may_have_restarted_with_its_id(self):
        """Its report of a later start ends nothing then."""

        async def scenario(receiver):
            self.name("i-1")
            await self.send(receiver, "i-1", build_heartbeat(seq=50, born=1_000))
            await self.wait_update(receiver)
            self.assertTrue(receiver.note_interruption())
            self.assertEqual(await self.wait_update(receiver), UpstreamInterrupted())
            await self.send(receiver, "i-1", build_heartbeat(seq=1, born=9_000))
            while not receiver._updates.empty():
                self.assertNotIsInstance(await self.wait_update(receiver), UpstreamGone)
            await self.send(receiver, "i-1", build_heartbeat(seq=2, born=9_000))
            self.assertEqual(receiver.running.born_ms, 9_000)

        self.run_scenario(scenario)

    def test_upstream_that_only_its_health_check_has_named_may_have_restarted(self):
        """Its time of start is known from reports of an earlier life, or not yet."""

        async def scenario(receiver):
            self.name("i-1", slots=13)
            await self.wait_update(receiver)
            self.assertTrue(receiver.note_interruption())
            await self.wait_update(receiver)
            await self.send(receiver, "i-1", build_heartbeat(seq=50, born=1_000))
            await self.wait_update(receiver)
            receiver._lifetimes.note_end()
            receiver._lifetimes.note_identity(
                self.identity, address="127.0.0.1:9", now=0.0
            )
            self.assertEqual(receiver.running.born_ms, 0)
            self.assertTrue(receiver.note_interruption())

        self.run_scenario(scenario)

    def test_upstream_without_a_time_of_start_has_another_id_after_a_restart(self):
        """The loss of its connections tells nothing."""

        async def scenario(receiver):
            self.name("i-1")
            await self.send(receiver, "i-1", build_heartbeat(seq=50))
            await self.wait_update(receiver)
            self.assertFalse(receiver.note_interruption())
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_report_with_fields_of_another_type_does_not_end_the_upstream(self):
        """It comes from another writer, and names no upstream."""

        async def scenario(receiver):
            self.name("i-1")
            document = build_heartbeat(seq=50, born=1_000)
            await self.send(receiver, "i-1", document)
            await self.wait_update(receiver)
            odd = (
                {"born": "9000"},
                {"born": 9_000.0},
                {"born": True},
                {"born": None},
                {"Status": {**document["Status"], "Seq": "1000000"}},
                {"Status": {**document["Status"], "Seq": 1e6}},
                {"Info": {**document["Info"], "CapacitySlots": "13"}},
                {"Info": {**document["Info"], "Service": 7}},
            )
            for fields in odd:
                with self.subTest(fields=fields):
                    changed = {**document, **fields}
                    self.assertEqual(await self.send(receiver, "i-1", changed), 400)
            await self.check_no_update(receiver)
            draining = build_heartbeat(state="draining", seq=51, born=1_000)
            self.assertEqual(await self.send(receiver, "i-1", draining), 200)
            self.assertTrue((await self.wait_update(receiver)).leaving)

        self.run_scenario(scenario)

    def test_leaving_is_acknowledged_only_if_it_is_in_force(self):
        """No request may reach the upstream any more once it has the answer."""

        async def scenario(receiver):
            await self.start(receiver, "i-1", seq=5)
            draining = build_heartbeat(state="draining", seq=4)
            self.assertEqual(await self.send(receiver, "i-1", draining), 409)
            await self.check_no_update(receiver)
            draining = build_heartbeat(state="draining", seq=6)
            self.assertEqual(await self.send(receiver, "i-1", draining), 200)
            self.assertTrue((await self.wait_update(receiver)).leaving)
            self.assertEqual(await self.send(receiver, "i-1", draining), 200)

        self.run_scenario(scenario)

    def test_leaving_of_an_upstream_that_restarted_with_its_id_is_not_late(self):
        """Its sequence numbers start anew."""

        async def scenario(receiver):
            await self.restart_with_its_id(receiver)
            await self.wait_update(receiver)
            await self.wait_update(receiver)
            document = build_heartbeat(state="draining", seq=2, born=9_000)
            await self.send(receiver, "i-1", document)
            self.assertTrue((await self.wait_update(receiver)).leaving)

        self.run_scenario(scenario)

    def test_late_heartbeat_of_an_earlier_life_with_the_same_id_is_ignored(self):
        async def scenario(receiver):
            await self.restart_with_its_id(receiver)
            await self.wait_update(receiver)
            await self.wait_update(receiver)
            document = build_heartbeat(state="draining", seq=51, born=1_000)
            await self.send(receiver, "i-1", document)
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_restart_that_the_health_check_has_shown_is_not_announced_twice(self):
        async def scenario(receiver):
            self.name("i-1", slots=13)
            await self.send(receiver, "i-1", build_heartbeat(seq=50, born=1_000))
            await self.wait_update(receiver)
            receiver._lifetimes.note_end()
            receiver._lifetimes.note_identity(
                self.identity, address="127.0.0.1:9", now=0.0
            )
            await self.send(receiver, "i-1", build_heartbeat(seq=1, born=9_000))
            while not receiver._updates.empty():
                update = await self.wait_update(receiver)
                self.assertNotIsInstance(update, UpstreamGone)

        self.run_scenario(scenario)

    def test_draining_upstream_is_announced_as_leaving_to_a_new_process(self):
        async def scenario(receiver):
            self.name("i-1", is_ready=False)
            await self.send(receiver, "i-1", build_heartbeat(seq=9))
            await self.send(receiver, "i-1", build_heartbeat(state="draining", seq=11))
            self.assertTrue((await receiver.wait_changed()).leaving)
            await self.send(receiver, "i-1", build_heartbeat(seq=10))
            await self.check_no_update(receiver)

        self.run_scenario(scenario)

    def test_upstream_that_reports_before_the_manifest_is_announced_at_once_with_it(
        self,
    ):
        """The path of its health check stands in the manifest."""

        async def scenario(receiver):
            self.path = ""
            self.name("i-1")
            await self.send(receiver, "i-1", build_heartbeat())
            await self.check_no_update(receiver)
            await self.send(receiver, "i-1", build_heartbeat(seq=2))
            await asyncio.sleep(0.01)
            self.path = "/health"
            receiver.note_manifest()
            async with asyncio.timeout(0.01):
                found = await receiver.wait_changed()
            self.assertEqual(found.instance, "i-1")

        self.run_scenario(scenario)

    def test_suspect_without_an_upstream_does_not_spin(self):
        """Connection attempts in flight may still fail once the upstream has ended."""

        async def scenario(receiver):
            receiver._wakeup = CountedEvent()
            await asyncio.sleep(3.0)
            receiver.suspect()
            await asyncio.sleep(1.0)

        self.run_scenario(scenario)

    def test_health_check_that_does_not_answer_is_not_asked_without_end(self):
        """A late heartbeat of an ended process is the last of it."""

        async def scenario(receiver):
            await self.send(receiver, "i-1", build_heartbeat())
            await asyncio.sleep(30.0)
            self.assertLess(self.checks, 12)

        self.run_scenario(scenario)

    def test_deregistration_without_a_draining_heartbeat(self):
        """A deregistration counts as a request to drain."""

        async def scenario(receiver):
            await self.start(receiver, "i-1")
            await self.send(receiver, "i-1", b"", "deregister")
            self.assertTrue((await receiver.wait_changed()).leaving)

        self.run_scenario(scenario)

    def test_invalid_calls_are_refused(self):
        """They get an error status and announce no upstream."""

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


ODD_TEXT = "\ud800"
ODD_HEARTBEATS = (
    json.dumps({**build_heartbeat(), "More": "x" * 20_000}).encode(),
    b"[" * 100_000,
    b'{"Info":' * 100_000 + b"0" + b"}" * 100_000,
    b'{"Address":"10.0.0.1:80","Info":{"Service":"desk","CapacitySlots":1},'
    b'"Status":{"State":"ready","Seq":' + b"9" * 5000 + b"}}",
    b'{"Address":"10.0.0.1:80","Info":{"Service":"desk","CapacitySlots":1e999},'
    b'"Status":{"State":"ready","Seq":1}}',
    b'{"Address":"10.0.0.1:80","Address":7,"Info":{"Service":"desk",'
    b'"CapacitySlots":1},"Status":{"State":"ready","Seq":1}}',
    build_heartbeat(slots=10**30),
    build_heartbeat(slots=float("inf")),
    {**build_heartbeat(), "Address": ODD_TEXT},
    {**build_heartbeat(), ODD_TEXT: ODD_TEXT, "Status": ODD_TEXT},
    *(
        {**build_heartbeat(), "Address": address}
        for address in (
            "",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:-1",
            "10.0.0.1:65536",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1:port",
            "10.0.0.1:\uff11\uff12",
            "upstream:80",
            "10.0.0.1\0:80",
        )
    ),
)


async def name_first(address, path):
    """Answer a health check as the first upstream."""
    return Identity(instance="i-1", is_ready=True)


class OddHeartbeatTests(unittest.IsolatedAsyncioTestCase):
    """A writer that is no upstream, or a faulty one, sends odd heartbeats."""

    async def test_odd_heartbeat_is_refused_and_the_next_one_accepted(self):
        """None names an upstream, and the task that watches it goes on."""
        receiver = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=0.01,
            service="desk",
            address="127.0.0.1:9",
            find_health_path=lambda: "/health",
            check=name_first,
        )
        watcher = asyncio.ensure_future(receiver.watch())
        self.addCleanup(watcher.cancel)
        accepted = {}
        for number, document in enumerate(ODD_HEARTBEATS):
            is_raw = isinstance(document, bytes)
            data = document if is_raw else json.dumps(document).encode()
            request = Request(
                method=b"POST",
                target=b"/instances/i-odd/heartbeat",
                body=BytesBody(data=data),
            )
            status = (await receiver.handle(request)).status
            if status != 400 or not receiver._updates.empty():
                accepted[number] = status, data[:80]
        self.assertEqual(accepted, {})
        request = Request(
            method=b"POST",
            target=b"/instances/i-1/heartbeat",
            body=BytesBody(data=json.dumps(build_heartbeat()).encode()),
        )
        self.assertEqual((await receiver.handle(request)).status, 200)
        self.assertEqual((await receiver.wait_changed()).instance, "i-1")
        await asyncio.sleep(0.1)
        self.assertFalse(watcher.done())


class RestartTests(unittest.IsolatedAsyncioTestCase):
    """An upstream that restarts with the same instance id."""

    async def asyncSetUp(self):
        self.upstream = PlatformUpstream(instance="i-1", service="desk", place="east")
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.upstream.load = b""
        self.receiver = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=0.87,
            service="desk",
            address=self.upstream.address,
            find_health_path=lambda: "/health",
        )
        watcher = asyncio.ensure_future(self.receiver.watch())
        self.addCleanup(watcher.cancel)

    async def send(self, seq):
        """Send a heartbeat."""
        document = {**build_heartbeat(seq=seq), "Address": self.upstream.address}
        request = Request(
            method=b"POST",
            target=b"/instances/i-1/heartbeat",
            body=BytesBody(data=json.dumps(document).encode()),
        )
        await self.receiver.handle(request)

    async def wait_changed(self):
        """Return the next update."""
        return await asyncio.wait_for(self.receiver.wait_changed(), timeout=5.0)

    async def end_abruptly(self):
        """End an upstream that sent many heartbeats, without a deregistration."""
        await self.send(57)
        self.assertEqual((await self.wait_changed()).instance, "i-1")
        self.upstream.crash()
        await asyncio.sleep(0.1)
        self.receiver.suspect()
        self.assertEqual(await self.wait_changed(), UpstreamGone(is_certain=True))

    async def test_restarted_upstream_is_announced_again(self):
        """Its sequence numbers start at one again; the health check confirms its id."""
        self.upstream.down_s = 0.5
        await self.end_abruptly()
        await asyncio.sleep(0.6)
        self.upstream.instance = "i-1"
        await self.send(1)
        await asyncio.sleep(0.2)
        await self.send(2)
        found = await self.wait_changed()
        self.assertEqual((found.instance, found.leaving), ("i-1", False))

    async def test_late_heartbeat_of_an_ended_process_is_ignored(self):
        """No process listens at the address: the heartbeat was delayed."""
        self.upstream.down_s = 60.0
        await self.end_abruptly()
        await self.send(56)
        await self.send(58)
        await asyncio.sleep(1.0)
        self.assertTrue(self.receiver._updates.empty())


class DiscoveryTests(unittest.IsolatedAsyncioTestCase):
    """An upstream that was running before this node started."""

    async def start(self, *, draining=False, load=b"0,0,8"):
        """Return a receiver that watches a running upstream."""
        upstream = PlatformUpstream(instance="i-7", service="desk", place="east")
        upstream.healthy = not draining
        upstream.load = load
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        self.address = upstream.address
        receiver = HeartbeatReceiver(
            metrics=Metrics(),
            interval_s=0.87,
            service="desk",
            address=self.address,
            find_health_path=lambda: "/health",
        )
        watcher = asyncio.ensure_future(receiver.watch())
        self.addCleanup(watcher.cancel)
        return receiver

    async def test_running_upstream_is_discovered(self):
        """It is announced before its next heartbeat."""
        receiver = await self.start()
        found = await asyncio.wait_for(receiver.wait_changed(), timeout=0.5)
        self.assertEqual((found.instance, found.slots), ("i-7", 8))

    async def test_slots_are_read_beside_the_speed_of_the_machine(self):
        """Upstreams that share their machines with others report a fourth figure."""
        receiver = await self.start(load=b"3,0,8,150")
        found = await asyncio.wait_for(receiver.wait_changed(), timeout=0.5)
        self.assertEqual(found.slots, 8)

    async def test_upstream_with_a_malformed_load_is_not_announced(self):
        """Its next heartbeat tells its slots."""
        for load in (b"", b"8", b"0,0,x", b"0,0,0"):
            receiver = await self.start(load=load)
            await asyncio.sleep(0.3)
            self.assertTrue(receiver._updates.empty(), load)

    async def test_draining_upstream_is_not_announced(self):
        """Its health check reports that it is not available."""
        receiver = await self.start(draining=True)
        await asyncio.sleep(0.3)
        self.assertTrue(receiver._updates.empty())

    async def send_late(self, receiver, instance, address):
        """Deliver a heartbeat that was sent before this node started."""
        document = build_heartbeat(seq=40, address=address)
        request = Request(
            method=b"POST",
            target=f"/instances/{instance}/heartbeat".encode(),
            body=BytesBody(data=json.dumps(document).encode()),
        )
        await receiver.handle(request)

    async def test_late_heartbeat_does_not_put_a_leaving_upstream_into_service(self):
        """It has deregistered at the process that was killed."""
        receiver = await self.start(draining=True)
        await asyncio.sleep(0.3)
        await self.send_late(receiver, "i-7", self.address)
        await asyncio.sleep(0.5)
        self.assertTrue(receiver._updates.empty())

    async def test_late_heartbeat_of_another_lifetime_does_not_take_its_place(self):
        """All nodes have lost power, and all upstreams run in new lifetimes."""
        receiver = await self.start()
        first = await asyncio.wait_for(receiver.wait_changed(), timeout=0.5)
        self.assertEqual(first.instance, "i-7")
        await self.send_late(receiver, "i-6", first.address)
        await asyncio.sleep(0.5)
        self.assertTrue(receiver._updates.empty())
