"""Tests of papayatack.core.retry."""

import collections
import random
import unittest

from papayatack.core.errors import ErrorKind, Outcome, get_error_response
from papayatack.core.retry import RetryBudget, RetryPolicy, RetryReason


def build_policy(**fields):
    """Return a policy with a fixed seed, and its counted reasons."""
    counts = collections.Counter()

    def count(name, reason):
        counts[name, reason] += 1

    return RetryPolicy(rng=random.Random(1), count=count, **fields), counts


class RetryBudgetTests(unittest.TestCase):
    """Limit on the ratio of retries to requests."""

    def test_retries_stay_below_ratio(self):
        """Retries stay below the ratio, however many attempts fail."""
        budget = RetryBudget(ratio=0.1)
        retries = 0
        for number in range(10_000):
            now = number * 0.001
            budget.deposit(now)
            retries += budget.withdraw(now)
        self.assertLessEqual(retries, 10_000 * 0.1 + 1)
        self.assertGreaterEqual(retries, 10_000 * 0.1 - 1)

    def test_quiet_period_permits_no_burst(self):
        """The balance of a busy period decays to the reserve of one retry."""
        budget = RetryBudget(ratio=0.1)
        for number in range(10_000):
            budget.deposit(number * 0.001)
        retries = sum(budget.withdraw(200.0) for _ in range(100))
        self.assertEqual(retries, 1)


class RetryPolicyTests(unittest.TestCase):
    """Decisions after failed attempts."""

    def test_unrepeatable_request_that_may_have_run_is_not_retried(self):
        """An unrepeatable request is retried only if it was not run."""
        for kind in ErrorKind:
            policy, _ = build_policy()
            decision = policy.decide(
                0.0, kind=kind, attempt=1, deadline=10.0, repeatable=False
            )
            with self.subTest(kind=kind):
                if get_error_response(kind).outcome is not Outcome.NOT_RUN:
                    self.assertEqual(decision.reason, RetryReason.MAY_HAVE_RUN)
                    self.assertIsNone(decision.delay_s)

    def test_repeatable_request_is_retried_if_the_error_is_retryable(self):
        """A repeatable request is retried exactly for the retryable errors."""
        for kind in ErrorKind:
            policy, _ = build_policy()
            decision = policy.decide(
                0.0, kind=kind, attempt=1, deadline=10.0, repeatable=True
            )
            with self.subTest(kind=kind):
                self.assertEqual(
                    decision.delay_s is not None, get_error_response(kind).retryable
                )

    def test_retries_start_before_the_deadline(self):
        """No retry is scheduled at or after the deadline."""
        policy, counts = build_policy(budget_ratio=1.0)
        for number in range(1000):
            policy.record_request(0.0)
            delay_s = policy.allow_retry(0.0, 3, number * 1e-5)
            if delay_s is not None:
                self.assertLess(delay_s, number * 1e-5)
        self.assertGreater(counts["retry_decisions", RetryReason.DEADLINE_TOO_NEAR], 0)

    def test_delays_are_jittered_and_grow(self):
        """The bound of the delay doubles with each attempt."""
        policy, _ = build_policy(budget_ratio=1.0, max_attempts=20)
        longest = []
        for attempt in (1, 2, 3):
            delays = []
            for _ in range(200):
                policy.record_request(0.0)
                delays.append(policy.allow_retry(0.0, attempt, 100.0))
            self.assertGreater(len(set(delays)), 100)
            longest.append(max(delays))
        self.assertAlmostEqual(longest[1] / longest[0], 2.0, delta=0.2)
        self.assertAlmostEqual(longest[2] / longest[1], 2.0, delta=0.2)

    def test_counts_each_reason(self):
        """Every decision is counted under its reason."""
        policy, counts = build_policy()
        self.assertIsNotNone(policy.allow_retry(0.0, 1, 10.0))
        self.assertIsNone(policy.allow_retry(0.0, 1, 10.0))
        self.assertIsNone(policy.allow_retry(0.0, 4, 10.0))
        self.assertEqual(
            counts,
            {
                ("retry_decisions", RetryReason.ALLOWED): 1,
                ("retry_decisions", RetryReason.BUDGET_SPENT): 1,
                ("retry_decisions", RetryReason.ATTEMPTS_SPENT): 1,
            },
        )
