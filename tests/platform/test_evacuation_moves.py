"""Tests of how shards leave an evacuated data centre under load, on a paused clock."""

import asyncio
import unittest

from papayatack.core.evacuation import SEND_MARGIN_S
from tests.fakes.evacuations import BOUND_S, run_fleet

SHARDS = 512
SEED = 1
LAST_S = BOUND_S - SEND_MARGIN_S
MAX_GAP_S = 0.4
"""Target: the longest request of the load, 0.2 s, and two reads of the log, each 0.1 s
after the one before."""

LIMIT_S = 10.0
AFTER_S = 6.0


class MoveOutTests(unittest.TestCase):
    """A data centre of three is evacuated under a load of requests for all keys."""

    def check_move_out(self, nodes):
        """All shards are out in time, none without an owner for long."""

        async def play(fleet):
            ordered_s = fleet.order("east")
            async with asyncio.timeout(LIMIT_S):
                out_s = await fleet.wait_out("east")
            gap_s = fleet.find_longest_gap_s()
            await asyncio.sleep(ordered_s + AFTER_S - out_s)
            late = fleet.list_late("east", ordered_s + LAST_S)
            return out_s - ordered_s, gap_s, late, fleet.count_served()

        out_s, gap_s, late, served = run_fleet(play, seed=SEED, nodes=nodes)
        print(f"{nodes} nodes: all out after {out_s:.2f} s, longest gap {gap_s:.2f} s")
        self.assertLess(out_s, LAST_S)
        self.assertLessEqual(gap_s, MAX_GAP_S)
        self.assertEqual(late, [])
        self.assertEqual(served, SHARDS)

    def test_shards_of_12_nodes_move_out_in_time(self):
        """Four of them are evacuated, with a third of all shards."""
        self.check_move_out(12)

    def test_shards_of_80_nodes_move_out_in_time(self):
        """27 of them are evacuated."""
        self.check_move_out(80)
