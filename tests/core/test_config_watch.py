"""Tests of papayatack.core.config_watch."""

import unittest

from papayatack.core.config_watch import ConfigWatch
from papayatack.core.messages import ConfigPosition

LAST_RANK = 9
STOOD_IN_S = 0.72
"""Age at which the stand-ins must have read the log, and no other node yet."""
MAX_AGE_S = 0.86
QUERIED_S = 0.5
READ_MARGIN_S = 0.01


class ConfigWatchTests(unittest.TestCase):
    """All config records before offset 5 are applied, confirmed at 100 s."""

    def setUp(self):
        self.watch = ConfigWatch()
        self.watch.set_offset(5)
        self.watch.confirm(100.0)

    def must_read(self, now, rank=LAST_RANK, spread=1.0):
        """Return whether the node must read the log."""
        return self.watch.is_aging(now) and self.watch.must_read_log(
            now, rank=rank, spread=spread
        )

    def test_node_reads_the_log_when_nothing_confirms_its_configuration(self):
        """The stand-ins of the lead read first, then all others, spread over time."""
        self.assertFalse(self.must_read(100.6, rank=1))
        for rank in (1, 2):
            self.assertTrue(self.must_read(100 + STOOD_IN_S, rank=rank))
        self.assertFalse(self.must_read(100 + STOOD_IN_S))
        self.assertTrue(self.must_read(100.81, spread=0.0))
        self.assertFalse(self.must_read(100.81, spread=0.9))
        self.assertTrue(self.must_read(100 + MAX_AGE_S))

    def test_position_of_another_node_confirms_the_same_configuration(self):
        """What it knew of an earlier time changes nothing."""
        self.watch.receive_position("b", 5, 100.7, 100.8)
        self.watch.receive_position("c", 5, 99.0, 100.8)
        self.assertAlmostEqual(self.watch.find_age_s(101.0), 0.3)

    def test_position_of_another_configuration_does_not_confirm_this_one(self):
        """Neither an older one nor a newer one, until the latter is applied."""
        self.watch.receive_position("b", 4, 100.7, 100.8)
        self.watch.receive_position("c", 6, 100.8, 100.8)
        self.assertAlmostEqual(self.watch.find_age_s(101.0), 1.0)
        self.watch.set_offset(6)
        self.assertAlmostEqual(self.watch.find_age_s(101.0), 0.2)

    def test_unknown_time_confirms_nothing(self):
        """A node that never learnt how old its configuration is says so."""
        self.watch.receive_position("b", 5, None, 101.0)
        self.assertAlmostEqual(self.watch.find_age_s(101.0), 1.0)

    def test_time_in_the_future_counts_as_now(self):
        """A peer with a wrong clock makes no configuration young for long."""
        self.watch.receive_position("b", 5, 500.0, 100.1)
        self.assertAlmostEqual(self.watch.find_age_s(101.0), 0.9)

    def test_informed_nodes_are_asked_in_turn_then_the_log_is_read(self):
        """The forwarding tree gets a moment first."""
        for name in ("b", "c", "d"):
            self.watch.receive_position(name, 6, None, 100.1)
        self.assertIsNone(self.watch.choose_informed(100.2))
        self.assertEqual(self.watch.choose_informed(100.31), "d")
        self.assertIsNone(self.watch.choose_informed(100.4))
        self.assertEqual(self.watch.choose_informed(100.47), "c")
        self.assertIsNone(self.watch.choose_informed(100.9))
        self.assertFalse(self.must_read(100.59))
        self.assertTrue(self.must_read(100.1 + QUERIED_S))

    def test_nobody_is_asked_once_the_newer_configuration_has_come(self):
        """The next one starts anew."""
        self.watch.receive_position("b", 6, None, 100.1)
        self.watch.set_offset(6)
        self.assertIsNone(self.watch.choose_informed(101.0))
        self.watch.receive_position("b", 7, None, 101.0)
        self.assertEqual(self.watch.choose_informed(101.3), "b")

    def test_false_report_of_a_newer_configuration_ends_with_a_read(self):
        """A node that names an offset that does not exist causes one read."""
        self.watch.receive_position("b", 2**62, None, 100.1)
        self.assertTrue(self.must_read(100.7))
        self.watch.confirm(100.7)
        self.assertFalse(self.must_read(100.8))
        self.assertIsNone(self.watch.choose_informed(100.8))

    def test_slow_log_is_read_by_few_nodes_at_a_time(self):
        """The others wait longer the lower their precedence is."""
        self.watch.speed.note_answer(99.0, 1.0, 100.0)
        self.assertFalse(self.must_read(100.8, rank=1))
        self.assertTrue(self.must_read(100.86, rank=1))
        self.assertFalse(self.must_read(101.9))

    def test_old_configuration_is_accepted_no_longer_once_nothing_is_heard(self):
        """However long an answer took, and however low the node's precedence is."""
        self.watch.speed.note_answer(99.0, 60.0, 100.0)
        self.assertTrue(self.must_read(102.0 + READ_MARGIN_S, rank=1000))

    def test_fast_answer_to_any_node_ends_the_wait(self):
        """A node need not have read the log itself to learn that it is fast."""
        self.watch.speed.note_answer(99.0, 1.0, 100.0)
        self.watch.receive_speed(
            ConfigPosition(offset=5, age_us=200_000, response_us=4_000), 100.3
        )
        self.assertTrue(self.must_read(100 + MAX_AGE_S))

    def test_news_of_an_older_answer_changes_nothing(self):
        """It comes by way of another node."""
        self.watch.speed.note_answer(100.0, 0.01, 100.0)
        self.watch.receive_speed(
            ConfigPosition(offset=5, age_us=900_000, response_us=1_000_000), 100.3
        )
        self.assertTrue(self.must_read(100 + MAX_AGE_S))

    def test_position_names_the_answer_that_it_comes_from_only(self):
        """What another node confirmed without an answer says nothing of the log."""
        self.watch.speed.note_answer(100.0, 0.5, 100.5)
        self.assertEqual(self.watch.make_position(100.5).response_us, 500_000)
        self.watch.receive_position("b", 5, 100.6, 100.7)
        self.assertIsNone(self.watch.make_position(100.7).response_us)

    def test_suspended_node_does_not_know_the_age_of_its_configuration(self):
        """It reads the log as soon as it goes on."""
        self.watch.forget()
        self.assertTrue(self.must_read(100.01))
