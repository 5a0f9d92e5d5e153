"""Tests of papayatack.core.node_load."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.node_load import NodeLoad, ToldLoad, find_wait

SERVICE_S = 0.2


def build_load(occupied, **fields):
    """Return the load of a node with eight slots and so many requests."""
    values = {
        "wait_s": 0.0,
        "work_s": occupied * SERVICE_S,
        "slots": 8,
        "service_s": SERVICE_S,
    }
    return NodeLoad(**(values | fields))


LOADS = st.builds(
    NodeLoad,
    wait_s=st.floats(0.0, 3600.0),
    work_s=st.floats(0.0, 1e7),
    slots=st.integers(1, 100_000),
    service_s=st.floats(1e-6, 3600.0),
    requests_per_s=st.one_of(st.just(0.0), st.floats(0.001, 1e9)),
    pace=st.floats(0.01, 100.0),
)


class WaitTests(unittest.TestCase):
    """The expected wait for a slot."""

    def test_wait_is_nothing_with_a_free_slot_and_one_turn_with_none(self):
        """With all slots in use, the next one is free after an eighth of the work."""
        self.assertEqual(find_wait(7.0, 0.0, 8.0, SERVICE_S), 0.0)
        self.assertAlmostEqual(find_wait(8.0, 0.0, 8.0, SERVICE_S), SERVICE_S / 8)

    def test_uncertain_free_slot_means_a_wait(self):
        """The less is known of the last free slot, the longer the expected wait."""
        waits_s = [find_wait(7.0, spread, 8.0, SERVICE_S) for spread in (0.0, 1.0, 3.0)]
        self.assertEqual(waits_s, sorted(set(waits_s)))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        st.floats(0.0, 1e6), st.floats(0.0, 1e3), st.floats(0.01, 1e5), st.floats(0, 10)
    )
    def test_wait_is_finite_and_grows_with_what_is_occupied(
        self, occupied, spread, slots, service_s
    ):
        """More requests never mean a shorter wait."""
        wait_s = find_wait(occupied, spread, slots, service_s)
        more_s = find_wait(occupied + 1.0, spread, slots, service_s)
        self.assertTrue(math.isfinite(wait_s))
        self.assertGreaterEqual(wait_s, 0.0)
        self.assertGreaterEqual(more_s, wait_s - 1e-9 * (1.0 + wait_s))


class ToldLoadTests(unittest.TestCase):
    """The ageing of what a node told."""

    def test_own_requests_sent_since_are_added(self):
        """Each request that this node sent since makes the wait longer."""
        told = ToldLoad(0.0, build_load(8), own=2)
        waits_s = [told.estimate_times(0.0, own)[0] for own in (2, 3, 4)]
        for wait_s, occupied in zip(waits_s, (8, 9, 10), strict=True):
            self.assertAlmostEqual(wait_s, find_wait(occupied, 0.0, 8.0, SERVICE_S))

    def test_old_news_of_a_free_slot_is_doubted(self):
        """With its age, the expected wait moves to that at the mean of the news."""
        told = ToldLoad(0.0, build_load(10), own=0)
        for step in range(1, 50):
            told.update(step * 0.2, build_load(10), own=0)
        told.update(10.0, build_load(2), own=0)
        waits_s = [told.estimate_times(10.0 + age_s, 0)[0] for age_s in (0.0, 0.2, 1.5)]
        self.assertEqual(waits_s[0], 0.0)
        self.assertEqual(waits_s, sorted(set(waits_s)))

    def test_slow_moment_counts_less_with_its_age(self):
        """A node that was slow for a moment is not avoided for long."""
        told = ToldLoad(0.0, build_load(2, pace=3.0), own=0)
        services_s = [told.estimate_times(age_s, 0)[1] for age_s in (0.0, 0.5, 1.1)]
        self.assertAlmostEqual(services_s[0], 3 * SERVICE_S)
        self.assertEqual(services_s, sorted(services_s, reverse=True))
        self.assertEqual(services_s[-1], SERVICE_S)

    def test_limit_counts_as_fewer_slots(self):
        """Ten requests a second of 0.2 s each keep two slots busy."""
        limited = ToldLoad(0.0, build_load(4, requests_per_s=10.0), own=0)
        self.assertAlmostEqual(
            limited.estimate_times(0.0, 0)[0], find_wait(4.0, 0.0, 2.0, SERVICE_S)
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(LOADS, LOADS, st.floats(0.0, 1e4), st.integers(0, 10_000))
    def test_estimates_are_finite_whatever_is_told(self, first, second, age_s, own):
        """Any load within the bounds gives a finite estimate at any age."""
        hypothesis.assume(first.is_plausible and second.is_plausible)
        told = ToldLoad(0.0, first, own=own)
        told.update(age_s, second, own=own)
        for elapsed_s in (0.0, age_s):
            wait_s, service_s = told.estimate_times(age_s + elapsed_s, own)
            self.assertTrue(math.isfinite(wait_s) and math.isfinite(service_s))
            self.assertGreaterEqual(wait_s, 0.0)
            self.assertGreater(service_s, 0.0)
