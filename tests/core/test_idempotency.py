"""Tests of papayatack.core.idempotency.store."""

import unittest

import hypothesis
from hypothesis import strategies as st

from papayatack.core.errors import ErrorKind, Outcome
from papayatack.core.idempotency import (
    IdempotencyStore,
    Join,
    PriorOutcomes,
    Refuse,
    Replay,
    Run,
    StoredResponse,
)

SHARD = "orders/all/1"
WINDOW_S = 600.0
RESPONSE = StoredResponse(status=201, headers=((b"a", b"b"),), body=b"made")


def build_store(*, prior_outcomes=PriorOutcomes.NONE, token=1, now=0.0, **limits):
    """Return a store with the shard opened."""
    store = IdempotencyStore(window_s=WINDOW_S, **limits)
    store.open_shard(now, SHARD, token=token, prior_outcomes=prior_outcomes)
    return store


def finish(store, now, key, outcome=Outcome.ANSWERED, response=RESPONSE):
    """Complete the running request of a key."""
    if outcome is not Outcome.ANSWERED:
        response = None
    return store.complete(now, SHARD, key, outcome=outcome, response=response)


def hand_over(old, new, now):
    """Move all outcomes of the shard from one store to another."""
    for part in old.export_shard(now, SHARD, max_bytes=200):
        new.import_part(now, part)
    old.close_shard(SHARD)


class RepeatTests(unittest.TestCase):
    """Repeats of a key under one owner."""

    def check_refused(self, decision, kind):
        """Check that a decision is a refusal with this error kind."""
        self.assertIsInstance(decision, Refuse)
        self.assertEqual(decision.refusal.kind, kind)

    def test_repeat_gets_stored_response(self):
        """A repeat within the window gets the complete first response."""
        store = build_store()
        self.assertEqual(store.begin(0.0, SHARD, "k", b"f"), Run())
        finish(store, 1.0, "k")
        repeat = store.begin(600.0, SHARD, "k", b"f")
        self.assertEqual(repeat, Replay(response=RESPONSE))

    def test_outcome_expires_after_window(self):
        """After the window the key counts as new and its old record is gone."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k")
        self.assertEqual(store.begin(601.0, SHARD, "k", b"f"), Run())
        self.assertEqual(store.entries, 1)

    def test_concurrent_repeats_wait(self):
        """Repeats wait for a running request, whose completion returns their ids."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        first = store.begin(0.0, SHARD, "k", b"f")
        second = store.begin(0.0, SHARD, "k", b"f")
        store.remove_waiter(SHARD, "k", first.waiter_id)
        self.assertIsInstance(second, Join)
        self.assertEqual(finish(store, 1.0, "k"), (second.waiter_id,))

    def test_different_request_with_same_key_is_refused(self):
        """A different request with a used key is a mismatch."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        self.check_refused(
            store.begin(0.0, SHARD, "k", b"g"), ErrorKind.IDEMPOTENCY_MISMATCH
        )

    def test_outcome_not_run_frees_key(self):
        """A request that is known not to have run may be sent again."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k", Outcome.NOT_RUN)
        self.assertEqual(store.begin(2.0, SHARD, "k", b"f"), Run())

    def test_unknown_outcome_is_not_run_again(self):
        """A request whose outcome is unknown is not run again within the window."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k", Outcome.UNKNOWN)
        self.check_refused(
            store.begin(2.0, SHARD, "k", b"f"), ErrorKind.IDEMPOTENCY_UNKNOWN
        )

    def test_second_completion_is_ignored(self):
        """A second completion does not overwrite the first outcome."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k")
        finish(store, 2.0, "k", Outcome.NOT_RUN)
        self.assertIsInstance(store.begin(3.0, SHARD, "k", b"f"), Replay)

    def test_unopened_shard_is_refused(self):
        """Requests for a shard that was never opened are refused as not owned."""
        store = build_store()
        self.check_refused(
            store.begin(0.0, "orders/all/2", "k", b"f"), ErrorKind.NOT_OWNER
        )


