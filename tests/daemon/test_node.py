"""Tests of papayatack.daemon.node: one node as a whole, on loopback."""

import asyncio
import json
import pathlib
import time
import unittest
import unittest.mock

from papayatack.daemon.node import Ending, Node
from papayatack.daemon.settings import parse_settings
from standins.fleet import call, pick_ports
from standins.logservice import LogServer, LogStore
from standins.upstream import UpstreamStandin

EXAMPLE = pathlib.Path(__file__).resolve().parents[2] / "examples" / "barranquilla"
SETTINGS = """
[node]
data_centre = baq-norte
region = barranquilla
[listen]
callers = 127.0.0.1:{callers}
peers = 127.0.0.1:{peers}
operators = 127.0.0.1:{operators}
upstream = 127.0.0.1:{desk}
readiness = 127.0.0.1:{readiness}
[log]
address = 127.0.0.1:{log}
"""
SHORT_STOP = """
[limits]
drain_notice_s = {notice_s}
drain_timeout_s = {timeout_s}
"""
LIMIT_S = 30.0
POLL_S = 0.02
NOTICE_S = 0.4
DRAIN_S = 1.2
EXIT_S = 0.8
"""What is left of the time for a stop once the last callers have their answers."""

LONG_WORK_MS = 8_000
STALL_S = 0.8


