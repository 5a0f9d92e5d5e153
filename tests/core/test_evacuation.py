"""Tests of papayatack.core.evacuation."""

import math
import unittest

from hypothesis import given, strategies as st

from papayatack.core.evacuation import (
    EVACUATION_S,
    OWN_MOVE_DELAY_S,
    SEND_MARGIN_S,
    SETTLE_S,
    Evacuations,
)

TIMES_S = st.floats(min_value=0.0, max_value=1_000.0)


class EvacuationTests(unittest.TestCase):
    """Times that follow from an order."""

    def setUp(self):
        self.evacuations = Evacuations()

    def order(self, *names, current_s=10.0, now=10.3):
        """Apply a set of evacuated data centres."""
        return self.evacuations.update(names, current_s=current_s, now=now)

    def test_without_an_order_everything_is_allowed(self):
        """No data centre has an end."""
        self.assertTrue(self.evacuations.may_send("east", 1e9))
        self.assertFalse(self.evacuations.must_stop_serving("east", 1e9))
        self.assertFalse(self.evacuations.must_move_own("east", -math.inf, 1e9))
        self.assertEqual(self.evacuations.list_moving(1e9), frozenset())

    def test_only_the_ordered_data_centre_ends(self):
        """Another one is used as before."""
        self.assertEqual(self.order("east"), (["east"], []))
        self.assertTrue(self.evacuations.may_send("east", 14.4))
        self.assertFalse(self.evacuations.may_send("east", 14.5))
        self.assertTrue(self.evacuations.may_send("west", 1e9))

    def test_node_that_learned_late_has_less_time(self):
        """Its time counts from its last certain knowledge, and it moves sooner."""
        self.order("east", current_s=10.0, now=13.5)
        self.assertTrue(self.evacuations.must_move_own("east", 13.5, 13.5))
        self.assertTrue(self.evacuations.may_send("east", 13.6))
        self.order("east", "west", current_s=-math.inf, now=20.0)
        self.assertFalse(self.evacuations.may_send("west", 20.0))
        self.assertTrue(self.evacuations.must_stop_serving("west", 20.0))

    def test_order_that_goes_on_keeps_its_time(self):
        """A further data centre does not prolong the first one."""
        self.order("east")
        end_s = self.evacuations.find_end_s("east")
        self.assertEqual(self.order("east", "west", now=12.0), (["west"], []))
        self.assertEqual(self.evacuations.find_end_s("east"), end_s)

    def test_order_taken_back_at_once_moves_nothing(self):
        """The planner waits for a moment; the return is known afterwards."""
        self.order("east")
        self.assertEqual(self.evacuations.list_moving(10.3 + SETTLE_S / 2), set())
        self.assertEqual(self.evacuations.find_returned_s("east"), -math.inf)
        self.assertEqual(self.order(now=10.9), ([], ["east"]))
        self.assertEqual(self.evacuations.find_returned_s("east"), 10.9)
        self.assertTrue(self.evacuations.may_send("east", 1e9))
        self.assertEqual(self.evacuations.list_moving(1e9), frozenset())

    def test_standstill_ends_every_order(self):
        """Its length is unknown."""
        self.order("east")
        self.evacuations.expire()
        self.assertFalse(self.evacuations.may_send("east", 10.4))
        self.assertTrue(self.evacuations.may_send("west", 10.4))

    @given(
        issued_s=TIMES_S,
        age_s=st.floats(min_value=0.0, max_value=100.0),
        delay_s=st.floats(min_value=0.0, max_value=100.0),
        bound_s=st.floats(min_value=1.0, max_value=30.0),
        after_s=st.floats(min_value=0.0, max_value=1_000.0),
    )
    def test_nothing_is_sent_after_the_bound(
        self, issued_s, age_s, delay_s, bound_s, after_s
    ):
        """However late a node learns of an order, and however old its knowledge was."""
        evacuations = Evacuations(bound_s=bound_s)
        evacuations.update({"east"}, current_s=issued_s - age_s, now=issued_s + delay_s)
        end_s = evacuations.find_end_s("east")
        self.assertLessEqual(end_s, issued_s + bound_s - SEND_MARGIN_S)
        now = issued_s + bound_s - SEND_MARGIN_S + after_s
        self.assertFalse(evacuations.may_send("east", now))
        self.assertTrue(evacuations.must_stop_serving("east", now))

    @given(now=TIMES_S, age_s=st.floats(min_value=0.0, max_value=1.0))
    def test_steps_follow_each_other_where_the_order_is_known_in_time(self, now, age_s):
        """The planner, the node itself, the end of service, the end of sending."""
        evacuations = Evacuations(bound_s=EVACUATION_S)
        evacuations.update({"east"}, current_s=now - age_s, now=now)
        moving_s, own_s = now + SETTLE_S, now + OWN_MOVE_DELAY_S
        self.assertEqual(evacuations.list_moving(moving_s + 1e-6), {"east"})
        self.assertFalse(evacuations.must_move_own("east", now, moving_s))
        self.assertTrue(evacuations.must_move_own("east", now, own_s + 1e-6))
        self.assertFalse(evacuations.must_move_own("east", own_s, own_s + 1e-6))
        self.assertFalse(evacuations.must_stop_serving("east", own_s))
        end_s = evacuations.find_end_s("east")
        self.assertTrue(evacuations.must_move_own("east", end_s, end_s - 1.0))
        self.assertTrue(evacuations.must_stop_serving("east", end_s - 1e-6))
        self.assertTrue(evacuations.may_send("east", end_s - 1e-6))
        self.assertFalse(evacuations.may_send("east", end_s))
