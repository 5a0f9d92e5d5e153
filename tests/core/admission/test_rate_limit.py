"""Tests of papayatack.core.admission.rate_limit."""

import unittest

from papayatack.core.admission.rate_limit import BURST_S, LAPSE_S, RateLimit


class RateLimitTests(unittest.TestCase):
    """Requests that a limit allows, and its end."""

    def setUp(self):
        self.limit = RateLimit()

    def count_allowed(self, now):
        """Send all requests that are allowed at a time; return their number."""
        count = 0
        while count < 1000 and self.limit.allows(now):
            self.limit.take(now)
            count += 1
        return count

    def test_requests_follow_the_rate(self):
        self.limit.observe(0.0, 20.0)
        sent = sum(self.count_allowed(step / 100) for step in range(1000))
        self.assertAlmostEqual(sent, 200, delta=1)

    def test_pause_allows_a_short_burst(self):
        self.limit.observe(0.0, 20.0)
        self.assertEqual(self.count_allowed(60.0), 20.0 * BURST_S)

    def test_slow_limits_allow_single_requests(self):
        self.limit.observe(0.0, 0.5)
        self.assertEqual(self.count_allowed(60.0), 1)
        self.assertAlmostEqual(self.limit.find_next(60.0), 62.0)
        self.assertEqual(self.count_allowed(62.0), 1)

    def test_repeated_limit_gives_no_new_requests(self):
        for step in range(100):
            self.limit.observe(step / 1000, 20.0)
        self.assertEqual(self.count_allowed(0.099), 1)

    def test_limit_outlasts_single_responses_without_it(self):
        self.limit.observe(0.0, 20.0)
        self.limit.observe(LAPSE_S / 2, None)
        self.assertEqual(self.limit.requests_per_s, 20.0)
        self.limit.observe(LAPSE_S, None)
        self.assertIsNone(self.limit.requests_per_s)
        self.assertEqual(self.count_allowed(LAPSE_S), 1000)

    def test_limit_stays_while_there_are_no_responses(self):
        self.limit.observe(0.0, 1.0)
        self.assertEqual(self.count_allowed(3600.0), 1)
