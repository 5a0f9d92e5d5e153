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


class KeyModel:
    """Reference model that keeps a separate history for each key."""

    def __init__(self):
        self.entries = {key: RangeHistory(first=key, last=key) for key in range(KEYS)}

    def _change(self, keys, change):
        for key in range(keys[0], keys[1] + 1):
            entry = self.entries[key]
            self.entries[key] = dataclasses.replace(entry, **change(entry))

    def note_sent(self, keys, token, until_s):
        """Record a grant."""
        self._change(
            keys,
            lambda entry: {
                "token": max(token, entry.token),
                "expires_s": max(until_s, entry.expires_s),
            },
        )

    def note_unanswered(self, keys, until_s):
        """Record a grant without an answer."""
        self._change(
            keys,
            lambda entry: {
                "unanswered_until_s": max(until_s, entry.unanswered_until_s)
            },
        )

    def note_released(self, keys, token):
        """Record a release."""
        self._change(
            keys, lambda entry: {"expires_s": NEVER} if entry.token <= token else {}
        )

    def record_restart(self, is_certain):
        """Begin a new upstream process."""
        self._change(
            (0, KEYS - 1),
            lambda entry: {
                "token": 0,
                "expires_s": NEVER,
                "unanswered_until_s": NEVER,
                "previous_token": max(entry.previous_token, entry.token),
                "previous_until_s": NEVER if is_certain else entry.latest_expiry_s,
            },
        )


class GrantHistoryTests(unittest.TestCase):
    """History of each key, however grants cover it."""

    @given(steps=st.lists(_steps, max_size=30))
    def test_ranges_match_a_model_of_each_key(self, steps):
        """Ranges may overlap in any way; together they must cover every key once."""
        history, model = GrantHistory(), KeyModel()
        for name, *values in steps:
            getattr(model, name)(*values)
            if name == "record_restart":
                history.record_restart(is_certain=values[0])
            else:
                (first, last), *rest = values
                getattr(history, name)(first, last, *rest)
            entries = list(history.list_ranges(0, KEYS - 1))
            found = {
                key: dataclasses.replace(entry, first=key, last=key)
                for entry in entries
                for key in range(entry.first, entry.last + 1)
            }
            self.assertEqual(found, model.entries)
            self.assertEqual(sum(p.last - p.first + 1 for p in entries), KEYS)

    def test_token_below_the_highest_sent_is_refused(self):
        """An equal token is accepted, because it renews the grant."""
        history = GrantHistory()
        history.note_sent(0, 7, 5, 1.0)
        (entry,) = history.list_ranges(0, 7)
        self.assertEqual(
            [entry.accepts_token(token, 0.0) for token in (4, 5, 6)], [0, 1, 1]
        )

    def test_next_process_accepts_only_a_higher_token(self):
        """An equal token would be that of a second holder."""
        history = GrantHistory()
        history.note_sent(0, 7, 5, 1.0)
        history.record_restart(is_certain=True)
        (entry,) = history.list_ranges(0, 7)
        self.assertEqual([entry.accepts_token(token, 0.0) for token in (5, 6)], [0, 1])

    def test_process_that_may_still_run_holds_its_keys_until_expiry(self):
        """Grants to the next process wait until then."""
        history = GrantHistory()
        history.note_sent(0, 7, 5, 1.0)
        history.record_restart(is_certain=False, delivery_s=0.5)
        (entry,) = history.list_ranges(0, 7)
        self.assertEqual([entry.accepts_token(6, now) for now in (1.4, 1.5)], [0, 1])
        self.assertEqual(entry.latest_expiry_s, 1.5)

    def test_keys_of_an_interrupted_process_accept_a_higher_token_at_once(self):
        """It may still hold them, and nobody else can."""
        history = GrantHistory()
        history.note_sent(0, 7, 5, 1.0)
        history.record_interruption(delivery_s=0.5)
        (entry,) = history.list_ranges(0, 7)
        self.assertEqual([entry.accepts_token(token, 0.0) for token in (5, 6)], [0, 1])
        self.assertEqual(entry.latest_expiry_s, 1.5)

    def test_grant_sent_after_the_release_stays_valid(self):
        """The answer to the release may arrive after that grant was sent."""
        history = GrantHistory()
        history.note_sent(0, 7, 5, 1.0)
        history.note_sent(0, 7, 6, 2.0)
        history.note_released(0, 7, 5)
        (entry,) = history.list_ranges(0, 7)
        self.assertEqual(entry.latest_expiry_s, 2.0)
