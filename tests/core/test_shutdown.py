"""Tests of papayatack.core.shutdown."""

import math
import unittest

from papayatack.core.shutdown import RESPONSE_MARGIN_S, plan_shutdown

NOW_S = 100.0


class PlanTests(unittest.TestCase):
    """The schedule of a graceful shutdown."""

    def test_dispatch_ends_halfway_through_drain_period(self):
        """Requests are dispatched until half of the drain period has passed."""
        plan = plan_shutdown(NOW_S, notice_s=2.0, drain_s=3.0)
        self.assertEqual(plan.notice_end_s, 102.0)
        self.assertEqual(plan.accept_until_s, 102.0)
        self.assertEqual(plan.dispatch_until_s, 103.5)
        self.assertEqual(plan.drain_end_s, 105.0)
        self.assertGreater(plan.close_at_s, plan.drain_end_s)

    def test_without_notice_period_requests_are_accepted_until_dispatch_ends(self):
        """Without a notice period, requests wait for the new owners of their keys."""
        plan = plan_shutdown(NOW_S, notice_s=0.0, drain_s=30.0)
        self.assertEqual(plan.notice_end_s, NOW_S)
        self.assertEqual(plan.accept_until_s, plan.dispatch_until_s)

    def test_late_deadlines_are_limited(self):
        """Deadlines are limited to the schedule; earlier deadlines stay unchanged."""
        plan = plan_shutdown(NOW_S, notice_s=2.0, drain_s=3.0)
        self.assertEqual(plan.limit_deadline(math.inf), plan.drain_end_s)
        self.assertEqual(plan.limit_deadline(NOW_S + 1), NOW_S + 1)
        self.assertEqual(plan.limit_dispatch(math.inf), plan.dispatch_until_s)
        self.assertEqual(plan.limit_dispatch(NOW_S + 1), NOW_S + 1)

    def test_work_that_outlasts_the_drain_period_is_not_dispatched(self):
        """Work that is known to be long starts earlier, or not at all."""
        plan = plan_shutdown(NOW_S, notice_s=2.0, drain_s=3.0)
        longest_s = plan.drain_end_s - NOW_S - RESPONSE_MARGIN_S
        self.assertAlmostEqual(plan.limit_dispatch(math.inf, longest_s), NOW_S)
        self.assertAlmostEqual(plan.limit_dispatch(math.inf, longest_s - 1), NOW_S + 1)
        self.assertEqual(plan.limit_dispatch(math.inf, 0.1), plan.dispatch_until_s)
        self.assertEqual(plan.limit_dispatch(math.inf, None), plan.dispatch_until_s)

    def test_work_that_its_deadline_ends_in_time_is_dispatched(self):
        """A request with a near deadline is served however long the work may be."""
        plan = plan_shutdown(NOW_S, notice_s=2.0, drain_s=3.0)
        self.assertEqual(plan.limit_dispatch(NOW_S + 1, 60.0), NOW_S + 1)
        limited_s = plan.limit_deadline(NOW_S + 30)
        self.assertLess(plan.limit_dispatch(limited_s, 60.0), NOW_S)