class MemoryTests(unittest.TestCase):
    """Limits on memory."""

    def test_old_responses_are_discarded_but_keys_kept(self):
        """Out of memory, old responses are discarded but their keys stay reserved."""
        response = StoredResponse(status=200, body=b"x" * 1000)
        store = build_store(max_bytes=5000)
        for number in range(10):
            self.assertEqual(store.begin(0.0, SHARD, f"k{number}", b"f"), Run())
            finish(store, 0.0, f"k{number}", response=response)
            self.assertLessEqual(store.size, 5000)
        oldest = store.begin(1.0, SHARD, "k0", b"f")
        self.assertEqual(oldest.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertIsInstance(store.begin(1.0, SHARD, "k9", b"f"), Replay)

    def test_new_keys_are_refused_when_full(self):
        """A full store refuses new keys and keeps all recorded ones."""
        store = build_store(max_entries=2)
        for key in "ab":
            store.begin(0.0, SHARD, key, b"f")
            finish(store, 0.0, key)
        refused = store.begin(1.0, SHARD, "c", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.QUEUE_FULL)
        self.assertIsInstance(store.begin(1.0, SHARD, "a", b"f"), Replay)
        self.assertEqual(store.begin(601.0, SHARD, "c", b"f"), Run())

    def test_large_response_is_not_stored(self):
        """A response above the size limit is not stored, but its key stays reserved."""
        store = build_store(max_response_bytes=10)
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 0.0, "k", response=StoredResponse(status=200, body=b"x" * 11))
        repeat = store.begin(1.0, SHARD, "k", b"f")
        self.assertEqual(repeat.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)

    def test_closing_shard_frees_its_memory(self):
        """Closing a shard removes all its records and responses."""
        store = build_store()
        for number in range(100):
            store.begin(0.0, SHARD, f"k{number}", b"f")
            if number % 2:
                finish(store, 0.0, f"k{number}")
        store.close_shard(SHARD)
        self.assertEqual((store.entries, store.size), (0, 0))


