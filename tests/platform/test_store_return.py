"""Tests of real processes whose store returns from an older copy."""

import asyncio

from tests.platform.documents import build_manifest
from tests.platform.test_process import ProcessTestCase

AWAY_S = 0.5
COPY_AGE_S = 2.0
WATCHED_S = 4.0


class StoreReturnTests(ProcessTestCase):
    """The store is away for a moment and comes back from a copy of some seconds."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.store.era = 3

    async def return_from_copy(self, copy):
        """Have the store be away, then come back from a copy."""
        self.store.refuse_with = 503
        await asyncio.sleep(AWAY_S)
        self.store.store.return_from(copy)
        self.store.refuse_with = None
        self.store.store.append("keyed.op", b"config", build_manifest())

    def count_lines(self, message):
        """Return the number of log lines of all nodes with an event name."""
        return sum(
            line["message"] == message
            for machine in self.machines
            for line in machine.read_lines()
        )

    async def ask_keys(self):
        """Send a request for some keys to each node; return the statuses."""
        answers = await asyncio.gather(
            *(
                machine.ask("/orders/1", key=key)
                for machine in self.machines
                for key in (0, 30_000, 65_535)
            )
        )
        return [status for status, _, _ in answers]

    def check_owners(self):
        """Each key is held by one upstream."""
        holders = [machine.upstream for machine in self.machines[:3]]
        for key in range(0, 65_536, 1_021):
            held = [upstream.instance for upstream in holders if upstream.holds(key)]
            self.assertEqual(len(held), 1, f"key {key}: {held}")

    async def test_keys_stay_with_their_owners_when_the_store_returns_from_a_copy(self):
        self.store.store.append("keyed.op", b"config", build_manifest())
        copy = self.store.store.copy()
        await self.wait_for(self.is_served)
        for restored in (1, 2):
            await self.return_from_copy(copy)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + WATCHED_S
            while loop.time() < end_s:
                self.assertEqual(set(await self.ask_keys()), {200})
                await asyncio.sleep(0.1)
            self.check_owners()
            self.assertEqual(self.count_lines("HISTORY_RESTORED"), restored)
            copy = self.store.store.copy()
            await asyncio.sleep(COPY_AGE_S)
        self.assertEqual(self.count_lines("HISTORY_LOST"), 0)
