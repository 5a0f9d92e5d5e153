"""Tests of papayatack.core.idempotency."""

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
    """Return a store that owns the shard."""
    store = IdempotencyStore(window_s=WINDOW_S, **limits)
    store.open_shard(now, SHARD, token=token, prior_outcomes=prior_outcomes)
    return store


def finish(store, now, key, outcome=Outcome.ANSWERED, response=RESPONSE):
    """Complete a running key."""
    if outcome is not Outcome.ANSWERED:
        response = None
    return store.complete(now, SHARD, key, outcome=outcome, response=response)


def hand_over(old, new, now):
    """Move all outcomes from one store to another."""
    for part in old.export_shard(now, SHARD, max_bytes=200):
        new.import_part(now, part)
    old.close_shard(SHARD)


class RepeatTests(unittest.TestCase):
    """Repeats of a key at one owner."""

    def check_refused(self, decision, kind):
        """Check that a decision is a refusal of this kind."""
        self.assertIsInstance(decision, Refuse)
        self.assertEqual(decision.refusal.kind, kind)

    def test_repeat_gets_kept_answer(self):
        """A repeat within the window gets the first answer, whole."""
        store = build_store()
        self.assertEqual(store.begin(0.0, SHARD, "k", b"f"), Run())
        finish(store, 1.0, "k")
        repeat = store.begin(600.0, SHARD, "k", b"f")
        self.assertEqual(repeat, Replay(response=RESPONSE))

    def test_outcome_is_kept_for_window_only(self):
        """After the window the key is new again and takes no memory."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k")
        self.assertEqual(store.begin(601.0, SHARD, "k", b"f"), Run())
        self.assertEqual(store.entries, 1)

    def test_concurrent_repeats_join(self):
        """Repeats of a running request wait for it and are named at its end."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        first = store.begin(0.0, SHARD, "k", b"f")
        second = store.begin(0.0, SHARD, "k", b"f")
        store.remove_waiter(SHARD, "k", first.waiter_id)
        self.assertIsInstance(second, Join)
        self.assertEqual(finish(store, 1.0, "k"), (second.waiter_id,))

    def test_other_request_is_mismatch(self):
        """Another request under a used key is refused as not run."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        self.check_refused(
            store.begin(0.0, SHARD, "k", b"g"), ErrorKind.IDEMPOTENCY_MISMATCH
        )

    def test_not_run_frees_key(self):
        """A request that was proved not run may be sent again."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k", Outcome.NOT_RUN)
        self.assertEqual(store.begin(2.0, SHARD, "k", b"f"), Run())

    def test_unknown_stays_unknown(self):
        """A request whose end is not known is never run again in the window."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k", Outcome.UNKNOWN)
        self.check_refused(
            store.begin(2.0, SHARD, "k", b"f"), ErrorKind.IDEMPOTENCY_UNKNOWN
        )

    def test_late_completion_changes_nothing(self):
        """A second completion does not overwrite the first."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 1.0, "k")
        finish(store, 2.0, "k", Outcome.NOT_RUN)
        self.assertIsInstance(store.begin(3.0, SHARD, "k", b"f"), Replay)

    def test_foreign_shard_is_refused(self):
        """A shard that was never opened is not this node's to answer for."""
        store = build_store()
        self.check_refused(
            store.begin(0.0, "orders/all/2", "k", b"f"), ErrorKind.NOT_OWNER
        )


class MemoryTests(unittest.TestCase):
    """Bounds of memory."""

    def test_old_answers_shrink_before_keys_are_lost(self):
        """Out of bytes, old answers go, and their repeats are still not run."""
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
        """A full store refuses new keys as not run and forgets none."""
        store = build_store(max_entries=2)
        for key in "ab":
            store.begin(0.0, SHARD, key, b"f")
            finish(store, 0.0, key)
        refused = store.begin(1.0, SHARD, "c", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.QUEUE_FULL)
        self.assertIsInstance(store.begin(1.0, SHARD, "a", b"f"), Replay)
        self.assertEqual(store.begin(601.0, SHARD, "c", b"f"), Run())

    def test_large_answer_is_not_kept(self):
        """An answer above the limit leaves only the fact that there was one."""
        store = build_store(max_response_bytes=10)
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 0.0, "k", response=StoredResponse(status=200, body=b"x" * 11))
        repeat = store.begin(1.0, SHARD, "k", b"f")
        self.assertEqual(repeat.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)

    def test_closing_frees_all_memory(self):
        """A closed shard leaves nothing behind."""
        store = build_store()
        for number in range(100):
            store.begin(0.0, SHARD, f"k{number}", b"f")
            if number % 2:
                finish(store, 0.0, f"k{number}")
        store.close_shard(SHARD)
        self.assertEqual((store.entries, store.size), (0, 0))


