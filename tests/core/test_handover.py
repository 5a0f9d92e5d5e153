"""Tests of papayatack.core.handover."""

import random
import unittest

from papayatack.core.errors import Outcome, get_error_response
from papayatack.core.handover import (
    HANDOVER_ERRORS,
    MAX_ABSENCES,
    BackoffState,
    HandoverBackoff,
    HandoverReason,
)

FAR_S = 1_000.0


class HandoverWaitTests(unittest.TestCase):
    """Waits for a key that changes its owner."""

    def setUp(self):
        self.wait = HandoverBackoff(rng=random.Random(7), patience_s=2.0, max_waiting=2)

    def wait_out(self, state, *, deadline_s=FAR_S):
        """Return the reason that ends the waits of ``state``, and the time."""
        now = 0.0
        while True:
            reason, pause_s = self.wait.decide(now, state, deadline_s)
            if reason is not HandoverReason.WAITING:
                return reason, now
            now += pause_s

    def test_only_kinds_that_were_not_run(self):
        """No request that may have run is sent again by this rule."""
        for kind in HANDOVER_ERRORS:
            with self.subTest(kind=kind):
                self.assertIs(get_error_response(kind).outcome, Outcome.NOT_RUN)

    def test_wait_ends_within_patience(self):
        """A request is given up before its patience is over, not after."""
        reason, now = self.wait_out(BackoffState())
        self.assertIs(reason, HandoverReason.PATIENCE_OVER)
        self.assertLessEqual(now, 2.0)
        self.assertGreater(now, 1.5)

    def test_wait_ends_before_the_deadline(self):
        """A pause that would pass the deadline is not begun."""
        reason, now = self.wait_out(BackoffState(), deadline_s=0.3)
        self.assertIs(reason, HandoverReason.DEADLINE_TOO_NEAR)
        self.assertLess(now, 0.3)

    def test_attempts_are_few(self):
        """Pauses grow, so that a wait of two seconds asks some twenty times."""
        state = BackoffState()
        self.wait_out(state)
        self.assertLess(state.pauses, 30)

    def test_shard_that_stays_away_is_not_waited_for(self):
        """Whoever comes after a change of owner should be over is refused at once."""
        _, now = self.wait_out(BackoffState(subject="s/1"))
        late = BackoffState(subject="s/1")
        reason, _ = self.wait.decide(now + 0.5, late, FAR_S)
        self.assertIs(reason, HandoverReason.PATIENCE_OVER)
        reason, _ = self.wait.decide(now + 0.5, BackoffState(subject="s/2"), FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_shard_that_came_back_is_waited_for_again(self):
        """Each change of owner has its own time."""
        _, now = self.wait_out(BackoffState(subject="s/1"))
        self.wait.record_served("s/1")
        reason, _ = self.wait.decide(now + 0.5, BackoffState(subject="s/1"), FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_shard_of_which_nothing_is_heard_starts_anew(self):
        """Nobody may have asked for it while it was served."""
        _, now = self.wait_out(BackoffState(subject="s/1"))
        reason, _ = self.wait.decide(now + 3.0, BackoffState(subject="s/1"), FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_absences_are_bounded(self):
        """However many shards there are."""
        for number in range(MAX_ABSENCES + 10):
            self.wait.decide(0.0, BackoffState(subject=str(number)), 0.0)
        self.assertLessEqual(len(self.wait._absences), MAX_ABSENCES)

    def test_waiting_requests_are_bounded(self):
        """A third request is answered at once, until another one has ended."""
        first, second, third = BackoffState(), BackoffState(), BackoffState()
        self.wait.decide(0.0, first, FAR_S)
        self.wait.decide(0.0, second, FAR_S)
        reason, _ = self.wait.decide(0.0, third, FAR_S)
        self.assertIs(reason, HandoverReason.TOO_MANY_WAITING)
        self.wait.end(first)
        reason, _ = self.wait.decide(0.0, third, FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_end_counts_once(self):
        """Ending a request twice, or one that never waited, changes nothing."""
        state = BackoffState()
        self.wait.end(state)
        self.wait.decide(0.0, state, FAR_S)
        self.wait.end(state)
        self.wait.end(state)
        self.assertEqual(self.wait.waiting, 0)
