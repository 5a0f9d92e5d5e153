"""Tests of real processes: which configuration a node has that begins to serve."""

import asyncio
import contextlib
import json

from tests.platform.documents import build_large_manifest
from tests.platform.test_process import LIMIT_S, ProcessTestCase

VERSIONS = 14
ROUTES = 1400
FEW_ROUTES = 10
ADDED_PATH = "/added/"
STEP_S = 0.02
NOT_STARTED = 503
SERVED = 200


def build_versions(count, routes):
    """Return manifests of which only the last has a route to the added path."""
    manifests = [
        build_large_manifest(version=f"{number:08x}", routes=routes)
        for number in range(1, count + 1)
    ]
    newest = json.loads(manifests[-1])
    added = {"Host": "shop.example", "PathPrefix": ADDED_PATH}
    newest["Routes"]["added"] = next(iter(newest["Routes"].values())) | added
    return [*manifests[:-1], json.dumps(newest).encode()]


class StartingNodeTests(ProcessTestCase):
    """A node of a service without keys starts, or joins anew."""

    layout = (("east", "papers"),)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.machine,) = self.machines
        await self.kill()

    async def kill(self):
        """Kill the node."""
        self.machine.process.kill()
        await self.machine.process.wait()

    def publish(self, manifest):
        """Write a manifest."""
        self.store.store.append("keyed.op", b"config", manifest)

    async def ask(self):
        """Return the status of a request on the added route, ``None`` without one."""
        with contextlib.suppress(OSError, TimeoutError, IndexError):
            status, _, _ = await self.machine.ask(ADDED_PATH)
            return status
        return None

    async def is_added(self):
        """Return whether the added route is served."""
        return await self.ask() == SERVED

    async def list_statuses(self, is_over):
        """Return the different statuses until the last one ends it."""
        found = set()
        async with asyncio.timeout(LIMIT_S):
            while not is_over(status := await self.ask()):
                found.add(status)
                await asyncio.sleep(STEP_S)
        return {*found, status} - {None}

    async def test_started_node_never_serves_what_it_read_of_the_history(self):
        """It answers 503 until it knows the newest version, never 404."""
        for manifest in build_versions(VERSIONS, ROUTES):
            self.publish(manifest)
        await self.machine.start_node()
        found = await self.list_statuses(lambda status: status == SERVED)
        self.assertLessEqual(found, {NOT_STARTED, SERVED})

    async def test_node_that_joins_anew_does_not_return_to_the_version_of_a_copy(self):
        """Its process has served by a newer one, which the store has lost."""
        self.store.store.era = 3
        older, newer = build_versions(2, FEW_ROUTES)
        self.publish(older)
        copy = self.store.store.copy()
        await self.machine.start_node()
        await self.wait_for(self.has_joined)
        await self.kill()
        self.publish(newer)
        await self.machine.start_node()
        await self.wait_for(self.is_added)
        starts = self.count_starts()
        self.store.store.return_from(copy)
        found = await self.list_statuses(lambda status: self.count_starts() > starts)
        found |= await self.list_statuses(lambda status: status != NOT_STARTED)
        self.assertLessEqual(found, {NOT_STARTED, SERVED})

    async def has_joined(self):
        """Return whether the node has written records."""
        return len(self.store.store.find("keyed.ownership").records) > 1

    def count_starts(self):
        """Return how often the node has begun to serve, in all of its processes."""
        messages = [line["message"] for line in self.machine.read_lines()]
        return messages.count("DAEMON_STARTED")
