"""Tests of papayatack.network.delivery_delay."""

import unittest

from papayatack.network.delivery_delay import DeliveryDelay

S = 1_000_000


class LagTests(unittest.TestCase):
    """Two clocks, the second of which is 40 s ahead."""

    def setUp(self):
        self.lag = DeliveryDelay()

    def measure(self, sent_s, took_s, *, rate=1.0):
        """Return by how many seconds a message is found late."""
        now_us = int((sent_s + took_s) * S)
        return self.lag.measure(now_us, int((sent_s * rate + 40.0) * S)) / S

    def test_first_message_is_not_late(self):
        """Nothing is known yet."""
        self.assertEqual(self.measure(1.0, 3.0), 0.0)

    def test_sender_that_does_not_tell(self):
        """It runs an older version."""
        self.assertEqual(self.lag.measure(5 * S, None), 0)

    def test_held_up_message_is_late(self):
        """By all that it took longer than the fastest."""
        self.measure(1.0, 0.001)
        self.assertAlmostEqual(self.measure(2.0, 5.001), 5.0, places=4)

    def test_pause_of_any_length_is_found(self):
        """What was measured before it counts until after the messages it held up."""
        self.measure(1.0, 0.001)
        for sent_s in (1.1, 9.0, 39.0):
            took_s = 41.0 - sent_s
            self.assertAlmostEqual(
                self.measure(sent_s, took_s), took_s - 0.001, places=4
            )

    def test_clocks_that_drift_apart(self):
        """Messages are not late for that, however long the connection lasts."""
        found = [self.measure(n * 1.0, 0.001, rate=0.999) for n in range(600)]
        self.assertLess(max(found), 0.02)
