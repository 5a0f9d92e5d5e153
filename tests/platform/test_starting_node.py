"""Tests of real processes: which configuration a node has that has just started."""

import asyncio
import contextlib
import json

from tests.platform.documents import build_large_manifest
from tests.platform.test_process import LIMIT_S, ProcessTestCase

VERSIONS = 14
ROUTES = 1400
ADDED_PATH = "/added/"
STEP_S = 0.02
NOT_STARTED = 503
SERVED = 200


def build_versions():
    """Return manifests of which only the last has a route to the added path."""
    manifests = [
        build_large_manifest(version=f"{number:08x}", routes=ROUTES)
        for number in range(1, VERSIONS + 1)
    ]
    newest = json.loads(manifests[-1])
    added = {"Host": "shop.example", "PathPrefix": ADDED_PATH}
    newest["Routes"]["added"] = next(iter(newest["Routes"].values())) | added
    return [*manifests[:-1], json.dumps(newest).encode()]


class StartingNodeTests(ProcessTestCase):
    """A node starts beside a store that keeps megabytes of earlier manifests."""

    layout = (("east", "papers"),)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.machine,) = self.machines
        self.machine.process.kill()
        await self.machine.process.wait()
        for manifest in build_versions():
            self.store.store.append("keyed.op", b"config", manifest)

    async def list_answers(self):
        """Return the different statuses until a request on the route is served."""
        found = set()
        async with asyncio.timeout(LIMIT_S):
            while SERVED not in found:
                with contextlib.suppress(OSError, TimeoutError, IndexError):
                    status, _, _ = await self.machine.ask(ADDED_PATH)
                    found.add(status)
                await asyncio.sleep(STEP_S)
        return found

    async def test_started_node_never_serves_what_it_read_of_the_history(self):
        """It answers 503 until it knows the newest version, never 404."""
        await self.machine.start_node()
        self.assertLessEqual(await self.list_answers(), {NOT_STARTED, SERVED})
