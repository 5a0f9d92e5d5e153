"""Tests of papayatack.core.stopping."""

import math
import unittest

from papayatack.core.stopping import plan_stop

NOW_S = 100.0


class PlanTests(unittest.TestCase):
    """The times of a stop."""

    def test_stages_follow_each_other(self):
        """Nothing begins after half of the drain, and all is answered at its end."""
        plan = plan_stop(NOW_S, notice_s=2.0, drain_s=3.0)
        self.assertEqual(plan.notice_s, 102.0)
        self.assertEqual(plan.last_come_s, 102.0)
        self.assertEqual(plan.last_start_s, 103.5)
        self.assertEqual(plan.end_s, 105.0)
        self.assertGreater(plan.close_s, plan.end_s)

    def test_without_a_notice_callers_come_while_work_may_begin(self):
        """They wait for the new owners of their keys."""
        plan = plan_stop(NOW_S, notice_s=0.0, drain_s=30.0)
        self.assertEqual(plan.notice_s, NOW_S)
        self.assertEqual(plan.last_come_s, plan.last_start_s)

    def test_deadlines_are_limited(self):
        """Sooner ones stay."""
        plan = plan_stop(NOW_S, notice_s=2.0, drain_s=3.0)
        self.assertEqual(plan.limit_deadline(math.inf), plan.end_s)
        self.assertEqual(plan.limit_deadline(NOW_S + 1), NOW_S + 1)
        self.assertEqual(plan.limit_start(math.inf), plan.last_start_s)
        self.assertEqual(plan.limit_start(NOW_S + 1), NOW_S + 1)
