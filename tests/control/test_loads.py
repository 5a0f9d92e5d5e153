"""Tests of what a node measures of its own shards."""

import unittest

from papayatack.control.loads import LoadMeter
from papayatack.core.identity import IncarnationId, ShardId

NODE = IncarnationId("10.0.0.1:7000#a")
PARENT = ShardId("s/keys/0-511")
SHORT_WHILE_S = 0.3
SERVICE_TIME_S = 0.6
STEP_S = 0.1


def name_part(number):
    """Return the hot shard that a number's neighbours would be."""
    return ShardId(f"s/keys/={8 * number}-{8 * number + 7}")


class HotKeyTests(unittest.TestCase):
    """Which keys a node reports as candidates for shards of their own."""

    def report(self, *numbers):
        """Return the keys reported after these were asked for in a short while."""
        meter = LoadMeter(now=0.0)
        for number in numbers:
            meter.record_arrival(PARENT, name_part(number))
            meter.record_completion(PARENT, SERVICE_TIME_S)
        report = meter.make_report(NODE, members=3, leaving=False, now=SHORT_WHILE_S)
        return [load.shard for load in report.hot_keys]

    def test_key_that_was_asked_for_once_is_not_hot(self):
        self.assertEqual(self.report(*range(6)), [])

    def test_key_that_is_asked_for_often_is_hot(self):
        self.assertEqual(self.report(*[7] * 6, 1, 2), [name_part(7)])


class RefusingUpstreamTests(unittest.TestCase):
    """An upstream that runs nothing is no less asked for."""

    def test_node_whose_upstream_refuses_all_looks_idle(self):
        """Its load is told by the time that its requests took when they were run."""
        meter = LoadMeter(now=0.0)
        for step in range(300):
            meter.record_arrival(PARENT, name_part(1))
            if step < 50:
                meter.record_completion(PARENT, SERVICE_TIME_S)
            now = (step + 1) * STEP_S
            report = meter.make_report(NODE, members=3, leaving=False, now=now)
        asked_for = SERVICE_TIME_S / STEP_S
        self.assertAlmostEqual(report.busy, asked_for, delta=0.05 * asked_for)
