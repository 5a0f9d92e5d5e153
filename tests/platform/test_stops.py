"""Tests of graceful shutdown of real processes with requests running."""

import asyncio
import json
import signal

from standins.fleet import call
from tests.platform.documents import build_manifest
from tests.platform.test_process import GRACE_S, ProcessTestCase

WORK_S = 2.2
"""Duration of a request, shorter than the time left of any grant when it starts."""

DEADLINE_MS = 5_500
IDLE_S = 1.5
"""Longer than a connection between nodes may be idle."""

PAUSE_S = 2.0
AFTER_LEAVE_S = 5.0
LEAVING_UPSTREAM_S = 3.0
"""Time for which a leaving upstream continues to serve."""

MIN_KEYS = 3
KEYS = range(200, 65_536, 4_096)


class StopTestCase(ProcessTestCase):
    """Nodes that serve long requests."""

    async def begin(self):
        """Publish the manifest, wait until keys are placed, and make requests long."""
        routes = json.loads(build_manifest())["Routes"]
        for route in routes.values():
            route |= {"Timeout": "6000ms", "TargetLatency": "4000ms"}
        self.store.store.append("keyed.op", b"config", build_manifest(Routes=routes))
        await self.wait_for(self.is_served)
        await self.wait_for(self.is_spread)
        await asyncio.sleep(IDLE_S)
        for machine in self.machines:
            machine.upstream.work_s = WORK_S

    async def is_spread(self):
        """Return whether each upstream of the sharded service holds enough keys."""
        return all(
            len(self.list_held(machine)) >= MIN_KEYS for machine in self.machines[:3]
        )

    def list_held(self, machine):
        """Return the keys that the upstream of a machine holds."""
        return [key for key in KEYS if machine.upstream.holds(key)]

    def find_keys(self, machine, count):
        """Return a number of keys that the upstream of a machine holds."""
        held = self.list_held(machine)
        self.assertGreaterEqual(len(held), count)
        return held[:count]

    def ask_later(self, machine, key, *, after_s=0.0):
        """Open a connection and send a request on it after a delay; return the task."""
        return asyncio.ensure_future(self._ask(machine, key, after_s))

    async def _ask(self, machine, key, after_s):
        """Return the status of the response, or the error that ended the connection."""
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

    async def wait_for_runs(self, machine, count):
        """Wait until an upstream runs a number of the requests."""

        async def has_begun():
            runs = [item for item in machine.upstream.runs if item.startswith("work-")]
            return len(runs) >= count

        await self.wait_for(has_begun)

    async def check_all_served(self, asked):
        """Check that each request succeeded; show the reasons if one did not."""
        statuses = await asyncio.gather(*asked)
        self.assertEqual(statuses, [200] * len(asked), self.list_reasons())

    def list_reasons(self):
        """Return the log lines of all nodes about failed requests."""
        names = ("REQUEST_REFUSED", "ATTEMPT_FAILED", "RUN_CUT", "PEER_LINK_LOST")
        return "\n".join(
            f"{machine.upstream.instance}: {line}"
            for machine in self.machines
            for line in machine.read_lines()
            if line["message"] in names or line["message"].startswith("UPSTREAM_")
        )

    async def check_exit(self, *machines):
        """Check that stopping nodes exit within the grace period."""
        async with asyncio.timeout(GRACE_S):
            for machine in machines:
                self.assertEqual(await machine.process.wait(), 0)


class StopTests(StopTestCase):
    """Shutdown waits for all running requests."""

    async def test_request_of_a_stopping_node_is_not_cut_at_another_nodes_upstream(
        self,
    ):
        """The connection between the nodes is nearly idle in the meantime."""
        await self.begin()
        *owners, stopped = self.machines
        asked = [
            self.ask_later(stopped, *self.find_keys(owner, 1), after_s=1.1)
            for owner in owners
        ]
        stopped.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.check_exit(stopped)

    async def test_request_of_a_stopping_node_outlasts_a_pause_of_the_owners_node(
        self,
    ):
        """The owner's node is suspended while its upstream runs the request."""
        await self.begin()
        owner, _, _, stopped = self.machines
        asked = self.ask_later(stopped, *self.find_keys(owner, 1))
        await self.wait_for_runs(owner, 1)
        stopped.process.send_signal(signal.SIGTERM)
        owner.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        owner.process.send_signal(signal.SIGCONT)
        await self.check_all_served([asked])
        await self.check_exit(stopped)

    async def test_requests_at_a_stopping_nodes_upstream_are_not_cut(self):
        """Requests of its own callers and of callers of other nodes."""
        await self.begin()
        stopped, other, _, papers = self.machines
        asked = [
            self.ask_later(machine, key)
            for machine, key in zip(
                (stopped, other, papers), self.find_keys(stopped, 3), strict=True
            )
        ]
        await self.wait_for_runs(stopped, len(asked))
        stopped.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.check_exit(stopped)

    async def test_request_between_two_stopping_nodes_is_not_cut(self):
        """The upstream of one node runs a request for a caller of the other."""
        await self.begin()
        first, second, _ = self.machines[:3]
        asked = [
            *(self.ask_later(first, key) for key in self.find_keys(second, 2)),
            *(self.ask_later(second, key) for key in self.find_keys(first, 2)),
        ]
        await self.wait_for_runs(first, 2)
        await self.wait_for_runs(second, 2)
        for machine in (first, second):
            machine.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.check_exit(first, second)

    async def test_scale_in_cuts_no_requests(self):
        """The upstream leaves while requests run, and its node is stopped later."""
        await self.begin()
        leaving, other, third, _ = self.machines
        keys = self.find_keys(leaving, 2)
        asked = [self.ask_later(leaving, keys[0]), self.ask_later(other, keys[1])]
        await self.wait_for_runs(leaving, len(asked))
        await self.leave(leaving)
        asked += [
            self.ask_later(machine, key, after_s=after_s)
            for after_s in (AFTER_LEAVE_S - 0.3, AFTER_LEAVE_S + 0.5)
            for machine, key in ((leaving, KEYS[1]), (other, keys[0]))
        ]
        await asyncio.sleep(AFTER_LEAVE_S)
        leaving.process.send_signal(signal.SIGTERM)
        await self.check_all_served(asked)
        await self.check_exit(leaving)

    async def leave(self, machine):
        """Have an upstream announce that it drains, and end it after a while."""
        machine.stop_reports()
        await machine.upstream.send_heartbeat(machine.ports["desk"], "draining")
        asyncio.get_running_loop().call_later(
            LEAVING_UPSTREAM_S, lambda: asyncio.ensure_future(self._end(machine))
        )

    async def _end(self, machine):
        path = f"/instances/{machine.upstream.instance}/deregister"
        await call(machine.ports["desk"], path, method="POST", body=b"")
        await machine.upstream.stop()
