"""Tests of papayatack.core.handover."""

import random
import unittest

from papayatack.core.errors import Outcome, get_error_response
from papayatack.core.handover import (
    HANDOVER_ERRORS,
    MAX_OUTAGES,
    BackoffState,
    HandoverBackoff,
    HandoverReason,
)

FAR_S = 1_000.0


class HandoverBackoffTests(unittest.TestCase):
    """Backoff while a shard has no owner."""

    def setUp(self):
        self.backoff = HandoverBackoff(
            rng=random.Random(7), max_wait_s=2.0, max_waiting=2
        )

    def wait_out(self, state, *, deadline_s=FAR_S):
        """Return the reason that ends the wait of ``state``, and the time."""
        now = 0.0
        while True:
            reason, delay_s = self.backoff.decide(now, state, deadline_s)
            if reason is not HandoverReason.WAITING:
                return reason, now
            now += delay_s

    def test_errors_imply_that_the_request_was_not_run(self):
        """No request that may have run is retried by this policy."""
        for kind in HANDOVER_ERRORS:
            with self.subTest(kind=kind):
                self.assertIs(get_error_response(kind).outcome, Outcome.NOT_RUN)

    def test_wait_ends_within_the_limit(self):
        """A request is refused shortly before its maximum wait, never after it."""
        reason, now = self.wait_out(BackoffState())
        self.assertIs(reason, HandoverReason.WAIT_LIMIT_REACHED)
        self.assertLessEqual(now, 2.0)
        self.assertGreater(now, 1.5)

    def test_wait_ends_before_the_deadline(self):
        """A delay that would end after the deadline does not start."""
        reason, now = self.wait_out(BackoffState(), deadline_s=0.3)
        self.assertIs(reason, HandoverReason.DEADLINE_TOO_NEAR)
        self.assertLess(now, 0.3)

    def test_delays_grow(self):
        """Delays grow, so that a wait of two seconds takes some twenty attempts."""
        state = BackoffState()
        self.wait_out(state)
        self.assertLess(state.delays, 30)

    def test_requests_do_not_wait_after_a_long_outage(self):
        """Requests are refused immediately once an outage exceeds the maximum wait."""
        _, now = self.wait_out(BackoffState(subject="s/1"))
        late = BackoffState(subject="s/1")
        reason, _ = self.backoff.decide(now + 0.5, late, FAR_S)
        self.assertIs(reason, HandoverReason.WAIT_LIMIT_REACHED)
        reason, _ = self.backoff.decide(now + 0.5, BackoffState(subject="s/2"), FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_requests_wait_again_after_an_outage_has_ended(self):
        """The wait is measured separately for each outage of a shard."""
        _, now = self.wait_out(BackoffState(subject="s/1"))
        self.backoff.record_served("s/1")
        reason, _ = self.backoff.decide(now + 0.5, BackoffState(subject="s/1"), FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_outage_expires_without_requests(self):
        """The shard may have had an owner while there was no request for it."""
        _, now = self.wait_out(BackoffState(subject="s/1"))
        reason, _ = self.backoff.decide(now + 3.0, BackoffState(subject="s/1"), FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_tracked_outages_are_bounded(self):
        """Memory is bounded for any number of shards without an owner."""
        for number in range(MAX_OUTAGES + 10):
            self.backoff.decide(0.0, BackoffState(subject=str(number)), 0.0)
        self.assertLessEqual(len(self.backoff._outages), MAX_OUTAGES)

    def test_waiting_requests_are_bounded(self):
        """A request beyond the limit is refused until another one has ended."""
        first, second, third = BackoffState(), BackoffState(), BackoffState()
        self.backoff.decide(0.0, first, FAR_S)
        self.backoff.decide(0.0, second, FAR_S)
        reason, _ = self.backoff.decide(0.0, third, FAR_S)
        self.assertIs(reason, HandoverReason.TOO_MANY_WAITING)
        self.backoff.end_wait(first)
        reason, _ = self.backoff.decide(0.0, third, FAR_S)
        self.assertIs(reason, HandoverReason.WAITING)

    def test_end_is_idempotent(self):
        """Ending a request twice, or one that did not wait, has no effect."""
        state = BackoffState()
        self.backoff.end_wait(state)
        self.backoff.decide(0.0, state, FAR_S)
        self.backoff.end_wait(state)
        self.backoff.end_wait(state)
        self.assertEqual(self.backoff.waiting, 0)
