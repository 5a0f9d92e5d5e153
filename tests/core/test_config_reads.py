"""Tests of papayatack.core.config_reads."""

import unittest

from papayatack.core.config_reads import MAX_READERS, ReadTimes
from papayatack.core.messages import ConfigRead


class ReadTimesTests(unittest.TestCase):
    """Messages about the reads of a node "a"."""

    def setUp(self):
        self.times = ReadTimes()

    def find(self, read_us, time_s, reader="a"):
        """Return the time of a read after a message about it."""
        return self.times.find(ConfigRead(reader=reader, read_us=read_us), time_s)

    def test_earliest_time_of_a_read_counts(self):
        """Later messages about the same read were longer on their way."""
        self.assertEqual(self.find(7, 100.0), 100.0)
        self.assertEqual(self.find(7, 100.5), 100.0)
        self.assertEqual(self.find(7, 99.8), 99.8)
        self.assertEqual(self.find(7, 100.0), 99.8)

    def test_newer_read_has_a_time_of_its_own(self):
        """An older one is no later, however late it is heard of."""
        self.find(7, 100.0)
        self.assertEqual(self.find(8, 100.6), 100.6)
        self.assertEqual(self.find(7, 101.0), 100.6)
        self.assertEqual(self.find(8, 101.0), 100.6)

    def test_reads_of_different_nodes_are_told_apart(self):
        self.find(7, 100.0)
        self.assertEqual(self.find(7, 101.0, reader="b"), 101.0)

    def test_nothing_is_known_of_a_read_after_a_pause(self):
        """The clock has missed it, so that the times before it are too late."""
        self.find(7, 100.0)
        self.times.clear()
        self.assertEqual(self.find(7, 99.0), 99.0)

    def test_node_that_was_heard_of_longest_ago_is_forgotten(self):
        """The number of nodes over the life of a process has no bound."""
        self.find(7, 100.0)
        for number in range(MAX_READERS):
            self.find(1, 100.0, reader=f"n{number}")
        self.assertEqual(self.find(7, 105.0), 105.0)
