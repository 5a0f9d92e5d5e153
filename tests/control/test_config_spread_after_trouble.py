"""Tests of how soon a configuration is in force once trouble of the log is over."""

import unittest

from papayatack.core.records import CONFIG_STREAM
from tests.fakes.log_reads import count_reads
from tests.fakes.spread import LOG_TROUBLES, measure_spread_after

TARGET_S = 1.0
NODES = 40
SEEDS = (1,)
FAULTS = ("lead cut off from the log", "tailers killed", "a third frozen")
CALM_PAUSES_S = (3.5, 6.0, 9.0)
"""Times after the trouble at which all nodes are in touch again."""

EARLY_PAUSES_S = (0.0, 2.0)
SLOW_DELAYS_S = (1.0, 0.3)
LARGE_FLEET = 76
DATA_CENTRES = 5
READ_TIME_S = 20.0
MAX_SLOW_READS = 184

IN_TOUCH_S = 3.0
"""Time after the end of the trouble from which bounds hold."""


class SpreadAfterTroubleTests(unittest.TestCase):
    """A fault strikes as a configuration is stored, after trouble of the log."""

    def find_late(self, fault, pauses_s):
        """Return the greatest delays that are too long, by what befell the fleet."""
        late = {}
        for trouble in LOG_TROUBLES:
            for pause_s in pauses_s:
                allowed_s = max(TARGET_S, IN_TOUCH_S - pause_s)
                for seed in SEEDS:
                    delays_s = measure_spread_after(
                        trouble, pause_s, fault, seed, nodes=NODES
                    )
                    if max(delays_s) > allowed_s:
                        late[trouble, pause_s, seed] = max(delays_s)
        return late

    def check(self, pauses_s):
        """Check that no node has the configuration late after any fault."""
        late = {fault: self.find_late(fault, pauses_s) for fault in FAULTS}
        self.assertEqual({fault: found for fault, found in late.items() if found}, {})

    def test_no_node_has_an_old_configuration_after_the_log_was_slow_or_silent(self):
        """All nodes are in touch when the fault strikes."""
        self.check(CALM_PAUSES_S)

    def test_no_node_has_an_old_configuration_once_all_are_in_touch(self):
        """The fault strikes before they are."""
        self.check(EARLY_PAUSES_S)

    def test_slow_log_is_not_read_more_often_by_a_large_fleet(self):
        """Young configurations are not bought with many reads."""
        for delay_s in SLOW_DELAYS_S:
            with self.subTest(delay_s=delay_s):
                reads = count_reads(
                    LARGE_FLEET, DATA_CENTRES, delay_s=delay_s, measured_s=READ_TIME_S
                )
                self.assertLessEqual(reads[CONFIG_STREAM], MAX_SLOW_READS)
