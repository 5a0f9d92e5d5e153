"""Tests of papayatack.platform.environment."""

import random
import unittest

from papayatack.core.retry import RetryPolicy
from papayatack.observability.metrics import Metrics
from papayatack.platform.environment import PlatformEnvironment
from papayatack.platform.settings import parse_platform_settings
from tests.platform.test_settings import TEXT

CALLS = 2
"""Calls that each request of the calling service makes."""


class RetryShareTests(unittest.TestCase):
    """The users' budget for retries, including the calls of retried requests."""

    def setUp(self):
        settings = parse_platform_settings(TEXT, source="s")
        self.ratio = settings.bounds.retry_share
        environment = PlatformEnvironment(settings=settings, metrics=Metrics())
        self.policy = RetryPolicy(
            rng=random.Random(1), budget_ratio=environment.retry_share, max_attempts=2
        )

    def count_retries(self, requests):
        """Return the number of retries of a number of requests that all fail."""
        retries = 0
        for number in range(requests):
            now = number * 0.001
            self.policy.record_request(now)
            retries += self.policy.allow_retry(now, 1, now + 1.0) is not None
        return retries

    def test_calls_of_retried_requests_are_within_the_budget(self):
        """Two services get equally many requests, and one of them calls the other.

        The called service gets the calls of retried requests and its own retries, both
        of its requests and of the calls.
        """
        requests = 5_000
        caller_retries = self.count_retries(requests)
        own_retries = self.count_retries(requests * (1 + CALLS))
        self.assertLess(CALLS * caller_retries + own_retries, self.ratio * requests)
