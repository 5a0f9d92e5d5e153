"""Tests of how soon a configuration is in force where nodes get too little time."""

import unittest

from papayatack.core.config_watch import ConfigWatch
from tests.fakes.stalls import measure_delayed_spread, measure_stalled_spread

CONFIG_APPLY_S = 2.0
SEEDS = range(3)
LAST_RANK = 9
DELAY_S = 0.2
US_PER_S = 1_000_000
STORED_S = 100.0


class ConfigDelayTests(unittest.TestCase):
    """The lead is lost as a configuration is stored."""

    def list_late(self, measure, *shape):
        """Return the longest delay of each seed with one that is too long."""
        longest_s = {seed: max(measure(*shape, seed)) for seed in SEEDS}
        return {
            seed: delay for seed, delay in longest_s.items() if delay > CONFIG_APPLY_S
        }

    def test_no_configuration_is_late_where_each_message_takes_a_fifth_of_a_second(
        self,
    ):
        """Every node reads the log itself if nobody tells it in time."""
        self.assertEqual(self.list_late(measure_delayed_spread, 0.2, 0.2), {})

    def test_no_configuration_is_late_where_messages_overtake_each_other(self):
        """Each takes up to 0.4 s."""
        self.assertEqual(self.list_late(measure_delayed_spread, 0.0, 0.4), {})

    def test_no_configuration_is_late_where_nodes_stand_still_again_and_again(self):
        """Each node runs for 0.1 s of each 0.3 s."""
        self.assertEqual(self.list_late(measure_stalled_spread, 0.2, 0.1), {})


def exchange_positions(watches):
    """Have two nodes tell each other again and again; return the time at the end."""
    now = STORED_S
    for turn in range(20):
        sender, recipient = watches[turn % 2], watches[1 - turn % 2]
        position = sender.make_position(now)
        now += DELAY_S
        recipient.receive_position(
            "peer", 5, now - position.age_us / US_PER_S, now, read=position.read
        )
        recipient.receive_speed(position, now)
    return now


class ExchangedAgeTests(unittest.TestCase):
    """Two nodes tell each other when their configuration was the newest for certain."""

    def test_age_grows_though_two_nodes_tell_each_other_late(self):
        """Nobody reads the log; each message takes a while."""
        watches = [ConfigWatch(reader=name) for name in "ab"]
        for watch in watches:
            watch.set_offset(5)
            watch.confirm(STORED_S)
        now = exchange_positions(watches)
        self.assertTrue(
            all(
                watch.must_read_log(now, rank=LAST_RANK, spread=1.0)
                for watch in watches
            )
        )

    def test_log_counts_as_fast_again_though_two_nodes_tell_each_other_late(self):
        """One answer was slow; nobody reads the log after it."""
        watches = [ConfigWatch(reader=name) for name in "ab"]
        for watch in watches:
            watch.set_offset(5)
        watches[0].confirm(STORED_S)
        watches[0].speed.note_answer(STORED_S, 1.0, STORED_S)
        now = exchange_positions(watches)
        self.assertFalse(any(watch.speed.is_slow(now) for watch in watches))
