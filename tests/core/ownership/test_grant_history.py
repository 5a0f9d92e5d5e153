"""Tests of papayatack.core.ownership.grant_history."""

import dataclasses
import unittest

from hypothesis import given, strategies as st

from papayatack.core.ownership.grant_history import GrantHistory, RangeHistory

KEYS = 24
NEVER = float("-inf")
_ranges = st.tuples(st.integers(0, KEYS - 1), st.integers(0, KEYS - 1)).map(sorted)
_times = st.integers(0, 9).map(float)
_steps = st.one_of(
    st.tuples(st.just("note_sent"), _ranges, st.integers(1, 5), _times),
    st.tuples(st.just("note_unanswered"), _ranges, _times),
    st.tuples(st.just("note_released"), _ranges, st.integers(0, 5)),
    st.tuples(st.just("record_restart"), st.booleans()),
)


class Keys:
    """The same map, kept for each key by itself."""

    def __init__(self):
        self.parts = {key: RangeHistory(first=key, last=key) for key in range(KEYS)}

    def _change(self, keys, change):
        for key in range(keys[0], keys[1] + 1):
            part = self.parts[key]
            self.parts[key] = dataclasses.replace(part, **change(part))

    def note_sent(self, keys, token, until_s):
        """Note a grant."""
        self._change(
            keys,
            lambda part: {
                "token": max(token, part.token),
                "until_s": max(until_s, part.until_s),
            },
        )

    def note_unanswered(self, keys, late_s):
        """Note a grant without an answer."""
        self._change(keys, lambda part: {"late_s": max(late_s, part.late_s)})

    def note_released(self, keys, token):
        """Note a release."""
        self._change(
            keys, lambda part: {"until_s": NEVER} if part.token <= token else {}
        )

    def record_restart(self, is_certain):
        """Begin a new life."""
        self._change(
            (0, KEYS - 1),
            lambda part: {
                "token": 0,
                "until_s": NEVER,
                "late_s": NEVER,
                "spent": max(part.spent, part.token),
                "former_s": NEVER if is_certain else part.latest_expiry_s,
            },
        )


class HoldingsTests(unittest.TestCase):
    """What is known of each key."""

    @given(steps=st.lists(_steps, max_size=30))
    def test_ranges_tell_of_each_key_what_was_noted_of_it(self, steps):
        """However ranges overlap, and with parts that neither overlap nor end early."""
        holdings, keys = GrantHistory(), Keys()
        for name, *values in steps:
            getattr(keys, name)(*values)
            if name == "record_restart":
                holdings.record_restart(is_certain=values[0])
            else:
                (first, last), *rest = values
                getattr(holdings, name)(first, last, *rest)
            parts = list(holdings.list_ranges(0, KEYS - 1))
            found = {
                key: dataclasses.replace(part, first=key, last=key)
                for part in parts
                for key in range(part.first, part.last + 1)
            }
            self.assertEqual(found, keys.parts)
            self.assertEqual(sum(p.last - p.first + 1 for p in parts), KEYS)

    def test_token_below_the_highest_that_was_sent_may_not_be_taken(self):
        """The same one may: it renews the grant."""
        holdings = GrantHistory()
        holdings.note_sent(0, 7, 5, 1.0)
        (part,) = holdings.list_ranges(0, 7)
        self.assertEqual(
            [part.accepts_token(token, 0.0) for token in (4, 5, 6)], [0, 1, 1]
        )

    def test_next_life_takes_a_higher_token_alone(self):
        """The same one would be a second holder's."""
        holdings = GrantHistory()
        holdings.note_sent(0, 7, 5, 1.0)
        holdings.record_restart(is_certain=True)
        (part,) = holdings.list_ranges(0, 7)
        self.assertEqual([part.accepts_token(token, 0.0) for token in (5, 6)], [0, 1])

    def test_life_that_may_go_on_holds_its_keys_until_they_run_out(self):
        """Grants of the next one wait for that."""
        holdings = GrantHistory()
        holdings.note_sent(0, 7, 5, 1.0)
        holdings.record_restart(is_certain=False, delivery_s=0.5)
        (part,) = holdings.list_ranges(0, 7)
        self.assertEqual([part.accepts_token(6, now) for now in (1.4, 1.5)], [0, 1])
        self.assertEqual(part.latest_expiry_s, 1.5)

    def test_grant_that_was_sent_after_the_release_stands(self):
        """The answer to a release may come after it."""
        holdings = GrantHistory()
        holdings.note_sent(0, 7, 5, 1.0)
        holdings.note_sent(0, 7, 6, 2.0)
        holdings.note_released(0, 7, 5)
        (part,) = holdings.list_ranges(0, 7)
        self.assertEqual(part.latest_expiry_s, 2.0)
