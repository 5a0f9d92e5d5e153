"""Tests of fleets whose nodes are stopped in turn while the log is away."""

import functools
import unittest

from tests.fakes.outages import VARIANTS, play_outage

SEED = 1


@functools.cache
def find_misses(variant):
    """Return the missed goals of one play: number, worst value and description."""
    return play_outage(variant, SEED).list_goals()


class OutageTests(unittest.TestCase):
    """What callers may expect each second, not at the end alone."""

    maxDiff = None

    def _check(self, goal):
        missed = {
            variant: seen[goal]
            for variant in VARIANTS
            if goal in (seen := find_misses(variant))
        }
        self.assertEqual(missed, {})

    def test_few_nodes_keep_most_keys_after_the_log_is_back(self):
        """From 2 s on, none has more than twice its share of the live slots."""
        self._check("spread")

    def test_shards_are_taken_again_without_a_loss(self):
        """No shard is taken twice within 2 s unless its holder is lost."""
        self._check("again")

    def test_keys_stay_without_an_owner_after_the_log_is_back(self):
        """From 2 s on, each shard is served, except for a handover."""
        self._check("owner")

    def test_upstreams_are_idle_beside_keys_without_an_owner(self):
        """While nodes are stopped in turn, that lasts no longer than 3 s."""
        self._check("idle")

    def test_nodes_that_were_stopped_for_good_stay_members(self):
        """From 2 s after the return of the log on, it records their ends."""
        self._check("gone")


if __name__ == "__main__":
    unittest.main()
