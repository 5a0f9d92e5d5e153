"""Tests of real processes: the last node that is left is killed beside its upstream."""

import asyncio
import signal

from tests.platform.documents import build_manifest
from tests.platform.test_process import SLICE_KEYS, Machine, ProcessTestCase

KEYS = range(0, 65_536, SLICE_KEYS)
MAX_HOLD_MS = 10_000
MAX_OVERLAP_S = 0.5
WATCHED_S = 9.0
STEP_S = 0.05


class SingleNodeTests(ProcessTestCase):
    """A fleet of one node."""

    layout = (("east", "desk"),)

    async def test_refusals_of_the_upstream_of_a_single_node_end_as_not_run(self):
        """The time that its lease has left is a number in each line that it logs."""
        self.store.store.append("keyed.op", b"config", build_manifest())
        await self.wait_for(self.is_served)
        (machine,) = self.machines
        machine.upstream.grants.clear()
        status, _, _ = await machine.ask("/orders/1", key=7)
        self.assertIn(status, (200, 503))
        await self.wait_for(self.is_served)


class LoneNodeTests(ProcessTestCase):
    """Two nodes, of which one is taken away as planned."""

    layout = (("east", "desk"), ("west", "desk"))

    async def take_away(self, machine):
        """Take a machine away as planned: first the upstream, then the node."""
        machine.stop_reports()
        desk = machine.ports["desk"]
        await machine.upstream.send_heartbeat(desk, "draining")
        await self.wait_for(lambda: self.holds_no_keys(machine.upstream))
        await machine.upstream.stop()
        machine.process.send_signal(signal.SIGTERM)
        await machine.process.wait()

    async def holds_no_keys(self, upstream):
        """Return whether an upstream holds no keys now."""
        return not await self.holds_keys(upstream)

    async def holds_all_keys(self, upstream):
        """Return whether an upstream holds all keys now."""
        return all(upstream.holds(key) for key in KEYS)

    async def add_machine(self):
        """Start another node and its upstream."""
        machine = Machine(
            folder=self.folder.name,
            place="west",
            service="desk",
            store_port=self.store.port,
            number=len(self.machines),
        )
        self.machines.append(machine)
        await machine.start()
        self.addAsyncCleanup(machine.stop)
        return machine

    async def measure_overlap_s(self, first, second):
        """Return the longest time for which two upstreams held the same key."""
        loop = asyncio.get_running_loop()
        since_s, longest_s = {}, 0.0
        end_s = loop.time() + WATCHED_S
        while loop.time() < end_s:
            now = loop.time()
            shared = {key for key in KEYS if first.holds(key) and second.holds(key)}
            since_s = {key: since_s.get(key, now) for key in shared}
            longest_s = max(
                [longest_s, *(now - begun_s for begun_s in since_s.values())]
            )
            await asyncio.sleep(STEP_S)
        return longest_s

    async def test_keys_of_the_last_node_are_not_held_twice_after_it_was_killed(self):
        """Its upstream runs on with the grants of a lease without witnesses."""
        self.store.store.append("keyed.op", b"config", build_manifest())
        await self.wait_for(self.is_served)
        last, other = self.machines
        await self.take_away(other)
        await self.wait_for(lambda: self.holds_all_keys(last.upstream))
        await asyncio.sleep(1.0)
        last.process.kill()
        await last.process.wait()
        await asyncio.sleep(0.5)
        await last.start_node()
        added = await self.add_machine()
        overlap_s = await self.measure_overlap_s(last.upstream, added.upstream)
        self.assertLessEqual(overlap_s, MAX_OVERLAP_S)
        holds_ms = [
            int(document["Hold"].removesuffix("ms"))
            for machine in self.machines
            for target, document in machine.upstream.calls
            if target == b"/grant"
        ]
        self.assertLessEqual(max(holds_ms), MAX_HOLD_MS)
        self.assertTrue(await self.holds_keys(added.upstream))
        await self.wait_for(self.is_served)
