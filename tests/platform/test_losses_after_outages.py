"""Tests of fleets that lose nodes shortly after a fault of the log is over."""

import functools
import unittest

from tests.fakes.losses import play_loss

SEED = 1
PLAYED = ("no answers", "closed", "slow")
STABLE_S = 3.0
"""Time after a fault of the log from which the targets hold."""

SERVED_S = 2.0
APPENDED_S = 0.5
JOINED_S = 2.0


@functools.cache
def find_play(fault):
    """Return what the loss of the planner gave, as soon as the targets hold."""
    return play_loss(fault, "lead", STABLE_S, SEED)


class LossTests(unittest.TestCase):
    """The planner and its upstream are lost 3 s after the end of the fault."""

    def test_keys_stay_without_an_owner_after_an_outage_and_a_loss(self):
        for fault in PLAYED:
            with self.subTest(fault=fault):
                play = find_play(fault)
                self.assertTrue(play.served_s)
                self.assertLess(max(play.served_s), SERVED_S)

    def test_records_are_appended_late_after_an_outage_and_a_loss(self):
        for fault in PLAYED:
            with self.subTest(fault=fault):
                play = find_play(fault)
                self.assertLess(play.appended_s, APPENDED_S)
                self.assertLess(play.applied_s, APPENDED_S)

    def test_node_that_starts_joins_late_after_an_outage_and_a_loss(self):
        for fault in PLAYED:
            with self.subTest(fault=fault):
                self.assertLess(find_play(fault).joined_s, JOINED_S)


if __name__ == "__main__":
    unittest.main()