class NodeTestCase(unittest.IsolatedAsyncioTestCase):
    """A lone node with its upstream and a log."""

    limits = ""

    async def asyncSetUp(self):
        names = ("callers", "peers", "operators", "desk", "readiness")
        self.ports = dict(zip(names, pick_ports(len(names)), strict=True))
        self.log = LogServer(store=LogStore(), port=0)
        await self.log.start()
        self.addAsyncCleanup(self.log.stop)
        self.upstream = UpstreamStandin()
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop, timeout_s=0.0)
        self.start_node()
        self.addAsyncCleanup(self.end)

    def start_node(self):
        """Start the node."""
        text = SETTINGS.format(log=self.log.port, **self.ports) + self.limits
        self.node = Node(settings=parse_settings(text))
        self.running = asyncio.ensure_future(self.node.run())

    async def end(self):
        """Drain the node; return how it ended."""
        self.node.start_drain()
        async with asyncio.timeout(LIMIT_S):
            return await self.running

    async def ask(self, port, target, *, method="GET", document=None):
        """Return the status and the document of an answer."""
        body = b"" if document is None else json.dumps(document).encode()
        status, answer = await call(
            self.ports[port], target, method=method, body=body, timeout_s=LIMIT_S
        )
        text = answer.partition(b"\r\n\r\n")[2]
        try:
            return status, json.loads(text)
        except ValueError:
            return status, text

    async def wait_for(self, port, target, condition):
        """Ask until the answer meets the condition; return it."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                status, document = await self.ask(port, target)
                if status and condition(status, document):
                    return document
                await asyncio.sleep(POLL_S)

    async def announce(self):
        """Let the upstream announce itself, and wait until the node serves."""
        await self.wait_for("operators", "/metrics", lambda status, _: status == 200)
        await self.upstream.announce(f"127.0.0.1:{self.ports['desk']}")
        await self.wait_for(
            "operators",
            "/status",
            lambda status, document: status == 200 and document["state"] == "serving",
        )

    async def publish(self, *, base_version=0, record_id="first", inventory=None):
        """Publish the example; return status and document."""
        inventory = inventory or (EXAMPLE / "inventory.toml").read_text("utf-8")
        document = {
            "record_id": record_id,
            "base_version": base_version,
            "inventory": inventory,
            "rules": (EXAMPLE / "rules.toml").read_text("utf-8"),
        }
        return await self.ask("operators", "/publish", method="POST", document=document)


class NodeTests(NodeTestCase):
    """The life of the node."""

    async def test_request_is_served_and_drain_ends_the_node(self):
        """An announced upstream serves a published key until the drain ends it."""
        await self.announce()
        status, document = await self.publish()
        self.assertEqual((status, document["version"]), (200, 1))
        target = "/hiring/vacancies/v-00001"
        await self.wait_for("callers", target, lambda status, _: status == 200)
        _, explained = await self.ask(
            "operators", "/explain?service=hiring&key=v-00001"
        )
        self.assertEqual(explained["address"], f"127.0.0.1:{self.ports['peers']}")
        self.assertIs(await self.end(), Ending.DRAINED)

    async def test_publications_are_judged(self):
        """A conflict, an invalid document and a repeated id each get their answer."""
        await self.announce()
        await self.publish()
        status, document = await self.publish(record_id="first")
        self.assertEqual((status, document["result"]), (200, "accepted"))
        status, document = await self.publish(record_id="second")
        self.assertEqual((status, document["result"]), (409, "conflict"))
        status, document = await self.publish(
            record_id="third", base_version=1, inventory="services = 3"
        )
        self.assertEqual((status, document["result"]), (422, "invalid"))
        self.assertTrue(document["faults"])
        _, config = await self.ask("operators", "/config")
        self.assertEqual(config["version"], 1)

    async def test_log_outage_refuses_publications_and_is_shown(self):
        """Without the log a publication is refused or unknown, never accepted."""
        await self.announce()
        document = {"outage": "refuse"}
        await call(
            self.log.port, "/control", method="POST", body=json.dumps(document).encode()
        )
        timeout = "papayatack.daemon.publication.PUBLISH_TIMEOUT_S"
        with unittest.mock.patch(timeout, 1.0):
            status, answer = await self.publish()
        self.assertEqual(status, 503)
        self.assertIn(answer["result"], ("refused", "unknown"))
        await self.wait_for(
            "operators", "/status", lambda _, document: not document["log_reachable"]
        )

    async def test_bad_input_gets_clear_errors(self):
        """Malformed calls of both own endpoints are answered, and change nothing."""
        await self.wait_for("operators", "/metrics", lambda status, _: status == 200)
        status, _ = await self.ask("desk", "/announce", method="POST", document={})
        self.assertEqual(status, 422)
        joined = await self.wait_for(
            "operators", "/status", lambda status, _: status == 200
        )
        self.assertEqual((joined["service"], joined["shards_owned"]), ("", 0))
        status, _ = await self.ask("operators", "/nothing")
        self.assertEqual(status, 404)
        await self.announce()
        for target in ("/publish", "/declare-lost"):
            with self.subTest(target=target):
                status, document = await self.ask(
                    "operators", target, method="POST", document=[1]
                )
                self.assertEqual((status, document["result"]), (422, "invalid"))
        status, _ = await self.ask(
            "operators",
            "/declare-lost",
            method="POST",
            document={"incarnations": ["nobody"]},
        )
        self.assertEqual(status, 409)
        status, _ = await self.ask("operators", "/explain?service=none&key=k")
        self.assertEqual(status, 404)

    async def test_failed_task_ends_the_node(self):
        """A node whose control tasks fail does not stay on without them."""
        await self.announce()
        control = "papayatack.core.ownership.node.NodeCore.advance"
        with (
            unittest.mock.patch(control, side_effect=ValueError("broken")),
            self.assertLogs("papayatack.daemon.node", "ERROR") as logs,
        ):
            async with asyncio.timeout(LIMIT_S):
                ending = await self.running
        self.assertIs(ending, Ending.FAILED)
        self.assertIn("DAEMON_FAILED", logs.output[0])

    async def test_drain_while_the_log_does_not_answer_ends_the_node(self):
        """A node that loads its state does not wait for the end of the attempt."""
        started = asyncio.Event()

        async def hang(**kwargs):
            started.set()
            await asyncio.get_running_loop().create_future()

        load = "papayatack.daemon.environment.StandaloneEnvironment.load"
        await self.end()
        with unittest.mock.patch(load, side_effect=hang):
            self.start_node()
            async with asyncio.timeout(LIMIT_S):
                await started.wait()
            self.node.start_drain()
            async with asyncio.timeout(1.0):
                self.assertIs(await self.running, Ending.DRAINED)

    async def test_drain_before_the_upstream_announces(self):
        """A node that never served ends at once."""
        self.assertIs(await self.end(), Ending.DRAINED)


class StopTests(NodeTestCase):
    """A stop whose end comes before that of the work in flight."""

    limits = SHORT_STOP.format(notice_s=NOTICE_S, timeout_s=DRAIN_S)

    async def asyncSetUp(self):
        """Have a key served."""
        await super().asyncSetUp()
        await self.announce()
        await self.publish()
        target = "/hiring/vacancies/v-00001"
        await self.wait_for("callers", target, lambda status, _: status == 200)

    async def send(self, *, delay_s=0.0):
        """Send a request with long work; return its answer and when it ended."""
        await asyncio.sleep(delay_s)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports["callers"]
        )
        target = f"/hiring/vacancies/v-00001/acceptances?sleep_ms={LONG_WORK_MS}"
        writer.write(
            f"POST {target} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
            "Papayatack-Deadline-Ms: 9700\r\n\r\n".encode()
        )
        try:
            return await reader.read(), asyncio.get_running_loop().time()
        finally:
            writer.close()

    async def test_request_at_work_at_the_end_of_a_stop_is_answered_not_reset(self):
        """Sent before the stop or within its notice."""
        loop = asyncio.get_running_loop()
        early = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.2)
        late = asyncio.ensure_future(self.send(delay_s=NOTICE_S / 2))
        started_s = loop.time()
        ending = asyncio.ensure_future(self.end())
        for answer, ended_s in await asyncio.gather(early, late):
            self.assertIn(b"HTTP/1.1 504", answer)
            self.assertIn(b"papayatack-outcome: unknown", answer)
            self.assertIn(b"connection: close", answer)
            self.assertTrue(answer.endswith(b"}\n"))
            self.assertGreaterEqual(ended_s - started_s, NOTICE_S + DRAIN_S - 0.1)
        await ending
        self.assertLess(loop.time() - started_s, NOTICE_S + DRAIN_S + EXIT_S)

    async def test_node_that_stalls_at_the_end_of_a_stop_answers_before_it_closes(self):
        """The times of the answer and of the close pass within one turn of the loop."""
        loop = asyncio.get_running_loop()
        asked = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.2)
        stall_s = loop.time() + NOTICE_S + DRAIN_S - 0.1
        loop.call_at(stall_s, time.sleep, STALL_S)
        ending = asyncio.ensure_future(self.end())
        answer, _ = await asked
        self.assertIn(b"HTTP/1.1 504", answer)
        await ending

    async def accepts_callers(self):
        """Return whether a new connection is accepted."""
        try:
            _, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["callers"]
            )
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    async def test_node_that_fails_with_work_in_flight_is_not_ready(self):
        """It takes no new connections while it waits for the work to end."""
        asked = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.2)
        self.assertEqual((await self.ask("readiness", "/readiness"))[0], 200)
        control = "papayatack.core.ownership.node.NodeCore.advance"
        with unittest.mock.patch(control, side_effect=ValueError("broken")):
            while await self.accepts_callers():
                await asyncio.sleep(POLL_S)
        self.assertEqual((await self.ask("readiness", "/readiness"))[0], 503)
        await asked
        self.assertIs(await self.running, Ending.FAILED)

    async def test_caller_that_comes_after_the_notice_is_not_held(self):
        """It is refused as not run, or finds nobody listening."""
        loop = asyncio.get_running_loop()
        early = asyncio.ensure_future(self.send())
        await asyncio.sleep(0.2)
        started_s = loop.time()
        ending = asyncio.ensure_future(self.end())
        await asyncio.sleep(NOTICE_S + DRAIN_S * 0.75)
        asked_s = loop.time()
        try:
            answer, _ = await self.send()
            self.assertIn(b"HTTP/1.1 503", answer)
        except ConnectionRefusedError:
            pass
        self.assertLess(loop.time() - asked_s, 0.2)
        await early
        await ending
        self.assertLess(loop.time() - started_s, NOTICE_S + DRAIN_S + EXIT_S)
