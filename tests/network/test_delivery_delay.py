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
