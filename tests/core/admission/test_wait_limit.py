"""Tests of papayatack.core.admission.wait_limit."""

import unittest

from papayatack.core.admission.wait_limit import (
    MEMORY_S,
    RESUME_WAIT_RATIO,
    WaitLimit,
)


class WaitLimitTests(unittest.TestCase):
    """One limit for requests that permit different waits."""

    def setUp(self):
        self.limit = WaitLimit()

    def accept(self, now, wait_s, max_wait_s, min_limit_s=0.1):
        """Return whether a request is accepted."""
        return self.limit.accept(
            now, wait_s=wait_s, max_wait_s=max_wait_s, min_limit_s=min_limit_s
        )

    def test_shortest_permitted_wait_limits_all(self):
        self.assertTrue(self.accept(0.0, 0.9, 1.0))
        self.assertTrue(self.accept(0.0, 0.4, 0.5))
        self.assertFalse(self.accept(0.0, 0.9, 1.0))

    def test_limit_is_forgotten_after_two_periods(self):
        self.accept(0.0, 0.0, 0.5)
        self.accept(MEMORY_S, 0.0, 1.0)
        self.assertFalse(self.accept(MEMORY_S * 1.9, 0.9, 1.0))
        self.accept(MEMORY_S * 2.1, 0.0, 1.0)
        self.assertTrue(self.accept(MEMORY_S * 2.1, 0.9, 1.0))

    def test_limit_is_forgotten_after_a_pause(self):
        self.accept(0.0, 0.0, 0.5)
        self.assertTrue(self.accept(MEMORY_S * 2, 0.9, 1.0))

    def test_requests_without_patience_leave_a_queue_of_one_service_time(self):
        self.accept(0.0, 0.0, 0.001)
        self.assertTrue(self.accept(0.0, 0.09, 1.0))
        self.assertFalse(self.accept(0.0, 0.11, 1.0))

    def test_no_request_is_accepted_beyond_its_own_permitted_wait(self):
        self.assertFalse(self.accept(0.0, 0.05, 0.04))

    def test_after_a_refusal_the_wait_must_fall(self):
        self.assertFalse(self.accept(0.0, 1.1, 1.0))
        self.assertFalse(self.accept(0.0, 0.9, 1.0))
        self.assertTrue(self.accept(0.0, RESUME_WAIT_RATIO * 0.99, 1.0))
        self.assertTrue(self.accept(0.0, 0.9, 1.0))
