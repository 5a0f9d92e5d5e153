"""Tests of the evacuation of data centres by real nodes on a paused clock."""

import asyncio
import unittest

from papayatack.core.evacuation import SEND_MARGIN_S
from papayatack.core.ownership.selection import find_planner
from papayatack.platform.environment import PLACEMENT_LIMITS
from standins.logstore import Outage
from tests.fakes.evacuations import BOUND_S, run_fleet

SHARDS = 512
FEW_SHARDS = 128
FEW_NODES = 9
SEED = 1
LAST_S = BOUND_S - SEND_MARGIN_S
MAX_GAP_S = 0.4
"""Target: the longest request of the load, 0.2 s, and two reads of the log, each 0.1 s
after the one before."""

AFTER_S = 6.0
RETURN_S = 8.0


async def sleep_until(time_s):
    """Wait until a time of the event loop."""
    await asyncio.sleep(max(time_s - asyncio.get_running_loop().time(), 0.0))


class ReturnTests(unittest.TestCase):
    """An order is taken back."""

    def test_order_taken_back_within_a_moment_moves_nothing(self):
        """Half a second is shorter than the planner waits."""

        async def play(fleet):
            before = fleet.list_owners()
            fleet.order("east")
            await asyncio.sleep(0.5)
            fleet.order()
            await asyncio.sleep(AFTER_S)
            after = fleet.list_owners()
            moved = [shard for shard, owner in before.items() if after[shard] != owner]
            return moved, fleet.find_longest_gap_s()

        moved, gap_s = run_fleet(
            play, seed=SEED, nodes=FEW_NODES, shards=FEW_SHARDS, balances=False
        )
        self.assertEqual(moved, [])
        self.assertLessEqual(gap_s, MAX_GAP_S)

    def test_shards_return_a_few_at_a_time(self):
        """At no moment more move than the planner's limit allows."""

        async def play(fleet):
            ordered_s = fleet.order("east")
            await sleep_until(ordered_s + AFTER_S)
            fleet.order()
            owned = [fleet.count_owned("east")]
            for _ in range(int(RETURN_S / 0.5)):
                await asyncio.sleep(0.5)
                owned.append(fleet.count_owned("east"))
            return owned, fleet.find_longest_gap_s()

        owned, gap_s = run_fleet(play, seed=SEED, nodes=12)
        self.assertEqual(owned[0], 0)
        steps = [
            after - before for before, after in zip(owned, owned[1:], strict=False)
        ]
        self.assertLessEqual(max(steps), 2 * PLACEMENT_LIMITS.max_moves)
        self.assertGreater(owned[-1], SHARDS // 12)
        self.assertLessEqual(gap_s, MAX_GAP_S)


class FailureTests(unittest.TestCase):
    """Failures during an evacuation; nothing is sent late, all shards are served."""

    def check(self, strike, *, evacuated=("east",)):
        """Evacuate, let a failure strike, and look at the fleet after the bound."""

        async def play(fleet):
            ordered_s = fleet.order(*evacuated)
            await strike(fleet, ordered_s)
            await sleep_until(ordered_s + AFTER_S)
            late = [
                (place, at_s - ordered_s)
                for place in evacuated
                for at_s in fleet.list_late(place, ordered_s + LAST_S)
            ]
            owned = fleet.count_owned(*evacuated)
            return late, owned, fleet.count_served()

        late, owned, served = run_fleet(
            play, seed=SEED, nodes=FEW_NODES, shards=FEW_SHARDS
        )
        self.assertEqual(late, [])
        self.assertEqual(owned, 0)
        self.assertEqual(served, FEW_SHARDS)

    def test_node_that_does_not_reach_the_log_learns_from_its_peers(self):
        """It moves its shards away like the others."""

        async def strike(fleet, ordered_s):
            fleet.slots["n0"].is_log_cut = True

        self.check(strike)

    def test_node_that_starts_in_between_never_sends(self):
        """It gets no shards either."""

        async def strike(fleet, ordered_s):
            await asyncio.sleep(1.0)
            fleet.add("late", "east")
            await asyncio.sleep(1.0)
            evacuation = fleet.slots["late"].control.evacuation
            self.assertTrue(evacuation.is_evacuated)
            self.assertIsNotNone(evacuation.find_obstacle())

        self.check(strike)

    def test_planner_is_lost_halfway(self):
        """Another one goes on, or the nodes move what is left."""

        async def strike(fleet, ordered_s):
            await sleep_until(ordered_s + 0.95)
            state = next(iter(fleet.slots.values())).control.core.state
            fleet.kill(find_planner(state).partition("#")[0])

        self.check(strike)

    def test_two_data_centres_at_once(self):
        """The third one takes everything, though successors were in both."""

        async def strike(fleet, ordered_s):
            """Let nothing else fail."""

        self.check(strike, evacuated=("east", "west"))

    def test_log_is_away_once_the_order_is_known(self):
        """The successors elsewhere take over without it."""

        async def strike(fleet, ordered_s):
            await sleep_until(ordered_s + 0.6)
            fleet.store.faults.outage = Outage.REFUSE

        self.check(strike)

    def test_log_is_away_right_after_the_acknowledgement(self):
        """Nobody can know; after its return nothing more is sent there at once."""

        async def play(fleet):
            fleet.store.faults.outage = Outage.REFUSE
            ordered_s = fleet.order("east")
            await sleep_until(ordered_s + AFTER_S)
            fleet.store.faults.outage = Outage.NONE
            back_s = asyncio.get_running_loop().time()
            await asyncio.sleep(AFTER_S)
            late = fleet.list_late("east", back_s + 3.0)
            return late, fleet.count_owned("east"), fleet.count_served()

        late, owned, served = run_fleet(
            play, seed=SEED, nodes=FEW_NODES, shards=FEW_SHARDS
        )
        self.assertEqual((late, owned, served), ([], 0, FEW_SHARDS))

    def test_all_data_centres_are_evacuated(self):
        """Nothing is served after the bound; on the return the same nodes serve."""

        async def play(fleet):
            before = fleet.list_owners()
            places = ("east", "west", "south")
            ordered_s = fleet.order(*places)
            await sleep_until(ordered_s + AFTER_S)
            late = [
                place for place in places if fleet.list_late(place, ordered_s + LAST_S)
            ]
            served = fleet.count_served()
            refusals = {
                slot.control.evacuation.find_obstacle().kind.value
                for slot in fleet.slots.values()
            }
            fleet.order()
            await asyncio.sleep(1.0)
            after = fleet.list_owners()
            moved = [shard for shard, owner in before.items() if after[shard] != owner]
            return late, served, refusals, moved, fleet.count_served()

        late, served, refusals, moved, served_after = run_fleet(
            play, seed=SEED, nodes=FEW_NODES, shards=FEW_SHARDS, balances=False
        )
        self.assertEqual((late, served, moved), ([], 0, []))
        self.assertEqual(refusals, {"service-evacuated"})
        self.assertEqual(served_after, FEW_SHARDS)
