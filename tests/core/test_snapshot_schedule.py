"""Tests of papayatack.core.snapshot_schedule."""

import unittest

from papayatack.core.snapshot_schedule import MAX_UNCOVERED_RECORDS, SnapshotSchedule

INTERVAL_S = 5.0


class SnapshotScheduleTests(unittest.TestCase):
    """When a snapshot is due."""

    def setUp(self):
        self.schedule = SnapshotSchedule(interval_s=INTERVAL_S, now=0.0)

    def test_due_once_a_record_is_old_enough(self):
        """The age counts from the first record that no snapshot covers."""
        self.schedule.note_snapshot(10, now=1.0)
        self.assertFalse(self.schedule.is_due(10, now=20.0))
        self.assertFalse(self.schedule.is_due(11, now=20.5))
        self.assertFalse(self.schedule.is_due(12, now=24.9))
        self.assertTrue(self.schedule.is_due(12, now=25.0))

    def test_never_due_while_nothing_changes(self):
        """A snapshot that covers all records needs no successor."""
        self.schedule.note_snapshot(10, now=1.0)
        self.assertFalse(self.schedule.is_due(10, now=1000.0))

    def test_due_at_once_after_many_records(self):
        """A start would have to read them all."""
        self.schedule.note_snapshot(10, now=1.0)
        self.assertTrue(self.schedule.is_due(10 + MAX_UNCOVERED_RECORDS, now=1.1))

    def test_records_of_before_the_start_are_not_covered(self):
        """A node does not know whether another one has stored a snapshot of them."""
        self.assertTrue(self.schedule.is_due(3, now=INTERVAL_S))
