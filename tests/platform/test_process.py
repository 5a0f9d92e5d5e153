"""Tests of real processes with the platform's store, upstreams and callers."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from standins.fleet import call, pick_ports
from standins.platformstore import StoreServer
from standins.platformupstream import PlatformUpstream
from tests.platform.documents import build_manifest

LIMIT_S = 40.0
POLL_S = 0.05
REQUEST_S = 2.0
LONG_WORK_S = 1.2
GRACE_S = 6.0
WORK_S = 1.9
"""Processing time of a request, shorter than the target latency of its route."""

APART_S = 0.07
SLICE_KEYS = 128
SETTINGS = """
[node]
name = {name}
data_centre = {place}
region = r
[listen]
callers = 127.0.0.1:{callers}
upstream = 127.0.0.1:{desk}
readiness = 127.0.0.1:{readiness}
peers = 127.0.0.1:{peers}
operators = 127.0.0.1:{operators}
[upstream]
service = {service}
address = {upstream}
heartbeat = 300ms
[store]
address = 127.0.0.1:{store}
keep = 20s
[bounds]
drain = 2000ms
grace = 6s
cold_overrun = 1.5
cold_slack = 8
[places]
east = r
west = r
south = r
"""
PORT_NAMES = ("callers", "desk", "readiness", "peers", "operators")


class Machine:
    """A node process and its upstream."""

    def __init__(self, *, folder, place, service, store_port, number):
        self.ports = dict(zip(PORT_NAMES, pick_ports(len(PORT_NAMES)), strict=True))
        self.upstream = PlatformUpstream(
            instance=f"i-{number}", service=service, place=place
        )
        self._path = pathlib.Path(folder) / f"{number}.ini"
        self._lines = pathlib.Path(folder) / f"{number}.log"
        self._place = place
        self._store_port = store_port
        self.process = None
        self._heartbeats = None

    async def start(self):
        """Start the upstream and the node."""
        await self.upstream.start()
        text = SETTINGS.format(
            name=self.upstream.instance,
            place=self._place,
            service=self.upstream.service,
            upstream=self.upstream.address,
            store=self._store_port,
            **self.ports,
        )
        self._path.write_text(text, "utf-8")
        await self.start_node()
        self._heartbeats = asyncio.ensure_future(self._report())

    async def start_node(self):
        """Start the node only."""
        with self._lines.open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "papayatack.platform.main",
                env={**os.environ, "PAPAYATACK_BOOT": str(self._path)},
                stdout=lines,
            )

    def read_lines(self):
        """Return the parsed log lines of the node."""
        text = self._lines.read_text("utf-8")
        return [json.loads(line) for line in text.splitlines()]

    async def _report(self):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self.upstream.report(self.ports["desk"])
            await asyncio.sleep(POLL_S)

    def stop_reports(self):
        """Stop the heartbeats of the upstream."""
        self._heartbeats.cancel()

    async def stop(self):
        """Stop the node and the upstream."""
        self.stop_reports()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.upstream.stop()

    async def ask(
        self,
        path,
        *,
        key=None,
        request_id="r",
        host="shop.example",
        deadline_ms=1500,
        limit_s=REQUEST_S,
    ):
        """Send a request; return the status, head and body of the response."""
        fields = [
            f"Host: {host}",
            f"Papayatack-Request-Id: {request_id}",
            f"Papayatack-Deadline-Ms: {deadline_ms}",
        ]
        if key is not None:
            fields.append(f"Papayatack-Shard-Key: {key}")
        lines = "\r\n".join((f"GET {path} HTTP/1.1", *fields, "Connection: close"))
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["callers"]
            )
            writer.write(lines.encode() + b"\r\n\r\n")
            answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), head.decode().lower(), body.decode()


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes of a sharded service and one of an unsharded service.

    Attributes:
        layout: Data centre and service of each node.
        machine_type: Class of the machines.
    """

    layout = (("east", "desk"), ("west", "desk"), ("south", "desk"), ("east", "papers"))
    machine_type = Machine

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = StoreServer()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.machines = []
        for number, (place, service) in enumerate(self.layout):
            machine = self.machine_type(
                folder=self.folder.name,
                place=place,
                service=service,
                store_port=self.store.port,
                number=number,
            )
            self.machines.append(machine)
            await machine.start()
            self.addAsyncCleanup(machine.stop)

    async def wait_for(self, condition):
        """Wait until an asynchronous condition holds; return its value."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(OSError, TimeoutError, IndexError):
                    found = await condition()
                    if found:
                        return found
                await asyncio.sleep(POLL_S)

    async def is_served(self, *, keys=(0, 30_000, 65_535)):
        """Return whether each running node serves each key."""
        for machine in self.machines:
            if machine.process.returncode is not None:
                continue
            for key in keys:
                status, _, _ = await machine.ask("/orders/1", key=key)
                if status != 200:
                    return False
        return True

    async def holds_keys(self, upstream):
        """Return whether an upstream holds any keys now."""
        return any(upstream.holds(key) for key in range(0, 65_536, SLICE_KEYS))


class ProcessTests(ProcessTestCase):
    """End-to-end behaviour of a small set of nodes."""

    async def test_start_serving_and_shutdown(self):
        """503 without a manifest, then responses, one owner per key, orderly exit."""
        first, *_, papers = self.machines
        status, head, _ = await self.wait_for(lambda: first.ask("/orders/1", key=1))
        self.assertEqual(status, 503)
        self.assertIn("retry-after:", head)
        self.store.store.append("keyed.op", b"config", build_manifest())
        await self.wait_for(self.is_served)
        await self.check_answers(first)
        await self.check_owners()
        await self.check_stop(papers)

    async def check_answers(self, machine):
        """The upstream's signed response is complete; unknown routes get 404."""
        status, head, body = await machine.ask("/orders/1", key=7, request_id="own-id")
        self.assertEqual(status, 200)
        self.assertIn("papayatack-response-signature: signed-own-id", head)
        self.assertTrue(body.startswith("i-"))
        status, _, _ = await machine.ask("/orders/1", key=7, host="other.example")
        self.assertEqual(status, 404)
        status, _, _ = await machine.ask("/orders/1", key=70_000)
        self.assertEqual(status, 404)
        status, _ = await call(machine.ports["readiness"], "/readiness")
        self.assertEqual(status, 200)

    async def check_owners(self):
        """Exactly one upstream holds each key, whichever node got the requests."""
        holders = [machine.upstream for machine in self.machines[:3]]
        for key in range(0, 65_536, 1_021):
            held = [upstream.instance for upstream in holders if upstream.holds(key)]
            self.assertEqual(len(held), 1, f"key {key}: {held}")
        callers = set().union(*(upstream.callers for upstream in holders))
        self.assertEqual(callers, {b"desk", b"papers"})

    async def check_stop(self, machine):
        """SIGTERM ends the node in time, and its callers are served until then."""
        machine.process.send_signal(signal.SIGTERM)
        status, _, _ = await machine.ask("/orders/1", key=7)
        self.assertEqual(status, 200)
        status, _ = await call(machine.ports["readiness"], "/readiness")
        self.assertEqual(status, 503)
        async with asyncio.timeout(GRACE_S):
            self.assertEqual(await machine.process.wait(), 0)

    async def test_work_that_ends_within_its_target_is_not_cut_by_its_grant(self):
        """This holds wherever between two renewals the request starts."""
        routes = json.loads(build_manifest())["Routes"]
        routes["orders"] |= {"Timeout": "4000ms", "TargetLatency": "2000ms"}
        self.store.store.append("keyed.op", b"config", build_manifest(Routes=routes))
        await self.wait_for(self.is_served)
        for machine in self.machines:
            machine.upstream.work_s = WORK_S

        async def ask(number):
            await asyncio.sleep(number * APART_S)
            return await self.machines[0].ask(
                "/orders/1",
                key=number * 4_000,
                request_id=f"long-{number}",
                deadline_ms=4_000,
                limit_s=LIMIT_S,
            )

        answers = await asyncio.gather(*(ask(number) for number in range(12)))
        self.assertEqual([status for status, _, _ in answers], [200] * 12)

    async def test_work_of_a_second_outlasts_no_grant(self):
        """A request within its deadline is answered, however long it takes."""
        routes = json.loads(build_manifest())["Routes"]
        routes["orders"]["Timeout"] = "3000ms"
        manifest = build_manifest(Routes=routes)
        self.store.store.append("keyed.op", b"config", manifest)
        await self.wait_for(self.is_served)
        for machine in self.machines:
            machine.upstream.work_s = LONG_WORK_S
        status, _, _ = await self.machines[0].ask("/orders/1", key=7)
        self.assertEqual(status, 200)

    async def test_keys_of_a_killed_node_are_taken_over_and_some_return(self):
        """Other nodes soon serve its keys, and after a restart it serves keys again."""
        self.store.store.append("keyed.op", b"config", build_manifest())
        await self.wait_for(self.is_served)
        victim = self.machines[0]
        victim.process.kill()
        await victim.process.wait()
        await self.wait_for(self.is_served)
        await victim.start_node()
        await self.wait_for(self.is_served)
        await self.wait_for(lambda: self.holds_keys(victim.upstream))
