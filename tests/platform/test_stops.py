"""Planned stops of real processes while upstreams are at work."""

import asyncio
import json
import signal

from standins.fleet import call
from tests.platform.documents import build_manifest
from tests.platform.test_process import GRACE_S, ProcessTestCase

WORK_S = 2.2
"""Work of a request, shorter than what is left of any grant when it begins."""

DEADLINE_MS = 5_500
QUIET_S = 1.5
"""Longer than a connection of nodes may be silent."""

PAUSE_S = 2.0
AFTER_LEAVE_S = 5.0
SERVES_ON_S = 3.0
"""For how long an upstream that leaves goes on with what it has."""

LEAST_KEYS = 3
KEYS = range(200, 65_536, 4_096)


class StopTestCase(ProcessTestCase):
    """Requests whose work takes a while."""

    async def begin(self):
        """Put the manifest in force, wait until all is quiet, and make work long."""
        routes = json.loads(build_manifest())["Routes"]
        for route in routes.values():
            route |= {"Timeout": "6000ms", "TargetLatency": "4000ms"}
        self.store.store.append("keyed.op", b"config", build_manifest(Routes=routes))
        await self.wait_for(self.is_served)
        await self.wait_for(self.is_spread)
        await asyncio.sleep(QUIET_S)
        for machine in self.machines:
            machine.upstream.work_s = WORK_S

    async def is_spread(self):
        """Tell whether each upstream with keys holds enough of them."""
        return all(
            len(self.list_held(machine)) >= LEAST_KEYS for machine in self.machines[:3]
        )

    def list_held(self, machine):
        """Return keys that the upstream of a machine holds."""
        return [key for key in KEYS if machine.upstream.holds(key)]

    def find_keys(self, machine, count):
        """Return so many keys that the upstream of a machine holds."""
        held = self.list_held(machine)
        self.assertGreaterEqual(len(held), count)
        return held[:count]

    def ask_later(self, machine, key, *, after_s=0.0):
        """Open a connection now and send a request on it later; return the task."""
        return asyncio.ensure_future(self._ask(machine, key, after_s))

    async def _ask(self, machine, key, after_s):
        """Return the answer's status, or how the connection ended without one."""
        request_id = f"work-{machine.upstream.instance}-{key}-{after_s}"
        lines = (
            "GET /orders/1 HTTP/1.1",
            "Host: shop.example",
            f"Papayatack-Request-Id: {request_id}",
            f"Papayatack-Deadline-Ms: {DEADLINE_MS}",
            f"Papayatack-Shard-Key: {key}",
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", machine.ports["callers"]
        )
        await asyncio.sleep(after_s)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError) as error:
            return repr(error)
        finally:
            writer.close()
        return int(head.split()[1])

    async def wait_runs(self, machine, count):
        """Wait until an upstream runs so many of the requests."""

        async def has_begun():
            runs = [item for item in machine.upstream.runs if item.startswith("work-")]
            return len(runs) >= count

        await self.wait_for(has_begun)

    async def check_all_served(self, asked):
        """Each request got its upstream's answer; else show why not."""
        statuses = await asyncio.gather(*asked)
        self.assertEqual(statuses, [200] * len(asked), self.list_reasons())

    def list_reasons(self):
        """Return what the nodes logged of requests that failed."""
        names = ("REQUEST_REFUSED", "ATTEMPT_FAILED", "RUN_CUT", "PEER_LINK_LOST")
        return "\n".join(
            f"{machine.upstream.instance}: {line}"
            for machine in self.machines
            for line in machine.read_lines()
            if line["message"] in names or line["message"].startswith("UPSTREAM_")
        )

    async def wait_ended(self, *machines):
        """Nodes that were told to stop end in time."""
        async with asyncio.timeout(GRACE_S):
            for machine in machines:
                self.assertEqual(await machine.process.wait(), 0)


class StopTests(StopTestCase):
    """Whatever is at work when a node is stopped is waited for."""

    async def test_request_of_a_stopping_node_is_not_cut_at_another_nodes_upstream(
        self,
    ):
        """Though little else passes between the nodes meanwhile."""
        await self.begin()
        *owners, stopped = self.machines
        asked = [
            self.ask_later(stopped, *self.find_keys(owner, 1), after_s=1.1)
            for owner in owners
        ]
        stopped.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.wait_ended(stopped)

    async def test_request_of_a_stopping_node_outlasts_a_pause_of_the_owners_node(
        self,
    ):
        """The node is slow, and its upstream at work all the while."""
        await self.begin()
        owner, _, _, stopped = self.machines
        asked = self.ask_later(stopped, *self.find_keys(owner, 1))
        await self.wait_runs(owner, 1)
        stopped.process.send_signal(signal.SIGTERM)
        owner.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        owner.process.send_signal(signal.SIGCONT)
        await self.check_all_served([asked])
        await self.wait_ended(stopped)

    async def test_requests_at_a_stopping_nodes_upstream_are_not_cut(self):
        """Its own callers' and those of other nodes."""
        await self.begin()
        stopped, other, _, papers = self.machines
        asked = [
            self.ask_later(machine, key)
            for machine, key in zip(
                (stopped, other, papers), self.find_keys(stopped, 3), strict=True
            )
        ]
        await self.wait_runs(stopped, len(asked))
        stopped.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.wait_ended(stopped)

    async def test_request_between_two_stopping_nodes_is_not_cut(self):
        """It is at work through one of them for a caller of the other."""
        await self.begin()
        first, second, _ = self.machines[:3]
        asked = [
            *(self.ask_later(first, key) for key in self.find_keys(second, 2)),
            *(self.ask_later(second, key) for key in self.find_keys(first, 2)),
        ]
        await self.wait_runs(first, 2)
        await self.wait_runs(second, 2)
        for machine in (first, second):
            machine.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.wait_ended(first, second)

    async def test_scale_in_cuts_no_work(self):
        """The upstream leaves with work under way, and its node is stopped later."""
        await self.begin()
        leaving, other, third, _ = self.machines
        keys = self.find_keys(leaving, 2)
        asked = [self.ask_later(leaving, keys[0]), self.ask_later(other, keys[1])]
        await self.wait_runs(leaving, len(asked))
        await self.leave(leaving)
        asked += [
            self.ask_later(machine, key, after_s=after_s)
            for after_s in (AFTER_LEAVE_S - 0.3, AFTER_LEAVE_S + 0.5)
            for machine, key in ((leaving, KEYS[1]), (other, keys[0]))
        ]
        await asyncio.sleep(AFTER_LEAVE_S)
        leaving.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.wait_ended(leaving)

    async def leave(self, machine):
        """Let an upstream say that it leaves, and end once it has served on."""
        machine.stop_reports()
        await machine.upstream.send_heartbeat(machine.ports["desk"], "draining")
        asyncio.get_running_loop().call_later(
            SERVES_ON_S, lambda: asyncio.ensure_future(self._end(machine))
        )

    async def _end(self, machine):
        path = f"/instances/{machine.upstream.instance}/deregister"
        await call(machine.ports["desk"], path, method="POST", body=b"")
        await machine.upstream.stop()