class TakeoverTests(unittest.TestCase):
    """New owners after a release and after the loss of an owner."""

    def test_released_shard_keeps_outcomes(self):
        """After a handover the new owner decides as the previous one would."""
        old = build_store()
        for number in range(20):
            old.begin(0.0, SHARD, f"k{number}", b"f")
            finish(old, 0.0, f"k{number}")
        new = build_store(prior_outcomes=PriorOutcomes.EXPECTED, token=2)
        waiting = new.begin(0.0, SHARD, "k3", b"f")
        self.assertEqual(waiting.refusal.kind, ErrorKind.NO_OWNER)
        hand_over(old, new, 100.0)
        self.assertEqual(new.begin(599.0, SHARD, "k3", b"f"), Replay(response=RESPONSE))
        self.assertEqual(new.begin(599.0, SHARD, "fresh", b"f"), Run())
        self.assertEqual(new.begin(601.0, SHARD, "k4", b"f"), Run())

    def test_duplicate_and_out_of_order_parts_are_ignored(self):
        """Outcomes are split into parts, which are imported once and in order."""
        old = build_store()
        for number in range(20):
            old.begin(0.0, SHARD, f"k{number}", b"f")
        parts = old.export_shard(0.0, SHARD, max_bytes=200)
        self.assertGreater(len(parts), 5)
        new = build_store(prior_outcomes=PriorOutcomes.EXPECTED, token=2)
        self.assertFalse(new.import_part(0.0, parts[1]))
        self.assertTrue(new.import_part(0.0, parts[0]))
        self.assertFalse(new.import_part(0.0, parts[0]))
        for part in parts[1:]:
            self.assertTrue(new.import_part(0.0, part))
        self.assertEqual(new.entries, 20)

    def test_unrecorded_key_is_unknown_after_owner_loss(self):
        """After a loss, keys without a token are refused until the window ends."""
        store = build_store(prior_outcomes=PriorOutcomes.LOST, token=7, now=50.0)
        refused = store.begin(60.0, SHARD, "k", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(refused.token, 7)
        self.assertEqual(store.begin(651.0, SHARD, "k", b"f"), Run())

    def test_first_attempt_token_of_new_owner_permits_run(self):
        """After a loss, a key runs if it was first used under the new owner."""
        store = build_store(prior_outcomes=PriorOutcomes.LOST, token=7)
        earlier = store.begin(1.0, SHARD, "k", b"f", first_attempt_token=6)
        self.assertEqual(earlier.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(
            store.begin(1.0, SHARD, "fresh", b"f", first_attempt_token=7), Run()
        )
        repeat = store.begin(1.0, SHARD, "fresh", b"f", first_attempt_token=7)
        self.assertIsInstance(repeat, Join)

    def test_first_attempt_token_of_lost_owner_is_refused(self):
        """A first-attempt token that an owner issued is invalid after its loss."""
        store = build_store(prior_outcomes=PriorOutcomes.LOST, token=9)
        refused = store.begin(1.0, SHARD, "k", b"f", first_attempt_token=7)
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)

    def test_incomplete_handover_counts_as_loss(self):
        """If an owner fails during a handover, keys not received are unknown."""
        old = build_store()
        for number in range(20):
            old.begin(0.0, SHARD, f"k{number}", b"f")
        new = build_store(prior_outcomes=PriorOutcomes.EXPECTED, token=2)
        new.import_part(0.0, old.export_shard(0.0, SHARD, max_bytes=200)[0])
        new.abandon_handover(1.0, SHARD)
        refused = new.begin(2.0, SHARD, "k19", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)

    def test_unknown_period_is_handed_over(self):
        """A handover tells the next owner that keys of a lost owner are unknown."""
        old = build_store(prior_outcomes=PriorOutcomes.LOST, token=7)
        new = build_store(prior_outcomes=PriorOutcomes.EXPECTED, token=8)
        hand_over(old, new, 100.0)
        refused = new.begin(200.0, SHARD, "k", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(new.begin(601.0, SHARD, "k", b"f"), Run())

    def test_retained_outcomes_survive_new_token(self):
        """A new token for the same owner keeps the recorded outcomes."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 0.0, "k")
        store.open_shard(1.0, SHARD, token=2, prior_outcomes=PriorOutcomes.RETAINED)
        self.assertIsInstance(store.begin(2.0, SHARD, "k", b"f"), Replay)

    def test_retained_without_records_counts_as_loss(self):
        """A node without records of the shard cannot have retained its outcomes."""
        store = build_store(prior_outcomes=PriorOutcomes.RETAINED, token=3)
        refused = store.begin(1.0, SHARD, "k", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)


STEP = st.one_of(
    st.tuples(st.just("send"), st.sampled_from("abc"), st.booleans()),
    st.tuples(st.just("end"), st.sampled_from("abc"), st.sampled_from(Outcome)),
    st.tuples(st.just("release"), st.just(""), st.just(0)),
    st.tuples(st.just("lose"), st.just(""), st.just(0)),
    st.tuples(st.just("wait"), st.just(""), st.integers(1, 250)),
)


class _Chain:
    """A succession of owners, and callers that repeat requests with the same keys."""

    def __init__(self):
        self.now = 0.0
        self.token = 1
        self.store = build_store(max_bytes=600)
        self.since = {}
        self.may_have_run_s = {}

    def send(self, key, states_first):
        """Send a request; a caller may include the token of its first attempt."""
        if key not in self.since and states_first:
            self.since[key] = self.token
        self.since.setdefault(key, None)
        decision = self.store.begin(
            self.now, SHARD, key, b"f", first_attempt_token=self.since[key]
        )
        if isinstance(decision, Run):
            last_s = self.may_have_run_s.get(key)
            if last_s is not None and self.now < last_s + WINDOW_S:
                raise AssertionError(f"{key} ran twice within the window")
            self.may_have_run_s[key] = self.now

    def end(self, key, outcome):
        """Complete the running request of a key."""
        finish(self.store, self.now, key, outcome)
        if outcome is Outcome.NOT_RUN and self.is_freed(key):
            del self.may_have_run_s[key]

    def is_freed(self, key):
        """Return whether completing the request removed the key's record."""
        state = self.store._shards[SHARD]
        return key in self.may_have_run_s and key not in state.records

    def release(self, _key, _value):
        """Hand the shard over to the next owner."""
        self.token += 1
        new = build_store(
            prior_outcomes=PriorOutcomes.EXPECTED, token=self.token, max_bytes=600
        )
        hand_over(self.store, new, self.now)
        self.store = new

    def lose(self, _key, _value):
        """Replace the owner by one without its outcomes."""
        self.token += 1
        self.store = build_store(
            prior_outcomes=PriorOutcomes.LOST,
            token=self.token,
            now=self.now,
            max_bytes=600,
        )

    def wait(self, _key, seconds):
        """Advance the time."""
        self.now += seconds


class AtMostOnceTests(unittest.TestCase):
    """At most one run per key and window over any sequence of owners."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.lists(STEP, max_size=40))
    def test_key_runs_at_most_once_in_window(self, steps):
        """A key that may have run is not run again, whichever owners follow."""
        chain = _Chain()
        for action, key, value in steps:
            getattr(chain, action)(key, value)
