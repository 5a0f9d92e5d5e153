"""Tests of papayatack.core.reported_load."""

import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.reported_load import (
    PACE_MAX_AGE_S,
    PACE_TIME_CONSTANT_S,
    Pace,
    ReportedLoad,
    UpstreamReports,
)

SLOW = 2.5


class PaceTests(unittest.TestCase):
    """The moving average of the reported pace, and its ageing."""

    def test_pace_is_usual_before_the_first_report(self):
        """Without a report, work takes as long as usual."""
        self.assertEqual(Pace().read(7.0), 1.0)

    def test_slow_moment_counts_within_its_time_constant(self):
        """An upstream that slows down is known to be slow a tenth of a second later."""
        pace = Pace()
        pace.record(0.0, 1.0)
        for step in range(1, 21):
            pace.record(step * PACE_TIME_CONSTANT_S / 20, SLOW)
        self.assertAlmostEqual(pace.read(PACE_TIME_CONSTANT_S), 1.95, delta=0.05)

    def test_single_outlier_among_frequent_reports_counts_little(self):
        """One figure among many is noise."""
        pace = Pace()
        for step in range(100):
            pace.record(step * 0.001, 10.0 if step == 98 else 1.0)
        self.assertLess(pace.read(0.099), 1.5)

    def test_old_pace_returns_to_usual(self):
        """A pace that is not renewed means less and less, and in the end nothing."""
        pace = Pace()
        pace.record(0.0, SLOW)
        later = [pace.read(age_s) for age_s in (0.0, 0.3, 0.9, PACE_MAX_AGE_S + 0.01)]
        self.assertEqual(later, sorted(later, reverse=True))
        self.assertEqual((later[0], later[-1]), (SLOW, 1.0))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.01, 100.0)), min_size=1),
        st.floats(0.0, 5.0),
    )
    def test_pace_stays_between_usual_and_what_was_reported(self, reports, age_s):
        """Whatever is reported and when, the average is no more extreme."""
        pace = Pace()
        now = 0.0
        for elapsed_s, value in reports:
            now += elapsed_s
            pace.record(now, value)
        values = [1.0, *(value for _, value in reports)]
        self.assertGreaterEqual(pace.read(now + age_s), min(values) - 1e-9)
        self.assertLessEqual(pace.read(now + age_s), max(values) + 1e-9)


class ReportTests(unittest.TestCase):
    """Whether an upstream reports its load."""

    def test_reports_lapse_and_end_with_the_upstream(self):
        """What an earlier process reported says nothing of the next."""
        reports = UpstreamReports()
        self.assertFalse(reports.is_reported(0.0))
        reports.record(0.0, ReportedLoad(running=1, waiting=0, slots=4, pace=SLOW))
        self.assertTrue(reports.is_reported(1.0))
        self.assertFalse(reports.is_reported(6.0))
        reports.record(7.0, ReportedLoad(running=1, waiting=0, slots=4, pace=SLOW))
        reports.clear()
        self.assertFalse(reports.is_reported(7.0))
        self.assertEqual(reports.pace.read(7.0), 1.0)

    def test_report_without_pace_leaves_the_pace(self):
        """The fourth figure is optional."""
        reports = UpstreamReports()
        reports.record(0.0, ReportedLoad(running=1, waiting=0, slots=4, pace=SLOW))
        reports.record(0.0, ReportedLoad(running=1, waiting=0, slots=4))
        self.assertEqual(reports.pace.read(0.0), SLOW)
