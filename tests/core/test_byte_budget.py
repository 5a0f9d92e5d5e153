"""Tests of papayatack.core.byte_budget.

The load: many bodies of legal size that stop short of their end, beside some that move.
"""

import unittest

from hypothesis import given, settings, strategies as st

from papayatack.core.byte_budget import PROGRESS_BYTES, REST_S, ByteBudget

KIB = 1024
LIMIT = 64 * KIB


class ByteBudgetTests(unittest.TestCase):
    """A budget of 64 KiB."""

    def setUp(self):
        self.ended = []
        self.budget = ByteBudget(limit_bytes=LIMIT)

    def open(self, now, name=""):
        """Return a holder that notes its end."""
        return self.budget.open(now, end=lambda: self.ended.append(name))

    def test_charges_beyond_the_limit_are_refused_while_others_move(self):
        first, second = self.open(0.0), self.open(0.0)
        self.assertTrue(self.budget.charge(0.0, first, LIMIT))
        self.assertFalse(self.budget.charge(REST_S / 2, second, 1))
        self.assertEqual(self.ended, [])

    def test_holders_at_rest_give_way_to_those_that_move(self):
        """Those that have rested longest go first, and no more than needed."""
        for number in range(4):
            holder = self.open(0.0, number)
            self.budget.charge(number / 100, holder, LIMIT // 4)
        moving = self.open(REST_S * 2, "moving")
        self.assertTrue(self.budget.charge(REST_S * 2, moving, LIMIT // 2))
        self.assertEqual(self.ended, [0, 1])

    def test_byte_now_and_then_is_no_progress(self):
        slow = self.open(0.0, "slow")
        self.budget.charge(0.0, slow, LIMIT - 10)
        for number in range(9):
            self.budget.charge(number / 4, slow, 1)
        other = self.open(3.0)
        self.assertTrue(self.budget.charge(3.0, other, PROGRESS_BYTES))
        self.assertEqual(self.ended, ["slow"])

    def test_released_and_closed_bytes_are_free_again(self):
        first, second = self.open(0.0), self.open(0.0)
        self.budget.charge(0.0, first, LIMIT)
        self.budget.release(first, LIMIT // 2)
        self.assertTrue(self.budget.charge(0.0, second, LIMIT // 2))
        self.budget.close(first)
        self.assertEqual(self.budget.held_bytes, LIMIT // 2)
        self.assertFalse(self.budget.charge(0.0, first, 1))

    def test_bodies_that_move_are_served_beside_a_crowd_that_does_not(self):
        """A hundred bodies stop at once; then one body at a time is read whole."""
        refused = 0
        for number in range(100):
            holder = self.open(0.0, number)
            refused += not self.budget.charge(0.0, holder, 4 * KIB)
        self.assertEqual(refused, 84)
        now = REST_S
        for _ in range(50):
            holder = self.open(now)
            for _ in range(8):
                now += 0.01
                self.assertTrue(self.budget.charge(now, holder, 8 * KIB))
                self.budget.release(holder, 8 * KIB)
            self.budget.close(holder)

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["charge", "release", "close", "wait"]),
                st.integers(0, 7),
                st.integers(1, LIMIT),
            ),
            max_size=60,
        )
    )
    def test_sum_of_the_holders_never_exceeds_the_limit(self, steps):
        budget = ByteBudget(limit_bytes=LIMIT)
        holders = [budget.open(0.0, end=lambda: None) for _ in range(8)]
        now = 0.0
        for action, number, size in steps:
            holder = holders[number]
            match action:
                case "charge":
                    budget.charge(now, holder, size)
                case "release":
                    budget.release(holder, size)
                case "close":
                    budget.close(holder)
                case "wait":
                    now += size / KIB / 32
            held = sum(holder.held_bytes for holder in holders)
            self.assertEqual(held, budget.held_bytes)
            self.assertLessEqual(held, LIMIT)
            self.assertTrue(all(holder.held_bytes >= 0 for holder in holders))