class TakeoverTests(unittest.TestCase):
    """New owners after a release and after a loss."""

    def test_release_hands_outcomes_over(self):
        """After a release the new owner answers as the old one would."""
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

    def test_parts_are_bounded_and_taken_once(self):
        """Parts keep their bound; doubled and skipped parts are ignored."""
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

    def test_loss_is_not_answered_on_a_guess(self):
        """After a loss an unmarked key is unknown until the window has passed."""
        store = build_store(prior_outcomes=PriorOutcomes.LOST, token=7, now=50.0)
        refused = store.begin(60.0, SHARD, "k", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(refused.token, 7)
        self.assertEqual(store.begin(651.0, SHARD, "k", b"f"), Run())

    def test_caller_can_state_first_attempt(self):
        """A key first used under the new owner runs; one from before does not."""
        store = build_store(prior_outcomes=PriorOutcomes.LOST, token=7)
        earlier = store.begin(1.0, SHARD, "k", b"f", first_attempt_token=6)
        self.assertEqual(earlier.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(
            store.begin(1.0, SHARD, "fresh", b"f", first_attempt_token=7), Run()
        )
        repeat = store.begin(1.0, SHARD, "fresh", b"f", first_attempt_token=7)
        self.assertIsInstance(repeat, Join)

    def test_second_loss_voids_statement(self):
        """A statement made under an owner that was lost counts no longer."""
        store = build_store(prior_outcomes=PriorOutcomes.LOST, token=9)
        refused = store.begin(1.0, SHARD, "k", b"f", first_attempt_token=7)
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)

    def test_unfinished_handover_counts_as_loss(self):
        """An old owner that dies while handing over leaves unknown keys."""
        old = build_store()
        for number in range(20):
            old.begin(0.0, SHARD, f"k{number}", b"f")
        new = build_store(prior_outcomes=PriorOutcomes.EXPECTED, token=2)
        new.import_part(0.0, old.export_shard(0.0, SHARD, max_bytes=200)[0])
        new.abandon_handover(1.0, SHARD)
        refused = new.begin(2.0, SHARD, "k19", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)

    def test_mark_of_loss_is_handed_over(self):
        """The owner after next still knows that keys were lost."""
        old = build_store(prior_outcomes=PriorOutcomes.LOST, token=7)
        new = build_store(prior_outcomes=PriorOutcomes.EXPECTED, token=8)
        hand_over(old, new, 100.0)
        refused = new.begin(200.0, SHARD, "k", b"f")
        self.assertEqual(refused.refusal.kind, ErrorKind.IDEMPOTENCY_UNKNOWN)
        self.assertEqual(new.begin(601.0, SHARD, "k", b"f"), Run())

    def test_readmitted_owner_keeps_outcomes(self):
        """A new token for the same owner forgets nothing."""
        store = build_store()
        store.begin(0.0, SHARD, "k", b"f")
        finish(store, 0.0, "k")
        store.open_shard(1.0, SHARD, token=2, prior_outcomes=PriorOutcomes.RETAINED)
        self.assertIsInstance(store.begin(2.0, SHARD, "k", b"f"), Replay)

    def test_own_without_memory_counts_as_loss(self):
        """A node that remembers nothing cannot claim to have been the owner."""
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
    """Owners that follow each other, and callers that repeat under one key."""

    def __init__(self):
        self.now = 0.0
        self.token = 1
        self.store = build_store(max_bytes=600)
        self.since = {}
        self.may_have_run_s = {}

    def send(self, key, states_first):
        """Send under a key; a caller states its first attempt truthfully."""
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
        """End a running request."""
        finish(self.store, self.now, key, outcome)
        if outcome is Outcome.NOT_RUN and self.is_freed(key):
            del self.may_have_run_s[key]

    def is_freed(self, key):
        """Return whether the key was running until now."""
        state = self.store._shards[SHARD]
        return key in self.may_have_run_s and key not in state.records

    def release(self, _key, _value):
        """Hand over to the next owner."""
        self.token += 1
        new = build_store(
            prior_outcomes=PriorOutcomes.EXPECTED, token=self.token, max_bytes=600
        )
        hand_over(self.store, new, self.now)
        self.store = new

    def lose(self, _key, _value):
        """Lose the owner with its memory."""
        self.token += 1
        self.store = build_store(
            prior_outcomes=PriorOutcomes.LOST,
            token=self.token,
            now=self.now,
            max_bytes=600,
        )

    def wait(self, _key, seconds):
        """Let time pass."""
        self.now += seconds


class AtMostOnceTests(unittest.TestCase):
    """The promise over any history of owners."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.lists(STEP, max_size=40))
    def test_key_runs_at_most_once_in_window(self, steps):
        """Whatever owners come and go, a key that may have run is not run again."""
        chain = _Chain()
        for action, key, value in steps:
            getattr(chain, action)(key, value)
