"""Tests of upstreams that say in their responses that they leave or are in need."""

import asyncio
import itertools

from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase

DRAIN_S = 2.0
WATCHED_S = 2.0
SLICE_KEYS = 512
REQUESTS = 120
REQUEST_INTERVAL_S = 0.025
LIMITED = ((b"papayatack-server-limit", b"5.0"),)
LEAVING = ((b"papayatack-server-leaving", b"1"),)


class LeavingUpstreamTests(ProcessTestCase):
    """An upstream that neither drains nor deregisters in its calls to the node."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.store.append("keyed.op", b"config", build_manifest())
        self.numbers = itertools.count()

    async def ask_all(self, key):
        """Send a request to each node; return the statuses."""
        answers = await asyncio.gather(
            *(
                machine.ask("/orders/1", key=key, request_id=f"r-{next(self.numbers)}")
                for machine in self.machines
            )
        )
        return [status for status, _, _ in answers]

    def find_holder(self, key):
        """Return the machine whose upstream holds a key."""
        return next(m for m in self.machines if m.upstream.holds(key))

    async def test_upstream_that_says_that_it_leaves_gets_no_requests_after_its_drain(
        self,
    ):
        await self.wait_for(self.is_served)
        leaving = self.find_holder(7)
        leaving.upstream.signals = LEAVING
        await self.ask_all(7)
        await asyncio.sleep(DRAIN_S)
        runs_before = len(leaving.upstream.runs)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + WATCHED_S
        served = 0
        while loop.time() < end_s:
            statuses = await self.ask_all(7)
            served += statuses.count(200)
            await asyncio.sleep(0.1)
        self.assertEqual(leaving.upstream.runs[runs_before:], [])
        self.assertGreater(served, 0)
        self.assertIn(
            "draining",
            {
                line.get("reason")
                for line in leaving.read_lines()
                if line["message"] == "UPSTREAM_LEFT"
            },
        )

    def count_slices(self, upstream):
        """Return the number of slices of keys that an upstream holds."""
        return sum(upstream.holds(key) for key in range(0, 65_536, SLICE_KEYS))

    async def test_keys_move_away_from_an_upstream_that_names_a_limit(self):
        """Then the others serve what it does not take."""
        await self.wait_for(self.is_served)
        limited = self.machines[0].upstream
        before = self.count_slices(limited)
        for machine in self.machines:
            machine.upstream.work_s = 0.05
        limited.signals = LIMITED

        async def ask_many():
            tasks = []
            for number in range(REQUESTS):
                machine = self.machines[number % len(self.machines)]
                key = number * 7_919 % 65_536
                tasks.append(asyncio.ensure_future(machine.ask("/orders/1", key=key)))
                await asyncio.sleep(REQUEST_INTERVAL_S)
            return [status for status, _, _ in await asyncio.gather(*tasks)]

        async def is_relieved():
            statuses = await ask_many()
            return set(statuses) == {200} and self.count_slices(limited) < before / 3

        self.assertGreater(before, 20)
        await self.wait_for(is_relieved)
