"""Tests of configurations in real processes, after trouble of the store is over."""

import tempfile
import unittest

from tests.fakes.config_answers import list_checked
from tests.fakes.config_plays import Episode, describe_fault, play_episodes

SEED = 1
NODES = 12
VICTIMS = 8
MAX_PLAYS = 3
"""Plays of which one is judged in which the asking process did not stand still."""

SHOWN = 5


class ConfigProcessTests(unittest.IsolatedAsyncioTestCase):
    """Each node is asked all the time while others are disturbed beside a change."""

    async def check(self, *episodes):
        """No answer in any episode breaks a rule."""
        for _ in range(MAX_PLAYS):
            with tempfile.TemporaryDirectory() as folder:
                play, faults = await play_episodes(
                    episodes, seed=SEED, folder=folder, nodes=NODES
                )
            if not any(fault.is_own for fault in faults):
                break
        found = [describe_fault(play, fault) for fault in faults]
        self.assertEqual(found[:SHOWN], [], f"{len(found)} answers")
        ended = [m.number for m in play.fleet.machines if m.has_ended_itself]
        self.assertEqual(ended, [])
        self.assertGreaterEqual(len(list_checked(play.history)), NODES - VICTIMS)

    async def test_change_is_in_force_in_time_though_nodes_die_after_a_slow_store(self):
        """The nodes that are left know it, and no earlier one comes back."""
        await self.check(
            Episode(trouble="slow", trouble_s=4.0, victims=VICTIMS, is_mended=False)
        )

    async def test_change_is_in_force_in_time_though_nodes_stop_after_an_outage(self):
        """Nor do the stopped nodes serve an older one once they go on."""
        await self.check(
            Episode(trouble="silent", trouble_s=6.0, ways=("stop",), victims=VICTIMS)
        )

    async def test_changes_in_series_are_in_force_in_time_beside_invalid_ones(self):
        """The store refused calls, and the node that reads for all is cut from it."""
        await self.check(
            Episode(
                trouble="refused",
                trouble_s=3.0,
                ways=("cut", "kill"),
                victims=2,
                changes=3,
                between_s=0.4,
                is_invalid_stored=True,
                added=1,
                is_mended=False,
            )
        )
