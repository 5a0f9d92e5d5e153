"""Tests of papayatack.core.quarantine.table and of the merge of suspicions."""

import dataclasses
import unittest

from hypothesis import given, strategies as st

from papayatack.core.quarantine import QUARANTINE_ROUNDS, Suspicion, SuspicionTable
from papayatack.core.quarantine.table import MAX_CALLER_SUSPICIONS, MAX_SUSPICIONS

_suspicions = st.builds(
    Suspicion,
    fingerprint=st.sampled_from(["f1", "f2", "f3"]),
    head=st.just("h"),
    service_name=st.just("desk"),
    caller=st.just("papers"),
    generation=st.integers(0, 2),
    rounds=st.integers(0, 4),
    is_shared=st.booleans(),
)


def build(number, *, rounds=1, caller="papers"):
    """Return the suspicion of a request."""
    return Suspicion(
        fingerprint=f"f{number}",
        head=f"h{number}",
        service_name="desk",
        caller=caller,
        rounds=rounds,
    )


def rank_all(table):
    """Return what the table knows of each request."""
    return {item.fingerprint: item.rank for item in table.list_all()}


class MergeTests(unittest.TestCase):
    """Suspicions in any order, lost or repeated."""

    @given(
        st.lists(_suspicions, max_size=12).flatmap(
            lambda items: st.tuples(st.just(items), st.permutations(items + items))
        )
    )
    def test_order_and_repeats_do_not_matter(self, orders):
        first, second = SuspicionTable(), SuspicionTable()
        for table, items in zip((first, second), orders, strict=True):
            for item in items:
                table.merge(item)
        self.assertEqual(rank_all(first), rank_all(second))

    def test_report_of_a_crash_before_a_clearance_does_not_undo_it(self):
        table = SuspicionTable()
        crashed = build(1, rounds=QUARANTINE_ROUNDS)
        table.merge(crashed)
        table.merge(crashed.clear("r"))
        self.assertFalse(table.merge(dataclasses.replace(crashed, rounds=9)))
        self.assertFalse(table.find("f1").is_open)

    def test_heads_are_known_while_a_suspicion_has_them(self):
        table = SuspicionTable()
        table.merge(build(1))
        self.assertTrue(table.matches("h1"))
        table.remove("f1")
        self.assertFalse(table.matches("h1"))


class BoundTests(unittest.TestCase):
    """A table that is full."""

    def test_caller_with_many_suspicions_pushes_out_only_its_own(self):
        table = SuspicionTable()
        table.merge(build(0, caller="other"))
        table.merge(build(1, rounds=QUARANTINE_ROUNDS))
        for number in range(2, MAX_CALLER_SUSPICIONS + 10):
            table.merge(build(number))
        self.assertEqual(len(table), MAX_CALLER_SUSPICIONS + 1)
        self.assertIsNotNone(table.find("f0"))
        self.assertTrue(table.find("f1").is_quarantined)

    def test_quarantined_request_outlasts_suspicions_of_many_callers(self):
        table = SuspicionTable()
        table.merge(build(0, rounds=QUARANTINE_ROUNDS))
        for number in range(1, MAX_SUSPICIONS + 10):
            table.merge(build(number, caller=f"c{number}"))
        self.assertEqual(len(table), MAX_SUSPICIONS)
        self.assertTrue(table.find("f0").is_quarantined)
