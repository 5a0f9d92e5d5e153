"""Tests of papayatack.control.loads."""

import unittest

from papayatack.control.loads import LoadMeter
from papayatack.core.identity import IncarnationId, ShardId

NODE = IncarnationId("10.0.0.1:7000#a")
PARENT = ShardId("s/keys/0-511")
INTERVAL_S = 0.3
SERVICE_TIME_S = 0.6
STEP_S = 0.1


def make_hot_shard_id(number):
    """Return the id of the hot shard that contains a number."""
    return ShardId(f"s/keys/={8 * number}-{8 * number + 7}")


class HotKeyTests(unittest.TestCase):
    """Selection of the keys that are reported as candidates for a split."""

    def report(self, *numbers):
        """Return the hot keys reported after one request for each number."""
        meter = LoadMeter(now=0.0)
        for number in numbers:
            meter.record_arrival(PARENT, make_hot_shard_id(number))
            meter.record_completion(PARENT, SERVICE_TIME_S)
        report = meter.make_report(NODE, members=3, leaving=False, now=INTERVAL_S)
        return [load.shard for load in report.hot_keys]

    def test_key_with_one_request_is_not_hot(self):
        self.assertEqual(self.report(*range(6)), [])

    def test_key_with_many_requests_is_hot(self):
        self.assertEqual(self.report(*[7] * 6, 1, 2), [make_hot_shard_id(7)])


class RefusingUpstreamTests(unittest.TestCase):
    """The load of a node whose upstream rejects requests."""

    def test_load_is_unchanged_if_upstream_rejects_all_requests(self):
        """The node must not appear idle: the last measured service time is used."""
        meter = LoadMeter(now=0.0)
        for step in range(300):
            meter.record_arrival(PARENT, make_hot_shard_id(1))
            if step < 50:
                meter.record_completion(PARENT, SERVICE_TIME_S)
            now = (step + 1) * STEP_S
            report = meter.make_report(NODE, members=3, leaving=False, now=now)
        expected_load = SERVICE_TIME_S / STEP_S
        self.assertAlmostEqual(report.busy, expected_load, delta=0.05 * expected_load)
