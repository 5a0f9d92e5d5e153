"""Tests of papayatack.network.delivery_delay."""

import unittest

from papayatack.network.delivery_delay import DeliveryDelay

S = 1_000_000


class DeliveryDelayTests(unittest.TestCase):
    """The sender's clock is 40 s ahead of the receiver's."""

    def setUp(self):
        self.delay = DeliveryDelay()

    def measure(self, sent_s, transit_s, *, rate=1.0):
        """Return the measured delay of a message, in seconds."""
        now_us = int((sent_s + transit_s) * S)
        return self.delay.measure(now_us, int((sent_s * rate + 40.0) * S)) / S

    def test_first_message_has_no_delay(self):
        """There is no baseline yet."""
        self.assertEqual(self.measure(1.0, 3.0), 0.0)

    def test_message_without_send_time_has_no_delay(self):
        """Senders of an older version do not report it."""
        self.assertEqual(self.delay.measure(5 * S, None), 0)

    def test_delayed_message(self):
        """The delay is the excess over the fastest message's transit time."""
        self.measure(1.0, 0.001)
        self.assertAlmostEqual(self.measure(2.0, 5.001), 5.0, places=4)

    def test_pause_of_any_length_is_measured(self):
        """The baseline from before a pause outlasts the messages that it delayed."""
        self.measure(1.0, 0.001)
        for sent_s in (1.1, 9.0, 39.0):
            transit_s = 41.0 - sent_s
            self.assertAlmostEqual(
                self.measure(sent_s, transit_s), transit_s - 0.001, places=4
            )

    def test_clock_drift_is_not_measured_as_delay(self):
        """Expired baselines are replaced, however long the connection lasts."""
        delays = [self.measure(n * 1.0, 0.001, rate=0.999) for n in range(600)]
        self.assertLess(max(delays), 0.02)

    def answer(self, asked_s, sent_s, now_s, *, clock_s=40.0):
        """Record an answer of the sender, whose clock is so far ahead."""
        sent_us = int((sent_s + clock_s) * S)
        self.delay.measure_answer(int(now_s * S), sent_us, int(asked_s * S))

    def test_delay_is_at_most_a_round_trip_too_long(self):
        """Messages are late from the first one on."""
        self.measure(1.0, 0.9)
        self.answer(1.9, 1.901, 1.902)
        self.assertAlmostEqual(self.measure(2.0, 0.9), 0.9, delta=0.002)

    def test_slow_answer_leaves_the_estimate_uncertain(self):
        """The delay is rather too long than too short until a faster one comes."""
        self.answer(1.0, 2.0, 3.0)
        self.assertFalse(self.delay.is_certain)
        self.assertGreaterEqual(self.measure(3.0, 0.5), 0.5)
        self.answer(4.0, 4.001, 4.002)
        self.assertTrue(self.delay.is_certain)
        self.assertAlmostEqual(self.measure(5.0, 0.5), 0.5, delta=0.002)

    def test_clock_of_the_sender_that_stood_still_is_measured_again(self):
        """It was suspended for 7 s; its messages seem old until it answers."""
        self.answer(1.0, 1.001, 1.002)
        self.assertGreater(self.delay.measure(int(10.0 * S), int(43.0 * S)) / S, 6.9)
        self.answer(10.1, 10.101, 10.102, clock_s=33.0)
        delay_us = self.delay.measure(int(11.0 * S), int((10.999 + 33.0) * S))
        self.assertAlmostEqual(delay_us / S, 0.001, delta=0.002)

    def test_own_clock_that_stood_still_makes_no_message_too_old(self):
        """This process was suspended for 7 s; an answer sets the estimate right."""
        self.answer(1.0, 1.001, 1.002)
        self.assertGreaterEqual(self.delay.measure(int(3.0 * S), int(50.0 * S)), 0)
        self.answer(3.1, 3.101, 3.102, clock_s=47.0)
        delay_us = self.delay.measure(int(4.0 * S), int((3.5 + 47.0) * S))
        self.assertAlmostEqual(delay_us / S, 0.5, delta=0.002)

    def test_answer_is_needed_at_first_and_from_time_to_time(self):
        """Clocks drift apart."""
        self.assertTrue(self.delay.needs_answer(1 * S))
        self.answer(1.0, 1.001, 1.002)
        self.assertFalse(self.delay.needs_answer(2 * S))
        self.assertTrue(self.delay.needs_answer(62 * S))
