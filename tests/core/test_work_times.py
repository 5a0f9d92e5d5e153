"""Tests of papayatack.core.work_times."""

import random
import unittest

from papayatack.core.work_times import MAX_KINDS, WorkTimes

SAMPLES = 1_000
MEAN_S = 0.2


class WorkTimesTests(unittest.TestCase):
    """Estimates from recorded durations."""

    def setUp(self):
        """Create estimates without samples."""
        self.work_times = WorkTimes()

    def test_unknown_kind_has_no_estimate(self):
        """Other kinds say nothing about a kind."""
        self.work_times.record("pages", 1.0)
        self.assertIsNone(self.work_times.estimate("orders"))

    def test_constant_durations_are_their_own_estimate(self):
        """Nothing is added if all requests take as long."""
        for _ in range(SAMPLES):
            self.work_times.record("orders", 4.0)
        self.assertAlmostEqual(self.work_times.estimate("orders"), 4.0)

    def test_first_sample_does_not_dominate(self):
        """A quick first request does not hide that the others take long."""
        for work_s in (0.0, *(4.0,) * 5):
            self.work_times.record("orders", work_s)
        self.assertGreater(self.work_times.estimate("orders"), 4.0)

    def test_few_requests_take_longer_than_the_estimate(self):
        """Of exponential durations less than one in ten does."""
        rng = random.Random(1)
        longer = 0
        for _ in range(SAMPLES):
            work_s = rng.expovariate(1 / MEAN_S)
            longer += work_s > (self.work_times.estimate("orders") or 0.0)
            self.work_times.record("orders", work_s)
        self.assertLess(longer, SAMPLES / 10)
        self.assertLess(self.work_times.estimate("orders"), 10 * MEAN_S)

    def test_number_of_kinds_is_limited(self):
        """Routes that come and go do not take memory for ever."""
        for number in range(MAX_KINDS + 1):
            self.work_times.record(str(number), 1.0)
        self.assertIsNone(self.work_times.estimate("0"))
        self.assertEqual(self.work_times.estimate(str(MAX_KINDS)), 1.0)
